package agent

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/run"
	"samphireweir.example/samphireweir/internal/engine"
	"samphireweir.example/samphireweir/internal/setting"
	"samphireweir.example/samphireweir/internal/silence"
)

const (
	// heldFor is how long a test holds the agent. It is longer than it takes to find a frozen upstream.
	heldFor = probeInterval + minProbeTimeout + 1500*time.Millisecond
	// frozenWithin is the time within which a frozen upstream must be found, also on a busy host.
	frozenWithin = 4 * heldFor
)

// heldConn is a connection whose first read begins late by hold, as that of a process without processor time. Data arrives meanwhile.
type heldConn struct {
	net.Conn
	hold time.Duration
	held sync.Once
}

// Read reads from the connection; the first call waits before.
func (c *heldConn) Read(p []byte) (int, error) {
	c.held.Do(func() { time.Sleep(c.hold) })
	return c.Conn.Read(p)
}

// heldClient returns a client whose connections are heldConns.
func heldClient(hold time.Duration) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return silence.NewConn(&heldConn{Conn: c, hold: hold}), nil
		},
	}}
}

// frozenProber returns a prober whose probes reach a process that answers nothing. The kernel establishes their connections.
func frozenProber(t *testing.T) *engine.Client {
	address := frozenListener(t)
	dial := silence.Dialer(&net.Dialer{}, 0)
	return engine.NewClient(&http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext:       func(ctx context.Context, network, _ string) (net.Conn, error) { return dial(ctx, network, address) },
	}})
}

