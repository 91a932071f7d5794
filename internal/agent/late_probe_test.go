package agent

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/run"
	"samphireweir.example/samphireweir/internal/engine"
	"samphireweir.example/samphireweir/internal/setting"
	"samphireweir.example/samphireweir/internal/silence"
)

// lateConn is a connection of an agent that gets no processor time: the first data that arrives is passed on late.
type lateConn struct {
	net.Conn
	lateness time.Duration
	late     atomic.Bool
}

// Read reads, and returns late when the first data has arrived.
func (c *lateConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.late.CompareAndSwap(false, true) {
		time.Sleep(c.lateness)
	}
	return n, err
}

// TestAgentThatIsLateToReadProbeDoesNotTakeEngineForFrozen guards against a run at a living engine that is cancelled since the agent was suspended
// while a probe was under way: the engine answers it at once, and the agent is late to read the answer.
func TestAgentThatIsLateToReadProbeDoesNotTakeEngineForFrozen(t *testing.T) {
	t.Parallel()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"boot_id":"b"}`)
	}))
	defer server.Close()
	dialLate := func(ctx context.Context, network, address string) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return silence.NewConn(&lateConn{Conn: c, lateness: minProbeTimeout * 5 / 4}), nil
	}
	a := &Agent{prober: engine.NewClient(&http.Client{Transport: &http.Transport{DialContext: dialLate, DisableKeepAlives: true}})}
	require.Equal(t, run.Probe{BootID: "b"}, a.probe(run.Start{Kind: setting.Engine, URL: server.URL}))
}

// TestEngineThatDoesNotAnswerProbeIsFrozen guards against a run that waits without an end for an engine that accepts connections and is frozen.
func TestEngineThatDoesNotAnswerProbeIsFrozen(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	a := &Agent{prober: newProber()}
	require.Equal(t, run.Probe{TimedOut: true}, a.probe(run.Start{Kind: setting.Engine, URL: "http://" + l.Addr().String()}))
}
