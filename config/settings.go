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

// Settings configure one entry. They are read when it starts.
type Settings struct {
	// Entry is the name of the entry, DataCentre the data centre that it runs in.
	Entry      string `json:"entry"`
	DataCentre string `json:"data_centre"`
	// CallerAddress, OperatorAddress and PeerAddress are the addresses to listen on, an IP address and a port each.
	CallerAddress   string `json:"caller_address"`
	OperatorAddress string `json:"operator_address"`
	PeerAddress     string `json:"peer_address"`
	// Platform is the base URL of the platform's services.
	Platform string `json:"platform"`
	// FleetLog and ClaimsLog are the names of the platform's logs to use; "fleet" and "claims" when empty.
	FleetLog  string `json:"fleet_log"`
	ClaimsLog string `json:"claims_log"`
	// PeerSecret is the shared secret by which entries authenticate each other. PeerSecretFile names a file that contains it instead.
	PeerSecret     string `json:"peer_secret"`
	PeerSecretFile string `json:"peer_secret_file"`
	// BootstrapTokenHash is the hash of the token that may publish the first configuration.
	BootstrapTokenHash string `json:"bootstrap_token_hash"`
	// Peers are the other entries to connect to first. Further entries become known from the log.
	Peers []Peer `json:"peers"`
	// StopDelay is how long a stopping entry continues to serve, so that the load balancer notices that it is no longer ready; 3s when 0.
	StopDelay fleet.Duration `json:"stop_delay"`
	// Maintenance is the expected duration of one instance's maintenance; 2m when 0.
	Maintenance fleet.Duration `json:"maintenance"`
	// CheckpointEvery is the interval between checkpoints of the tables in the log; 5m when 0.
	CheckpointEvery fleet.Duration `json:"checkpoint_every"`
	// TLS enables TLS on all three addresses.
	TLS TLS `json:"tls"`
	// MaxBody is the maximum size of a caller's request body in bytes; 1 MiB when 0.
	MaxBody int `json:"max_body"`
}

// TLS names the files of an entry's certificate, its key, and the certificate of the authority that signed those of all entries.
//
// Entries authenticate each other by their certificates, which must contain the entry's IP addresses. Callers and operators
// verify the entry's certificate and need none of their own.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authority   string `json:"authority"`
}

// Enabled reports whether any of the files is set.
func (t TLS) Enabled() bool { return t != TLS{} }

// Peer is another entry.
type Peer struct {
	Entry      string `json:"entry"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
}

// Load reads and validates the settings file. The problems are those of its content, in the order of lines; the error is that of
// reading the file.
func Load(name string) (Settings, []Problem, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return Settings{}, nil, fmt.Errorf("read settings: %w; set the file with --config", err)
	}
	var s Settings
	f, problems := Parse(name, data)
	if f == nil {
		return s, problems, nil
	}
	problems = f.Decode(&s)
	s.check(func(path, detail string) { problems = append(problems, f.ProblemAt(path, detail)) })
	slices.SortStableFunc(problems, func(a, b Problem) int { return a.Line - b.Line })
	return s, problems, nil
}

// LoadPeerSecret returns the peers' shared secret, which it reads from PeerSecretFile if that is set.
func (s Settings) LoadPeerSecret() ([]byte, error) {
	if s.PeerSecretFile == "" {
		return []byte(s.PeerSecret), nil
	}
	b, err := os.ReadFile(s.PeerSecretFile)
	if err != nil {
		return nil, fmt.Errorf("read peer_secret_file: %w; set a file that this process may read", err)
	}
	return b, nil
}

// minSecretBytes is the minimum length of PeerSecret. A secret from a file is not checked.
const minSecretBytes = 16

// check reports the problems that concern values rather than syntax.
func (s Settings) check(report func(path, detail string)) {
	if s.Entry == "" {
		report("/entry", "is missing; set the name of the entry")
	}
	if s.DataCentre == "" {
		report("/data_centre", "is missing; set the data centre of the entry")
	}
	checkAddress(report, "/caller_address", s.CallerAddress)
	checkAddress(report, "/operator_address", s.OperatorAddress)
	checkAddress(report, "/peer_address", s.PeerAddress)
	if u, err := url.Parse(s.Platform); err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		report("/platform", "is not an http or https URL; set the platform's base URL")
	}
	switch {
	case s.PeerSecret == "" && s.PeerSecretFile == "":
		report("/peer_secret", "is missing; set peer_secret or peer_secret_file, the same for all entries")
	case s.PeerSecret != "" && s.PeerSecretFile != "":
		report("/peer_secret_file", "is set together with peer_secret; keep one of them")
	case s.PeerSecret != "" && len(s.PeerSecret) < minSecretBytes:
		report("/peer_secret", fmt.Sprintf("is short; use at least %d characters", minSecretBytes))
	}
	for i, p := range s.Peers {
		if p.Entry == "" || p.DataCentre == "" {
			report(fmt.Sprintf("/peers/%d", i), "names no entry or no data centre; set both")
		}
		checkAddress(report, fmt.Sprintf("/peers/%d/address", i), p.Address)
	}
	for path, d := range map[string]fleet.Duration{"/stop_delay": s.StopDelay, "/maintenance": s.Maintenance, "/checkpoint_every": s.CheckpointEvery} {
		if d < 0 {
			report(path, "is negative; write a positive duration")
		}
	}
	if s.TLS.Enabled() && (s.TLS.Certificate == "" || s.TLS.Key == "" || s.TLS.Authority == "") {
		report("/tls", "is incomplete; set certificate, key and authority, or omit tls")
	}
	if s.MaxBody < 0 {
		report("/max_body", "is negative; write a number of bytes")
	}
}

func checkAddress(report func(path, detail string), path, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		report(path, fmt.Sprintf("%q is not an IP address and port; write it as in 10.0.0.1:8080", address))
	}
}
