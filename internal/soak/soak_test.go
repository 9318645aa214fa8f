// SPDX-License-Identifier: MIT

//go:build !race

package soak

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"rackstep.dev/internal/standin/platformtest"
	"rackstep.dev/job"
)

// Flags of a soak by hand; without them the runs are short, as CI needs them.
var (
	seeds = flag.Int("seeds", 1, "how many seeds to run")
	first = flag.Uint64("first", 1, "the first seed")
	lasts = flag.Duration("lasts", 5*time.Second, "how long the faults of one seed last")
)

// regressions are seeds that failed once, each with its cause.
var regressions = []uint64{}

// Sizes of a soak: a few processes on one machine.
const (
	entries = 3
	workers = 5
	clients = 4
	// crashesEach is which of the jobs has a task that crashes what starts it.
	crashesEach = 64
	// settles is how long accepted jobs may take after the last fault.
	settles = 60 * time.Second
)

// crashes says whether the job has a task that crashes its workers.
func crashes(id string) bool {
	n, err := strconv.ParseUint(id, 16, 64)
	return err == nil && n%crashesEach == crashesEach/2
}

func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "rackstepd")
	build := exec.Command("go", "build", "-o", program, "rackstep.dev/cmd/rackstepd")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	list := append([]uint64{}, regressions...)
	for i := range uint64(*seeds) {
		list = append(list, *first+i)
	}
	for _, seed := range list {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { soak(quicktest.New(t), program, seed) })
	}
}

// site is one soak.
type site struct {
	c        *quicktest.C
	program  string
	dir      string
	platform *platformtest.Platform
	entries  [entries]*process
	random   *rand.Rand

	mu                sync.Mutex
	accepted, refused []string
	next              int
	// version is the newest configuration's; withdrawn are keys that it does not hold any more, and since when.
	version   int
	withdrawn map[string]time.Time
}

// process is one entry.
type process struct {
	ip, settings, log string
	proxy             *proxy
	cmd               *exec.Cmd
	ended             chan struct{}
}

// local moves an address of the stand-in to loopback.
func local(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return "127" + strings.TrimPrefix(host, "10") + ":18480"
}

func soak(c *quicktest.C, program string, seed uint64) {
	s := &site{c: c, program: program, dir: c.TempDir(), random: rand.New(rand.NewPCG(seed, 7))}
	ctx, cancel := context.WithCancel(context.Background())
	s.platform = &platformtest.Platform{
		Listen: func(a string) (net.Listener, error) { return net.Listen("tcp", a) }, At: local, Off: "spare", Lease: 6 * time.Second, Reborn: seed%2 == 1,
		Takes: func(task string) time.Duration {
			return 200*time.Millisecond + time.Duration(task[15]%16)*60*time.Millisecond
		},
		Crashes: func(task string) time.Duration {
			if id, rest, _ := strings.Cut(task, "."); !crashes(id) || rest != "0.0.0" {
				return 0
			}
			return 10 * time.Millisecond
		},
	}
	c.Assert(s.platform.Start(ctx), quicktest.IsNil)
	defer s.platform.Stop()
	defer cancel()
	for i := range workers {
		s.platform.AddWorker(fmt.Sprint("m", i), "pool-a", 4000, 8000)
	}
	s.publish()
	for i := range s.entries {
		s.prepare(i)
		s.run(i)
	}
	s.c.Cleanup(s.keepLogs)
	defer s.endAll()
	time.Sleep(2500 * time.Millisecond)
	stop := make(chan struct{})
	var load sync.WaitGroup
	for i := range clients {
		load.Go(func() { s.client(i, stop) })
	}
	load.Go(func() { s.stranger(stop) })
	for end := time.Now().Add(*lasts); time.Now().Before(end); {
		s.fault()
		time.Sleep(time.Duration(100+s.random.IntN(700)) * time.Millisecond)
		c.Assert(s.platform.Check(), quicktest.HasLen, 0, quicktest.Commentf("seed %d; logs in %s", seed, logsDir()))
	}
	s.heal()
	close(stop)
	load.Wait()
	s.settle(seed)
}

// publish publishes the next configuration: each brings a key of its own and takes the one of the version before away. Clients use keys that stay.
func (s *site) publish() {
	s.mu.Lock()
	if s.version > 0 {
		s.withdrawn[versionKey(s.version)] = time.Now()
	} else {
		s.withdrawn = make(map[string]time.Time)
	}
	s.version++
	version := s.version
	s.mu.Unlock()
	s.platform.PublishOrganisations(version, map[string]any{
		"Routes":   []map[string]any{{"Name": "q", "Host": "h.example", "PathPrefix": "/q/", "Service": "pool-a", "Attempts": 3, "Stretch": 2, "TargetLatencyMs": 1000}},
		"Services": []map[string]any{{"Name": "pool-a", "AdmissionCheck": true}, {"Name": "spare", "Headroom": true}},
	},
		platformtest.Organisation{Name: "even", Keys: []string{keys[0], versionKey(version)}, Weight: 100, Cap: map[string]int{"Cpu": 6000 + 300*(version%5)}},
		platformtest.Organisation{Name: "odd", Keys: []string{keys[1]}, Weight: 50},
	)
}

