package agent

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"samphireweir.example/samphireweir/internal/core/rollout"
	"samphireweir.example/samphireweir/internal/setting"
	"samphireweir.example/samphireweir/internal/standin/objectapi"
)

// measuredLoadTime is the minimum duration of each load in a measured rollout.
const measuredLoadTime = time.Second

// BenchmarkRollout measures rollouts of a new version over hosts with one engine each, with the default timing: the
// duration, its ratio to that of engines / max_unavailable loads in sequence, and the calls to the object API. Each
// iteration is one rollout. All agents run in this process.
//
//	go test -run '^$' -bench Rollout -benchtime 3x ./internal/agent
func BenchmarkRollout(b *testing.B) {
	for _, size := range []struct{ engines, maxUnavailable int }{{8, 2}, {16, 4}, {32, 8}, {64, 16}, {32, 4}, {32, 16}} {
		b.Run(fmt.Sprintf("engines=%d/away=%d", size.engines, size.maxUnavailable), func(b *testing.B) {
			measureRollouts(b, size.engines, size.maxUnavailable)
		})
	}
}

func measureRollouts(b *testing.B, engines, maxUnavailable int) {
	var names []string
	for i := range engines {
		names = append(names, fmt.Sprint("e", i))
	}
	env := buildTestEnv(b, setting.FencingChecked, names...)
	env.setting.MaxUnavailable = maxUnavailable
	first := env.apply("v0")
	var agents []*testAgent
	for i, name := range names {
		agents = append(agents, env.agent(fmt.Sprint("host-", i), []string{name}, func(a *Agent) {
			a.config.Orders = rollout.Timing{}
			slowLoadsBy(measuredLoadTime)(a)
		}))
	}
	for i, a := range agents {
		a.awaitServing(names[i], first)
	}
	time.Sleep(2 * time.Second) // Slots of the initial loads, if any, are released.
	before := env.objectStats()
	b.ResetTimer()
	for n := range b.N {
		digest := env.apply(fmt.Sprint("v", n+1))
		for i, a := range agents {
			a.awaitServing(names[i], digest)
		}
	}
	took := b.Elapsed()
	b.StopTimer()
	time.Sleep(2 * time.Second)
	after := env.objectStats()
	runs := float64(b.N)
	ideal := measuredLoadTime * time.Duration(engines/maxUnavailable)
	b.ReportMetric(took.Seconds()/runs, "s/rollout")
	b.ReportMetric(took.Seconds()/runs/ideal.Seconds(), "times-ideal")
	b.ReportMetric(float64(after.Writes-before.Writes)/runs, "writes/rollout")
	b.ReportMetric(float64(after.Conflicts-before.Conflicts)/runs, "conflicts/rollout")
	b.ReportMetric(float64(after.Reads-before.Reads)/runs, "reads/rollout")
}

// objectStats returns the counts of calls to the object API.
func (b *testEnv) objectStats() objectapi.Stats {
	resp, err := http.Get(b.objects.URL + "/admin/stats")
	if err != nil {
		b.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		b.t.Fatal(err)
	}
	var s objectapi.Stats
	if err := json.Unmarshal(raw, &s); err != nil {
		b.t.Fatal(err)
	}
	return s
}
