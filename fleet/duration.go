// SPDX-License-Identifier: MIT

package fleet

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that is encoded as text such as "1.5s".
type Duration time.Duration

// MarshalText returns the duration as time.Duration prints it; it never fails.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses text such as "300ms" as time.ParseDuration does.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%q is not a duration; write a number and a unit, as in \"300ms\" or \"2s\"", b)
	}
	*d = Duration(v)
	return nil
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }
