// SPDX-License-Identifier: MIT

package seed

import (
	"flag"
	"strconv"
)

// defaultSeed is the seed of runs without -rapid.seed.
const defaultSeed = "1"

// Fix parses the flags, then sets rapid's seed and number of checks unless the command line has set them.
func Fix(checks int) {
	flag.Parse()
	setDefault("rapid.seed", defaultSeed)
	setDefault("rapid.checks", strconv.Itoa(checks))
}

// setDefault sets the flag unless the command line has set it. It ignores a flag that isn't defined.
func setDefault(name, value string) {
	f := flag.Lookup(name)
	if f == nil || f.Value.String() != f.DefValue {
		return
	}
	_ = flag.Set(name, value) // can't fail: the flag is defined and the value has its type
}
