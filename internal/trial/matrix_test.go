// SPDX-License-Identifier: MIT

//go:build !race

// These tests run without the race detector: with it, the runtime of Go 1.26 crashes when a timer's channel is selected on
// a fake clock (a nil bubble in runtime.(*timer).maybeRunChan).

package trial

import (
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
)

// matrixCell is one cell of a fault matrix. Its run function returns a summary and the violations.
type matrixCell struct {
	name string
	run  func() (result string, violations []string)
}

// maxConcurrentCells limits the sites that run concurrently.
const maxConcurrentCells = 24

// runMatrix runs the cells on one fake clock, logs the table of results, and reports an error for each cell with violations.
func runMatrix(t *testing.T, cells []matrixCell) {
	results, violations := make([]string, len(cells)), make([][]string, len(cells))
	inBubble(t, func(*testing.T) {
		var wg sync.WaitGroup
		slots := make(chan struct{}, maxConcurrentCells)
		for i := range cells {
			slots <- struct{}{}
			wg.Go(func() {
				defer func() { <-slots }()
				results[i], violations[i] = cells[i].run()
			})
		}
		wg.Wait()
	})
	for i, cl := range cells {
		t.Logf("%-58s %s", cl.name, results[i])
		if len(violations[i]) > 0 {
			t.Errorf("%s: %s", cl.name, strings.Join(violations[i], "; "))
		}
	}
}

// inBubble runs the test on fake time.
//
// yamux keeps timers in a sync.Pool. Two garbage collections empty it, so that no timer of an earlier test's clock is reused.
func inBubble(t *testing.T, f func(t *testing.T)) {
	runtime.GC()
	runtime.GC()
	synctest.Test(t, f)
}
