// SPDX-License-Identifier: MIT

//go:build review

/*
Package rig runs the project's entry as separate processes on loopback addresses, beside the project's stand-in of the users'
platform, and writes down what was sent, answered and run. The scripts of this review share it.
*/
package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"rackstep.dev/internal/standin/platformtest"
)

// Exit codes of a script.
const (
	Held    = 0
	Broken  = 1
	CantRun = 2
)

// Limits of a site.
const (
	entryCount = 3
	// lastWorker is the highest number of a runner whose address is checked to be free.
	lastWorker = 40
	host       = "parts.example"
)

// Bounds are the figures of the Muscat sheet that a settings file holds, but for MoveS, which is that of the stand-in (the sheet has 1.5).
const bounds = `{ContactMs: 3000, AckMs: 4000, DrainMs: 2000, GraceS: 6, ConfigApplyMs: 2000, MaxSkewMs: 5000, RecoveryS: 12, HoldMaxMs: 10000, StopMs: 400, GangTimeoutMs: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, FarFactor: 2, CheckpointS: 0.5, RestoreMs: 250, NoticeMs: 4500, MoveS: 2, UpkeepS: 2, EnforceFencing: true, LeaseMs: 3000, PaceMs: 100, HarmMs: 4000}`

// Site is a small deployment: three entries as processes and a stand-in of the platform.
type Site struct {
	Platform *platformtest.Platform
	// Trouble reports whether the disruption is to happen.
	Trouble bool
	// CPU is how much a run of a task takes and Capacity what a runner has, in thousandths of a core.
	CPU      func(task string) int
	Capacity int

	program, dir string
	started      time.Time
	cancel       context.CancelFunc
	client       *http.Client
	base         int // second octet of the entries' addresses
	ports        [4]int
	entries      []*exec.Cmd
	mu           sync.Mutex
	record       *os.File
}

// Start starts the stand-in and the entries. The program's path is the first argument, that of the record the second.
func Start(p *platformtest.Platform) *Site { return start(p, false) }

// StartMoving is like Start, for a case in which machines move and none has upkeep.
func StartMoving(p *platformtest.Platform) *Site { return start(p, true) }

func start(p *platformtest.Platform, moves bool) *Site {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM ENTRY RECORD")
		os.Exit(CantRun)
	}
	s := &Site{Platform: p, Trouble: os.Getenv("TROUBLE") != "0", program: os.Args[1], started: time.Now(), base: 2 + rand.IntN(90)}
	var err error
	if s.record, err = os.Create(os.Args[2]); err != nil {
		s.Fail("record: %v", err)
	}
	s.Note("trouble=%t", s.Trouble)
	if s.dir, err = os.MkdirTemp("", "rackstep-review-"); err != nil {
		s.Fail("temporary folder: %v", err)
	}
	s.pickPorts()
	s.client = &http.Client{Timeout: 4 * time.Second}
	p.Listen = func(a string) (net.Listener, error) {
		ln, err := net.Listen("tcp", a)
		return resetter{ln, moves}, err
	}
	p.MapAddress = s.platformAddress
	var ctx context.Context
	ctx, s.cancel = context.WithCancel(context.Background())
	if err := p.Start(ctx); err != nil {
		s.Fail("stand-in: %v", err)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		s.Fail("told to stop")
	}()
	time.AfterFunc(112*time.Second, func() { s.Fail("the script took too long") })
	return s
}

// pickPorts finds ports that are free at all addresses.
func (s *Site) pickPorts() {
	var all []string
	for i := range entryCount {
		all = append(all, s.ip(i))
	}
	all = append(all, s.platformHost("10.200.0.1"), s.platformHost("10.200.0.2"))
	for i := range lastWorker {
		all = append(all, s.platformHost(fmt.Sprintf("10.100.0.%d", i+1)))
	}
	for i := range s.ports {
		for try := 0; s.ports[i] == 0; try++ {
			if try == 50 {
				s.Fail("no free port")
			}
			port := 20000 + rand.IntN(10000)
			if !slices.Contains(s.ports[:], port) && free(all, port) {
				s.ports[i] = port
			}
		}
	}
}