// keys are those that the organisations keep.
var keys = [...]string{"soak-key-of-the-even", "soak-key-of-the-odd-"}

// keyOf returns the key of the organisation that hands the job in.
func keyOf(id string) string {
	n, _ := strconv.ParseUint(id, 16, 64) // the soak's own
	return keys[n%2]
}

func versionKey(version int) string { return fmt.Sprintf("soak-key-of-version-%d", version) }

// counts is for how long a withdrawn key may count: the time to apply and the skew of the settings, and what a call takes.
const counts = 3*time.Second + 3*time.Second + 4*time.Second

// stranger calls with keys that were never held, and with such as were withdrawn long ago; none may be let in.
func (s *site) stranger(stop chan struct{}) {
	h := &http.Client{Timeout: 2 * time.Second}
	defer h.CloseIdleConnections()
	for try := 0; ; try++ {
		select {
		case <-stop:
			return
		case <-time.After(60 * time.Millisecond):
		}
		key := "never-held"
		s.mu.Lock()
		for k, at := range s.withdrawn {
			if time.Since(at) > counts && try%2 == 0 {
				key = k
			}
		}
		s.mu.Unlock()
		switch status, body := s.call(h, try%entries, key, http.MethodGet, "00000000000000ff", ""); status {
		case 0, http.StatusUnauthorized, http.StatusServiceUnavailable:
		default:
			s.c.Errorf("key %s: %d %s", key, status, body)
		}
	}
}

// prepare writes an entry's settings and opens its proxy.
func (s *site) prepare(i int) {
	p := &process{ip: fmt.Sprintf("127.1.0.%d", i+1)}
	p.settings, p.log = filepath.Join(s.dir, fmt.Sprint("settings-", i)), filepath.Join(s.dir, fmt.Sprint("log-", i))
	var err error
	p.proxy, err = newProxy(p.ip+":18470", local(platformtest.StoreAddress))
	s.c.Assert(err, quicktest.IsNil)
	text := fmt.Sprintf(`
NodeName: "entry-%d"
Ip: %q
Zone: "z"
ListenAddrs: {Front: "%s:18451", Readiness: "%s:18452"}
PortRange: [18453, 18460]
Seeds: ["127.1.0.1:1", "127.1.0.2:1", "127.1.0.3:1"]
Limits: {CpuShare: 0.4, Cores: 1, MemoryMb: 284}
Contracts: [%s]
Bounds: {ConfigApplyMs: 3000, MaxSkewMs: 3000, HoldMaxMs: 6000, StopMs: 400, GraceS: 4.0, status_s: 120, NoticeMs: 4500, HarmMs: 4000, MoveS: 1.5, UpkeepS: 2}
platform: {Address: "%s:18470", parts: 2}
CloudApi: {Address: %q}
`, i, p.ip, p.ip, p.ip, platformtest.Keyed, p.ip, local(platformtest.MachinesAddress))
	s.c.Assert(os.WriteFile(p.settings, []byte(text), 0o600), quicktest.IsNil)
	s.entries[i] = p
}

// run starts an entry's process.
func (s *site) run(i int) {
	p := s.entries[i]
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	s.c.Assert(err, quicktest.IsNil)
	p.cmd = exec.Command(s.program, "front")
	p.cmd.Env = append(os.Environ(), "RACKSTEP_NODE_FILE="+p.settings)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	s.c.Assert(p.cmd.Start(), quicktest.IsNil)
	p.ended = make(chan struct{})
	go func() {
		_ = p.cmd.Wait() // killed processes end with an error
		_ = out.Close()
		close(p.ended)
	}()
}

