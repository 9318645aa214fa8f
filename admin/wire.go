// SPDX-License-Identifier: MIT

package admin

import (
	"time"

	"rackstep.dev/event"
	"rackstep.dev/fleet"
)

// ApplyRequest asks to publish a configuration that was derived from version Base.
type ApplyRequest struct {
	// ID is the ID of the record. Records with the same ID are folded only once, so that a request can be repeated.
	ID            string              `json:"id"`
	Base          uint64              `json:"base"`
	Configuration fleet.Configuration `json:"configuration"`
}

// Accepted is the answer to a request whose record the fold has accepted.
type Accepted struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
	Offset  int64  `json:"offset"`
}

// CurrentConfiguration is the configuration in force at the entry that answers.
type CurrentConfiguration struct {
	Version       uint64              `json:"version"`
	Configuration fleet.Configuration `json:"configuration"`
}

// EntryStatus is the latest known status of one entry.
type EntryStatus struct {
	Entry      string `json:"entry"`
	DataCentre string `json:"data_centre"`
	Version    uint64 `json:"version"`
	Offset     int64  `json:"offset"`
	// Age is the time since the entry's last status arrived.
	Age          fleet.Duration `json:"age"`
	LogReachable bool           `json:"log_reachable"`
	Stopping     bool           `json:"stopping"`
	Caller       string         `json:"caller"`
	Operator     string         `json:"operator"`
}

// ServiceStatus is the current availability budget of one service.
type ServiceStatus struct {
	Service string `json:"service"`
	Pool    string `json:"pool"`
	// Margin is the number of further instances that the service can lose without violating its budget.
	Margin int `json:"margin"`
}

// PlanStatus is the summary of one plan.
type PlanStatus struct {
	ID     string           `json:"id"`
	Intent fleet.IntentKind `json:"intent"`
	State  fleet.PlanState  `json:"state"`
	Steps  int              `json:"steps"`
	// Done is the number of steps that have ended, Out the number of those in progress.
	Done int `json:"done"`
	Out  int `json:"out"`
	// Waits holds the reasons for which steps cannot proceed, by instance. Only the entry that executes the plan knows them.
	Waits map[string]string `json:"waits,omitempty"`
}

// JobCounts holds the number of jobs in each state.
type JobCounts map[fleet.JobState]int

// Status is the state of the site as the answering entry knows it.
type Status struct {
	Entry    string          `json:"entry"`
	Version  uint64          `json:"version"`
	Offset   int64           `json:"offset"`
	Entries  []EntryStatus   `json:"entries"`
	Services []ServiceStatus `json:"services"`
	Plans    []PlanStatus    `json:"plans"`
	// Teams contains the teams whose jobs hold cores.
	Teams []TeamStatus `json:"teams"`
	Jobs  JobCounts    `json:"jobs"`
	// InFlight, Waiting and Slots count the requests in flight, the waiting requests and the slots of this entry alone.
	InFlight int `json:"in_flight"`
	Waiting  int `json:"waiting"`
	Slots    int `json:"slots"`
	Claims   int `json:"claims"`
	// PeerIn, PeerOut, PlatformIn and PlatformOut count the bytes received and sent since the entry started.
	PeerIn      int64 `json:"peer_in"`
	PeerOut     int64 `json:"peer_out"`
	PlatformIn  int64 `json:"platform_in"`
	PlatformOut int64 `json:"platform_out"`
}

// TeamStatus is the number of cores that one team's jobs hold, and the team's quota; 0 means no quota.
type TeamStatus struct {
	Team  string `json:"team"`
	Cores int    `json:"cores"`
	Quota int    `json:"quota"`
}

// TimeLine holds the events of all reachable entries in order, and the names of the entries that could not be reached.
type TimeLine struct {
	Events    []event.Event `json:"events"`
	Unreached []string      `json:"unreached"`
}

// RecordResult is what an entry knows about the record with an ID. Found is false while the entry has not folded such a record.
type RecordResult struct {
	ID      string         `json:"id"`
	Found   bool           `json:"found"`
	Version uint64         `json:"version"`
	Refusal *fleet.Refusal `json:"refusal,omitempty"`
}

// publishTimeout bounds how long the server waits for the outcome of a record.
const publishTimeout = 12 * time.Second