func free(hosts []string, port int) bool {
	for _, h := range hosts {
		ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", h, port))
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}

func (s *Site) ip(entry int) string { return fmt.Sprintf("127.%d.9.%d", s.base, entry+1) }

// platformHost maps an address of the stand-in to a loopback address.
func (s *Site) platformHost(address string) string {
	parts := strings.Split(address, ".")
	return fmt.Sprintf("127.%d.%s.%s", s.base+map[string]int{"200": 100, "100": 101}[parts[1]], parts[2], parts[3])
}

func (s *Site) platformAddress(address string) string {
	h, _, _ := net.SplitHostPort(address)
	return fmt.Sprintf("%s:%d", s.platformHost(h), s.ports[0])
}

// StartEntries writes the settings and starts the entries with the run line of the deploy file.
func (s *Site) StartEntries() {
	var seeds []string
	for i := range entryCount {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", s.ip(i), s.ports[3])))
	}
	for i := range entryCount {
		text := fmt.Sprintf(`NodeName: "front-%d"
Role: "entry"
NodeClass: "front"
Serves: ["front"]
Ip: %q
Zone: "z"
Region: "r"
Zones: {z: "r"}
ListenAddrs: {Front: "%s:%d", Readiness: "%s:%d"}
PortRange: [%d, %d]
Seeds: [%s]
Bootstrap: true
Limits: {CpuShare: 0.4, Cores: 1, MemoryMb: 284, MaxFds: 4100, LinkMbps: 1000.0, DiskMb: 0}
Discovery: "platform"
HeartbeatMs: 1500
Contracts: ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"]
Bounds: %s
Orders: "invoke"
platform: {Address: %q, form: "log", WritesPerS: 800, ReadsPerS: 2000, parts: 12, AppendMs: 2.0, RecordBytes: 262144, CallBytes: 2097152, keep_s: 300, PartMb: 200, TtlMinMs: 1000}
CloudApi: {Address: %q, RatePerS: 64.0, DutyPerS: 64.0}
`, i, s.ip(i), s.ip(i), s.ports[1], s.ip(i), s.ports[2], s.ports[3], s.ports[3], strings.Join(seeds, ", "), bounds, s.platformAddress(platformtest.StoreAddress), s.platformAddress(platformtest.MachinesAddress))
		path := filepath.Join(s.dir, fmt.Sprintf("settings-%d.yaml", i))
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			s.Fail("settings: %v", err)
		}
		log, err := os.Create(filepath.Join(s.dir, fmt.Sprintf("log-%d", i)))
		if err != nil {
			s.Fail("log: %v", err)
		}
		c := exec.Command(s.program, "front")
		c.Env = append(os.Environ(), "RACKSTEP_NODE_FILE="+path)
		c.Stdout, c.Stderr = log, log
		c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := c.Start(); err != nil {
			s.Fail("entry: %v", err)
		}
		s.entries = append(s.entries, c)
		s.Note("started entry %d", i)
	}
	s.waitReady()
}

// waitReady waits until every entry calls itself ready and one of them answers for the queues, so leads.
func (s *Site) waitReady() {
	for deadline := time.Now().Add(25 * time.Second); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		ready := 0
		for i := range entryCount {
			r, err := s.client.Get(fmt.Sprintf("http://%s:%d/ready", s.ip(i), s.ports[2]))
			if err == nil {
				_ = r.Body.Close()
			}
			if err == nil && r.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == entryCount {
			s.Note("all entries are ready")
			time.Sleep(2 * time.Second)
			return
		}
	}
	s.Fail("the entries are not ready")
}

// Note writes a line to the record.
func (s *Site) Note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.record != nil {
		fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
	}
}

// Call makes one call of a requester to an entry and returns the status, 0 without an answer, and the body.
func (s *Site) Call(entry int, method, path string, body any) (int, string) {
	var payload io.Reader
	text := ""
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			s.Fail("encode: %v", err)
		}
		payload, text = bytes.NewReader(b), string(b)
	}
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", s.ip(entry%entryCount), s.ports[1], path), payload)
	if err != nil {
		s.Fail("request: %v", err)
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", "3000")
	if len(text) > 300 {
		text = fmt.Sprintf("%s... (%d bytes)", text[:300], len(text))
	}
	a, err := s.client.Do(r)
	if err != nil {
		s.Note("sent to entry %d: %s %s %s; no answer: %v", entry%entryCount, method, path, text, err)
		return 0, ""
	}
	defer a.Body.Close()
	b, _ := io.ReadAll(a.Body)
	s.Note("sent to entry %d: %s %s %s; answered %d %s", entry%entryCount, method, path, text, a.StatusCode, bytes.TrimSpace(b))
	return a.StatusCode, string(b)
}

