// SPDX-License-Identifier: MIT

//go:build !race

package intake

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/feed"
	"rackstep.dev/internal/clock"
)

// storeOf returns a writer on a store whose appends take the time and end as the function says.
func storeOf(takes time.Duration, ends func(n int) error) (*Writer, *[]int) {
	var sizes []int
	w := &Writer{Topic: feed.Topic{Append: func(ctx context.Context, b feed.Batch) (int64, error) {
		sizes = append(sizes, len(b.Records))
		select {
		case <-time.After(takes):
			return int64(len(sizes)), ends(len(sizes))
		case <-ctx.Done():
			return 0, feed.ErrUncertain
		}
	}}}
	return w, &sizes
}

func write(w *Writer, key string) (tries int, took time.Duration, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	began := time.Now()
	_, tries, err = w.Write(ctx, feed.KeyedRecord{Key: key, Value: []byte{1}})
	return tries, time.Since(began), err
}

func always(err error) func(int) error { return func(int) error { return err } }

func TestWhatComesMeanwhileLeavesTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		w, sizes := storeOf(100*time.Millisecond, always(nil))
		var all sync.WaitGroup
		for i := range 10 {
			all.Go(func() {
				_, _, err := write(w, fmt.Sprint(i))
				c.Check(err, quicktest.IsNil)
			})
		}
		all.Wait()
		c.Assert(len(*sizes) <= 3, quicktest.IsTrue, quicktest.Commentf("%v", *sizes))
	})
}

func TestARefusingStoreRefusesWithinItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		w, _ := storeOf(5*time.Millisecond, always(feed.ErrUnavailable))
		tries, took, err := write(w, "a")
		c.Assert(errors.Is(err, ErrRefused), quicktest.IsTrue)
		c.Assert(tries > 1, quicktest.IsTrue)
		c.Assert(took < 2*refuseAfter, quicktest.IsTrue)
	})
}

func TestAnAppendWithoutAnAnswerIsNeverCalledRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		w, _ := storeOf(5*time.Millisecond, func(n int) error {
			if n == 1 {
				return feed.ErrUncertain
			}
			return feed.ErrUnavailable
		})
		_, _, err := write(w, "a")
		c.Assert(errors.Is(err, ErrInDoubt), quicktest.IsTrue)
	})
}

func TestWhileTheStoreIsSilentOthersAreRefusedUnsent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		w, sizes := storeOf(time.Hour, always(nil))
		go func() { _, _, _ = write(w, "first") }() // it ends in doubt, which is not what is checked here
		time.Sleep(2500 * time.Millisecond)
		sent := len(*sizes)
		tries, took, err := write(w, "second")
		c.Assert(errors.Is(err, ErrRefused), quicktest.IsTrue)
		c.Assert(tries, quicktest.Equals, 0)
		c.Assert(took < 10*time.Millisecond, quicktest.IsTrue)
		c.Assert(len(*sizes), quicktest.Equals, sent)
		time.Sleep(10 * time.Second)
	})
}

func TestAfterAFailureTheNextTries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		w, _ := storeOf(5*time.Millisecond, func(n int) error {
			if n < 8 {
				return feed.ErrUnavailable
			}
			return nil
		})
		_, _, err := write(w, "a")
		c.Assert(errors.Is(err, ErrRefused), quicktest.IsTrue)
		time.Sleep(time.Second)
		_, _, err = write(w, "b")
		c.Assert(err, quicktest.IsNil)
	})
}

func TestEachClientIsAnsweredInItsOwnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		w, _ := storeOf(time.Hour, always(nil))
		var all sync.WaitGroup
		for i := range 20 { // each waits for three seconds, from a time of its own
			all.Go(func() {
				time.Sleep(time.Duration(i) * 250 * time.Millisecond)
				_, took, err := write(w, fmt.Sprint(i))
				c.Check(errors.Is(err, ErrInDoubt) || errors.Is(err, ErrRefused), quicktest.IsTrue)
				c.Check(took <= 3*time.Second, quicktest.IsTrue, quicktest.Commentf("client %d: %v", i, took))
			})
		}
		all.Wait()
		time.Sleep(10 * time.Second)
	})
}

