// Package boundedlog writes log lines asynchronously, so that logging never blocks, and limits their volume. Routine lines
// and warnings have separate limits. Lines over a limit are dropped, and their number is logged.
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
	// flushInterval is how long lines are buffered for one write, because each write costs a system call.
	flushInterval = 200 * time.Millisecond
	// maxRoutinePerFlush bounds the routine lines in an interval: 300 per second, which is several times what an entry
	// writes at 25 requests per second.
	maxRoutinePerFlush = 60
	// maxImportantPerFlush bounds the warnings and errors in an interval, in addition to the routine lines.
	maxImportantPerFlush = 60
	// maxPendingBytes bounds the buffered bytes while the reader of the log does not read.
	maxPendingBytes = 256 << 10
)

// Writer buffers lines and writes them in the background. It implements zerolog.LevelWriter.
type Writer struct {
	out io.Writer
	// role and name identify the process in the log event for dropped lines.
	role, name string

	mu      sync.Mutex
	pending bytes.Buffer
	// routine counts the routine lines in the current interval.
	routine int
	// important counts the warnings and errors in the current interval.
	important int
	// dropped counts the lines that were dropped in the current interval.
	dropped int64
}

// New returns a Writer to out. role and name are those of the process. No line is written until Run is started.
func New(out io.Writer, role, name string) *Writer { return &Writer{out: out, role: role, name: name} }

// Write buffers a routine line. It is equivalent to WriteLevel with zerolog.InfoLevel.
func (w *Writer) Write(line []byte) (int, error) { return w.WriteLevel(zerolog.InfoLevel, line) }

// WriteLevel buffers a line, or drops it if the interval's limit or the buffer's is reached. It never waits for out and
// never fails.
func (w *Writer) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	count, limit := &w.routine, maxRoutinePerFlush
	if level >= zerolog.WarnLevel {
		count, limit = &w.important, maxImportantPerFlush
	}
	if *count >= limit || w.pending.Len()+len(line) > maxPendingBytes {
		w.dropped++
		return len(line), nil
	}
	*count++
	w.pending.Write(line)
	return len(line), nil
}

// Run writes the buffered lines at every flushInterval until stop is closed, and then writes the rest.
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

// droppedLine returns the log line that reports the number of dropped lines.
func (w *Writer) droppedLine(dropped int64) []byte {
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
		lines = append(lines, w.droppedLine(dropped)...)
	}
	if len(lines) > 0 {
		_, _ = w.out.Write(lines) // A failure to write the log can't be logged.
	}
}
