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
	// startOffset is the length of log when the process last started.
	startOffset int
	// done is closed once the process has ended.
	done chan struct{}
}

// NewProcess returns a process that is not started yet. It has no settings file:
// it gets only the arguments and the environment variables.
func NewProcess(binary string, args, env []string) *Process {
	return &Process{args: args, binary: binary, env: env}
}

// command returns the process's command. A process without its own environment
// gets the path of its settings file as a flag.
func (p *Process) command() *exec.Cmd {
	if p.env != nil {
		cmd := exec.Command(p.binary, p.args...)
		cmd.Env = p.env
		return cmd
	}
	return exec.Command(p.binary, append(p.args, "--config", p.path)...)
}

// Start starts the process, or restarts it after it has ended.
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

// logWriter is an io.Writer that appends to the process's log.
type logWriter struct{ p *Process }

// Write implements io.Writer.
func (b *logWriter) Write(data []byte) (int, error) {
	b.p.mu.Lock()
	defer b.p.mu.Unlock()
	return b.p.log.Write(data)
}

// Log returns the output of the process so far, over all its starts.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// HasNoOutput reports whether the process has written no output since its last
// start.
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

// state describes whether and how the process has ended, with its signal or exit
// code. mu must be held.
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

// Wait waits until the process has ended, for at most limit, and returns its exit
// code.
func (p *Process) Wait(limit time.Duration) (int, error) {
	p.mu.Lock()
	done, cmd := p.done, p.cmd
	p.mu.Unlock()
	select {
	case <-done:
		return cmd.ProcessState.ExitCode(), nil
	case <-time.After(limit):
		return 0, ErrProcess.New("%s has not ended within the time limit", p.path)
	}
}

// Kill sends SIGKILL to the process and waits until it has ended.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	_, err := p.Wait(waitTimeout)
	return err
}

// waitTimeout limits the wait for a process to end or to answer.
const waitTimeout = 10 * time.Second
