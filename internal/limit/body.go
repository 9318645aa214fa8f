// SPDX-License-Identifier: MIT

package limit

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
)

// Sizes of the parts in which bodies are read, and what they are charged.
const (
	// smallPart is the size of the parts of which the first smallBytes consist, largePart that of all others.
	smallPart  = 4 << 10
	largePart  = 16 << 10
	smallBytes = 8 << 10
	// costFactor is what a byte of a body is charged: itself, and as much for the copy that is decoded and for what comes of it.
	costFactor = 2
)

var (
	smallParts = sync.Pool{New: func() any { return new([smallPart]byte) }}
	largeParts = sync.Pool{New: func() any { return new([largePart]byte) }}
)

// Body is a request's body that has been read whole. Its room is held until Release.
type Body struct {
	guard *Guard
	size  int
	parts [][]byte
	holds *[2]hold
	// joined is the whole body once it has been joined.
	joined []byte
}

// ReadBody reads a request's body of at most limit bytes. check, which is optional, is called for each part and ends the reading
// with its error.
//
// The error is that of check, ErrTooLarge, one for which IsRefusal is true, or that of the connection. In all cases the rest of
// the body is not read. A nil Guard bounds only the single body.
func (g *Guard) ReadBody(r *http.Request, limit int64, check func(part []byte) error) (*Body, error) {
	if g == nil {
		g = new(Guard)
	}
	g.init()
	b := &Body{guard: g, holds: new([2]hold)}
	if r.Body == nil || r.Body == http.NoBody {
		return b, nil
	}
	reader, _ := r.Body.(*bodyReader)
	if reader != nil {
		b.holds = &reader.holds
	}
	b.holds[0], b.holds[1] = hold{pool: &g.small, body: reader}, hold{pool: &g.large, body: reader}
	add(&g.bodies, g.meters.bodies, 1)
	err := b.read(r, limit, check)
	if err != nil {
		b.Release()
		if errors.Is(err, ErrNoRoom) {
			g.count(BodyRefused)
		}
		return nil, err
	}
	return b, nil
}

func (b *Body) read(r *http.Request, limit int64, check func([]byte) error) error {
	if r.ContentLength > limit {
		return ErrTooLarge
	}
	for {
		part, err := b.grow(r.Context())
		if err != nil {
			return err
		}
		n, err := readPart(r.Body, part)
		b.parts[len(b.parts)-1] = part[:n]
		b.size += n
		if int64(b.size) > limit {
			return ErrTooLarge
		}
		if check != nil && n > 0 {
			if err := check(part[:n]); err != nil {
				return err
			}
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
		if int64(b.size) == r.ContentLength {
			return b.expectEnd(r)
		}
	}
}

// readPart reads until the part is full or an error occurs. Unlike that of io.ReadFull, its error tells the end of a body from a
// client that has disconnected.
func readPart(r io.Reader, part []byte) (n int, err error) {
	for n < len(part) && err == nil {
		var m int
		m, err = r.Read(part[n:])
		n += m
	}
	return n, err
}

// expectEnd reads the end of a body whose bytes have all been read.
func (b *Body) expectEnd(r *http.Request) error {
	_, err := r.Body.Read(make([]byte, 1))
	if err == io.EOF {
		return nil
	}
	return cmp.Or(err, io.ErrNoProgress)
}

// grow adds a part and charges it.
func (b *Body) grow(ctx context.Context) ([]byte, error) {
	h, size := &b.holds[0], smallPart
	if b.size >= smallBytes {
		h, size = &b.holds[1], largePart
	}
	if err := h.acquire(ctx, int64(size)*costFactor); err != nil {
		return nil, err
	}
	var part []byte
	if size == smallPart {
		part = smallParts.Get().(*[smallPart]byte)[:]
	} else {
		part = largeParts.Get().(*[largePart]byte)[:]
	}
	b.parts = append(b.parts, part)
	add(&b.guard.bodyBytes, b.guard.meters.bodyBytes, int64(size))
	return part, nil
}

// Bytes returns the whole body, which is valid until Release.
func (b *Body) Bytes() []byte {
	switch {
	case b.joined != nil || len(b.parts) == 0:
		return b.joined
	case len(b.parts) == 1:
		return b.parts[0]
	}
	b.joined = make([]byte, 0, b.size)
	for _, p := range b.parts {
		b.joined = append(b.joined, p...)
	}
	b.recycle()
	return b.joined
}

// Copy returns a copy of the whole body, which stays valid after Release.
func (b *Body) Copy() []byte { return slices.Clone(b.Bytes()) }

// Decode calls f with the whole body. Only few large bodies are decoded at the same time. The error is that of f or ErrNoRoom.
func (b *Body) Decode(ctx context.Context, f func(body []byte) error) error {
	if b.size > smallBytes {
		if err := b.guard.decodes.Acquire(ctx, 1); err != nil {
			b.guard.count(BodyRefused)
			return ErrNoRoom
		}
		defer b.guard.decodes.Release(1)
	}
	return f(b.Bytes())
}

// recycle returns the parts' memory.
func (b *Body) recycle() {
	var n int64
	for _, p := range b.parts {
		n += int64(cap(p))
		if cap(p) == smallPart {
			smallParts.Put((*[smallPart]byte)(p[:smallPart]))
		} else {
			largeParts.Put((*[largePart]byte)(p[:largePart]))
		}
	}
	b.parts = nil
	add(&b.guard.bodyBytes, b.guard.meters.bodyBytes, -n)
}

// Release ends the use of the body and frees its room. The Body must not be used afterwards.
func (b *Body) Release() {
	if b.holds[0].pool == nil {
		return
	}
	b.recycle()
	b.joined = nil
	b.holds[0].release()
	b.holds[1].release()
	b.holds[0].pool = nil
	add(&b.guard.bodies, b.guard.meters.bodies, -1)
}
