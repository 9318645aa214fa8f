// SPDX-License-Identifier: MIT

package fleet

// Configuration is what operators publish. It is accepted or refused as a whole.
type Configuration struct {
	DataCentres []DataCentre `json:"data_centres"`
	Pools       []Pool       `json:"pools"`
	Services    []Service    `json:"services"`
	Teams       []Team       `json:"teams"`
	Operators   []Operator   `json:"operators"`
	Weights     Weights      `json:"weights"`
}

// DataCentre is a location to which services and jobs can be restricted.
type DataCentre struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Pool is a named set of instances; an instance is in one pool at most.
type Pool struct {
	Name string `json:"name"`
	// Members are the IDs of instances that join the pool when they are first seen.
	Members []string `json:"members"`
	// MinAvailable is the number of instances that must stay available during planned work, independently of services.
	MinAvailable int `json:"min_available"`
}

// Service is a kind of request that the instances of one pool answer.
type Service struct {
	Name string `json:"name"`
	Pool string `json:"pool"`
	// DataCentres are the only data centres in which the service's requests may run.
	DataCentres []string `json:"data_centres"`
	// MinAvailable is the availability budget: the number of instances that must stay in service during planned work.
	MinAvailable int `json:"min_available"`
	// MinPerDataCentre is the same budget within each of the service's data centres.
	MinPerDataCentre int `json:"min_per_data_centre"`
	// Slots is the number of requests that one instance runs concurrently; 8 when 0.
	Slots int `json:"slots"`
	// Connections is the number of connections that one instance accepts; 64 when 0.
	Connections int `json:"connections"`
	// Queue is the number of requests that may wait in one data centre; 256 when 0.
	Queue int `json:"queue"`
	// Timeout bounds one request from its arrival to its response; 10s when 0.
	Timeout Duration `json:"timeout"`
}

// Defaults of a Service's limits.
const (
	DefaultSlots       = 8
	DefaultConnections = 64
	DefaultQueue       = 256
)

// SlotLimit returns Slots or its default.
func (s Service) SlotLimit() int { return orDefault(s.Slots, DefaultSlots) }

// ConnectionLimit returns Connections or its default.
func (s Service) ConnectionLimit() int { return orDefault(s.Connections, DefaultConnections) }

// QueueLimit returns Queue or its default.
func (s Service) QueueLimit() int { return orDefault(s.Queue, DefaultQueue) }

func orDefault(v, def int) int {
	if v == 0 {
		return def
	}
	return v
}

// Team is a group of callers that share a quota.
type Team struct {
	Name string `json:"name"`
	// TokenHash is the SHA-256 of the team's token in hexadecimal.
	TokenHash string `json:"token_hash"`
	// Share is the team's weight when requests of several teams are queued; 1 when 0.
	Share int `json:"share"`
	// JobCores bounds the cores that the team's jobs hold at once; unbounded when 0.
	JobCores int `json:"job_cores"`
}

// Operator is a person or script that may publish configurations and confirm plans.
type Operator struct {
	Name      string `json:"name"`
	TokenHash string `json:"token_hash"`
}

// Weights are the relative costs of roll-out time, buffer instances and moved jobs when plans are compared.
type Weights struct {
	RollOut float64 `json:"roll_out"`
	Buffer  float64 `json:"buffer"`
	Moves   float64 `json:"moves"`
}

// Service returns the service with the name, or nil.
func (c *Configuration) Service(name string) *Service { return byName(c.Services, name, serviceName) }

// Pool returns the pool with the name, or nil.
func (c *Configuration) Pool(name string) *Pool { return byName(c.Pools, name, poolName) }

// Team returns the team with the name, or nil.
func (c *Configuration) Team(name string) *Team { return byName(c.Teams, name, teamName) }

// DataCentre returns the data centre with the name, or nil.
func (c *Configuration) DataCentre(name string) *DataCentre {
	return byName(c.DataCentres, name, dataCentreName)
}

func serviceName(s *Service) string       { return s.Name }
func poolName(p *Pool) string             { return p.Name }
func teamName(t *Team) string             { return t.Name }
func operatorName(o *Operator) string     { return o.Name }
func dataCentreName(d *DataCentre) string { return d.Name }

func byName[R any](rows []R, name string, nameOf func(*R) string) *R {
	for i := range rows {
		if nameOf(&rows[i]) == name {
			return &rows[i]
		}
	}
	return nil
}
