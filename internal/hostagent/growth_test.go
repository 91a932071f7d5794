package hostagent_test

import (
	"encoding/json"
	"fmt"
	"math"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/install"
	"samphireweir.example/samphireweir/internal/core/storerev"
	"samphireweir.example/samphireweir/internal/hostagent"
	"samphireweir.example/samphireweir/internal/manifest"
	"samphireweir.example/samphireweir/platform/standin"
)

// addVersion gives an agent the chunk manifest of a version with many chunks.
func addVersion(t *testing.T, a *hostagent.Agent) {
	t.Helper()
	m := &manifest.Manifest{Model: "m", Version: "2", SHA256: strings.Repeat("ab", 32), ChunkSize: 4}
	for i := range 64 {
		m.Chunks = append(m.Chunks, manifest.Chunk{SHA256: fmt.Sprintf("%064x", i+1), Size: 4})
		m.Size += 4
	}
	raw, err := json.Marshal(m)
	require.NoError(t, err)
	a.Step(install.VersionActivated{Model: "m", Version: 2})
	require.NoError(t, a.AddManifest("m", 2, raw, m))
}

// allocatedByUpstreamList returns how many bytes an agent that fetches a version allocates when it reads a list of n upstreams for the first time.
func allocatedByUpstreamList(t *testing.T, n int) float64 {
	t.Helper()
	var upstreams []*catalog.Upstream
	for i := range n {
		upstreams = append(upstreams, &catalog.Upstream{
			ID: fmt.Sprintf("i-%d", i), Service: "model", Address: fmt.Sprintf("10.%d.%d.%d:8080", i%5, i/200, i%200+1), DataCentre: fmt.Sprintf("dc-%d", i%5), Revision: storerev.Revision{Number: 1},
		})
	}
	minAllocated := math.Inf(1)
	for range 3 { // Other tests may run in parallel and allocate too.
		var log standin.Log
		a := newStartingAgent(&log, "127.0.0.1", 7700, "http://127.0.0.1:1")
		addVersion(t, a)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		a.Step(catalog.UpstreamsListed{Revision: storerev.Revision{Number: 1}, Upstreams: upstreams})
		a.Tick()
		runtime.ReadMemStats(&after)
		minAllocated = min(minAllocated, float64(after.TotalAlloc-before.TotalAlloc))
	}
	return minAllocated
}

// TestUpstreamListCostGrowsLinearly guards against an agent that recomputes its peers for each upstream of a list. The cost was then
// quadratic: a fleet of twice the size took four times as long to start and to serve requests.
func TestUpstreamListCostGrowsLinearly(t *testing.T) {
	const small, large = 150, 1200
	smallBytes, largeBytes := allocatedByUpstreamList(t, small), allocatedByUpstreamList(t, large)
	exponent := math.Log(largeBytes/smallBytes) / math.Log(float64(large)/small)
	t.Logf("%.0f bytes for %d upstreams, %.0f for %d: power %.2f", smallBytes, small, largeBytes, large, exponent)
	require.LessOrEqual(t, exponent, 1.2)
}
