// SPDX-License-Identifier: MIT

package seed

import (
	"flag"
	"strconv"
)

// fixed is the seed of every run that does not name one.
const fixed = "1"

// Fix sets rapid's seed and its number of checks where the command line left them alone; it parses the flags.
func Fix(checks int) {
	flag.Parse()
	setDefault("rapid.seed", fixed)
	setDefault("rapid.checks", strconv.Itoa(checks))
}

// setDefault sets the flag unless the command line did; a flag that nobody defined is left alone.
func setDefault(name, value string) {
	f := flag.Lookup(name)
	if f == nil || f.Value.String() != f.DefValue {
		return
	}
	_ = flag.Set(name, value) // the flag is there, and the value has its type
}
