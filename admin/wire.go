// SPDX-License-Identifier: MIT

package admin

import (
	"time"

	"rackstep.dev/event"
	"rackstep.dev/fleet"
)

// ApplyRequest publishes a configuration that was made from version Base.
type ApplyRequest struct {
	// ID names the record; the same ID is folded once.
	ID            string              `json:"id"`
	Base          uint64              `json:"base"`
	Configuration fleet.Configuration `json:"configuration"`
}

// Accepted is the fold's positive answer.
type Accepted struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
	Offset  int64  `json:"offset"`
}

// CurrentConfiguration is the configuration in force at the entry that was asked.
type CurrentConfiguration struct {
	Version       uint64              `json:"version"`
	Configuration fleet.Configuration `json:"configuration"`
}

// EntryStatus is what is known of one entry.
type EntryStatus struct {
	Entry      string `json:"entry"`
	DataCentre string `json:"data_centre"`
	Version    uint64 `json:"version"`
	Offset     int64  `json:"offset"`
	// Age is how long ago the entry was last heard of.
	Age          fleet.Duration `json:"age"`
	LogReachable bool           `json:"log_reachable"`
	Stopping     bool           `json:"stopping"`
	Caller       string         `json:"caller"`
	Operator     string         `json:"operator"`
}

// ServiceStatus is one service's budget now.
type ServiceStatus struct {
	Service string `json:"service"`
	Pool    string `json:"pool"`
	// Margin is how many more instances the service can lose before its budget breaks.
	Margin int `json:"margin"`
}

// PlanStatus is a plan in short.
type PlanStatus struct {
	ID     string           `json:"id"`
	Intent fleet.IntentKind `json:"intent"`
	State  fleet.PlanState  `json:"state"`
	Steps  int              `json:"steps"`
	Done   int              `json:"done"`
	Out    int              `json:"out"`
	// Waits are the reasons of steps that can't go on, by instance; known to the entry that executes the plan.
	Waits map[string]string `json:"waits,omitempty"`
}

// JobCounts are the jobs by their state.
type JobCounts map[fleet.JobState]int

// Status is what an entry knows.
type Status struct {
	Entry    string          `json:"entry"`
	Version  uint64          `json:"version"`
	Offset   int64           `json:"offset"`
	Entries  []EntryStatus   `json:"entries"`
	Services []ServiceStatus `json:"services"`
	Plans    []PlanStatus    `json:"plans"`
	// Teams are those that hold something for their jobs.
	Teams []TeamStatus `json:"teams"`
	Jobs  JobCounts    `json:"jobs"`
	// InFlight, Waiting and Slots are of this entry only.
	InFlight int `json:"in_flight"`
	Waiting  int `json:"waiting"`
	Slots    int `json:"slots"`
	Claims   int `json:"claims"`
	// PeerIn, PeerOut, PlatformIn and PlatformOut are bytes since the entry's start.
	PeerIn      int64 `json:"peer_in"`
	PeerOut     int64 `json:"peer_out"`
	PlatformIn  int64 `json:"platform_in"`
	PlatformOut int64 `json:"platform_out"`
}

// TeamStatus is what one team's jobs hold, in cores; Quota is 0 for no bound.
type TeamStatus struct {
	Team  string `json:"team"`
	Cores int    `json:"cores"`
	Quota int    `json:"quota"`
}

// TimeLine is the time line, with the entries that could not be asked.
type TimeLine struct {
	Events    []event.Event `json:"events"`
	Unreached []string      `json:"unreached"`
}

// RecordResult is what an entry knows of a record by its ID.
type RecordResult struct {
	ID      string         `json:"id"`
	Found   bool           `json:"found"`
	Version uint64         `json:"version"`
	Refusal *fleet.Refusal `json:"refusal,omitempty"`
}

// callTime bounds the wait for a record's outcome.
const callTime = 12 * time.Second
