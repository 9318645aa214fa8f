// SPDX-License-Identifier: MIT

package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy passes connections on to a target, and harms them on demand.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns map[net.Conn]bool
	// delay holds every piece back; deafUp and deafDown drop what goes to the target or comes from it.
	delay            time.Duration
	deafUp, deafDown bool
}

func newProxy(address, target string) (*proxy, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: ln, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(c)
	}
}

func (p *proxy) pass(c net.Conn) {
	defer c.Close()
	up, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer up.Close()
	p.track(c, true)
	defer p.track(c, false)
	done := make(chan struct{}, 2)
	go func() { p.copy(up, c, func() bool { return p.deafUp }); done <- struct{}{} }()
	go func() { p.copy(c, up, func() bool { return p.deafDown }); done <- struct{}{} }()
	<-done
}

func (p *proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
		return
	}
	delete(p.conns, c)
}

// copy passes bytes on; those that come while the direction is deaf are lost, as if a cut had held them up.
func (p *proxy) copy(to io.Writer, from io.Reader, deaf func() bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		delay, lost := p.delay, deaf()
		p.mu.Unlock()
		time.Sleep(delay)
		if n > 0 && !lost {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) set(delay time.Duration, up, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay, p.deafUp, p.deafDown = delay, up, down
}

// reset breaks every connection off.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // a reset instead of an orderly end
		}
		_ = c.Close()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}
