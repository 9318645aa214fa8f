// SPDX-License-Identifier: MIT

//go:build review

// Package kit starts the entries of a small deployment as processes on loopback addresses, beside the project's stand-in of the users'
// platform, and keeps a record of what was sent, answered and run.
package kit

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"

	"rackstep.dev/internal/standin/platformtest"
	"rackstep.dev/lead"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Service is the service of the deployment, and host that of its queue.
const (
	Service = "lookup-svc"
	host    = "lookup.example"
)

// endsAtOnce is how many ends a runner lists at once (PROTOCOL, "Running work items").
const endsAtOnce = 500

// lease is HoldMaxMs of the settings.
const lease = 10 * time.Second

// Options describes a deployment of one service. There is no other pool, so that no machine is moved: the project's stand-in of the machine
// interface takes longer than MoveS for a move and answers for a machine on its way as if it had arrived.
type Options struct {
	Entries int
	// StatusS is status_s of the settings.
	StatusS float64
	// Runners is the number of runners of Service, of 16 cores and 32 GB each.
	Runners int
	// TaskDuration is how long a work item runs; 0 for one that lasts.
	TaskDuration func(task string) time.Duration
}

// Cluster is a running deployment.
type Cluster struct {
	Platform *platformtest.Platform
	Entries  []*Entry
	// Trouble is false when the disruption is to be left out.
	Trouble bool

	dir       string
	program   string
	record    *os.File
	mu        sync.Mutex
	begun     time.Time
	addresses map[string]string
	cancel    context.CancelFunc
}

// Entry is one process of the system, with its link to the store.
type Entry struct {
	Name, IP string
	Port     int
	Store    *Link
	settings string
	cmd      *exec.Cmd
	exited   chan struct{}
}

// Main runs a case and exits with its result. It ends every process that was started, also when it is told to stop or takes too long.
func Main(limit time.Duration, o Options, run func(c *Cluster) int) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP) // one that comes during the start is read after it
	c, err := start(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		if c != nil {
			c.stop()
		}
		os.Exit(NotRun)
	}
	result := make(chan int, 1)
	go func() {
		defer func() {
			if x := recover(); x != nil {
				c.Note("the case could not run: %v", x)
				result <- NotRun
			}
		}()
		result <- run(c)
	}()
	code := NotRun
	select {
	case code = <-result:
	case s := <-signals:
		c.Note("told to stop: %v", s)
	case <-time.After(limit):
		c.Note("took longer than %v", limit)
	}
	c.noteRuns()
	c.stop()
	c.Note("result %d (0 the rule held, 1 it was broken, 2 the case could not run)", code)
	os.Exit(code)
}

var zones = []string{"muscat-a", "muscat-b", "sohar-a", "sohar-b"}

func start(o Options) (*Cluster, error) {
	c := &Cluster{Trouble: os.Getenv("TROUBLE") != "0", program: os.Getenv("RACKSTEPD"), begun: time.Now(), addresses: make(map[string]string)}
	var err error
	if c.record, err = os.Create(os.Getenv("RECORD")); err != nil {
		return nil, err
	}
	if c.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.Platform = &platformtest.Platform{
		Listen: c.listen, MapAddress: c.mapAddress, Lease: lease, TaskDuration: o.TaskDuration,
		ZoneOf: func(machine string) string { return zones[int(machine[len(machine)-1])%len(zones)] },
	}
	if err := c.Platform.Start(ctx); err != nil {
		return c, err
	}
	var routes, services []map[string]any
	for i := range o.Runners {
		c.Platform.AddWorker(fmt.Sprintf("m-%d", i), Service, 16000, 32768)
	}
	services = append(services, map[string]any{"Name": Service, "AdmissionCheck": true})
	routes = append(routes, map[string]any{"Name": "q", "Host": host, "PathPrefix": "/jobs/", "Service": Service, "Priority": 0, "Attempts": 3, "Stretch": 1.6, "TargetLatencyMs": 600})
	c.Platform.Publish(map[string]any{"Version": 1, "Routes": routes, "Services": services, "Limits": map[string]any{"MaxBodyBytes": 262144}})
	if err := c.startEntries(o); err != nil {
		return c, err
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if c.ready() {
			return c, nil
		}
		if time.Now().After(end) {
			return c, fmt.Errorf("the entries were not ready in time")
		}
	}
}

// mapAddress replaces an address of the platform by one with a free port on loopback.
func (c *Cluster) mapAddress(address string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.addresses[address] == "" {
		c.addresses[address] = freeAddress()
	}
	return c.addresses[address]
}

func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// listen opens an address of the platform. The calls to runners pass through a filter that leaves at most endsAtOnce ends in an answer, the
// oldest first: the project's stand-in of a runner lists all.
func (c *Cluster) listen(address string) (net.Listener, error) {
	if address == c.mapAddress(platformtest.StoreAddress) || address == c.mapAddress(platformtest.MachinesAddress) {
		return net.Listen("tcp", address)
	}
	outer, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	target, _ := url.Parse("http://" + inner.Addr().String())
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.Transport = &http.Transport{MaxIdleConnsPerHost: 16}
	proxy.ModifyResponse = limitEnds
	proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	proxy.ErrorLog = nil
	s := &http.Server{Handler: proxy, ErrorLog: discardLog}
	go func() { _ = s.Serve(outer) }()
	return inner, nil
}

