package processes

import (
	"bytes"
	"context"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/pkg/errors"
)

const (
	dirMode         = 0o755
	listeningPrefix = "listening "
)

// Process is a child process that this run started.
type Process struct {
	name   string
	cmd    *exec.Cmd
	stdout *lineWatcher
	stderr *lineWatcher
	ended  chan struct{}
	err    error // result of the process; read only after ended is closed
}

// Start starts a child process. Its output goes to NAME.stdout and NAME.stderr in the log directory.
func Start(name, logDir, binary string, args ...string) (*Process, error) {
	if err := os.MkdirAll(logDir, dirMode); err != nil {
		return nil, errors.Wrap(err, "creating the log directory")
	}
	stdout, err := newLineWatcher(filepath.Join(logDir, name+".stdout"), isListeningLine)
	if err != nil {
		return nil, err
	}
	stderr, err := newLineWatcher(filepath.Join(logDir, name+".stderr"), isStartLine)
	if err != nil {
		stdout.close()
		return nil, err
	}
	process := &Process{name: name, stdout: stdout, stderr: stderr, ended: make(chan struct{})}
	process.cmd = exec.Command(binary, args...)
	process.cmd.Stdout = stdout
	process.cmd.Stderr = stderr
	if err := process.cmd.Start(); err != nil {
		stdout.close()
		stderr.close()
		return nil, errors.Wrapf(err, "starting %s", name)
	}
	go process.wait()
	return process, nil
}

func (p *Process) wait() {
	p.err = p.cmd.Wait()
	p.stdout.close()
	p.stderr.close()
	close(p.ended)
}

// Name returns the name that was passed to Start.
func (p *Process) Name() string { return p.name }

// PID returns the id of the process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Running reports whether the process has not ended yet.
func (p *Process) Running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Listening waits for the line in which a stand-in prints its address (IP:PORT) and returns the address.
func (p *Process) Listening(ctx context.Context) (string, error) {
	line, err := p.awaitLine(ctx, p.stdout)
	if err != nil {
		return "", err
	}
	return strings.TrimSpace(strings.TrimPrefix(line, listeningPrefix)), nil
}

// Addresses waits for the start line in the product's log and returns the addresses in it.
func (p *Process) Addresses(ctx context.Context) (Addresses, error) {
	line, err := p.awaitLine(ctx, p.stderr)
	if err != nil {
		return Addresses{}, err
	}
	start, _ := parseStartLine([]byte(line))
	return start.Addresses, nil
}

// awaitLine waits for the line that a watcher looks for. An error that reports the end of the process contains the end of
// its error output.
func (p *Process) awaitLine(ctx context.Context, watcher *lineWatcher) (string, error) {
	select {
	case line := <-watcher.found:
		return line, nil
	case <-p.ended:
		return "", errors.Errorf("%s exited before it was listening (%v): %s", p.name, p.err, p.tail())
	case <-ctx.Done():
		return "", errors.Wrapf(ctx.Err(), "waiting for %s to listen", p.name)
	}
}

// tail returns the last 600 bytes of the process's error output.
func (p *Process) tail() string {
	const tailBytes = 600
	content, err := os.ReadFile(p.stderr.file.Name())
	if err != nil {
		return err.Error()
	}
	return string(bytes.TrimSpace(content[max(0, len(content)-tailBytes):]))
}

// Kill sends SIGKILL and waits until the process has ended. It does nothing if the process has ended already.
func (p *Process) Kill() {
	if !p.Running() {
		return
	}
	_ = p.cmd.Process.Kill() // an error means that the process has already ended
	<-p.ended
}

func (p *Process) terminate() { p.signal(syscall.SIGTERM) }

// Terminate sends SIGTERM and waits for the process to end or for the context. It reports whether the process has ended.
func (p *Process) Terminate(ctx context.Context) bool {
	p.terminate()
	select {
	case <-p.ended:
		return true
	case <-ctx.Done():
		return false
	}
}

// Suspend suspends the process with SIGSTOP until Resume is called.
func (p *Process) Suspend() { p.signal(syscall.SIGSTOP) }

// Resume resumes a frozen process with SIGCONT.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

func (p *Process) signal(sig syscall.Signal) {
	if !p.Running() {
		return
	}
	_ = p.cmd.Process.Signal(sig) // an error means that the process has already ended
}

// Run runs a command with the given input and returns its combined output. The error contains the output as well.
func Run(ctx context.Context, input io.Reader, binary string, args ...string) (string, error) {
	command := exec.CommandContext(ctx, binary, args...)
	command.Stdin = input
	output, err := command.CombinedOutput()
	if err != nil {
		return "", errors.Wrapf(err, "%s %s: %s", filepath.Base(binary), strings.Join(args, " "), bytes.TrimSpace(output))
	}
	return string(output), nil
}
