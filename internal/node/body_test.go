package node_test

import (
	"bytes"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/node"
)

// lockedBuffer is a buffer for log output that is safe for concurrent reads and writes.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// TestDrainBodyKeepsConnection guards against a panic in net/http when a full-duplex handler returns without reading
// the body: 20 requests with unread bodies are rejected, and the connection stays usable for the next one.
func TestDrainBodyKeepsConnection(t *testing.T) {
	serverLog := &lockedBuffer{}
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		defer node.DrainBody(w, r)
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = http.NewResponseController(w).Flush()
	}))
	s.Config.ErrorLog = log.New(serverLog, "", 0)
	s.Start()
	defer s.Close()
	for range 20 {
		resp, err := s.Client().Post(s.URL, "text/plain", bytes.NewReader(make([]byte, 100<<10)))
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
	}
	require.NotContains(t, serverLog.String(), "panic")
}
