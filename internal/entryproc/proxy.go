// SPDX-License-Identifier: MIT

package entryproc

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Proxy forwards connections to a target and injects faults.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns map[net.Conn]bool
	// delay is added before each write; dropUp and dropDown drop the data to and from the target.
	delay            time.Duration
	dropUp, dropDown bool
}

// NewProxy listens on the address and forwards connections to the target.
func NewProxy(address, target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("proxy: %w", err)
	}
	p := &Proxy{listener: ln, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

func (p *Proxy) forward(c net.Conn) {
	defer c.Close()
	up, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer up.Close()
	p.track(c, true)
	defer p.track(c, false)
	done := make(chan struct{}, 2)
	go func() { p.copy(up, c, func() bool { return p.dropUp }); done <- struct{}{} }()
	go func() { p.copy(c, up, func() bool { return p.dropDown }); done <- struct{}{} }()
	<-done
}

func (p *Proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
		return
	}
	delete(p.conns, c)
}

// copy forwards data and drops what arrives while drop returns true, as a network partition does. It calls drop with mu held.
func (p *Proxy) copy(to io.Writer, from io.Reader, drop func() bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		delay, dropped := p.delay, drop()
		p.mu.Unlock()
		time.Sleep(delay)
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

// SetFaults sets the delay that is added before each write, and whether the data to and from the target is dropped.
func (p *Proxy) SetFaults(delay time.Duration, up, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay, p.dropUp, p.dropDown = delay, up, down
}

// Reset closes every connection with a TCP reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // sends RST instead of FIN
		}
		_ = c.Close()
	}
}

// Close stops listening and resets every connection.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}
