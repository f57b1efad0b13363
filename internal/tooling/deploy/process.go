package deploy

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Process is one process of a deployment. Its output goes to a log file.
type Process struct {
	Name    string
	cmd     *exec.Cmd
	exited  chan struct{}
	exitErr error // result of Wait, valid once exited is closed
}

// startProcess starts a binary with a settings file. The kernel kills the process
// when this process dies. It has its own process group, so that an interrupt from
// the terminal does not reach it directly and Stop alone ends it gracefully.
func startProcess(name, binary, settings, logFile string) (*Process, error) {
	log, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the child process has its own descriptor
	p := &Process{Name: name, cmd: exec.Command(binary, "--settings", settings), exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	go func() {
		p.exitErr = p.cmd.Wait()
		close(p.exited)
	}()
	return p, nil
}

// Exited returns a channel that is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process if it still runs.
func (p *Process) Signal(s os.Signal) error {
	err := p.cmd.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// Kill sends SIGKILL to the process and waits until it has ended.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Stop stops the process gracefully with SIGTERM. It returns an error if the
// process ends with an error, or if it still runs after the limit; in this case
// Stop kills it.
func (p *Process) Stop(limit time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("stop %s: %w", p.Name, err)
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-p.exited:
		if p.exitErr != nil {
			return fmt.Errorf("stop %s: %w", p.Name, p.exitErr)
		}
		return nil
	case <-timer.C:
		p.Kill()
		return fmt.Errorf("stop %s: still running after %v", p.Name, limit)
	}
}

// running reports whether the process still runs.
func (p *Process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// writeFile writes a file in a directory and returns its path.
func writeFile(dir, name, content string) (string, error) {
	path := filepath.Join(dir, name)
	return path, os.WriteFile(path, []byte(content), 0o600)
}