// limitEnds leaves the oldest endsAtOnce ends in a runner's list.
func limitEnds(r *http.Response) error {
	if r.Request.URL.Path != platformtest.CallHold || r.StatusCode != http.StatusOK {
		return nil
	}
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	_ = r.Body.Close()
	var list map[string]json.RawMessage
	var ends []json.RawMessage
	if json.Unmarshal(b, &list) == nil && json.Unmarshal(list["Ended"], &ends) == nil && len(ends) > endsAtOnce {
		list["Ended"], _ = json.Marshal(ends[:endsAtOnce])
		b, _ = json.Marshal(list)
	}
	r.Body = io.NopCloser(bytes.NewReader(b))
	r.ContentLength = int64(len(b))
	r.Header.Set("Content-Length", fmt.Sprint(len(b)))
	return nil
}

// startEntries writes the settings of the entries, as of the muscat site, and starts them.
func (c *Cluster) startEntries(o Options) error {
	subnet := os.Getpid()%200 + 20
	var seeds []string
	for i := range o.Entries {
		e := &Entry{Name: fmt.Sprintf("front-%d", i+1), IP: fmt.Sprintf("127.%d.%d.%d", 40+os.Getpid()/200%150, subnet, i+1), Port: 8624}
		c.Entries = append(c.Entries, e)
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", e.IP+":8623"))
		}
	}
	for i, e := range c.Entries {
		var err error
		if e.Store, err = newLink(c.mapAddress(platformtest.StoreAddress)); err != nil {
			return err
		}
		e.settings = filepath.Join(c.dir, e.Name+".yaml")
		text := fmt.Sprintf(`NodeName: %q
Role: "entry"
NodeClass: "front"
Serves: ["front"]
Ip: %q
Zone: %q
Region: "om-north"
ListenAddrs: {Front: "%s:8624", Readiness: "%s:8622", Control: "%s:8623"}
PortRange: [7060, 7075]
Seeds: [%s]
Bootstrap: true
Limits: {CpuShare: 0.4, Cores: 1, MemoryMb: 284, MaxFds: 4100, LinkMbps: 1000.0, DiskMb: 0}
DataDir: null
HeartbeatMs: 1500
Contracts: ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"]
Bounds: {SeedLagS: 3, AddrReuseS: 2, ContactMs: 3000, AckMs: 4000, CatchUpS: 4, DrainMs: 2000, GraceS: 6, LossSlackMs: 200, ConfigApplyMs: 2000, RollbackSlackMs: 250, MaxSkewMs: 5000, RecoveryS: 12, HoldMaxMs: 10000, StopMs: 400, GangTimeoutMs: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: %g, FarFactor: 2, CheckpointS: 0.5, RestoreMs: 250, NoticeMs: 4500, MoveS: 1.5, UpkeepS: 2, EnforceFencing: true, LeaseMs: 3000, ThawSlackMs: 300, PaceMs: 100, HarmMs: 4000}
Orders: "invoke"
platform: {Address: %q, form: "log", WritesPerS: 800, ReadsPerS: 2000, parts: 12, AppendMs: 2.0, PartMbPerS: 20.0, ReadMbPerS: 80.0, RecordBytes: 262144, CallBytes: 2097152, keep_s: 300, PartMb: 200, TtlMinMs: 1000}
CloudApi: {Address: %q, RatePerS: 64.0, Duties: [], DutyPerS: 64.0}
`, e.Name, e.IP, zones[i%len(zones)], e.IP, e.IP, e.IP, strings.Join(seeds, ", "), o.StatusS, e.Store.Address(), c.mapAddress(platformtest.MachinesAddress))
		if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := c.Start(e); err != nil {
			return err
		}
	}
	return nil
}

