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
	"samphireweir.example/samphireweir/internal/hostagent"
	"samphireweir.example/samphireweir/internal/hostconfig"
	"samphireweir.example/samphireweir/internal/telemetry"
	"samphireweir.example/samphireweir/platform/standin"
)

// othersKnownAfter is how long after a host has heard of a version it knows the other hosts.
const othersKnownAfter = 100 * time.Millisecond

// TestAHostThatStartsDoesNotTakeItselfForTheFirst is the pattern of a fleet that has lost power: a host hears from an entry of a version before it
// knows the other hosts. Ten hosts share the asking of the origin, and it is not this one's turn. The wait is long here: a machine that stands
// still for seconds must not use it up before the others are told.
func TestAHostThatStartsDoesNotTakeItselfForTheFirst(t *testing.T) {
	t.Parallel()
	var asked atomic.Int64
	origin := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asked.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer origin.Close()
	var log standin.Log
	a := startingAgent(&log, "127.0.0.1", 7700, origin.URL)
	a.WaitUpTo(patience)
	require.GreaterOrEqual(t, hostagent.StartWait, 10*othersKnownAfter, "the product waits for longer than the others need")
	a.Step(catalog.VersionNamed{Model: "m", Version: 2, Revision: 52})
	time.Sleep(othersKnownAfter)
	var upstreams []*catalog.Upstream
	for _, p := range append(before(t, 9), agentSelf) {
		upstreams = append(upstreams, &catalog.Upstream{ID: p, Service: "model", Address: p, DataCentre: "perth-a", Revision: 1})
	}
	a.Step(catalog.UpstreamsListed{Revision: 1, Upstreams: upstreams})
	require.Eventually(t, func() bool { return log.Has("the peers asked do not know the version yet") }, patience, 10*time.Millisecond)
	require.Zero(t, asked.Load())
}

// before returns n hosts that come before this agent's in the order of version 2.
func before(t *testing.T, n int) []string {
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

// TestAHostThatAsksTheOriginHearsFromOthersMeanwhile is the pattern of an origin that comes back under load: it keeps the question of one host for
// as long as that waits, and has answered another. The origin never answers and the question to it stays open as long as the test has: only the
// questions to others can end it, however slow the machine is.
func TestAHostThatAsksTheOriginHearsFromOthersMeanwhile(t *testing.T) {
	t.Parallel()
	over, asked := make(chan struct{}), make(chan struct{}, 8)
	origin := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		asked <- struct{}{}
		<-over
	}))
	t.Cleanup(origin.Close)
	t.Cleanup(func() { close(over) })
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	port := peer.Addr().(*net.TCPAddr).Port
	raw := []byte(`{"model":"m","version":"2","size":4,"chunk_size":4,"sha256":"` + strings.Repeat("ab", 32) + `","chunks":[{"sha256":"` + strings.Repeat("ab", 32) + `","size":4}]}`)
	var knows atomic.Bool
	server := &http.Server{ReadHeaderTimeout: patience, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !knows.Load() {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write(raw)
	})}
	go func() { _ = server.Serve(peer) }()
	t.Cleanup(func() { _ = server.Close() })
	var log standin.Log
	ip := after(t, fmt.Sprintf("127.0.0.1:%d", port), port)
	a := startingAgent(&log, ip, port, origin.URL)
	a.WaitUpTo(2 * patience)
	a.Step(catalog.UpstreamsListed{Revision: 1, Upstreams: []*catalog.Upstream{
		{ID: "peer", Service: "model", Address: "127.0.0.1:1", DataCentre: "perth-a", Revision: 1},
		{ID: "self", Service: "model", Address: ip + ":1", DataCentre: "perth-a", Revision: 1},
	}})
	a.Step(catalog.VersionNamed{Model: "m", Version: 2, Revision: 52})
	<-asked
	knows.Store(true)
	require.Eventually(t, func() bool { return log.Has(`"fetching"`) }, patience, 10*time.Millisecond)
	require.False(t, log.Has("from the origin"), "the origin was not waited for")
}

// after returns an IP address whose host comes after another in the order of version 2.
func after(t *testing.T, first string, port int) string {
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

// startingAgent is an agent that knows the manifest, which names an origin, and no other host.
func startingAgent(log *standin.Log, ip string, port int, origin string) *hostagent.Agent {
	a := hostagent.New(hostconfig.Host{
		Name: "a", IP: ip, PeerPort: port, DataCentre: "perth-a", Engine: "127.0.0.1:1", EngineService: "model", VersionTime: longVersionTime,
		Memory: 64 << 20, Link: 1 << 20,
	}, zerolog.New(log), telemetry.NewMetrics(), nil)
	m := catalog.NewManifest(1, nil, nil)
	m.Services["model"] = &catalog.Service{Name: "model", Engine: &catalog.Engine{Models: []string{"m"}}}
	m.Services["weights"] = &catalog.Service{Name: "weights", Origin: strings.TrimPrefix(origin, "http://")}
	a.Step(catalog.ManifestRead{Revision: 1, Manifest: m})
	return a
}