// end ends an entry's process with the signal, and kills it if that takes too long.
func (s *site) end(i int, signal syscall.Signal) {
	p := s.entries[i]
	_ = p.cmd.Process.Signal(syscall.SIGCONT) // it may be paused, or have ended
	_ = p.cmd.Process.Signal(signal)
	select {
	case <-p.ended:
	case <-time.After(6 * time.Second):
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
}

func (s *site) endAll() {
	for i, p := range s.entries {
		s.end(i, syscall.SIGKILL)
		p.proxy.close()
	}
}

// fault does one harm, drawn by the seed.
func (s *site) fault() {
	i := s.random.IntN(entries)
	p := s.entries[i]
	switch s.random.IntN(11) {
	case 0:
		s.end(i, syscall.SIGKILL)
		s.run(i)
	case 1:
		s.end(i, syscall.SIGTERM)
		s.run(i)
	case 2:
		_ = p.cmd.Process.Signal(syscall.SIGSTOP)
		pause := time.Duration(300+s.random.IntN(2500)) * time.Millisecond
		time.AfterFunc(pause, func() { _ = p.cmd.Process.Signal(syscall.SIGCONT) })
	case 3:
		p.proxy.set(time.Duration(s.random.IntN(300))*time.Millisecond, false, false)
	case 4:
		p.proxy.set(0, s.random.IntN(2) == 0, s.random.IntN(2) == 0)
	case 5:
		p.proxy.reset()
	case 6:
		calls := platformtest.Calls()
		call, share := calls[s.random.IntN(len(calls))], s.random.IntN(60)
		harm := [...]platformtest.Fault{platformtest.Refuse, platformtest.Silent, platformtest.Lost, platformtest.Late}[s.random.IntN(4)]
		draw := rand.New(rand.NewPCG(s.random.Uint64(), 1))
		s.platform.SetFaults(func(_, path string) platformtest.Fault {
			if path == call && draw.IntN(100) < share {
				return harm
			}
			return platformtest.None
		})
	case 7:
		machine := fmt.Sprint("m", s.random.IntN(workers))
		s.platform.Crash(machine)
		s.platform.Revive(machine)
	case 8:
		s.platform.Store.Forget()
	case 9:
		s.publish()
	default:
		s.heal()
	}
}

func (s *site) heal() {
	s.platform.SetFaults(nil)
	for _, p := range s.entries {
		p.proxy.set(0, false, false)
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
	}
}

// client hands in jobs over connections that it keeps, until it is stopped.
func (s *site) client(number int, stop chan struct{}) {
	h := &http.Client{Timeout: 4 * time.Second}
	defer h.CloseIdleConnections()
	for try := 0; ; try++ {
		select {
		case <-stop:
			return
		case <-time.After(40 * time.Millisecond):
		}
		s.mu.Lock()
		s.next++
		id := fmt.Sprintf("%016x", s.next)
		s.mu.Unlock()
		status, _ := s.call(h, (number+try)%entries, keyOf(id), http.MethodPost, id, `{"Spec":"x","Steps":[{"Count":2,"Cpu":300,"MemMb":50,"EstimateMs":400},{"Count":1,"Cpu":300,"MemMb":50,"DependsOn":[0]}]}`)
		s.mu.Lock()
		switch status {
		case http.StatusOK:
			s.accepted = append(s.accepted, id)
		case http.StatusServiceUnavailable:
			s.refused = append(s.refused, id)
		}
		s.mu.Unlock()
	}
}

func (s *site) call(h *http.Client, entry int, key, method, id, body string) (int, string) {
	r, err := http.NewRequest(method, "http://"+s.entries[entry].ip+":18451/q/"+id, bytes.NewBufferString(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = "h.example"
	r.Header.Set("Authorization", "Bearer "+key)
	resp, err := h.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body) // a cut answer is compared as it is
	return resp.StatusCode, string(b)
}

// settle waits for every accepted job, and asks for every refused one.
func (s *site) settle(seed uint64) {
	h := &http.Client{Timeout: 4 * time.Second}
	defer h.CloseIdleConnections()
	end := time.Now().Add(settles)
	for n, id := range s.accepted {
		want := `"succeeded"`
		if crashes(id) {
			want = `"failed"`
		}
		ask := func() (int, string) { return s.call(h, n%entries, keyOf(id), http.MethodGet, id, "") }
		for status, last := ask(); !strings.Contains(last, want); status, last = ask() {
			if strings.Contains(last, `"failed"`) && s.platform.LivesEndedUnder(id) >= job.LossLimitConclusive {
				s.c.Logf("seed %d: job %s was given up, since workers have crashed under it beside a culprit", seed, id)
				break
			}
			if time.Now().After(end) {
				s.c.Fatalf("seed %d: accepted job %s: %d %s instead of %s; logs in %s", seed, id, status, last, want, logsDir())
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	for n, id := range s.refused {
		status, last := s.call(h, n%entries, keyOf(id), http.MethodGet, id, "")
		s.c.Assert(status, quicktest.Equals, http.StatusGone, quicktest.Commentf("seed %d: refused job %s: %s; logs in %s", seed, id, last, logsDir()))
	}
	s.c.Assert(s.platform.Check(), quicktest.HasLen, 0, quicktest.Commentf("seed %d; logs in %s", seed, logsDir()))
	s.c.Logf("seed %d: %d jobs accepted, %d refused, %d runs", seed, len(s.accepted), len(s.refused), len(s.platform.Runs()))
}

// logsDir is where the processes' logs stay after a failed test.
func logsDir() string { return filepath.Join(os.TempDir(), "rackstep-soak") }

// keepLogs copies the logs there once the test has failed.
func (s *site) keepLogs() {
	if !s.c.Failed() {
		return
	}
	_ = os.MkdirAll(logsDir(), 0o700) // without the folder the copies fail, and say so
	for _, p := range s.entries {
		b, err := os.ReadFile(p.log)
		if err == nil {
			err = os.WriteFile(filepath.Join(logsDir(), filepath.Base(p.log)), b, 0o600)
		}
		s.c.Logf("log %s kept: %v", p.log, err)
	}
}
