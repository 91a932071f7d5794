// Package boundedlog writes log lines without ever making their writers wait, and with a bounded volume. Routine lines
// are dropped first; what was dropped is counted and said.
package boundedlog

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"samphireweir.example/samphireweir/internal/logevent"
)

const (
	// flushInterval is how long lines are gathered for one write; each write costs a system call.
	flushInterval = 200 * time.Millisecond
	// linesPerFlush bounds the routine lines of an interval: 300 a second, several times what an entry writes at 25 requests a second.
	linesPerFlush = 60
	// importantPerFlush bounds the warnings and errors of an interval beside them.
	importantPerFlush = 60
	// maxPending bounds the bytes that wait for a reader that does not read.
	maxPending = 256 << 10
)

// Writer gathers lines and writes them in the background. It is a zerolog.LevelWriter.
type Writer struct {
	out io.Writer
	// role and name are the process's, for the line on dropped lines.
	role, name string

	mu      sync.Mutex
	pending bytes.Buffer
	routine int
	// important counts warnings and errors of the present interval.
	important int
	dropped   int64
}

// New returns a writer to out for the process of a role on a host. Run must be started for lines to come out.
func New(out io.Writer, role, name string) *Writer { return &Writer{out: out, role: role, name: name} }

// Write takes a routine line.
func (w *Writer) Write(line []byte) (int, error) { return w.WriteLevel(zerolog.InfoLevel, line) }

// WriteLevel takes a line, or drops it when too many came. It never waits and never fails.
func (w *Writer) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	count, limit := &w.routine, linesPerFlush
	if level >= zerolog.WarnLevel {
		count, limit = &w.important, importantPerFlush
	}
	if *count >= limit || w.pending.Len()+len(line) > maxPending {
		w.dropped++
		return len(line), nil
	}
	*count++
	w.pending.Write(line)
	return len(line), nil
}

// Run writes what was gathered until stop is closed, and the rest then.
func (w *Writer) Run(stop <-chan struct{}) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			w.flush()
			return
		case <-ticker.C:
			w.flush()
		}
	}
}

// confession is the line on lines that were dropped.
func (w *Writer) confession(dropped int64) []byte {
	var line bytes.Buffer
	log := zerolog.New(&line).With().Timestamp().Str("process", w.role).Str("name", w.name).Logger()
	logevent.Warn(log, logevent.LinesDropped).Int64("dropped", dropped).Msg("log lines dropped")
	return line.Bytes()
}

func (w *Writer) flush() {
	w.mu.Lock()
	lines := bytes.Clone(w.pending.Bytes())
	w.pending.Reset()
	w.routine, w.important = 0, 0
	dropped := w.dropped
	w.dropped = 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = append(lines, w.confession(dropped)...)
	}
	if len(lines) > 0 {
		_, _ = w.out.Write(lines) // A log that can't be written has nowhere to be reported.
	}
}
