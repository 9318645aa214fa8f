// SPDX-License-Identifier: MIT

package trial

import (
	"fmt"
	"time"

	"rackstep.dev/fleet"
	"rackstep.dev/internal/memnet"
	"rackstep.dev/serve"
)

// Spec describes the size and the settings of a site.
type Spec struct {
	DataCentres int
	EntriesEach int
	Services    int
	// RunnersEach is the number of instances of each service.
	RunnersEach int
	// Workers is the number of instances of the batch pool.
	Workers int
	// Cores and MemoryMB are the resources of each instance.
	Cores, MemoryMB int
	// RackSize is the number of instances in a rack.
	RackSize int
	// Spare is the number of instances of each service that may be out of service at once.
	Spare   int
	Weights fleet.Weights
	// RebootTime is the time that the platform takes to reboot an instance.
	RebootTime time.Duration
	// CheckpointEvery is the setting of the entries; 0 selects their default.
	CheckpointEvery time.Duration
	// Network replaces the loopback network in tests on fake time; may be nil.
	Network *memnet.Network
	// Probe is called before and after each step of a request at an entry; may be nil.
	Probe func(entry string, step serve.Step, after bool)
}

// NamedSpec returns the specification of the named size: small, muscat or norrskalv.
func NamedSpec(name string) (Spec, error) {
	s := Spec{DataCentres: 4, EntriesEach: 2, Services: 2, RunnersEach: 8, Workers: 8, Cores: 16, MemoryMB: 32 << 10, RackSize: 4, Spare: 2,
		Weights: fleet.Weights{RollOut: 1, Buffer: 1, Moves: 0.5}, RebootTime: time.Second}
	switch name {
	case "", "small":
	case "muscat":
		s.Services, s.RunnersEach, s.Workers = 5, 10, 50
	case "norrskalv":
		s.Services, s.RunnersEach, s.Workers = 5, 10, 50
		s.Cores, s.MemoryMB = 64, 256<<10
		s.Weights = fleet.Weights{RollOut: 0.5, Buffer: 0.5, Moves: 2}
	default:
		return Spec{}, fmt.Errorf("unknown size %q; use small, muscat or norrskalv", name)
	}
	return s, nil
}

// Tokens of the callers and the operator of a site.
const (
	TeamToken      = "trial-team-token"
	OtherTeamToken = "trial-other-team-token"
	OperatorToken  = "trial-operator-token"
	BootstrapToken = "trial-bootstrap-token"
)

// BatchPool is the pool whose workers run jobs.
const BatchPool = "batch"

// Centre returns the name of a data centre.
func Centre(i int) string { return fmt.Sprintf("dc-%d", i+1) }

// ServiceName returns the name of a service; its pool has the same name.
func ServiceName(i int) string { return fmt.Sprintf("service-%d", i+1) }

// RunnerName returns the name of a service's instance.
func RunnerName(service, i int) string { return fmt.Sprintf("runner-%d-%02d", service+1, i+1) }

// WorkerName returns the name of an instance of the batch pool.
func WorkerName(i int) string { return fmt.Sprintf("worker-%03d", i+1) }

// EntryName returns the name of an entry.
func EntryName(centre, i int) string { return fmt.Sprintf("entry-%d%c", centre+1, 'a'+rune(i)) }

// Configuration returns the configuration of the site.
func (s Spec) Configuration() fleet.Configuration {
	c := fleet.Configuration{
		Teams: []fleet.Team{
			{Name: "catalogue", TokenHash: serve.TokenHash(TeamToken), Share: 1},
			{Name: "imports", TokenHash: serve.TokenHash(OtherTeamToken), Share: 1},
		},
		Operators: []fleet.Operator{{Name: "operator", TokenHash: serve.TokenHash(OperatorToken)}},
		Weights:   s.Weights,
	}
	var all []string
	for i := range s.DataCentres {
		all = append(all, Centre(i))
		c.DataCentres = append(c.DataCentres, fleet.DataCentre{Name: Centre(i), Region: fmt.Sprintf("region-%d", 1+2*i/s.DataCentres)})
	}
	for i := range s.Services {
		c.Pools = append(c.Pools, fleet.Pool{Name: ServiceName(i), Members: names(s.RunnersEach, func(j int) string { return RunnerName(i, j) })})
		svc := fleet.Service{Name: ServiceName(i), Pool: ServiceName(i), DataCentres: all, MinAvailable: s.RunnersEach - s.Spare, Timeout: fleet.Duration(5 * time.Second)}
		if i == s.Services-1 && s.Services > 1 {
			svc.DataCentres = all[:max(1, len(all)/2)] // the last service runs in half of the data centres only
			svc.MinAvailable = max(1, svc.MinAvailable/2-1)
		}
		c.Services = append(c.Services, svc)
	}
	if s.Workers > 0 {
		c.Pools = append(c.Pools, fleet.Pool{Name: BatchPool, Members: names(s.Workers, WorkerName), MinAvailable: s.Workers * 3 / 4})
	}
	return c
}

func names(n int, of func(int) string) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = of(i)
	}
	return out
}
