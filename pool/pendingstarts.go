// SPDX-License-Identifier: MIT

package pool

// pendingStarts counts the attempts to start a run that got no answer and may still be carried out.
type pendingStarts struct {
	count int
	// unknown is set if an earlier leader may have made any number of them.
	unknown bool
	// began is set once the attempt that began the run on the present incarnation is known to be none of them.
	began bool
}

// add records an attempt that got no answer.
func (p *pendingStarts) add() { p.count++ }

// remove records that an attempt can't be carried out any more.
func (p *pendingStarts) remove() { p.count = max(p.count-1, 0) }

// accepted records that an attempt was accepted. Those that got no answer remain open.
func (p *pendingStarts) accepted() { p.began = true }

// listed records that the worker lists the run while no attempt is in flight: unless an attempt was accepted, one that got no answer has been carried out.
func (p *pendingStarts) listed() {
	if p.began || p.count == 0 {
		return
	}
	p.began = true
	p.remove()
}

// open reports whether an attempt may be left that can still be carried out.
func (p *pendingStarts) open() bool { return p.count > 0 || p.unknown }
