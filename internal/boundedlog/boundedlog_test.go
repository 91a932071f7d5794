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

// stopped is a reader that has stopped reading: writes to it wait until it is released.
type stopped struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

// Write waits for the release.
func (s *stopped) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

// TestAStoppedReaderCostsLinesAndNoTime writes far more than is kept while nobody reads. Each call returns; what did not fit is counted.
func TestAStoppedReaderCostsLinesAndNoTime(t *testing.T) {
	out := &stopped{release: make(chan struct{})}
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

// TestWarningsHaveRoomOfTheirOwn writes more routine lines than an interval takes, and warnings after them.
func TestWarningsHaveRoomOfTheirOwn(t *testing.T) {
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

// BenchmarkLine measures what a line costs its writer.
func BenchmarkLine(b *testing.B) {
	w := boundedlog.New(&bytes.Buffer{}, "entry", "host-1")
	log := zerolog.New(w)
	for b.Loop() {
		log.Info().Int("event", 4007).Str("request", "9c41d07be2a35f68").Str("upstream", "i-7f3a91c2").Int("sends", 1).Msg("request sent")
	}
}
