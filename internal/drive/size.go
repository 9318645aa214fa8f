// SPDX-License-Identifier: MIT

package drive

import (
	"fmt"
	"time"

	"rackstep.dev/fleet"
)

// Size describes a fleet and its workload.
type Size struct {
	Name        string
	Pools       int
	PoolSize    int // instances in each pool
	Spare       int // instances of each pool that the budget allows out of service at once
	DataCentres int
	RackSize    int
	Cores       int
	MemoryMB    int
	Teams       int
	// Utilisation is the fraction of the cores that jobs request.
	Utilisation float64
	// MeanRunTime is the mean true run time of a job. Declared run times and sizes differ from the true ones by a factor of
	// up to EstimateError in either direction.
	MeanRunTime   time.Duration
	EstimateError float64
	// Maintenance is the duration of one reboot.
	Maintenance time.Duration
	Weights     fleet.Weights
}

// Muscat is the site of the catalogue, with the sizes that its users state.
func Muscat() Size {
	return Size{Name: "muscat", Pools: 5, PoolSize: 10, Spare: 2, DataCentres: 4, RackSize: 4, Cores: 16, MemoryMB: 32 << 10, Teams: 4, Utilisation: 0.6,
		MeanRunTime: 20 * time.Minute, EstimateError: 4, Maintenance: 5 * time.Minute, Weights: fleet.Weights{RollOut: 1, Buffer: 1, Moves: 0.25}}
}

// Norrskalv is the site of the seismograph network.
func Norrskalv() Size {
	s := Muscat()
	s.Name, s.Cores, s.MemoryMB = "norrskalv", 64, 256<<10
	s.Weights = fleet.Weights{RollOut: 0.25, Buffer: 0.25, Moves: 1}
	return s
}

// TwoYears is the size that the users expect of the catalogue's site in two years; see docs/CAPACITY.md.
func TwoYears() Size {
	s := Muscat()
	s.Name, s.Pools, s.PoolSize, s.Spare, s.DataCentres, s.Teams, s.Cores = "two-years", 22, 36, 4, 8, 350, 32
	s.MemoryMB = 64 << 10
	return s
}

// Sizes returns the sizes that the benchmarks measure.
func Sizes() []Size { return []Size{Muscat(), Norrskalv(), TwoYears()} }

func poolName(i int) string        { return fmt.Sprintf("pool-%02d", i) }
func teamName(i int) string        { return fmt.Sprintf("team-%03d", i) }
func instanceName(i int) string    { return fmt.Sprintf("instance-%04d", i) }
func (s Size) centre(i int) string { return fmt.Sprintf("dc-%d", i%s.DataCentres) }
func (s Size) rack(i int) string {
	return fmt.Sprintf("%s-rack-%02d", s.centre(i), i/s.DataCentres/s.RackSize)
}

const placeholderTokenHash = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

// Configuration returns the fleet's configuration.
func (s Size) Configuration() fleet.Configuration {
	c := fleet.Configuration{Weights: s.Weights, Operators: []fleet.Operator{{Name: "operator", TokenHash: placeholderTokenHash}}}
	var all []string
	for i := range s.DataCentres {
		all = append(all, s.centre(i))
		c.DataCentres = append(c.DataCentres, fleet.DataCentre{Name: s.centre(i), Region: fmt.Sprint("region-", 2*i/s.DataCentres)})
	}
	for i := range s.Pools {
		p := fleet.Pool{Name: poolName(i)}
		for j := range s.PoolSize {
			p.Members = append(p.Members, instanceName(i*s.PoolSize+j))
		}
		c.Pools = append(c.Pools, p)
		c.Services = append(c.Services, fleet.Service{Name: poolName(i), Pool: poolName(i), DataCentres: all, MinAvailable: s.PoolSize - s.Spare})
	}
	for i := range s.Teams {
		c.Teams = append(c.Teams, fleet.Team{Name: teamName(i), TokenHash: placeholderTokenHash, JobCores: s.quota()})
	}
	return c
}

// quota returns twice a team's equal share of the cores, but at least the cores of one instance.
func (s Size) quota() int { return max(s.Cores, 2*s.Pools*s.PoolSize*s.Cores/s.Teams) }

// Tables returns the tables of the fleet before the first job.
func (s Size) Tables() *fleet.Tables {
	t := fleet.New()
	t.Apply(0, fleet.Record{ID: "configure", Configure: &fleet.Configure{Configuration: s.Configuration()}})
	var observed []fleet.Observation
	for i := range s.Pools * s.PoolSize {
		observed = append(observed, fleet.Observation{ID: instanceName(i), DataCentre: s.centre(i), Rack: s.rack(i), Address: "10.0.0.1:80", Cores: s.Cores, MemoryMB: s.MemoryMB})
	}
	t.Apply(1, fleet.Record{ID: "observe", Observe: &fleet.Observe{Instances: observed}})
	return t
}
