// SPDX-License-Identifier: MIT

//go:build !race

// With the race detector the runtime of Go 1.26 fails when a timer's channel is selected on a fake clock
// (a nil bubble in runtime.(*timer).maybeRunChan), so these tests run without it.

package claim

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"rackstep.dev/feed"
)

// model is a claims log and the entries that fold it, with a list of what ran as the oracle.
type model struct {
	log     []Batch
	now     int64
	entries []*modelEntry
	runs    map[string]int
	tokens  int
}

type modelEntry struct {
	tables Tables
	next   int
	// wanted are the claims that this life has written and may dispatch when it wins.
	wanted map[string]Claim
	// won are claims that it may dispatch now, ran those that it has dispatched.
	won []Claim
	ran []Claim
}

func (m *model) write(t *rapid.T, b Batch) {
	b.Time = m.now - int64(rapid.IntRange(0, 2000).Draw(t, "behind")) // readings of the platform's clock differ
	m.log = append(m.log, b)
	if rapid.IntRange(0, 3).Draw(t, "twice") == 0 {
		m.log = append(m.log, b)
	}
}

func (m *model) entry(t *rapid.T) *modelEntry {
	return m.entries[rapid.IntRange(0, len(m.entries)-1).Draw(t, "entry")]
}

// request has the entry claim a key; copies of one request share its digest and NotAfter.
func (m *model) request(t *rapid.T) {
	e := m.entry(t)
	key := rapid.IntRange(0, 3).Draw(t, "key")
	m.tokens++
	c := Claim{Key: fmt.Sprint("k", key), Digest: [16]byte{byte(key)}, NotAfter: int64(1+key) * 60_000, Token: fmt.Sprint("t", m.tokens)}
	e.wanted[c.Token] = c
	m.write(t, Batch{Claims: []Claim{c}})
}

func (m *model) fold(t *rapid.T) {
	e := m.entry(t)
	if e.next == len(m.log) {
		return
	}
	e.tables.Apply(m.log[e.next], func(c Claim, v Verdict) {
		if _, mine := e.wanted[c.Token]; mine {
			delete(e.wanted, c.Token) // a waiter hears its verdict once
			if v.Kind == Won {
				e.won = append(e.won, c)
			}
		}
	})
	e.next++
}

func (m *model) dispatch(t *rapid.T) {
	e := m.entry(t)
	if len(e.won) == 0 {
		return
	}
	c := e.won[0]
	e.won = e.won[1:]
	if rapid.Bool().Draw(t, "release") {
		m.write(t, Batch{Completions: []Completion{{Key: c.Key, Token: c.Token}}})
		return
	}
	m.runs[c.Key]++
	e.ran = append(e.ran, c)
}

func (m *model) complete(t *rapid.T) {
	if e := m.entry(t); len(e.ran) > 0 {
		m.write(t, Batch{Completions: []Completion{{Key: e.ran[0].Key, Token: e.ran[0].Token, Status: 200}}})
		e.ran = e.ran[1:]
	}
}

// crash ends a life: what it had won and not dispatched is never dispatched.
func (m *model) crash(t *rapid.T) {
	i := rapid.IntRange(0, len(m.entries)-1).Draw(t, "crashed")
	m.entries[i] = &modelEntry{wanted: make(map[string]Claim)}
}

func TestAKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{runs: make(map[string]int), now: 1}
		for range 3 {
			m.entries = append(m.entries, &modelEntry{wanted: make(map[string]Claim)})
		}
		actions := map[string]func(*rapid.T){
			"request": m.request, "fold": m.fold, "dispatch": m.dispatch, "complete": m.complete, "crash": m.crash,
			"pass": func(t *rapid.T) { m.now += int64(rapid.IntRange(0, 400_000).Draw(t, "ms")) },
			"":     func(t *rapid.T) { m.check(t) },
		}
		t.Repeat(actions)
	})
}

func (m *model) check(t *rapid.T) {
	for key, n := range m.runs {
		if n > 1 {
			t.Fatalf("%s ran %d times", key, n)
		}
	}
}

// looped is a Book whose log is a slice in memory.
type looped struct {
	mu   sync.Mutex
	book Registry
	log  [][]byte
	fail error
}

func newLooped() *looped {
	l := &looped{}
	l.book.Append = func(_ context.Context, data []byte) error {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.fail != nil && !errors.Is(l.fail, feed.ErrUncertain) {
			return l.fail
		}
		l.log = append(l.log, data)
		go func() { _ = l.book.Fold(data) }() // the reader
		return l.fail
	}
	l.book.SetReady(true)
	return l
}

// onBook runs the test on fake time with a running Book.
func onBook(t *testing.T, f func(c *quicktest.C, ctx context.Context, l *looped)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		l := newLooped()
		done := make(chan struct{})
		go func() { _ = l.book.Run(ctx); close(done) }()
		f(quicktest.New(t), ctx, l)
		cancel()
		<-done
	})
}

func testClaim(token string) Claim {
	return Claim{Key: "k", NotAfter: time.Now().Add(time.Minute).UnixMilli(), Token: token}
}

func TestManyClaimsShareOneAppend(t *testing.T) {
	onBook(t, func(c *quicktest.C, ctx context.Context, l *looped) {
		var work sync.WaitGroup
		for i := range 400 {
			work.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				cl := testClaim(fmt.Sprint(i))
				cl.Key = fmt.Sprint("k", i)
				v, err := l.book.Claim(ctx, cl)
				c.Check(err, quicktest.IsNil)
				c.Check(v.Kind, quicktest.Equals, Won)
			})
		}
		work.Wait()
		c.Assert(len(l.log) <= 16, quicktest.IsTrue, quicktest.Commentf("%d appends in 0.4 s", len(l.log)))
	})
}

