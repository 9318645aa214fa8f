// SPDX-License-Identifier: MIT

package pool

import (
	"testing"

	"github.com/frankban/quicktest"
)

// TestEvidenceClosesOneAttempt guards against evidence of one attempt to start a run that closes others, which may still be carried out.
func TestEvidenceClosesOneAttempt(t *testing.T) {
	unanswered, accepted, listed, settled := (*pendingStarts).add, (*pendingStarts).accepted, (*pendingStarts).listed, (*pendingStarts).remove
	for _, x := range [...]struct {
		name     string
		before   pendingStarts
		evidence []func(*pendingStarts)
		open     bool
	}{
		{"nothing was unanswered", pendingStarts{}, []func(*pendingStarts){accepted}, false},
		{"one unanswered", pendingStarts{}, []func(*pendingStarts){unanswered}, true},
		{"one unanswered, and the worker has the run", pendingStarts{}, []func(*pendingStarts){unanswered, listed}, false},
		{"the next one is accepted", pendingStarts{}, []func(*pendingStarts){unanswered, accepted}, true},
		{"accepted, and the worker has the run", pendingStarts{}, []func(*pendingStarts){unanswered, accepted, listed}, true},
		{"two unanswered, and the worker has the run", pendingStarts{}, []func(*pendingStarts){unanswered, unanswered, listed}, true},
		{"it is listed again and again", pendingStarts{}, []func(*pendingStarts){unanswered, unanswered, listed, listed, listed}, true},
		{"listed before the second is unanswered", pendingStarts{}, []func(*pendingStarts){unanswered, listed, unanswered, listed}, true},
		{"both can't be carried out any more", pendingStarts{}, []func(*pendingStarts){unanswered, unanswered, settled, settled}, false},
		{"an earlier leader ordered it once, and it is there", pendingStarts{count: 1}, []func(*pendingStarts){listed}, false},
		{"an earlier leader ordered it any number of times", pendingStarts{count: 1, unknown: true}, []func(*pendingStarts){listed, settled}, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			p := x.before
			for _, learn := range x.evidence {
				learn(&p)
			}
			quicktest.Assert(t, p.open(), quicktest.Equals, x.open)
		})
	}
}
