package hostagent_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/storerev"
	"samphireweir.example/samphireweir/internal/hostagent"
	"samphireweir.example/samphireweir/internal/hostconfig"
	"samphireweir.example/samphireweir/internal/telemetry"
	"samphireweir.example/samphireweir/platform/standin"
)

// peersKnownAfter is how long after the host of the test has learned of a version it learns of the other hosts.
const peersKnownAfter = 100 * time.Millisecond

// TestStartingHostWaitsForPeersBeforeAskingOrigin guards against hosts that all ask the origin after a power loss of the fleet. A host learns
// of a version from an entry before it knows the other hosts, and could consider itself the first. This host is the last of ten, so that it
// isn't its turn. The timeout is long here, so that a test machine that freezes for seconds does not use it up before the other hosts are known.
func TestStartingHostWaitsForPeersBeforeAskingOrigin(t *testing.T) {
	t.Parallel()
	var originRequests atomic.Int64
	origin := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		originRequests.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer origin.Close()
	var log standin.Log
	a := newStartingAgent(&log, "127.0.0.1", 7700, origin.URL)
	a.SetTimeouts(testTimeout)
	require.GreaterOrEqual(t, hostagent.DiscoveryTimeout, 10*peersKnownAfter, "the default timeout is longer than discovery needs")
	a.Step(catalog.VersionActivated{Model: "m", Version: 2, Revision: storerev.Revision{Number: 52}})
	time.Sleep(peersKnownAfter)
	var upstreams []*catalog.Upstream
	for _, p := range append(earlierPeers(t, 9), agentSelf) {
		upstreams = append(upstreams, &catalog.Upstream{ID: p, Service: "model", Address: p, DataCentre: "perth-a", Revision: storerev.Revision{Number: 1}})
	}
	a.Step(catalog.UpstreamsListed{Revision: storerev.Revision{Number: 1}, Upstreams: upstreams})
	require.Eventually(t, func() bool { return log.Contains("no queried peer knows the version yet") }, testTimeout, 10*time.Millisecond)
	require.Zero(t, originRequests.Load())
}

// earlierPeers returns n hosts that precede this agent's in the rendezvous order of version 2.
func earlierPeers(t *testing.T, n int) []string {
	t.Helper()
	var list []string
	for i := 2; i < 250 && len(list) < n; i++ {
		peer := fmt.Sprintf("127.0.0.%d:7700", i)
		if step.Position("m/2", agentSelf, []string{agentSelf, peer}) == 1 {
			list = append(list, peer)
		}
	}
	require.Len(t, list, n)
	return list
}

// TestHostWaitingForOriginAcceptsPeerResponse guards against a host that waits for an overloaded origin although a peer has the chunk
// manifest by now. The origin never responds and its timeout exceeds that of the test, so that only a peer's response can end the wait,
// however slow the machine is.
func TestHostWaitingForOriginAcceptsPeerResponse(t *testing.T) {
	t.Parallel()
	done, originAsked := make(chan struct{}), make(chan struct{}, 8)
	origin := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		originAsked <- struct{}{}
		<-done
	}))
	t.Cleanup(origin.Close)
	t.Cleanup(func() { close(done) })
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	port := peer.Addr().(*net.TCPAddr).Port
	raw := []byte(`{"model":"m","version":"2","size":4,"chunk_size":4,"sha256":"` + strings.Repeat("ab", 32) + `","chunks":[{"sha256":"` + strings.Repeat("ab", 32) + `","size":4}]}`)
	var hasManifest atomic.Bool
	server := &http.Server{ReadHeaderTimeout: testTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !hasManifest.Load() {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write(raw)
	})}
	go func() { _ = server.Serve(peer) }()
	t.Cleanup(func() { _ = server.Close() })
	var log standin.Log
	ip := laterIP(t, fmt.Sprintf("127.0.0.1:%d", port), port)
	a := newStartingAgent(&log, ip, port, origin.URL)
	a.SetTimeouts(2 * testTimeout)
	a.Step(catalog.UpstreamsListed{Revision: storerev.Revision{Number: 1}, Upstreams: []*catalog.Upstream{
		{ID: "peer", Service: "model", Address: "127.0.0.1:1", DataCentre: "perth-a", Revision: storerev.Revision{Number: 1}},
		{ID: "self", Service: "model", Address: ip + ":1", DataCentre: "perth-a", Revision: storerev.Revision{Number: 1}},
	}})
	a.Step(catalog.VersionActivated{Model: "m", Version: 2, Revision: storerev.Revision{Number: 52}})
	<-originAsked
	hasManifest.Store(true)
	require.Eventually(t, func() bool { return log.Contains(`"fetching"`) }, testTimeout, 10*time.Millisecond)
	require.False(t, log.Contains("from the origin"), "the host did not wait for the origin")
}

// laterIP returns an IP address whose host follows another in the rendezvous order of version 2.
func laterIP(t *testing.T, first string, port int) string {
	t.Helper()
	for i := 2; i < 250; i++ {
		ip := fmt.Sprintf("127.0.0.%d", i)
		self := fmt.Sprintf("%s:%d", ip, port)
		if step.Position("m/2", self, []string{first, self}) == 1 {
			return ip
		}
	}
	t.Fatal("no address comes after the other")
	return ""
}

// newStartingAgent returns an agent that knows no other host. It knows a configuration manifest, which contains the origin's address.
func newStartingAgent(log *standin.Log, ip string, port int, origin string) *hostagent.Agent {
	a := hostagent.New(hostconfig.Host{
		Name: "a", IP: ip, PeerPort: port, DataCentre: "perth-a", Engine: "127.0.0.1:1", EngineService: "model", VersionLifetime: longVersionLifetime,
		MemoryBytes: 64 << 20, LinkBytesPerSecond: 1 << 20,
	}, zerolog.New(log), telemetry.NewMetrics(), nil)
	m := catalog.NewManifest(1, nil, nil)
	m.Services["model"] = &catalog.Service{Name: "model", Engine: &catalog.Engine{Models: []string{"m"}}}
	m.Services["weights"] = &catalog.Service{Name: "weights", Origin: strings.TrimPrefix(origin, "http://")}
	a.Step(catalog.ManifestRead{Revision: storerev.Revision{Number: 1}, Manifest: m})
	return a
}
