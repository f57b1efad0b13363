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
	Name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error // of the process, valid after done
}

// start runs a binary with a settings file. The process is killed by the
// kernel when this process dies, and is in its own process group, so that an
// interrupt from the terminal reaches it through Stop only.
func start(name, binary, settings, logFile string) (*Process, error) {
	log, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the process holds its own copy
	p := &Process{Name: name, cmd: exec.Command(binary, "--settings", settings), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// Exited is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.done }

// PID returns the process number.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process if it still runs.
func (p *Process) Signal(s os.Signal) error {
	err := p.cmd.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.done
}

// Stop asks the process to stop gracefully. It fails if the process does not
// end in time, which kills it, or ends with an error.
func (p *Process) Stop(limit time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("stop %s: %w", p.Name, err)
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-p.done:
		if p.err != nil {
			return fmt.Errorf("stop %s: %w", p.Name, p.err)
		}
		return nil
	case <-timer.C:
		p.Kill()
		return fmt.Errorf("stop %s: still running after %v", p.Name, limit)
	}
}

// running reports whether the process has not ended.
func (p *Process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// write writes a file of the deployment's directory and returns its path.
func write(dir, name, content string) (string, error) {
	path := filepath.Join(dir, name)
	return path, os.WriteFile(path, []byte(content), 0o600)
}
