package processtest

import (
	"bytes"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/sycamoretally/sycamoretally/settings"
)

// Process is one process of a site.
type Process struct {
	Settings settings.Settings
	args     []string
	path     string
	binary   string
	env      []string

	mu  sync.Mutex
	cmd *exec.Cmd
	log bytes.Buffer
	// startOffset is the length of the log when the process last started.
	startOffset int
	done        chan struct{}
}

// NewProcess returns a process that has not started, of the binary with the
// arguments and the variables of the environment alone.
func NewProcess(binary string, args, env []string) *Process {
	return &Process{args: args, binary: binary, env: env}
}

// command returns the process's command line. A process without an environment of
// its own gets its settings file as a flag.
func (p *Process) command() *exec.Cmd {
	if p.env != nil {
		cmd := exec.Command(p.binary, p.args...)
		cmd.Env = p.env
		return cmd
	}
	return exec.Command(p.binary, append(p.args, "--config", p.path)...)
}

// Start starts the process, again after it has ended.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := p.command()
	cmd.Stdout, cmd.Stderr = &logWriter{p}, &logWriter{p}
	if err := cmd.Start(); err != nil {
		return ErrProcess.Wrap(err, "start %s", p.path)
	}
	p.cmd, p.done, p.startOffset = cmd, make(chan struct{}), p.log.Len()
	go func(done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(p.done)
	return nil
}

// logWriter writes to the process's log.
type logWriter struct{ p *Process }

// Write implements io.Writer.
func (b *logWriter) Write(data []byte) (int, error) {
	b.p.mu.Lock()
	defer b.p.mu.Unlock()
	return b.p.log.Write(data)
}

// Log returns what the process has written so far.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// HasNoOutput reports whether the process has written nothing since it last started.
func (p *Process) HasNoOutput() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Len() == p.startOffset
}

// Signal sends a signal to the process.
func (p *Process) Signal(sig syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.cmd.Process.Signal(sig); err != nil {
		return ErrProcess.Wrap(err, "signal %v to %s, which %s", sig, p.path, p.state())
	}
	return nil
}

// state says how the process has ended, with what signal or exit code. The lock is
// held.
func (p *Process) state() string {
	select {
	case <-p.done:
		return "has ended: " + p.cmd.ProcessState.String()
	default:
		return "has not ended"
	}
}

// Running reports whether the process has started and not ended.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Wait waits until the process has ended and returns its exit code.
func (p *Process) Wait(limit time.Duration) (int, error) {
	p.mu.Lock()
	done, cmd := p.done, p.cmd
	p.mu.Unlock()
	select {
	case <-done:
		return cmd.ProcessState.ExitCode(), nil
	case <-time.After(limit):
		return 0, ErrProcess.New("%s has not ended", p.path)
	}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	_, err := p.Wait(waitTimeout)
	return err
}

// waitTimeout bounds the wait for a process to end or to answer.
const waitTimeout = 10 * time.Second
