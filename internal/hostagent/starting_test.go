package hostagent_test

import (
	"fmt"
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

// TestAHostThatStartsDoesNotTakeItselfForTheFirst is the pattern of a fleet that has lost power: a host hears from an entry of a version before it
// knows the other hosts. Ten hosts share the asking of the origin, and it is not this one's turn.
func TestAHostThatStartsDoesNotTakeItselfForTheFirst(t *testing.T) {
	t.Parallel()
	var asked atomic.Int64
	origin := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asked.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer origin.Close()
	var log standin.Log
	host := hostconfig.Host{
		Name: "a", IP: "127.0.0.1", PeerPort: 7700, DataCentre: "perth-a", Engine: "127.0.0.1:1", EngineService: "model", VersionTime: longVersionTime,
		Memory: 64 << 20, Link: 1 << 20,
	}
	a := hostagent.New(host, zerolog.New(&log), telemetry.NewMetrics(), nil)
	m := catalog.NewManifest(1, nil, nil)
	m.Services["model"] = &catalog.Service{Name: "model", Engine: &catalog.Engine{Models: []string{"m"}}}
	m.Services["weights"] = &catalog.Service{Name: "weights", Origin: strings.TrimPrefix(origin.URL, "http://")}
	a.Step(catalog.ManifestRead{Revision: 1, Manifest: m})
	a.Step(catalog.VersionNamed{Model: "m", Version: 2, Revision: 52})
	time.Sleep(100 * time.Millisecond) // The others become known a moment later.
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
