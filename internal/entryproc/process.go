// SPDX-License-Identifier: MIT

package entryproc

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// stopTimeout is the time after a signal in which a process must exit before it is killed.
const stopTimeout = 6 * time.Second

// Build builds rackstepd in the directory and returns its path.
func Build(dir string) (string, error) {
	program := filepath.Join(dir, "rackstepd")
	if out, err := exec.Command("go", "build", "-o", program, "rackstep.dev/cmd/rackstepd").CombinedOutput(); err != nil {
		return "", fmt.Errorf("build rackstepd: %w\n%s", err, out)
	}
	return program, nil
}

// Process is the process of one entry. The exported fields must be set before Start.
type Process struct {
	// Program is the path of rackstepd, Args its arguments, and Env is added to the environment of the test.
	Program   string
	Args, Env []string
	// Log is the path of the file to which its output is appended.
	Log string

	cmd    *exec.Cmd
	exited chan struct{}
}

// Start starts the process.
func (p *Process) Start() error {
	out, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	p.cmd = exec.Command(p.Program, p.Args...)
	p.cmd.Env = append(os.Environ(), p.Env...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		_ = out.Close()
		return fmt.Errorf("start %s: %w", p.Program, err)
	}
	cmd, exited := p.cmd, make(chan struct{})
	p.exited = exited
	go func() {
		_ = cmd.Wait() // killed processes return an error
		_ = out.Close()
		close(exited)
	}()
	return nil
}

// Signal sends a signal. A process that has exited ignores it.
func (p *Process) Signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// Running reports whether the process has not exited.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Stop resumes the process if it is paused, sends the signal, and kills the process if it doesn't exit within stopTimeout.
func (p *Process) Stop(signal syscall.Signal) {
	p.Signal(syscall.SIGCONT)
	p.Signal(signal)
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
}

// SaveLog copies the log to the directory, which it creates.
func (p *Process) SaveLog(dir string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("create directory: %w", err)
	}
	b, err := os.ReadFile(p.Log)
	if err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, filepath.Base(p.Log)), b, 0o600); err != nil {
		return fmt.Errorf("write log: %w", err)
	}
	return nil
}