// Submit hands a job in until it is accepted, at another entry each time.
func (s *Site) Submit(path string, job any) {
	for try := range 10 {
		if status, _ := s.Call(try, http.MethodPost, path, job); status/100 == 2 {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	s.Fail("%s was not accepted", path)
}

// State asks for the state of a job, "" if no entry answers with one and "410" if there is no such job.
func (s *Site) State(path string) string {
	for try := range 6 {
		status, body := s.Call(try, http.MethodGet, path, nil)
		if status == http.StatusGone {
			return "410"
		}
		var a struct{ State string }
		if status == http.StatusOK && json.Unmarshal([]byte(body), &a) == nil {
			return a.State
		}
		time.Sleep(200 * time.Millisecond)
	}
	return ""
}

// Runs returns the runs of a job's tasks in the order of their starts.
func (s *Site) Runs(id string) []platformtest.Run {
	var out []platformtest.Run
	for _, x := range s.Platform.Runs() {
		if strings.HasPrefix(x.Task, id+".") {
			out = append(out, x)
		}
	}
	return out
}

// Logged returns the lines of the entries' logs that contain all the texts.
func (s *Site) Logged(texts ...string) []string {
	var out []string
	for i := range s.entries {
		b, _ := os.ReadFile(filepath.Join(s.dir, fmt.Sprintf("log-%d", i)))
		for _, line := range strings.Split(string(b), "\n") {
			if !slices.ContainsFunc(texts, func(t string) bool { return !strings.Contains(line, t) }) {
				out = append(out, line)
			}
		}
	}
	return out
}

// Fail ends the script as one that couldn't run.
func (s *Site) Fail(format string, args ...any) {
	s.Note("can't run: "+format, args...)
	fmt.Fprintf(os.Stderr, "can't run: "+format+"\n", args...)
	s.End(CantRun)
}

// End writes down the runs, ends all processes and exits.
func (s *Site) End(code int) {
	if s.Platform != nil {
		for _, x := range s.Platform.Runs() {
			end, outcome := "runs on", ""
			if !x.End.IsZero() {
				end, outcome = fmt.Sprintf("%.3f", x.End.Sub(s.started).Seconds()), x.Outcome
			}
			s.Note("run: task=%s run=%d runner=%s from %.3f to %s %s acknowledged=%t", x.Task, x.Number, x.WorkerID, x.Start.Sub(s.started).Seconds(), end, outcome, x.Acked)
		}
	}
	if peak := s.peak(); s.CPU != nil && code != CantRun {
		s.Note("at most %d of a runner's %d thousandths of a core were taken at once", peak, s.Capacity)
		if peak > s.Capacity {
			s.Note("can't run: the stand-in held more runs than a runner has room for")
			code = CantRun
		}
	}
	s.Note("exit code %d", code)
	for _, c := range s.entries {
		_ = c.Process.Kill()
		_ = c.Wait()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" && s.dir != "" {
		_ = os.Rename(s.dir, keep)
	} else if s.dir != "" {
		_ = os.RemoveAll(s.dir)
	}
	os.Exit(code)
}

// peak returns the most that the runs of one runner took at once.
func (s *Site) peak() int {
	most := 0
	if s.Platform == nil || s.CPU == nil {
		return 0
	}
	runs := s.Platform.Runs()
	for _, x := range runs {
		sum := 0
		for _, y := range runs {
			if y.WorkerID == x.WorkerID && !y.Start.After(x.Start) && (y.End.IsZero() || y.End.After(x.Start)) {
				sum += s.CPU(y.Task)
			}
		}
		most = max(most, sum)
	}
	return most
}

// resetter makes a runner that has ended reset its connections, as the platform's do: the stand-in answers 421 for it.
//
// The stand-in lists a machine on its way as one in upkeep. If it is known that none has upkeep, it is listed as moving.
type resetter struct {
	net.Listener
	moves bool
}

func (l resetter) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok {
		return resetConn{tcp, l.moves}, err
	}
	return c, err
}

type resetConn struct {
	*net.TCPConn
	moves bool
}

// Write implements net.Conn.
func (c resetConn) Write(b []byte) (int, error) {
	if bytes.HasPrefix(b, []byte("HTTP/1.1 421")) {
		_ = c.SetLinger(0)
		_ = c.Close()
		return 0, net.ErrClosed
	}
	if c.moves {
		b = bytes.ReplaceAll(b, []byte(`"State":"upkeep"`), []byte(`"State":"moving"`))
	}
	return c.TCPConn.Write(b)
}

// Address returns the loopback address at which the stand-in serves one of the platform's addresses.
func (s *Site) Address(platform string) string { return s.platformAddress(platform) }
