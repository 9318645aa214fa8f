// SPDX-License-Identifier: MIT

//go:build !race

// With the race detector the runtime of Go 1.26 fails when a timer's channel is selected on a fake clock
// (a nil bubble in runtime.(*timer).maybeRunChan), so these tests run without it.

package trial

import (
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
)

// matrixCell is one place of a fault matrix; run returns what happened and what was wrong with it.
type matrixCell struct {
	name string
	run  func() (result string, wrong []string)
}

// maxConcurrentCells bounds the sites that run beside each other.
const maxConcurrentCells = 24

// runMatrix runs the cells on one fake clock, prints the table of their results, and fails for each that was wrong.
func runMatrix(t *testing.T, cells []matrixCell) {
	results, wrongs := make([]string, len(cells)), make([][]string, len(cells))
	inBubble(t, func(*testing.T) {
		var work sync.WaitGroup
		places := make(chan struct{}, maxConcurrentCells)
		for i := range cells {
			places <- struct{}{}
			work.Go(func() {
				defer func() { <-places }()
				results[i], wrongs[i] = cells[i].run()
			})
		}
		work.Wait()
	})
	for i, cl := range cells {
		t.Logf("%-58s %s", cl.name, results[i])
		if len(wrongs[i]) > 0 {
			t.Errorf("%s: %s", cl.name, strings.Join(wrongs[i], "; "))
		}
	}
}

// inBubble runs the test on fake time.
//
// yamux keeps timers in a pool of the process. Two collections empty it, so that none of another test's clock is left.
func inBubble(t *testing.T, f func(t *testing.T)) {
	runtime.GC()
	runtime.GC()
	synctest.Test(t, f)
}
