// SPDX-License-Identifier: MIT

package capacity

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"rackstep.dev/admin"
	"rackstep.dev/fleet"
)

// Point is what was measured at one size; figures of entries are means over all of them.
type Point struct {
	Size
	// Load names what went on meanwhile.
	Load string `json:"load"`
	// Jobs are those that ran at the end.
	Jobs int `json:"jobs"`
	// MostCPU and MostBytes are those of the entry that used most.
	MostCPU   float64 `json:"most_cpu_percent"`
	MaxBytes float64 `json:"most_bytes_per_second"`
	// CPU is the part of one core in percent, Memory the resident bytes.
	CPU    float64 `json:"cpu_percent"`
	Memory float64 `json:"memory_bytes"`
	// PeerBytes and PlatformBytes are per second, in and out added.
	PeerBytes     float64 `json:"peer_bytes_per_second"`
	PlatformBytes float64 `json:"platform_bytes_per_second"`
	// Records are those of the fleet log per second, for the whole site.
	Records float64 `json:"records_per_second"`
	Seconds float64 `json:"seconds"`
}

// process is one entry as the system and the entry itself see it.
type process struct {
	pid    int
	client *admin.Client
}

// reading is what one process had used at a moment.
type reading struct {
	ticks  float64
	memory float64
	status admin.Status
}

// Sample watches the processes of the folder for the time and returns their mean cost; with fromStart it counts all that
// they have used since they began.
func Sample(ctx context.Context, dir, load string, d time.Duration, fromStart bool) (Point, error) {
	size, err := ReadSize(dir)
	if err != nil {
		return Point{}, err
	}
	processes, err := findProcesses(dir, size)
	if err != nil {
		return Point{}, err
	}
	before := make([]reading, len(processes))
	if !fromStart {
		if before, err = readAll(ctx, processes); err != nil {
			return Point{}, err
		}
	}
	begin := time.Now()
	select {
	case <-ctx.Done():
		return Point{}, ctx.Err()
	case <-time.After(d):
	}
	after, err := readAll(ctx, processes)
	if err != nil {
		return Point{}, err
	}
	return newPoint(size, load, before, after, time.Since(begin).Seconds()), nil
}

// ReadSize returns the size that Write has laid down in the folder.
func ReadSize(dir string) (Size, error) {
	var size Size
	b, err := os.ReadFile(filepath.Join(dir, "size.json"))
	if err != nil {
		return size, fmt.Errorf("read size: %w", err)
	}
	if err := json.Unmarshal(b, &size); err != nil {
		return size, fmt.Errorf("read size: %w", err)
	}
	return size, nil
}

func findProcesses(dir string, s Size) ([]process, error) {
	var out []process
	for i := range s.Entries {
		b, err := os.ReadFile(filepath.Join(dir, EntryName(i)+".pid"))
		if errors.Is(err, fs.ErrNotExist) {
			continue // it was lost
		}
		if err != nil {
			return nil, fmt.Errorf("read the process id: %w", err)
		}
		pid, err := strconv.Atoi(strings.TrimSpace(string(b)))
		if err != nil {
			return nil, fmt.Errorf("read the process id: %w", err)
		}
		out = append(out, process{pid, &admin.Client{Address: OperatorAddress(i), Token: OperatorToken}})
	}
	return out, nil
}

func readAll(ctx context.Context, processes []process) ([]reading, error) {
	var out []reading
	for _, p := range processes {
		r, err := p.read(ctx)
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}

// Fields of /proc/PID/stat after the command's name, counted from 0, and the length of a clock tick.
const (
	fieldUser      = 11
	fieldSystem    = 12
	fieldResident  = 21
	ticksPerSecond = 100
)

func (p process) read(ctx context.Context) (reading, error) {
	st, err := p.client.Status(ctx)
	if err != nil {
		return reading{}, fmt.Errorf("status of process %d: %w", p.pid, err)
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.pid))
	if err != nil {
		return reading{}, fmt.Errorf("read the process's times: %w", err)
	}
	_, rest, _ := strings.Cut(string(b), ") ")
	f := strings.Fields(rest)
	if len(f) <= fieldResident {
		return reading{}, fmt.Errorf("process %d has ended", p.pid)
	}
	number := func(i int) float64 {
		v, _ := strconv.ParseFloat(f[i], 64) // the system writes numbers
		return v
	}
	return reading{ticks: number(fieldUser) + number(fieldSystem), memory: number(fieldResident) * float64(os.Getpagesize()), status: st}, nil
}

func newPoint(size Size, load string, before, after []reading, seconds float64) Point {
	p := Point{Size: size, Load: load, Seconds: seconds}
	n := float64(len(after))
	for i := range after {
		a, b := after[i], before[i]
		cpu := 100 * (a.ticks - b.ticks) / ticksPerSecond / seconds
		peers := float64(a.status.PeerIn+a.status.PeerOut-b.status.PeerIn-b.status.PeerOut) / seconds
		platform := float64(a.status.PlatformIn+a.status.PlatformOut-b.status.PlatformIn-b.status.PlatformOut) / seconds
		p.CPU += cpu / n
		p.Memory += a.memory / n
		p.PeerBytes += peers / n
		p.PlatformBytes += platform / n
		p.MostCPU = max(p.MostCPU, cpu)
		p.MaxBytes = max(p.MaxBytes, peers+platform)
	}
	p.Jobs = after[0].status.Jobs[fleet.JobRunning]
	p.Records = float64(after[0].status.Offset-before[0].status.Offset) / seconds
	return p
}
