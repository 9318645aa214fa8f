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

// Point is one measurement at one size. Unless noted otherwise, figures are means over the running entries.
type Point struct {
	Size
	// Load names the workload during the measurement.
	Load string `json:"load"`
	// Jobs is the number of running jobs at the end of the measurement.
	Jobs int `json:"jobs"`
	// MaxCPU and MaxBytes are the highest values of any entry.
	MaxCPU   float64 `json:"most_cpu_percent"`
	MaxBytes float64 `json:"most_bytes_per_second"`
	// CPU is in percent of one core; Memory is the resident set in bytes.
	CPU    float64 `json:"cpu_percent"`
	Memory float64 `json:"memory_bytes"`
	// PeerBytes and PlatformBytes are bytes per second, received and sent together.
	PeerBytes     float64 `json:"peer_bytes_per_second"`
	PlatformBytes float64 `json:"platform_bytes_per_second"`
	// Records is the number of fleet log records per second for the whole site.
	Records float64 `json:"records_per_second"`
	Seconds float64 `json:"seconds"`
}

// process is a running entry: its process ID and a client of its operators' interface.
type process struct {
	pid    int
	client *admin.Client
}

// reading is the cumulative usage of one process at one time.
type reading struct {
	ticks  float64
	memory float64
	status admin.Status
}

// Sample measures the processes of the folder over the duration d and returns their mean usage. With fromStart the usage
// since the start of the processes is divided by d instead.
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
	start := time.Now()
	select {
	case <-ctx.Done():
		return Point{}, ctx.Err()
	case <-time.After(d):
	}
	after, err := readAll(ctx, processes)
	if err != nil {
		return Point{}, err
	}
	return newPoint(size, load, before, after, time.Since(start).Seconds()), nil
}

// ReadSize reads the size that Write stored in the folder.
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
			continue // the script deletes the file of an entry that it has killed
		}
		if err != nil {
			return nil, fmt.Errorf("read process ID of %s: %w", EntryName(i), err)
		}
		pid, err := strconv.Atoi(strings.TrimSpace(string(b)))
		if err != nil {
			return nil, fmt.Errorf("read process ID of %s: %w", EntryName(i), err)
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

// Indexes into the fields of /proc/PID/stat that follow the command name, and the clock ticks per second (USER_HZ).
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
		return reading{}, fmt.Errorf("read usage of process %d: %w", p.pid, err)
	}
	_, rest, _ := strings.Cut(string(b), ") ")
	f := strings.Fields(rest)
	if len(f) <= fieldResident {
		return reading{}, fmt.Errorf("process %d has ended", p.pid)
	}
	number := func(i int) float64 {
		v, _ := strconv.ParseFloat(f[i], 64) // the kernel writes these fields as decimal numbers
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
		p.MaxCPU = max(p.MaxCPU, cpu)
		p.MaxBytes = max(p.MaxBytes, peers+platform)
	}
	p.Jobs = after[0].status.Jobs[fleet.JobRunning]
	p.Records = float64(after[0].status.Offset-before[0].status.Offset) / seconds
	return p
}