// frozenListener returns the address of a listener that accepts no connection.
func frozenListener(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

// TestAnswerThatLiesUnreadIsNotFrozen guards against a run that is cancelled as frozen because the agent was late to read the answer, which lay
// in the run's connection. The caller's answer was cut, or made a second time by another engine.
func TestAnswerThatLiesUnreadIsNotFrozen(t *testing.T) {
	b := newTestEnv(t, setting.FencingChecked, "e1")
	v1 := b.apply("v1")
	a := b.agent("host-1", []string{"e1"}, func(a *Agent) {
		a.pooledClient, a.singleUseClient, a.prober = heldClient(heldFor), heldClient(heldFor), frozenProber(t)
	})
	a.awaitServing("e1", v1)
	digest, failed := a.generate("e1", "unread", 3)
	require.Nil(t, failed)
	require.Equal(t, v1, digest)
}

// TestProbeAnswerThatLiesUnreadCounts guards against an engine that counts as frozen because the agent was late to read its answer to a probe.
func TestProbeAnswerThatLiesUnreadCounts(t *testing.T) {
	t.Parallel()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"boot_id":"b"}`) }))
	defer server.Close()
	a := &Agent{prober: engine.NewClient(heldClient(heldFor))}
	require.Equal(t, run.Probe{BootID: "b"}, a.probe(run.Start{Kind: setting.Engine, URL: server.URL}))
}

// TestProbeOfFrozenEngineEnds guards against a probe that waits without an end for a process that accepts the connection and answers nothing.
func TestProbeOfFrozenEngineEnds(t *testing.T) {
	t.Parallel()
	a := &Agent{prober: newProber()}
	startedAt := time.Now()
	require.Equal(t, run.Probe{TimedOut: true}, a.probe(run.Start{Kind: setting.Engine, URL: "http://" + frozenListener(t)}))
	require.GreaterOrEqual(t, time.Since(startedAt), minProbeTimeout)
	require.Less(t, time.Since(startedAt), frozenWithin)
}

// TestProbeOfPlainServiceConnectsOnly guards against a plain service that counts as frozen although the kernel has connected the probe, and
// against one whose crash or whose full queue is not noticed.
func TestProbeOfPlainServiceConnectsOnly(t *testing.T) {
	t.Parallel()
	a := &Agent{prober: newProber()}
	probe := func(address string) run.Probe {
		return a.probe(run.Start{Kind: setting.Plain, URL: "http://" + address})
	}
	require.Equal(t, run.Probe{}, probe(frozenListener(t)))
	require.Equal(t, run.Probe{TimedOut: true}, probe(busyListener(t).Addr().String()))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	startedAt := time.Now()
	require.Equal(t, run.Probe{Refused: true}, probe(l.Addr().String()))
	require.Less(t, time.Since(startedAt), minProbeTimeout)
}

// TestConfirmationIsNoSilenceOfTheRun guards against a complete answer that is withheld because the engine took long to confirm its weights: its
// run's connection has nothing more to deliver, and the engine answers probes.
func TestConfirmationIsNoSilenceOfTheRun(t *testing.T) {
	b := newTestEnv(t, setting.FencingChecked, "e1")
	reads := &stallingReads{}
	v1 := b.apply("v1")
	a := b.agent("host-1", []string{"e1"}, func(a *Agent) {
		a.engines = engine.NewClient(&http.Client{Transport: reads})
		a.config.StalledAfter = probeInterval / 2
	})
	a.awaitServing("e1", v1)
	reads.stalled.Store(true)
	time.AfterFunc(heldFor, func() { reads.stalled.Store(false) })
	digest, failed := a.generate("e1", "confirm", 3)
	require.Nil(t, failed)
	require.Equal(t, v1, digest)
}

// TestEngineThatFreezesDuringConfirmationIsFound guards against a run that waits until its deadline for an engine that froze after its answer.
func TestEngineThatFreezesDuringConfirmationIsFound(t *testing.T) {
	b := newTestEnv(t, setting.FencingChecked, "e1")
	reads := &stallingReads{}
	v1 := b.apply("v1")
	a := b.agent("host-1", []string{"e1"}, func(a *Agent) {
		a.engines, a.prober = engine.NewClient(&http.Client{Transport: reads}), frozenProber(t)
	})
	a.awaitServing("e1", v1)
	reads.stalled.Store(true)
	requireFrozen(t, a, code.DidRun)
	reads.stalled.Store(false)
}

// requireFrozen runs a request and requires that its upstream is found frozen in bounded time.
func requireFrozen(t *testing.T, a *testAgent, ran code.Ran) {
	startedAt := time.Now()
	_, failed := a.generate("e1", "frozen", 400)
	require.NotNil(t, failed)
	require.Equal(t, code.UpstreamSilent, failed.code)
	require.Equal(t, ran, failed.ran)
	require.Less(t, time.Since(startedAt), frozenWithin)
}

// TestEngineThatFreezesDuringAnswerIsFound guards against a run that waits until its deadline for an engine that froze in the middle of its
// answer, with its connection established.
func TestEngineThatFreezesDuringAnswerIsFound(t *testing.T) {
	b := newTestEnv(t, setting.FencingChecked, "e1")
	v1 := b.apply("v1")
	a := b.agent("host-1", []string{"e1"})
	a.awaitServing("e1", v1)
	go func() {
		b.await(func() bool { return b.hasRunning("e1") }, "e1 runs a request")
		b.setFaults(b.engines, `{"e1":{"freeze":true}}`)
	}()
	requireFrozen(t, a, code.Unknown)
	b.setFaults(b.engines, `{"e1":{"freeze":false}}`)
}

// TestUpstreamThatAcceptsNoConnectionIsFound guards against a run that waits until its deadline for an upstream that is frozen with a full queue
// of new connections. Nothing was sent to it.
func TestUpstreamThatAcceptsNoConnectionIsFound(t *testing.T) {
	b := newTestEnv(t, setting.FencingChecked, "e1")
	v1 := b.apply("v1")
	address := busyListener(t).Addr().String()
	a := b.agent("host-1", []string{"e1"}, func(a *Agent) {
		dial := silence.Dialer(&net.Dialer{}, 0)
		client := &http.Client{Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) { return dial(ctx, network, address) },
		}}
		a.pooledClient, a.singleUseClient, a.prober = client, client, frozenProber(t)
	})
	a.awaitServing("e1", v1)
	requireFrozen(t, a, code.NotRun)
}

// TestEngineWhoseStateLiesUnreadStaysInService guards against an engine that is taken out of service, and its load order that is cancelled, because
// the agent was late to read its state, which lay in the connection.
func TestEngineWhoseStateLiesUnreadStaysInService(t *testing.T) {
	b := newTestEnv(t, setting.FencingChecked, "e1")
	v1 := b.apply("v1")
	a := b.agent("host-1", []string{"e1"}, func(a *Agent) {
		held := heldClient(stateTimeout + stateTimeout/4)
		a.engines = engine.NewClient(&http.Client{Transport: stateTransport{held.Transport}})
	})
	a.awaitServing("e1", v1)
}

// TestReadOfFrozenEnginesStateEnds guards against a read of the state that waits without an end for an engine that accepts the connection and
// answers nothing or a part, also on a reused connection, and against one that is not known as a timeout.
func TestReadOfFrozenEnginesStateEnds(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	freezing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, `{"boot_id":`)
		switch r.URL.Path {
		case "/partial/state":
			_ = http.NewResponseController(w).Flush()
			<-release
		case "/late/state":
			<-release
		}
		_, _ = io.WriteString(w, `"b"}`)
	}))
	defer freezing.Close()
	defer close(release)
	client := newStateClient()
	defer client.CloseIdleConnections()
	for _, base := range []string{freezing.URL + "/partial", freezing.URL + "/late", "http://" + frozenListener(t)} {
		state, err := engine.NewClient(client).State(t.Context(), freezing.URL)
		require.NoError(t, err)
		require.Equal(t, "b", state.BootID)
		startedAt := time.Now()
		_, err = engine.NewClient(client).State(t.Context(), base)
		require.ErrorIs(t, err, silence.ErrSilent, base)
		require.True(t, isTimeout(err))
		require.Less(t, time.Since(startedAt), stateCallTimeout)
	}
	_, err := engine.NewClient(client).State(t.Context(), "http://"+busyListener(t).Addr().String())
	require.True(t, isTimeout(err), "%v", err)
}

// closingTransport closes the connection of each call before anything is written to it.
type closingTransport struct{ next http.RoundTripper }

// RoundTrip sends a call, which fails.
func (c closingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { _ = info.Conn.Close() }}
	return c.next.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}

// TestRequestThatWasNeverWrittenDidNotRun guards against a request that is reported as possibly executed, so that its caller must not repeat it,
// although there was a connection only and nothing was written to it.
func TestRequestThatWasNeverWrittenDidNotRun(t *testing.T) {
	b := newTestEnv(t, setting.FencingChecked, "e1")
	v1 := b.apply("v1")
	a := b.agent("host-1", []string{"e1"}, func(a *Agent) {
		a.pooledClient = &http.Client{Transport: closingTransport{newUpstreamClient(true).Transport}}
		a.singleUseClient = &http.Client{Transport: closingTransport{newUpstreamClient(false).Transport}}
	})
	a.awaitServing("e1", v1)
	_, failed := a.generate("e1", "unwritten", 3)
	require.NotNil(t, failed)
	require.Equal(t, code.UpstreamDied, failed.code)
	require.Equal(t, code.NotRun, failed.ran)
}
