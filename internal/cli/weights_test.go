package cli

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core"
	"samphireweir.example/samphireweir/internal/node"
)

// TestWeightsPrintsABurst checks the output for a burst: a row for each data centre with its sources and the expected time, and the hosts
// that are stuck with the reason.
func TestWeightsPrintsABurst(t *testing.T) {
	view := core.BurstView{Bursts: []core.FleetBurst{{
		Services: []string{"karrakin/summary-model"}, Model: "summary", Adapter: "none", Version: "v1", Digest: "abcdef", Policy: "time",
		Places: []core.PlaceBurst{
			{Place: "perth-a", Wanted: 2, Hosts: 2, Holding: 2, Serving: 2, Percent: 100, From: [4]int64{5e6, 0, 1e6, 2e6}},
			{Place: "bunbury-a", Wanted: 2, Hosts: 2, Holding: 1, Percent: 75, Rate: 3e6, LeftMS: 1500},
			{Place: "karratha-a", Wanted: 1, Hosts: 1, Stuck: []core.StuckHost{{Host: "host-3", Code: code.MemoryTooSmall, Text: "raise it"}}},
		},
	}}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+node.BurstsPath, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(view)
	})
	s := httptest.NewServer(mux)
	defer s.Close()
	c := weightsCommand{operators: strings.TrimPrefix(s.URL, "http://")}
	out := &strings.Builder{}
	require.NoError(t, c.show(context.Background(), out))
	lines := strings.Split(out.String(), "\n")
	require.Contains(t, lines[0], "summary/none/v1  digest abcdef  policy time")
	require.Contains(t, lines[2], "5/0/1/2")
	require.Contains(t, lines[2], "done")
	require.Contains(t, lines[3], "1.5s")
	require.Contains(t, lines[4], "stuck")
	require.Contains(t, lines[5], "host-3 in karratha-a: 4008 memory too small")
	c.model = "other"
	out.Reset()
	require.NoError(t, c.show(context.Background(), out))
	require.Contains(t, out.String(), "no setting")
}
