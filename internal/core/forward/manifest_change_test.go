package forward_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/storerev"
)

// changingManifests returns manifests that differ in what requests that wait depend on: priorities, homes, accounts, routes, services,
// models and the engines' memory.
func changingManifests() []*catalog.Manifest {
	var list []*catalog.Manifest
	for variant := range 7 {
		var routes []*catalog.Route
		for p := range 4 {
			route := &catalog.Route{
				Name: fmt.Sprint(p), Host: "h", Prefix: fmt.Sprintf("/%d/", p), Kind: catalog.Streaming, Resumable: true, MaxUpstreams: 2, Shares: share("model"),
				Timeout: 6 * time.Second, Objective: 800 * time.Millisecond, CallerTimeout: 3 * time.Second, Priority: p,
			}
			switch {
			case variant == 1:
				route.Priority = 0
			case variant == 2 && p == 1:
				route.HomeRegions = []string{"southwest"}
			case variant == 3 && p == 2:
				route.Shares = share("plain")
			case variant == 4 && p == 3:
				continue
			}
			routes = append(routes, route)
		}
		accounts := map[string]*catalog.ClientAccount{"0": {Name: "a"}, "1": {Name: "b"}}
		if variant == 5 {
			delete(accounts, "1")
		}
		m := catalog.NewManifest(int64(variant+2), routes, accounts)
		m.HasAccounts = true
		m.Services["model"] = &catalog.Service{Name: "model", Engine: &catalog.Engine{Slots: 4, PromptTokensPerSecond: 20000, MeanPromptTokens: 1000, Models: []string{"m"}}}
		if variant == 6 {
			m.Services["model"].Engine.MemoryTokens = 1500
		}
		if variant == 2 {
			m.Services["model"].Engine.Models = []string{"m", "n"}
		}
		list = append(list, m)
	}
	return list
}

// TestManifestChangesWhileRequestsWait: two outages with predicted ends, a full service between them, and a new manifest every 50 ms.
// Guards against requests that wait in two places, are lost, or wait beyond what their callers do, and against counts that stay.
func TestManifestChangesWhileRequestsWait(t *testing.T) {
	for seed := range uint64(3) {
		random := rand.New(rand.NewPCG(seed, 1))
		r, manifests := newRig(), changingManifests()
		revision := int64(10)
		change := func() {
			revision++
			r.applyCatalog(catalog.ManifestRead{Revision: storerev.Revision{Number: revision}, Manifest: manifests[random.IntN(len(manifests))]})
		}
		change()
		r.add("plain", "plain", "perth-a", 1)
		for i := range 6 {
			r.add(fmt.Sprint(i), "model", []string{"perth-a", "bunbury-a"}[i%2], 4)
		}
		waiting, with := map[uint64]time.Duration{}, map[uint64]bool{}
		note := func(effects []step.Effect) {
			for _, e := range effects {
				switch e := e.(type) {
				case forward.Accepted:
					waiting[e.ID] = r.now
				case forward.Send:
					require.Contains(t, waiting, e.ID, "sent once")
					delete(waiting, e.ID)
					with[e.ID] = true
				case forward.Refuse:
					require.NotContains(t, with, e.ID, "not run")
					delete(waiting, e.ID)
				}
			}
		}
		held := 0
		for id := uint64(1); id <= 3000; id++ {
			r.now += 2 * time.Millisecond
			if id%25 == 0 {
				change()
			}
			if id%10 == 0 {
				note(r.step(step.Tick{}))
			}
			out := r.now%(3*time.Second) < 1500*time.Millisecond
			report := forward.LoadReported{Address: fmt.Sprint(id % 6), RequestCount: int(id % 5), Versions: map[string]int64{"m": 1}, Entries: 1, NearEntries: 1}
			if out {
				report.Versions, report.ReadyIn, report.ReadyVersion = nil, 1500*time.Millisecond-r.now%(3*time.Second), 1
			}
			note(r.step(report))
			note(r.step(forward.Arrived{
				ID: id, Host: "h", Path: fmt.Sprintf("/%d/x", random.IntN(4)), Key: fmt.Sprint(random.IntN(2)), Model: []string{"m", "n"}[random.IntN(20)/19],
				Budget: time.Duration(2+random.IntN(5)) * time.Second, PromptTokens: random.IntN(2000),
			}))
			for _, ended := range slices.Sorted(maps.Keys(with)) {
				if random.IntN(100) == 0 {
					delete(with, ended)
					note(r.step(forward.AttemptEnded{ID: ended, Outcome: forward.Answered}))
				}
			}
			for _, gone := range slices.Sorted(maps.Keys(waiting)) {
				require.Less(t, r.now-waiting[gone], 2800*time.Millisecond)
				if random.IntN(500) == 0 {
					delete(waiting, gone)
					note(r.step(forward.CallerGone{ID: gone}))
				}
			}
			queued := 0
			for _, n := range r.state.Waiting() {
				queued += n
			}
			held = max(held, r.state.WaitingForEnd())
			require.Equal(t, len(waiting), queued+r.state.WaitingForEnd(), "each waits in one place")
			require.Equal(t, len(waiting)+len(with), r.state.InFlight())
		}
		require.Greater(t, held, 10)
	}
}