// What waits behind an append that falls silent has not been sent: it is refused once the next one is silent too, so that its client
// comes again, instead of being sent to the silent store and then in doubt.
func TestWhatWaitsBehindASilentAppendIsRefusedUnsent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		w, _ := storeOf(time.Hour, always(nil))
		go func() { _, _, _ = write(w, "first") }() // it ends in doubt, which is not what is checked here
		time.Sleep(500 * time.Millisecond)
		tries, took, err := write(w, "second")
		c.Check(errors.Is(err, ErrRefused), quicktest.IsTrue, quicktest.Commentf("%v", err))
		c.Check(tries, quicktest.Equals, 0)
		c.Check(took <= writeTimeout+silentPause+probeTimeout-500*time.Millisecond, quicktest.IsTrue)
		time.Sleep(10 * time.Second)
	})
}

func TestWhatWaitsBehindASilentConnectionIsTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		appends := 0
		w := &Writer{Topic: feed.Topic{Append: func(ctx context.Context, b feed.Batch) (int64, error) {
			appends++
			if appends == 1 {
				time.Sleep(time.Second)
				return 0, feed.ErrUncertain // its connection has ended
			}
			return int64(appends), nil
		}}}
		var all sync.WaitGroup
		for i := range 10 {
			all.Go(func() {
				time.Sleep(time.Duration(i) * 50 * time.Millisecond)
				_, took, err := write(w, fmt.Sprint(i))
				c.Check(err, quicktest.IsNil)
				c.Check(took <= 1300*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%v", took))
			})
		}
		all.Wait()
	})
}

// TestAClientWhoseTimeEndedWhileTheMachineWasSuspendedGetsNoLateAttempt suspends the machine while a record waits behind another.
func TestAClientWhoseTimeEndedWhileTheMachineWasSuspendedGetsNoLateAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		base, slept := time.Now(), time.Duration(0)
		w, sizes := storeOf(100*time.Millisecond, func(int) error { return nil })
		w.Clock = &clock.Clock{Boot: func() time.Duration { return time.Since(base) + slept }}
		w.Clock.Sure()
		go func() { _, _, _ = write(w, "a") }() // what becomes of it is not looked at
		time.Sleep(10 * time.Millisecond)
		late := make(chan error, 1)
		go func() {
			_, _, err := write(w, "b")
			late <- err
		}()
		time.Sleep(10 * time.Millisecond)
		slept = 5 * time.Second
		c.Assert(errors.Is(<-late, ErrRefused), quicktest.IsTrue)
		c.Assert(*sizes, quicktest.DeepEquals, []int{1})
	})
}

// TestARecordThatIsRefusedForItselfRefusesNoOther has ten clients hand in at once, one of them what the store never takes.
func TestARecordThatIsRefusedForItselfRefusesNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		taken := make(map[string]bool)
		w := &Writer{Topic: feed.Topic{Append: func(_ context.Context, b feed.Batch) (int64, error) {
			time.Sleep(5 * time.Millisecond)
			for _, r := range b.Records {
				if r.Key == "3" {
					return 0, &feed.RefusedError{Message: "status 400"}
				}
			}
			for _, r := range b.Records {
				taken[r.Key] = true
			}
			return 1, nil
		}}}
		var all sync.WaitGroup
		for i := range 10 {
			all.Go(func() {
				_, took, err := write(w, fmt.Sprint(i))
				c.Check(errors.Is(err, ErrRefused), quicktest.Equals, i == 3, quicktest.Commentf("%d: %v", i, err))
				c.Check(took < refuseAfter, quicktest.IsTrue, quicktest.Commentf("%d after %v", i, took))
			})
		}
		all.Wait()
		c.Assert(taken, quicktest.HasLen, 9)
	})
}