// Start starts the process of an entry.
func (c *Cluster) Start(e *Entry) error {
	out, err := os.OpenFile(filepath.Join(c.dir, e.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	e.cmd = exec.Command(c.program, "front")
	e.cmd.Env = []string{"RACKSTEP_NODE_FILE=" + e.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	e.cmd.Stdout, e.cmd.Stderr = out, out
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // also when this process is killed
	if err := e.cmd.Start(); err != nil {
		return err
	}
	exited, cmd := make(chan struct{}), e.cmd
	e.exited = exited
	go func() {
		_ = cmd.Wait() // a killed process returns an error
		_ = out.Close()
		close(exited)
	}()
	c.Note("%s started, pid %d", e.Name, e.cmd.Process.Pid)
	return nil
}

// Signal sends a signal to the process of an entry.
func (c *Cluster) Signal(e *Entry, s syscall.Signal) {
	c.Note("signal to %s: %v", e.Name, s)
	_ = e.cmd.Process.Signal(s) // it may have ended
}

// Wait waits until the process of an entry has ended.
func (c *Cluster) Wait(e *Entry) {
	<-e.exited
	c.Note("%s has ended", e.Name)
}

func (c *Cluster) ready() bool {
	if c.Leader() == nil {
		return false
	}
	for _, e := range c.Entries {
		r, err := (&http.Client{Timeout: time.Second}).Get("http://" + e.IP + ":8622/ready")
		if err != nil {
			return false
		}
		_ = r.Body.Close()
		if r.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// Leader returns the entry that the newest leader's record in the store names, or nil.
func (c *Cluster) Leader() *Entry {
	var r lead.Record
	b := c.Platform.Store.Newest("keyed.rackstep-lead", "leader")
	if len(b) == 0 || cbor.Unmarshal(b, &r) != nil || r.Released {
		return nil
	}
	for _, e := range c.Entries {
		if e.Name == r.Entry {
			return e
		}
	}
	return nil
}

// Others returns the entries but one.
func (c *Cluster) Others(x *Entry) []*Entry {
	var out []*Entry
	for _, e := range c.Entries {
		if e != x {
			out = append(out, e)
		}
	}
	return out
}

// Call makes a client's call to an entry and returns the status (0 without an answer) and the body.
func (c *Cluster) Call(e *Entry, method, id, body string) (int, string) {
	r, err := http.NewRequest(method, "http://"+e.IP+":8624/jobs/"+id, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", "3000")
	answer, err := (&http.Client{Timeout: 3 * time.Second}).Do(r)
	if err != nil {
		c.Note("%s %s at %s: no answer (%v)", method, id, e.Name, err)
		return 0, ""
	}
	defer answer.Body.Close()
	b, _ := io.ReadAll(answer.Body)
	c.Note("%s %s at %s: %d %s", method, id, e.Name, answer.StatusCode, b)
	return answer.StatusCode, string(b)
}

// Note writes a line to the record.
func (c *Cluster) Note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%8.3f s  %s\n", time.Since(c.begun).Seconds(), fmt.Sprintf(format, args...))
}

// noteRuns writes the runners' history to the record.
func (c *Cluster) noteRuns() {
	c.Note("what the runners ran:")
	for _, x := range c.Platform.Runs() {
		end, acked := "runs on", "not taken note of"
		if !x.End.IsZero() {
			end = fmt.Sprintf("ended %s at %.3f s", x.Outcome, x.End.Sub(c.begun).Seconds())
		}
		if x.Acked {
			acked = fmt.Sprintf("taken note of at %.3f s", x.AckedAt.Sub(c.begun).Seconds())
		}
		c.Note("  %s run %d on %s: started at %.3f s, %s, %s", x.Task, x.Number, x.WorkerID, x.Start.Sub(c.begun).Seconds(), end, acked)
	}
}

// AfterDone returns the starts of work items after a run of theirs that had ended done and whose end was taken note of, as pairs of the two
// runs. An end is left out where the runner's lease may have lapsed before the end was taken note of: where that took half a lease or longer, or
// a run lapsed on that runner in between. A leader renews a lease to its full length every 2.7 s or sooner (a hold's wait and time-out).
func (c *Cluster) AfterDone() [][2]platformtest.Run {
	byTask := make(map[string][]platformtest.Run)
	runs := c.Platform.Runs()
	for _, x := range runs {
		byTask[x.Task] = append(byTask[x.Task], x)
	}
	lapsed := func(a platformtest.Run) bool {
		for _, x := range runs {
			if x.WorkerID == a.WorkerID && x.Outcome == "lapsed" && !x.End.Before(a.End) && !x.End.After(a.AckedAt) {
				return true
			}
		}
		return false
	}
	var pairs [][2]platformtest.Run
	for _, all := range byTask {
		for i, a := range all {
			if a.Outcome != "done" || !a.Acked || a.AckedAt.Sub(a.End) >= lease/2 || lapsed(a) {
				continue
			}
			for _, b := range all[i+1:] {
				if b.Start.After(a.End) {
					pairs = append(pairs, [2]platformtest.Run{a, b})
				}
			}
		}
	}
	return pairs
}

// MostAtWork returns the most work items that were at work on one runner at a time.
func (c *Cluster) MostAtWork() int {
	most, runs := 0, c.Platform.Runs()
	for _, a := range runs {
		n := 0
		for _, b := range runs {
			if a.WorkerID == b.WorkerID && !b.Start.After(a.Start) && (b.End.IsZero() || b.End.After(a.Start)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Since returns the seconds from the start of the case to a time.
func (c *Cluster) Since(t time.Time) float64 { return t.Sub(c.begun).Seconds() }

// stop ends every process and removes the temporary folder, except when KEEP_LOGS is set.
func (c *Cluster) stop() {
	for _, e := range c.Entries {
		if e.cmd != nil && e.cmd.Process != nil && e.exited != nil {
			_ = e.cmd.Process.Signal(syscall.SIGCONT)
			_ = e.cmd.Process.Kill()
			<-e.exited
		}
	}
	if c.cancel != nil {
		c.cancel()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("logs in", c.dir)
	}
}
