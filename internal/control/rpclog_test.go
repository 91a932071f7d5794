package control

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// captureStderr runs f and returns what was written to standard error meanwhile.
func captureStderr(t *testing.T, f func()) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "stderr")
	file, err := os.Create(path)
	require.NoError(t, err)
	original := os.Stderr
	os.Stderr = file
	defer func() { os.Stderr = original }()
	f()
	require.NoError(t, file.Close())
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	return string(text)
}

// TestFailedConnectionsWriteNothingToStderr guards against lines that the JSON-RPC library writes to standard error by
// itself, without an event number. One connection is closed while the server handles a call, and one by malformed bytes.
func TestFailedConnectionsWriteNothingToStderr(t *testing.T) {
	const (
		testTimeout = 20 * time.Second
		settleTime  = 50 * time.Millisecond // Lines may be written after a connection is closed.
	)
	text := captureStderr(t, func() {
		called, release := make(chan struct{}), make(chan struct{})
		s := httptest.NewServer(NewServer(Handlers{"wait": func(context.Context, string, json.RawMessage) (any, error) {
			close(called)
			<-release
			return "late", nil
		}}))
		defer s.Close()
		address := s.Listener.Addr().String()
		p := NewPool("test", "secret", (&net.Dialer{}).DialContext)
		ctx, cancel := context.WithCancel(context.Background())
		failed := make(chan error, 1)
		go func() { failed <- p.Call(ctx, address, "wait", nil, nil) }()
		<-called
		cancel()
		require.Error(t, <-failed)
		close(release)

		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
		r, err := p.upgrade(conn, address)
		require.NoError(t, err)
		_, err = io.WriteString(conn, "Content-Length: nonsense\r\n\r\n")
		require.NoError(t, err)
		_, err = r.ReadByte()
		require.Error(t, err)
		time.Sleep(settleTime)
	})
	require.Empty(t, text)
}
