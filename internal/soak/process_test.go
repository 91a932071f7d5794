package soak_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// process is one process of the product. As on the platform, it is restarted after it has exited.
type process struct {
	t        *testing.T
	role     string
	settings string

	// disruptMu is held while the process is terminated or stopped, so that only one such fault is in progress.
	disruptMu sync.Mutex

	mu  sync.Mutex
	cmd *exec.Cmd
	// starts counts the instances of the process.
	starts int
	// disruptions are the times in which the process was terminated and restarted, or stopped.
	disruptions []span
	// done is closed when the process has exited; terminating is set while its exit is expected.
	done        chan struct{}
	terminating bool
}

func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.launch()
}

// launch starts the process. The caller holds the lock.
func (p *process) launch() {
	p.cmd = exec.Command(os.Args[0], p.role, "-boot", p.settings)
	p.cmd.Env = append(os.Environ(), productVariable+"=1")
	if dir := os.Getenv(logsVariable); dir != "" {
		require.NoError(p.t, os.MkdirAll(dir, 0o750))
		log, err := os.OpenFile(filepath.Join(dir, filepath.Base(p.settings)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		require.NoError(p.t, err)
		defer func() { _ = log.Close() }() // The process has its own file descriptor.
		p.cmd.Stdout = log
	}
	require.NoError(p.t, p.cmd.Start())
	p.starts++
	p.done = make(chan struct{})
	go p.wait(p.cmd, p.done)
}

// wait restarts the process if SIGHUP, the signal to reload, terminated it. That happens if the signal arrives right after the start,
// before the program has installed its handler. Any other unexpected exit fails the test.
func (p *process) wait(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	close(done)
	status, known := cmd.ProcessState.Sys().(syscall.WaitStatus)
	switch {
	case p.terminating:
	case known && status.Signaled() && status.Signal() == syscall.SIGHUP:
		p.disruptions = append(p.disruptions, span{from: time.Now(), to: time.Now()})
		p.launch()
	default:
		p.t.Errorf("%s exited unexpectedly: %v", p.role, err)
	}
}

func (p *process) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s) // Fails only if the process has just exited, and then no signal is needed.
}

// terminateAndRestart terminates the process with a signal and starts it again.
func (p *process) terminateAndRestart(s os.Signal) {
	p.disruptMu.Lock()
	defer p.disruptMu.Unlock()
	defer p.recordDisruption(time.Now())
	<-p.beginTermination(s)
	p.restart()
}

func (p *process) restart() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.terminating = false
	p.launch()
}

// recordDisruption records that the process was disrupted from a time until now.
func (p *process) recordDisruption(from time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disruptions = append(p.disruptions, span{from: from, to: time.Now()})
}

// beginTermination sends a signal that is meant to terminate the process, and returns a channel that is closed when it has exited.
func (p *process) beginTermination(s os.Signal) (done chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.terminating = true
	_ = p.cmd.Process.Signal(s) // Fails only if the process has just exited, and then no signal is needed.
	return p.done
}

// stop kills the process for good. SIGCONT comes first in case the process is stopped.
func (p *process) stop() {
	p.signal(syscall.SIGCONT)
	<-p.beginTermination(syscall.SIGKILL)
}

// freeze stops the process with SIGSTOP until pause returns.
func (p *process) freeze(pause func()) {
	p.disruptMu.Lock()
	defer p.disruptMu.Unlock()
	defer p.recordDisruption(time.Now())
	p.signal(syscall.SIGSTOP)
	pause()
	p.signal(syscall.SIGCONT)
}

// instances returns how often the process was started.
func (p *process) instances() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}
