package node

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/keys"
)

// TestHostListOutageAndRecoveryAreLoggedOnce guards against a log line for every failed read of the host list: an outage of
// two reads must produce one line at its start and one at its end.
func TestHostListOutageAndRecoveryAreLoggedOnce(t *testing.T) {
	var down atomic.Bool
	list := serveTest(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if down.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte(`{"hosts":[]}`))
	}))
	var log bytes.Buffer
	p, err := NewProcess(Config{
		Name: "host-1", Place: "perth-a", Region: "west", PeersListen: "127.0.0.1:0", OperatorsListen: "127.0.0.1:0",
		ObjectAPI: "http://" + list, HostList: "http://" + list, Config: keys.Config{Secret: "secret"}, Role: "agent",
	}, zerolog.New(&log), nil)
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = p.peersListener.Close()
		_ = p.operatorsListener.Close()
	})
	p.runCtx = context.Background()
	for _, outage := range []bool{false, true, true, false, false} {
		down.Store(outage)
		p.readHosts()
	}
	lines := strings.Split(strings.TrimSpace(log.String()), "\n")
	require.Len(t, lines, 2, log.String())
	require.Contains(t, lines[0], `"event":2006`)
	require.Contains(t, lines[1], `"event":2007`)
}
