// SPDX-License-Identifier: MIT

package admin

import (
	"encoding/json"
	"testing"

	"github.com/frankban/quicktest"

	"rackstep.dev/config"
	"rackstep.dev/event"
	"rackstep.dev/fleet"
	"rackstep.dev/internal/golden"
)

// The command line and entries of other versions read these bodies, and users write some of them.
func TestJSONFormsStay(t *testing.T) {
	c := quicktest.New(t)
	checkJSON[ApplyRequest](c, "apply")
	checkJSON[Accepted](c, "accepted")
	checkJSON[CurrentConfiguration](c, "current")
	checkJSON[Status](c, "status")
	checkJSON[TimeLine](c, "line")
	checkJSON[RecordResult](c, "known")
	checkJSON[event.Event](c, "event")
	checkJSON[fleet.Plan](c, "plan")
	checkJSON[fleet.Job](c, "job")
	checkJSON[fleet.JobSpec](c, "job-spec")
	checkJSON[fleet.Instance](c, "instance")
	checkJSON[config.Settings](c, "settings")
}

func checkJSON[T any](c *quicktest.C, name string) {
	c.Helper()
	var value T
	golden.Fill(&value)
	golden.Check(c, name, value, json.Marshal, json.Unmarshal)
}
