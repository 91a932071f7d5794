package forward_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
)

// newSlowFleet returns an entry with a slow engine nearby and a normal one far away, with four slots each.
func newSlowFleet(slowdown float64) *rig {
	r := newRig()
	r.state.Catalog.Manifest.Services["model"] = &catalog.Service{Name: "model", Engine: &catalog.Engine{PromptTokensPerSecond: 20000, MeanPromptTokens: 1000}}
	r.add("slow", "model", "perth-a", 4)
	r.add("far", "model", "bunbury-a", 4)
	r.step(forward.LoadReported{Address: "slow", Versions: map[string]int64{"m": 1}, Entries: 2, NearEntries: 1, Slowdown: slowdown})
	r.step(forward.LoadReported{Address: "far", Versions: map[string]int64{"m": 1}, Entries: 2, NearEntries: 1})
	return r
}

// TestSlowEngineIsUsedLast guards against requests to a near engine that reports a slowdown while another one has capacity. At a
// slowdown of 2.5, at least half of the requests were late.
func TestSlowEngineIsUsedLast(t *testing.T) {
	r := newSlowFleet(2.5)
	require.Equal(t, "far", only[forward.Send](t, r.arrive(1, resumableStream)).Upstream.ID)
	var used []string
	for id := uint64(2); id < 5; id++ {
		for _, send := range sentAttempts(r.arrive(id, resumableStream)) {
			used = append(used, send.Upstream.ID)
		}
	}
	require.Contains(t, used, "slow", "it is used once the others are full")
	r = newSlowFleet(1.1)
	require.Equal(t, "slow", only[forward.Send](t, r.arrive(1, resumableStream)).Upstream.ID, "a small slowdown does not outweigh the distance")
}

// TestSlowEngineGetsFewerPromptTokens guards against prompts that wait for each other at an engine whose prefill is slower than its
// service declares.
func TestSlowEngineGetsFewerPromptTokens(t *testing.T) {
	sent := func(slowdown float64) int {
		r := newRig()
		r.state.Catalog.Manifest.Services["model"] = &catalog.Service{Name: "model", Engine: &catalog.Engine{PromptTokensPerSecond: 100000, MeanPromptTokens: 1000}}
		r.add("m1", "model", "perth-a", 100)
		n := 0
		for id := range uint64(20) {
			r.step(forward.LoadReported{Address: "m1", Versions: map[string]int64{"m": 1}, Entries: 1, NearEntries: 1, Slowdown: slowdown, RequestCount: n})
			ev := forward.Arrived{ID: id + 1, Host: "h", Path: resumableStream, Key: "key-1", Model: "m", PromptTokens: 1000}
			n += len(sentIDs(r.step(ev)))
		}
		return n
	}
	require.Equal(t, 9, sent(1), "the prompts processed in 90 ms")
	require.Equal(t, 3, sent(3))
	require.Equal(t, 9, sent(0.2), "a slowdown below 1 is ignored")
}

// TestSlowdownFollowsTheLatestReport guards against an engine that stays slow for an entry after its agent reports another
// slowdown, or none.
func TestSlowdownFollowsTheLatestReport(t *testing.T) {
	r := newSlowFleet(2.5)
	r.now = 200 * time.Millisecond
	r.step(forward.LoadReported{Address: "slow", Versions: map[string]int64{"m": 1}, Entries: 2, NearEntries: 1, Slowdown: 1})
	require.Equal(t, "slow", only[forward.Send](t, r.arrive(1, resumableStream)).Upstream.ID, fmt.Sprint(r.now))
}
