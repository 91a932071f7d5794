package gateway_test

import (
	"bytes"
	"sync"
	"testing"

	"github.com/rs/zerolog"
)

// logOf returns a log that is printed when the test fails.
func logOf(t *testing.T) zerolog.Logger {
	t.Helper()
	log := &lockedBuffer{}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(log.String())
		}
	})
	return zerolog.New(log).With().Timestamp().Logger()
}

// lockedBuffer is a buffer for several writers.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write keeps p.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// String is what was written.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}
