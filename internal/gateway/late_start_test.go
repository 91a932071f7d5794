package gateway_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/platform/standin"
)

// silentUpstream is an upstream that can fall silent: it then accepts no connections and reads nothing. When it goes on, it starts what was sent
// to it meanwhile, also if the connection was closed. With weights it has version 1 of them.
type silentUpstream struct {
	listener net.Listener
	// awake is locked while the upstream is silent.
	awake sync.RWMutex

	mu sync.Mutex
	// started holds the times at which requests were started, and truncated counts those that were not received completely.
	started   []time.Time
	truncated int
}

// newSilentUpstream starts an upstream and has the fleet register those that are added next at its address.
func newSilentUpstream(t *testing.T, fleet *standin.Fleet) *silentUpstream {
	l, err := net.Listen("tcp", standin.NextIP()+":0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	u := &silentUpstream{listener: l}
	fleet.RegisteredAddress = func(string) string { return l.Addr().String() }
	go u.accept()
	return u
}

// fallSilent makes the upstream silent until goOn is called.
func (u *silentUpstream) fallSilent() (goOn func()) {
	u.awake.Lock()
	return u.awake.Unlock
}

// waitWhileSilent returns when the upstream is awake.
func (u *silentUpstream) waitWhileSilent() {
	u.awake.RLock()
	defer u.awake.RUnlock()
}

func (u *silentUpstream) accept() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.waitWhileSilent()
		go u.serve(c)
	}
}

// serve handles one request.
func (u *silentUpstream) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(pausedReader{c, u}))
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
	}
	u.mu.Lock()
	if err != nil {
		u.truncated++
		u.mu.Unlock()
		return
	}
	u.started = append(u.started, time.Now())
	u.mu.Unlock()
	body, contentType := "answer", "text/plain"
	if strings.HasPrefix(r.URL.Path, "/stream/") {
		body, contentType = streamBody(3), "text/event-stream"
	}
	u.waitWhileSilent()
	_ = standin.WriteAnswer(c, r, contentType, body)
}

// received returns the number of requests that were started and of those that were truncated.
func (u *silentUpstream) received() (started, truncated int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.started), u.truncated
}

// startedAfter counts the requests that were started after a time.
func (u *silentUpstream) startedAfter(limit time.Time) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for _, at := range u.started {
		if at.After(limit) {
			n++
		}
	}
	return n
}

// pausedReader reads from a connection and returns nothing while the upstream is silent.
type pausedReader struct {
	net.Conn
	upstream *silentUpstream
}

// Read implements io.Reader.
func (r pausedReader) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	r.upstream.waitWhileSilent()
	return n, err
}

// TestSilentUpstreamDoesNotRunAbandonedRequest guards against a request that its upstream receives completely and runs after the caller has
// left: the rest of a body that the upstream had not read when the entry closed the connection was still delivered. The body is larger than
// what the kernel holds for an upstream that reads nothing.
func TestSilentUpstreamDoesNotRunAbandonedRequest(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	upstream := newSilentUpstream(t, fleet)
	fleet.AddService("i-desk")
	e := start(t, fleet)
	require.Equal(t, http.StatusOK, e.Post("/again/1").Status)
	goOn := upstream.fallSilent()
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	r := e.Do(ctx, standin.Request{Path: "/once/1", Body: strings.Repeat("x", 900<<10)})
	require.Error(t, r.Err, "the caller leaves")
	time.Sleep(200 * time.Millisecond) // The entry notices that at once, and closes its connection.
	goOn()
	require.Eventually(t, func() bool {
		started, truncated := upstream.received()
		return started+truncated == 2
	}, testTimeout, pollInterval)
	started, _ := upstream.received()
	require.Equal(t, 1, started, "the abandoned request must not run")
}

// TestSilentEngineStartsNothingOnAnExpiredVersion guards against requests that an engine starts on an expired version. It is silent from before
// the withdrawal of such requests until after the expiry, so that it notices the withdrawal too late.
func TestSilentEngineStartsNothingOnAnExpiredVersion(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	fleet.Slots = 64 // While the engine with version 2 is full, others are used as well.
	fleet.WriteManifest()
	old := newSilentUpstream(t, fleet)
	fleet.AddEngine("i-0", standin.NextIP(), 1)
	fleet.RegisteredAddress = nil
	next := fleet.AddEngine("i-1", standin.NextIP(), 2)
	host := fleet.Host(standin.NextIP(), false)
	host.VersionLifetime = 4 * time.Second
	e := startHost(t, fleet, host)
	time.Sleep(watchDelay) // By now the entry watches the store, and sees the version at once.
	fleet.ActivateVersion(2)
	expiry := time.Now().Add(host.VersionLifetime)
	var replies sync.WaitGroup
	postUntil := func(end time.Time) {
		for time.Now().Before(end) {
			replies.Go(func() {
				if r := e.Post("/stream/1"); r.Err != nil || r.Status != http.StatusOK {
					t.Errorf("%s: status %d, %v", r.ID, r.Status, r.Err)
				}
			})
			time.Sleep(2 * pollInterval)
		}
	}
	postUntil(expiry.Add(-1400 * time.Millisecond))
	started, _ := old.received()
	require.Positive(t, started)
	goOn := old.fallSilent()
	postUntil(expiry.Add(100 * time.Millisecond))
	goOn()
	replies.Wait()
	time.Sleep(watchDelay) // The engine has started by now what it received.
	require.Zero(t, old.startedAfter(expiry))
	require.Positive(t, next.CompletedStreams())
}

// TestRequestThatMustNotStartIsNotConnected guards against a request that reaches an upstream after its caller has left or the upstream's version
// has expired: the upstream accepts no connection until then.
func TestRequestThatMustNotStartIsNotConnected(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		// patience is how long the caller waits, and versionLifetime how long after version 2 is activated version 1 is valid.
		patience, versionLifetime time.Duration
		accepted                  time.Duration
	}{
		{"caller left", 500 * time.Millisecond, time.Minute, 700 * time.Millisecond},
		{"version expired", 3 * time.Second, time.Second, 1200 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			fleet, l := standin.NewFleet(t), newSilentListener(t)
			fleet.RegisteredAddress = func(string) string { return l.address }
			engine := fleet.AddEngine("i-0", standin.NextIP(), 1)
			host := fleet.Host(standin.NextIP(), false)
			host.VersionLifetime = c.versionLifetime
			e := startHost(t, fleet, host)
			time.Sleep(watchDelay) // By now the entry watches the store, and sees the version at once.
			ctx, cancel := context.WithTimeout(context.Background(), c.patience)
			defer cancel()
			replies := make(chan standin.Reply, 1)
			go func() { replies <- e.Do(ctx, standin.Request{Path: "/stream/1"}) }()
			time.Sleep(100 * time.Millisecond)
			fleet.ActivateVersion(2)
			time.Sleep(c.accepted)
			l.serve(t, engine)
			r := <-replies
			require.NotEqual(t, http.StatusOK, r.Status)
			time.Sleep(2 * time.Second) // Connecting would have succeeded by now.
			require.Zero(t, engine.ArrivalCount())
		})
	}
}
