// SPDX-License-Identifier: MIT

//go:build review

package kit

import (
	"io"
	"log"
	"net"
	"sync"
)

var discardLog = log.New(io.Discard, "", 0)

// Link is a proxy before the store. While it is silent, it passes nothing in either direction, and new connections are accepted and get
// no answer.
type Link struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	silent bool
	conns  map[net.Conn]bool
}

func newLink(target string) (*Link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Link{listener: l, target: target, conns: make(map[net.Conn]bool)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return p, nil
}

// Address returns the address at which the link listens.
func (p *Link) Address() string { return p.listener.Addr().String() }

// SetSilent begins or ends the silence. A connection that has lost bytes by it says nothing further; it is closed when the silence ends.
func (p *Link) SetSilent(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = on
	if !on {
		for c, lost := range p.conns {
			if lost {
				_ = c.Close()
			}
		}
	}
}

func (p *Link) forward(c net.Conn) {
	defer c.Close()
	up, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer up.Close()
	p.mu.Lock()
	p.conns[c] = false
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
	}()
	done := make(chan struct{}, 2)
	go func() { p.copy(up, c, c); done <- struct{}{} }()
	go func() { p.copy(c, up, c); done <- struct{}{} }()
	<-done
}

func (p *Link) copy(to io.Writer, from io.Reader, c net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		dropped := p.silent || p.conns[c]
		if dropped && n > 0 {
			p.conns[c] = true
		}
		p.mu.Unlock()
		if n > 0 && !dropped {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
