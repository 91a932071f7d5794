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

// process is one process of the product. As on the platform it is started again when it has ended.
type process struct {
	t        *testing.T
	role     string
	settings string

	// turn is held by who ends or stops the process for a while.
	turn sync.Mutex

	mu  sync.Mutex
	cmd *exec.Cmd
	// launches counts its lives.
	launches int
	// disturbed are the times in which it was ended or stood still.
	disturbed []span
	// done is closed when the process has ended; ending is set while that is meant.
	done   chan struct{}
	ending bool
}

func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.launch()
}

// launch starts the process. It is called with the lock held.
func (p *process) launch() {
	p.cmd = exec.Command(os.Args[0], p.role, "-boot", p.settings)
	p.cmd.Env = append(os.Environ(), asProcess+"=1")
	if dir := os.Getenv(logsVariable); dir != "" {
		require.NoError(p.t, os.MkdirAll(dir, 0o750))
		log, err := os.OpenFile(filepath.Join(dir, filepath.Base(p.settings)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		require.NoError(p.t, err)
		defer func() { _ = log.Close() }() // The process has its own.
		p.cmd.Stdout = log
	}
	require.NoError(p.t, p.cmd.Start())
	p.launches++
	p.done = make(chan struct{})
	go p.wait(p.cmd, p.done)
}

// wait starts the process again when a signal to reload ended it, which happens in the first moments of a process, before the program
// runs. An end of any other kind is a fault.
func (p *process) wait(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	close(done)
	status, known := cmd.ProcessState.Sys().(syscall.WaitStatus)
	switch {
	case p.ending:
	case known && status.Signaled() && status.Signal() == syscall.SIGHUP:
		p.disturbed = append(p.disturbed, span{from: time.Now(), to: time.Now()})
		p.launch()
	default:
		p.t.Errorf("%s ended by itself: %v", p.role, err)
	}
}

func (p *process) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s) // One that has just ended needs no signal.
}

// end ends the process with a signal and starts it again.
func (p *process) end(s os.Signal) {
	p.turn.Lock()
	defer p.turn.Unlock()
	defer p.note(time.Now())
	<-p.endBy(s)
	p.restart()
}

func (p *process) restart() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ending = false
	p.launch()
}

// note remembers that the process was disturbed since a moment.
func (p *process) note(from time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disturbed = append(p.disturbed, span{from: from, to: time.Now()})
}

func (p *process) endBy(s os.Signal) (done chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ending = true
	_ = p.cmd.Process.Signal(s) // One that has just ended needs no signal.
	return p.done
}

func (p *process) stop() {
	p.signal(syscall.SIGCONT)
	<-p.endBy(syscall.SIGKILL)
}

// freeze stops the process for a while.
func (p *process) freeze(pause func()) {
	p.turn.Lock()
	defer p.turn.Unlock()
	defer p.note(time.Now())
	p.signal(syscall.SIGSTOP)
	pause()
	p.signal(syscall.SIGCONT)
}

// lives counts how often the process was started.
func (p *process) lives() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.launches
}
