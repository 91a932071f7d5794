package boundedlog_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/boundedlog"
)

// blockedWriter blocks all writes until release is closed, like a pipe whose reader has stopped reading.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

// Write waits for the release and records p.
func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.got.Write(p)
}

// TestStoppedLogReaderDropsLinesWithoutBlocking guards against a process that blocks on its log when the log's reader stops
// reading: far more lines are written than the buffer holds, every call returns, and the dropped lines are counted.
func TestStoppedLogReaderDropsLinesWithoutBlocking(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := boundedlog.New(out, "entry", "host-1")
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		w.Run(stop)
		close(done)
	}()
	log := zerolog.New(w)
	line := strings.Repeat("x", 1000)
	for range 20000 {
		log.Info().Msg(line)
	}
	close(out.release)
	close(stop)
	<-done
	out.mu.Lock()
	defer out.mu.Unlock()
	require.Less(t, out.got.Len(), 2<<20)
	require.Contains(t, out.got.String(), "log lines dropped")
}

// TestWarningsHaveTheirOwnLimit guards against warnings that are dropped because routine lines have used up the interval's
// limit.
func TestWarningsHaveTheirOwnLimit(t *testing.T) {
	var out bytes.Buffer
	w := boundedlog.New(&out, "entry", "host-1")
	log := zerolog.New(w)
	for range 1000 {
		log.Info().Msg("routine")
	}
	log.Warn().Msg("important")
	stop := make(chan struct{})
	close(stop)
	w.Run(stop)
	require.Contains(t, out.String(), "important")
	require.Contains(t, out.String(), `"dropped":940`)
}

// BenchmarkLine measures the cost of one log line for the goroutine that logs it.
func BenchmarkLine(b *testing.B) {
	w := boundedlog.New(&bytes.Buffer{}, "entry", "host-1")
	log := zerolog.New(w)
	for b.Loop() {
		log.Info().Int("event", 4007).Str("request", "9c41d07be2a35f68").Str("upstream", "i-7f3a91c2").Int("sends", 1).Msg("request sent")
	}
}
