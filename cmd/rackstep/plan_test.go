// SPDX-License-Identifier: MIT

package main

import (
	"os"
	"testing"

	"github.com/frankban/quicktest"
)

// TestNothingIsAskedWithoutATerminal guards against taking every character device for a terminal: with /dev/null as standard input
// nothing may be printed and the answer is no.
func TestNothingIsAskedWithoutATerminal(t *testing.T) {
	c := quicktest.New(t)
	null, err := os.Open(os.DevNull)
	c.Assert(err, quicktest.IsNil)
	stderr, err := os.CreateTemp(t.TempDir(), "stderr")
	c.Assert(err, quicktest.IsNil)
	c.Patch(&os.Stdin, null)
	c.Patch(&os.Stderr, stderr)
	c.Assert(askConfirmation("confirm?"), quicktest.IsFalse)
	info, err := stderr.Stat()
	c.Assert(err, quicktest.IsNil)
	c.Assert(info.Size(), quicktest.Equals, int64(0))
}
