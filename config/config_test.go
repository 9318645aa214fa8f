// SPDX-License-Identifier: MIT

package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"rackstep.dev/fleet"
)

const faulty = `// a comment
{
  "entry": "a",
  "data_centre": 7,
  "caller_address": "localhost:80",
  "operator_address": "10.0.0.1:81",
  "peer_address": "10.0.0.1:82",
  "platform": "ftp://x",
  "peer_secret": "short",
  "colour": "red",
  "stop_delay": "3 parsecs",
  "peers": [{"entry": "b", "address": "10.0.0.2:82", "port": 1}],
}
`

func load(c *quicktest.C, text string) (Settings, []Problem) {
	name := filepath.Join(c.TempDir(), "entry.jsonc")
	c.Assert(os.WriteFile(name, []byte(text), 0o600), quicktest.IsNil)
	s, problems, err := Load(name)
	c.Assert(err, quicktest.IsNil)
	return s, problems
}

// TestEveryProblemIsToldAtOnceWithItsLine decodes a file with one error in most lines: decoding and validation must not stop at the first.
func TestEveryProblemIsToldAtOnceWithItsLine(t *testing.T) {
	c := quicktest.New(t)
	_, problems := load(c, faulty)
	var texts []string
	for _, p := range problems {
		_, rest, _ := strings.Cut(p.String(), "entry.jsonc:")
		texts = append(texts, rest)
	}
	all := strings.Join(texts, "\n")
	for _, want := range [...]string{
		"4: /data_centre: is not a string", "5: /caller_address: \"localhost:80\" is not an IP address", "8: /platform: is not an http",
		"9: /peer_secret: is short", "10: /colour: is not a known key", "11: /stop_delay:", "12: /peers/0/port: is not a known key",
		"12: /peers/0: names no entry or no data centre",
	} {
		c.Check(strings.Contains(all, want), quicktest.IsTrue, quicktest.Commentf("%q in\n%s", want, all))
	}
}

func TestTheExamplesAreSound(t *testing.T) {
	c := quicktest.New(t)
	files, err := filepath.Glob("../examples/entry-*.jsonc")
	c.Assert(err, quicktest.IsNil)
	c.Assert(files, quicktest.HasLen, 4)
	for _, f := range files {
		s, problems, err := Load(f)
		c.Assert(err, quicktest.IsNil)
		c.Assert(problems, quicktest.HasLen, 0)
		c.Assert(s.Peers, quicktest.HasLen, 3)
	}
	data, err := os.ReadFile("../examples/configuration.jsonc")
	c.Assert(err, quicktest.IsNil)
	var conf fleet.Configuration
	c.Assert(Decode("configuration", data, &conf), quicktest.HasLen, 0)
	c.Assert(conf.Check(), quicktest.HasLen, 0)
}

// TestAConfigurationsProblemsNameTheirLines checks that problems which a later check finds by path get the line of the value, or that of
// the enclosing object if the value is missing.
func TestAConfigurationsProblemsNameTheirLines(t *testing.T) {
	c := quicktest.New(t)
	f, problems := Parse("x", []byte("{\"pools\": [{\"name\": \"p\"}],\n\"services\": [\n{\"name\": \"s\", \"pool\": \"q\"}]}"))
	c.Assert(problems, quicktest.HasLen, 0)
	var conf fleet.Configuration
	c.Assert(f.Decode(&conf), quicktest.HasLen, 0)
	lines := make(map[string]int)
	for _, p := range conf.Check() {
		lines[p.Path] = f.ProblemAt(p.Path, p.Detail).Line
	}
	c.Assert(lines["/services/0/pool"], quicktest.Equals, 3)
	c.Assert(lines["/services/0/data_centres"], quicktest.Equals, 3)
	c.Assert(lines["/operators"], quicktest.Equals, 1)
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(faulty))
	f.Add([]byte(`{"entry": [1, {"a": null}], "peers": {}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var s Settings
		for _, p := range Decode("f", data, &s) {
			if p.Line < 1 || p.Detail == "" {
				t.Fatalf("problem without line or detail: %+v", p)
			}
		}
	})
}
