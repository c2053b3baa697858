package loopback

import (
	"errors"
	"os"
	"os/exec"
	"sync"
	"syscall"
)

// Process is a controller that runs as a process of its own. It ends with the test's process at
// the latest.
type Process struct {
	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// errAlreadyRunning says that a process was started twice.
var errAlreadyRunning = errors.New("the process runs already")

// start runs a program with its log in a file.
func (p *Process) start(log *os.File, program string, args ...string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return errAlreadyRunning
	}
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	p.cmd, p.exited = cmd, exited
	return nil
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.exited
	p.cmd = nil
}

// Suspend freezes the process; its connections stay open.
func (p *Process) Suspend() { p.signal(syscall.SIGSTOP) }

// Resume has a frozen process go on.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Running tells whether the process has been started and hasn't ended.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// pid is the process's id while it runs.
func (p *Process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

func (p *Process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}