func TestManyEntriesTogetherStayWithinTheLogsAppends(t *testing.T) {
	onBook(t, func(c *quicktest.C, ctx context.Context, l *looped) {
		const entries = 32
		l.book.SetEntries(entries)
		var work sync.WaitGroup
		for i := range 100 {
			work.Go(func() {
				time.Sleep(time.Duration(i) * 10 * time.Millisecond)
				cl := testClaim(fmt.Sprint(i))
				cl.Key = fmt.Sprint("k", i)
				_, err := l.book.Claim(ctx, cl)
				c.Check(err, quicktest.IsNil)
			})
		}
		work.Wait()
		c.Assert(len(l.log)*entries <= SiteAppends*12/10, quicktest.IsTrue, quicktest.Commentf("%d appends of one entry in a second", len(l.log)))
	})
}

func TestWithTheLogDownAClaimIsRefusedAtOnceAndLaterTriedAgain(t *testing.T) {
	onBook(t, func(c *quicktest.C, ctx context.Context, l *looped) {
		l.fail = feed.ErrUnavailable
		_, err := l.book.Claim(ctx, testClaim("a"))
		c.Assert(errors.Is(err, ErrNotClaimed), quicktest.IsTrue)
		begin := time.Now()
		_, err = l.book.Claim(ctx, testClaim("b"))
		c.Assert(errors.Is(err, ErrNotClaimed), quicktest.IsTrue)
		c.Assert(time.Since(begin), quicktest.Equals, time.Duration(0))
		l.mu.Lock()
		l.fail = nil
		l.mu.Unlock()
		time.Sleep(RetryPause)
		v, err := l.book.Claim(ctx, testClaim("c"))
		c.Assert(err, quicktest.IsNil)
		c.Assert(v.Kind, quicktest.Equals, Won)
	})
}

func TestALostAnswerIsReadBack(t *testing.T) {
	onBook(t, func(c *quicktest.C, ctx context.Context, l *looped) {
		l.fail = feed.ErrUncertain
		v, err := l.book.Claim(ctx, testClaim("a"))
		c.Assert(err, quicktest.IsNil)
		c.Assert(v.Kind, quicktest.Equals, Won)
		v, err = l.book.Claim(ctx, testClaim("b"))
		c.Assert(err, quicktest.IsNil)
		c.Assert(v.Kind, quicktest.Equals, Open)
	})
}

func TestAClaimThatIsGivenUpIsReleased(t *testing.T) {
	onBook(t, func(c *quicktest.C, ctx context.Context, l *looped) {
		slow := l.book.Append
		l.book.Append = func(ctx context.Context, data []byte) error {
			time.Sleep(time.Second)
			return slow(ctx, data)
		}
		short, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		defer cancel()
		_, err := l.book.Claim(short, testClaim("a"))
		c.Assert(errors.Is(err, ErrNotClaimed), quicktest.IsTrue)
		time.Sleep(5 * time.Second)
		v, err := l.book.Claim(ctx, testClaim("b"))
		c.Assert(err, quicktest.IsNil)
		c.Assert(v.Kind, quicktest.Equals, Won)
	})
}

func TestAnEntryThatMissedPartOfTheLogClaimsNoOldKey(t *testing.T) {
	onBook(t, func(c *quicktest.C, ctx context.Context, l *looped) {
		first, err := Batch{Time: time.Now().UnixMilli()}.Encode()
		c.Assert(err, quicktest.IsNil)
		l.book.StartAt(100, first)
		_, err = l.book.Claim(ctx, testClaim("a"))
		c.Assert(errors.Is(err, ErrNotClaimed), quicktest.IsTrue)
		time.Sleep(MaxAhead + clockSlack)
		v, err := l.book.Claim(ctx, testClaim("b"))
		c.Assert(err, quicktest.IsNil)
		c.Assert(v.Kind, quicktest.Equals, Won)
	})
}

func TestClaimsAreDroppedAndNotWonAgain(t *testing.T) {
	c := quicktest.New(t)
	var tables Tables
	cl := Claim{Key: "k", NotAfter: 1000, Token: "a"}
	var kinds []Kind
	note := func(_ Claim, v Verdict) { kinds = append(kinds, v.Kind) }
	tables.Apply(Batch{Time: 1, Claims: []Claim{cl}}, note)
	tables.Apply(Batch{Time: 1001 + Memory.Milliseconds(), Claims: []Claim{{Key: "k", NotAfter: 1000, Token: "b"}}}, note)
	c.Assert(kinds, quicktest.DeepEquals, []Kind{Won, Expired})
	c.Assert(tables.Len(), quicktest.Equals, 0)
}

func FuzzDecodeBatch(f *testing.F) {
	b, err := Batch{Time: 5, Claims: []Claim{{Key: "k", NotAfter: 9, Token: "t"}}, Completions: []Completion{{Key: "k", Token: "t", Status: 200}}}.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		batch, err := DecodeBatch(b)
		if err != nil {
			return
		}
		var tables Tables
		tables.Apply(batch, func(Claim, Verdict) {})
		if tables.Len() > len(batch.Claims) {
			t.Fatal("more claims than were written")
		}
	})
}
