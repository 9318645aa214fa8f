// SPDX-License-Identifier: MIT

package platformtest

// Paths of the platform's calls.
const (
	CallAppend      = "/log-append"
	CallRead        = "/log-read"
	CallNewest      = "/log-newest"
	CallStart       = "/run-start"
	CallStop        = "/run-stop"
	CallHold        = "/hold"
	CallPace        = "/pace"
	CallList        = "/machines"
	CallMove        = "/machine-move"
	CallMaintenance = "/machine-upkeep"
)

// Calls returns the paths of all calls.
func Calls() []string {
	return []string{CallAppend, CallRead, CallNewest, CallStart, CallStop, CallHold, CallPace, CallList, CallMove, CallMaintenance}
}
