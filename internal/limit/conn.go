// SPDX-License-Identifier: MIT

package limit

import (
	"bytes"
	"container/list"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// errHeaders ends a connection that sends too many lines of headers.
var errHeaders = errors.New("too many headers")

// conn is a connection of a Listener. It is in the listener's waiting list unless a whole request is being served.
type conn struct {
	net.Conn
	socket   socket // nil without a kernel socket
	listener *Listener
	close    sync.Once
	placedAt time.Time // when it got its place

	// list, element, since and displaced are guarded by the listener's mutex. list is the one of the listener's lists that has the
	// connection, nil while it may not be closed; since is its latest progress.
	list      *list.List
	element   *list.Element
	since     time.Time
	displaced bool
	// lingers means that the server has closed the connection and the kernel has yet to deliver answers; guarded likewise.
	lingers bool
	// answered is the end of the latest write of an answer that the client may be given time to read. acked is the number of bytes that the client had
	// acknowledged when another connection last needed a place, counted at least once after answered if looked is set. renewedAt is what it had acknowledged
	// before answered. All are guarded likewise.
	answered         time.Time
	acked, renewedAt uint64
	looked, renews   bool
	// asked is what the kernel last said at a look for a place, guarded likewise.
	asked asked
	// behind tells for how long the client has not kept up with its answers, and is guarded likewise.
	behind behind

	// body is the body that is being read, which must not wait for room once the connection is closed.
	body atomic.Pointer[bodyReader]
	// mode is one of the modes below.
	mode atomic.Int32
	// countLines means that headers are being read, as plain text.
	countLines atomic.Bool
	// http means that a server reads from the connection, plain that it does so without TLS.
	http, plain bool
	lines       lines
}

// Modes of a connection.
const (
	// modeHeld means that reads do not list the connection.
	modeHeld = iota
	// modeExpecting means that the next Read begins a time without progress.
	modeExpecting
	// modeReading means that the next Read goes on with that time.
	modeReading
)

// Hold excludes a connection of a PeerListener from those that may be closed, once it is known whose it is.
func Hold(c net.Conn) {
	if x := unwrap(c); x != nil {
		x.hold()
	}
}

// await marks the connection as waiting for the next request.
func (c *conn) await() {
	c.lines = lines{}
	c.countLines.Store(c.plain)
	c.expect()
}

// expect begins a time without progress with the next Read. The connection is listed as waiting only within Read: what the process does
// between two reads, which may take long when it is short of processor, is not held against a client.
func (c *conn) expect() {
	c.hold()
	c.mode.Store(modeExpecting)
}

// startRead lists the connection as waiting if the bytes of a request are expected.
func (c *conn) startRead() bool {
	if c.mode.Load() == modeHeld {
		return false
	}
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	mode := c.mode.Load()
	if mode == modeHeld {
		return false // the request has been read whole in the meantime
	}
	since := c.since
	if mode == modeExpecting {
		since = time.Now()
		c.mode.Store(modeReading)
	}
	c.enter(&l.waiting, since)
	return true
}

// endRead ends what startRead began.
func (c *conn) endRead() {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	c.leaveList()
}

// yield makes the connection the last of those that may be closed, until expect or hold is called.
func (c *conn) yield() {
	c.mode.Store(modeHeld) // reads no longer change the list
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	c.enter(&l.waiting, time.Now())
}

// enter makes the connection the last of a list. The listener's mutex must be held.
func (c *conn) enter(in *list.List, now time.Time) {
	if c.displaced {
		return
	}
	c.leaveList()
	c.list, c.element, c.since = in, in.PushBack(c), now
}

// leaveList removes the connection from its list. The listener's mutex must be held.
func (c *conn) leaveList() {
	if c.list != nil {
		c.list.Remove(c.element)
		c.list, c.element = nil, nil
	}
}

// hold excludes the connection from those that may be closed. It returns false if it has been closed.
func (c *conn) hold() bool {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	c.mode.Store(modeHeld)
	c.leaveList()
	return !c.displaced
}

// Close closes the connection and frees its place. If the kernel has yet to deliver answers, that waits for the client to take them, for at most the write time.
func (c *conn) Close() error {
	if c.http && c.startLinger() {
		return c.CloseWrite()
	}
	return c.end()
}

// end closes the connection now.
func (c *conn) end() error {
	err := c.Conn.Close()
	c.close.Do(func() {
		l := c.listener
		l.mu.Lock()
		c.leaveList()
		c.displaced = true
		l.open--
		l.mu.Unlock()
		add(&l.guard.connections, l.guard.meters.connections, -1)
	})
	return err
}

// startLinger makes the connection the last of those that may be closed if the kernel has yet to deliver answers. Closing it would free its place and leave that
// memory to the kernel, so that clients that read nothing could take it without a bound.
func (c *conn) startLinger() bool {
	if _, pending := delivery(c.socket); !pending {
		return false
	}
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.displaced || c.lingers {
		return false
	}
	c.lingers = true
	c.mode.Store(modeHeld)
	c.enter(&l.waiting, time.Now())
	go c.linger()
	return true
}

// maxLingerPause is the longest pause between two looks at what a closed connection has yet to deliver.
const maxLingerPause = 100 * time.Millisecond

// linger ends the connection when the client has taken its answers, or has not done so in time.
func (c *conn) linger() {
	pause := pollTime
	for end := time.Now().Add(c.listener.guard.limits.WriteIdle); time.Now().Before(end); pause = min(2*pause, maxLingerPause) {
		time.Sleep(pause)
		if _, pending := delivery(c.socket); !pending {
			_ = c.end() // may be closed already
			return
		}
	}
	c.listener.guard.count(AnswerStalled)
	discard(c.socket, c)
}

// CloseWrite ends the sending side, so that the client reads an answer that came before the end of its request.
func (c *conn) CloseWrite() error {
	if c.socket == nil {
		return nil
	}
	return c.socket.CloseWrite()
}

// Read reads from the connection and counts the lines of headers, since each costs many times its bytes.
func (c *conn) Read(p []byte) (int, error) {
	listed := c.startRead()
	n, err := c.Conn.Read(p)
	if listed {
		c.endRead()
	}
	if c.countLines.Load() && c.lines.add(p[:n]) > c.listener.guard.limits.HeaderLines {
		c.listener.guard.count(HeadersTooMany)
		return 0, errHeaders
	}
	return n, err
}

// maxWrite is the number of bytes for which a client gets the whole write time.
const maxWrite = 32 << 10

// Write writes in parts, each of which the client has to take within the write time. A client that does not may lose its place.
func (c *conn) Write(p []byte) (written int, err error) {
	if c.http && c.startAnswer() {
		defer c.endAnswer()
	}
	for {
		part := p[written:min(written+maxWrite, len(p))]
		if err := c.SetWriteDeadline(time.Now().Add(c.listener.guard.limits.WriteIdle)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(part)
		written += n
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				c.listener.guard.count(AnswerStalled)
			}
			return written, err
		}
		if written == len(p) {
			return written, nil
		}
	}
}

