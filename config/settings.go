// SPDX-License-Identifier: MIT

package config

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"slices"

	"rackstep.dev/fleet"
)

// Settings are what one entry is told when it starts.
type Settings struct {
	// Entry is the name of the entry, DataCentre its place.
	Entry      string `json:"entry"`
	DataCentre string `json:"data_centre"`
	// CallerAddress, OperatorAddress and PeerAddress are an IP address and a port each.
	CallerAddress   string `json:"caller_address"`
	OperatorAddress string `json:"operator_address"`
	PeerAddress     string `json:"peer_address"`
	// Platform is the base URL of the platform's services.
	Platform string `json:"platform"`
	// FleetLog and ClaimsLog are names of logs; "fleet" and "claims" when empty.
	FleetLog  string `json:"fleet_log"`
	ClaimsLog string `json:"claims_log"`
	// PeerSecret proves entries to each other; PeerSecretFile names a file that holds it.
	PeerSecret     string `json:"peer_secret"`
	PeerSecretFile string `json:"peer_secret_file"`
	// BootstrapTokenHash allows the first configuration to be published.
	BootstrapTokenHash string `json:"bootstrap_token_hash"`
	// Peers are other entries to begin with; more become known from the log.
	Peers []Peer `json:"peers"`
	// StopDelay is how long a stopping entry serves on, so that the balancer notices; 3s when 0.
	StopDelay fleet.Duration `json:"stop_delay"`
	// Maintenance is the expected time of one instance's maintenance; 2m when 0.
	Maintenance fleet.Duration `json:"maintenance"`
	// CheckpointEvery is the time between two checkpoints of the tables in the log; 5m when 0.
	CheckpointEvery fleet.Duration `json:"checkpoint_every"`
	// TLS protects all three addresses when it is set.
	TLS TLS `json:"tls"`
	// MaxBody bounds a caller's body in bytes; 1 MiB when 0.
	MaxBody int `json:"max_body"`
}

// TLS names the files of an entry's certificate, its key, and the authority that signed those of all entries.
//
// Peers prove certificates to each other; the certificate must name the IP addresses of the entry. Callers and operators
// see the certificate and need none.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authority   string `json:"authority"`
}

// Set says whether TLS is wanted.
func (t TLS) Set() bool { return t != TLS{} }

// Peer is another entry.
type Peer struct {
	Entry      string `json:"entry"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
}

// Load reads and checks the settings file; problems are of its content, the error is of reading it.
func Load(name string) (Settings, []Problem, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return Settings{}, nil, fmt.Errorf("read settings: %w; name the file with --config", err)
	}
	var s Settings
	f, problems := Parse(name, data)
	if f == nil {
		return s, problems, nil
	}
	problems = f.Decode(&s)
	s.check(func(path, detail string) { problems = append(problems, f.At(path, detail)) })
	slices.SortStableFunc(problems, func(a, b Problem) int { return a.Line - b.Line })
	return s, problems, nil
}

// LoadPeerSecret returns the peers' shared secret.
func (s Settings) LoadPeerSecret() ([]byte, error) {
	if s.PeerSecretFile == "" {
		return []byte(s.PeerSecret), nil
	}
	b, err := os.ReadFile(s.PeerSecretFile)
	if err != nil {
		return nil, fmt.Errorf("read peer_secret_file: %w; name a file that this process may read", err)
	}
	return b, nil
}

const minSecret = 16

func (s Settings) check(report func(path, detail string)) {
	if s.Entry == "" {
		report("/entry", "is missing; give the entry a name")
	}
	if s.DataCentre == "" {
		report("/data_centre", "is missing; name the entry's data centre")
	}
	checkAddress(report, "/caller_address", s.CallerAddress)
	checkAddress(report, "/operator_address", s.OperatorAddress)
	checkAddress(report, "/peer_address", s.PeerAddress)
	if u, err := url.Parse(s.Platform); err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		report("/platform", "is not an http or https URL; write the platform's base address")
	}
	switch {
	case s.PeerSecret == "" && s.PeerSecretFile == "":
		report("/peer_secret", "is missing; set peer_secret or peer_secret_file, the same for all entries")
	case s.PeerSecret != "" && s.PeerSecretFile != "":
		report("/peer_secret_file", "stands beside peer_secret; keep one of them")
	case s.PeerSecret != "" && len(s.PeerSecret) < minSecret:
		report("/peer_secret", fmt.Sprintf("is short; use %d characters or more", minSecret))
	}
	for i, p := range s.Peers {
		if p.Entry == "" || p.DataCentre == "" {
			report(fmt.Sprintf("/peers/%d", i), "names no entry or no data centre; set both")
		}
		checkAddress(report, fmt.Sprintf("/peers/%d/address", i), p.Address)
	}
	for path, d := range map[string]fleet.Duration{"/stop_delay": s.StopDelay, "/maintenance": s.Maintenance, "/checkpoint_every": s.CheckpointEvery} {
		if d < 0 {
			report(path, "is below 0; write a positive duration")
		}
	}
	if s.TLS.Set() && (s.TLS.Certificate == "" || s.TLS.Key == "" || s.TLS.Authority == "") {
		report("/tls", "is not whole; set certificate, key and authority, or leave tls out")
	}
	if s.MaxBody < 0 {
		report("/max_body", "is below 0; write a number of bytes")
	}
}

func checkAddress(report func(path, detail string), path, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		report(path, fmt.Sprintf("%q is not an IP address and port; write it as in 10.0.0.1:8080", address))
	}
}
