package loopback

import (
	"errors"
	"os"
	"os/exec"
	"sync"
	"syscall"
)

// Process runs a controller in a separate operating system process. The kernel kills the controller when the
// test process dies.
type Process struct {
	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// errAlreadyRunning is returned by Process.start if Kill has not ended the previous run.
var errAlreadyRunning = errors.New("the process is already running")

// start starts a program and redirects its output to a log file. An empty log level leaves the environment as
// it is.
func (p *Process) start(log *os.File, logLevel, program string, args ...string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return errAlreadyRunning
	}
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = log, log
	if logLevel != "" {
		cmd.Env = append(os.Environ(), "LOG_LEVEL="+logLevel)
	}
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

// Kill kills the process with SIGKILL and waits until it has exited.
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

// Suspend stops the process with SIGSTOP. Its connections stay open.
func (p *Process) Suspend() { p.signal(syscall.SIGSTOP) }

// Resume continues a suspended process with SIGCONT.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Running reports whether the process has been started and has not exited.
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

// pid returns the process ID. The process must be running.
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