// startAnswer lists a connection that was being served as answering, unless it has yielded. It returns false for one that waits for more of a
// request or of a handshake: what is written meanwhile, such as "100 Continue", is no answer.
func (c *conn) startAnswer() bool {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.displaced || c.mode.Load() != modeHeld {
		return false
	}
	if c.list == nil {
		c.enter(&l.answering, time.Now())
	}
	c.renews = true
	if l.open >= l.max {
		var pending bool
		c.acked, pending = delivery(c.socket)
		c.renews = !pending || c.acked >= c.renewedAt+heldBytes
	}
	if c.renews {
		c.renewedAt = c.acked
	}
	return true
}

// endAnswer ends what startAnswer began.
func (c *conn) endAnswer() {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.renews {
		c.answered, c.looked = time.Now(), false
	}
	if c.list == &l.answering {
		c.leaveList()
	}
}

// takesAnswer reports whether the client, of which the kernel has just been asked, has acknowledged answerBytes since it was last looked at. The listener's
// mutex must be held.
func (c *conn) takesAnswer() bool {
	before := c.acked
	c.acked = c.asked.acked
	return c.acked >= before+answerBytes
}

// delivering reports whether the kernel still holds some of an answer whose write ended less than answerTime ago, to which each heldBytes add heldTime that
// the client has acknowledged since it was first looked at, or may do so, since it is not to be asked now. With fewPlaces it doesn't: answers are short
// there. The listener's mutex must be held.
func (c *conn) delivering(k *look) bool {
	since := k.now.Sub(c.answered)
	if c.listener.max <= fewPlaces || (!c.looked && since >= answerTime) {
		return false
	}
	if !k.ask(c) {
		return true
	}
	if !c.looked {
		c.acked, c.looked = c.asked.acked, true
	}
	return c.asked.pending && since < answerTime+heldTime*time.Duration(c.asked.acked-c.acked)/heldBytes
}

// asked is what the kernel said of a connection when it was last asked.
type asked struct {
	at      time.Time
	acked   uint64
	pending bool
}

// behind is a time in which each look for a place found a client that has not taken all of its answers.
type behind struct {
	// first is when it began, last the latest look. acked is the number of bytes that the client had acknowledged at first.
	first, last time.Time
	acked       uint64
}

// rate returns the bytes that the client takes in a second, and false if it has not been behind for long enough to tell. The listener's mutex must be held.
func (c *conn) rate(k *look) (perSecond float64, ok bool) {
	b, fresh := &c.behind, k.ask(c) || c.asked.at.Equal(k.now)
	if k.now.Sub(b.last) > behindPause {
		if !fresh {
			return 0, false
		}
		b.first, b.acked = c.asked.at, c.asked.acked
	}
	b.last = k.now
	elapsed := c.asked.at.Sub(b.first)
	return float64(c.asked.acked-b.acked) / max(elapsed, 1).Seconds(), elapsed >= behindTime
}

// lines counts the lines of a request up to the empty one.
type lines struct {
	count int
	// inLine means that the current line has bytes, ended that the empty line has been seen.
	inLine, ended bool
}

// add counts the lines in p and returns the count.
func (l *lines) add(p []byte) int {
	for len(p) > 0 && !l.ended {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			l.inLine = l.inLine || len(p) > 1 || p[0] != '\r'
			break
		}
		empty := !l.inLine && (i == 0 || i == 1 && p[0] == '\r')
		l.ended, l.inLine = empty && l.count > 0, false
		l.count++
		p = p[i+1:]
	}
	return l.count
}
