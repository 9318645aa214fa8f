// SPDX-License-Identifier: MIT

package entryproc

import (
	"bufio"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
)

// Usage is what a process uses, by the kernel's account.
type Usage struct {
	// Memory is the resident memory and PeakMemory its maximum since the start of the process, in bytes.
	Memory, PeakMemory int64
	// Files is the number of open descriptors.
	Files int
}

// Usage reads the usage of the process.
func (p *Process) Usage() (Usage, error) {
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	status, err := os.ReadFile(dir + "status")
	if err != nil {
		return Usage{}, fmt.Errorf("read usage: %w", err)
	}
	var u Usage
	for line := range strings.Lines(string(status)) {
		name, value, _ := strings.Cut(line, ":")
		switch name {
		case "VmRSS":
			u.Memory, err = parseKilobytes(value)
		case "VmHWM":
			u.PeakMemory, err = parseKilobytes(value)
		}
		if err != nil {
			return Usage{}, fmt.Errorf("read usage: %s: %w", name, err)
		}
	}
	if u.PeakMemory == 0 {
		return Usage{}, fmt.Errorf("read usage: process %d has no memory; it has exited", p.cmd.Process.Pid)
	}
	files, err := os.ReadDir(dir + "fd")
	if err != nil {
		return Usage{}, fmt.Errorf("read usage: %w", err)
	}
	u.Files = len(files)
	return u, nil
}

// parseKilobytes parses a size such as "1234 kB".
func parseKilobytes(s string) (int64, error) {
	n, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(s), "kB")), 10, 64)
	return n << 10, err
}

// stateListen is the state of listening sockets in the kernel's table. Their queue counts connections, not bytes.
const stateListen = "0A"

// UnreadBytes returns the number of bytes that have arrived on TCP connections to the IPv4 address and have not been read, including those on
// connections that have not been accepted.
func UnreadBytes(ip string) (int64, error) {
	a, err := netip.ParseAddr(ip)
	if err != nil || !a.Is4() {
		return 0, fmt.Errorf("read unread bytes: %q is not an IPv4 address", ip)
	}
	b := a.As4()
	prefix := strings.ToUpper(hex.EncodeToString(binary.LittleEndian.AppendUint32(nil, binary.BigEndian.Uint32(b[:])))) + ":"
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0, fmt.Errorf("read unread bytes: %w", err)
	}
	defer f.Close()
	var total int64
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		const local, state, queues = 1, 3, 4
		if !strings.Contains(lines.Text(), prefix) {
			continue // saves most of the time on a machine with many connections
		}
		x := strings.Fields(lines.Text())
		if len(x) <= queues || !strings.HasPrefix(x[local], prefix) || x[state] == stateListen {
			continue
		}
		_, received, _ := strings.Cut(x[queues], ":")
		n, err := strconv.ParseInt(received, 16, 64)
		if err != nil {
			return 0, fmt.Errorf("read unread bytes: %w", err)
		}
		total += n
	}
	if err := lines.Err(); err != nil {
		return 0, fmt.Errorf("read unread bytes: %w", err)
	}
	return total, nil
}
