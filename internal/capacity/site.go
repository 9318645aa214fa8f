// SPDX-License-Identifier: MIT

package capacity

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"rackstep.dev/config"
	"rackstep.dev/fleet"
	"rackstep.dev/serve"
)

// Size holds the dimensions of a site that the usage of an entry may depend on.
type Size struct {
	Entries int `json:"entries"`
	Centres int `json:"centres"`
	Workers int `json:"workers"`
	Pools   int `json:"pools"`
	Teams   int `json:"teams"`
}

// Loopback ports and the operator's token of a measured site.
const (
	platformPort   = 20000
	firstEntryPort = 20010
	portsPerEntry  = 3
	OperatorToken  = "capacity-operator-token"
)

// EntryName returns the name of the i-th entry.
func EntryName(i int) string { return fmt.Sprintf("entry-%03d", i) }

// OperatorAddress returns the address of the i-th entry's operators' interface.
func OperatorAddress(i int) string { return loopback(firstEntryPort + portsPerEntry*i + 1) }

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

func (s Size) dataCentreName(i int) string { return fmt.Sprintf("dc-%d", i%s.Centres+1) }

// Write writes the settings of the stand-in platform and of the entries, and the configuration, to the folder.
func (s Size) Write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("create folder: %w", err)
	}
	if err := writeJSON(dir, "size.json", s); err != nil {
		return err
	}
	if err := writeJSON(dir, "standin.json", s.standin()); err != nil {
		return err
	}
	if err := writeJSON(dir, "configuration.json", s.configuration()); err != nil {
		return err
	}
	for i := range s.Entries {
		if err := writeJSON(dir, EntryName(i)+".json", s.settings(i)); err != nil {
			return err
		}
	}
	return nil
}

func writeJSON(dir, name string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode %s: %w", name, err)
	}
	if err := os.WriteFile(filepath.Join(dir, name), b, 0o644); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	return nil
}

// Instance is one instance in the settings of the stand-in platform.
type Instance struct {
	ID         string `json:"id"`
	Role       string `json:"role"`
	DataCentre string `json:"data_centre"`
	Rack       string `json:"rack"`
	Cores      int    `json:"cores"`
	MemoryMB   int    `json:"memory_mb"`
}

// Standin holds the settings of the stand-in platform.
type Standin struct {
	Address   string     `json:"address"`
	Instances []Instance `json:"instances"`
}

const rackSize = 4 // workers in each rack

func (s Size) standin() Standin {
	out := Standin{Address: loopback(platformPort)}
	for i := range s.Workers {
		out.Instances = append(out.Instances, Instance{ID: workerName(i), Role: "worker", DataCentre: s.dataCentreName(i),
			Rack: fmt.Sprintf("%s-rack-%d", s.dataCentreName(i), i/s.Centres/rackSize), Cores: 32, MemoryMB: 64 << 10})
	}
	for i := range s.Entries {
		out.Instances = append(out.Instances, Instance{ID: EntryName(i), Role: "entry", DataCentre: s.dataCentreName(i)})
	}
	return out
}

func poolName(i int) string { return fmt.Sprintf("pool-%02d", i) }

func teamName(i int) string { return fmt.Sprintf("team-%03d", i) }

func workerName(i int) string { return fmt.Sprintf("worker-%04d", i) }

func (s Size) configuration() fleet.Configuration {
	c := fleet.Configuration{Operators: []fleet.Operator{{Name: "operator", TokenHash: serve.TokenHash(OperatorToken)}}}
	var all []string
	for i := range s.Centres {
		all = append(all, s.dataCentreName(i))
		c.DataCentres = append(c.DataCentres, fleet.DataCentre{Name: s.dataCentreName(i), Region: fmt.Sprintf("region-%d", 1+2*i/s.Centres)})
	}
	for i := range s.Pools {
		p := fleet.Pool{Name: poolName(i)}
		for w := i; w < s.Workers; w += s.Pools {
			p.Members = append(p.Members, workerName(w))
		}
		c.Pools = append(c.Pools, p)
		c.Services = append(c.Services, fleet.Service{Name: p.Name, Pool: p.Name, DataCentres: all, MinAvailable: len(p.Members) * 4 / 5})
	}
	for i := range s.Teams {
		name := teamName(i)
		c.Teams = append(c.Teams, fleet.Team{Name: name, TokenHash: serve.TokenHash(name), JobCores: 256})
	}
	return c
}

// maxSeedPeers limits the peers named in an entry's settings; an entry learns of the others from the fleet log.
const maxSeedPeers = 6

func (s Size) settings(i int) config.Settings {
	out := config.Settings{
		Entry: EntryName(i), DataCentre: s.dataCentreName(i), CallerAddress: loopback(firstEntryPort + portsPerEntry*i), OperatorAddress: OperatorAddress(i),
		PeerAddress: loopback(firstEntryPort + portsPerEntry*i + 2), Platform: "http://" + loopback(platformPort), PeerSecret: "capacity-peer-secret",
		BootstrapTokenHash: serve.TokenHash(OperatorToken),
	}
	for n := 1; n <= min(maxSeedPeers, s.Entries-1); n++ {
		j := (i + n) % s.Entries
		out.Peers = append(out.Peers, config.Peer{Entry: EntryName(j), DataCentre: s.dataCentreName(j), Address: loopback(firstEntryPort + portsPerEntry*j + 2)})
	}
	return out
}
