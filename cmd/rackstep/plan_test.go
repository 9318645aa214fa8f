// SPDX-License-Identifier: MIT

package main

import (
	"os"
	"testing"

	"github.com/frankban/quicktest"
)

// TestNothingIsAskedWithoutATerminal has a standard input that is a character device and no terminal.
func TestNothingIsAskedWithoutATerminal(t *testing.T) {
	c := quicktest.New(t)
	null, err := os.Open(os.DevNull)
	c.Assert(err, quicktest.IsNil)
	said, err := os.CreateTemp(t.TempDir(), "stderr")
	c.Assert(err, quicktest.IsNil)
	c.Patch(&os.Stdin, null)
	c.Patch(&os.Stderr, said)
	c.Assert(asked("confirm?"), quicktest.IsFalse)
	info, err := said.Stat()
	c.Assert(err, quicktest.IsNil)
	c.Assert(info.Size(), quicktest.Equals, int64(0))
}
