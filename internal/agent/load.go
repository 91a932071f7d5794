package agent

import (
	"context"
	"time"

	"samphireweir.example/samphireweir/internal/core"
	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/rollout"
	"samphireweir.example/samphireweir/internal/core/routing"
	"samphireweir.example/samphireweir/internal/core/run"
	"samphireweir.example/samphireweir/internal/engine"
	"samphireweir.example/samphireweir/internal/setting"
)

// cachePollInterval is the interval at which an engine's load and the events of its prefix cache are read.
const cachePollInterval = 500 * time.Millisecond

// recordLoad passes the load that an engine reported to the core. It ignores a state that could not be read.
func (a *Agent) recordLoad(upstream string, state engine.State, err error) {
	if err != nil {
		return
	}
	age := max(0, time.Since(time.UnixMilli(state.Load.AsOfMS)))
	a.Loop.Step(run.LoadRead{Upstream: upstream, Running: state.Load.Running, Waiting: state.Load.Waiting, Age: age})
}

// loadReport returns the load of the run's upstream. If ended is set, the report leaves out the run itself.
func (a *Agent) loadReport(x *execution, ended bool) *routing.Report {
	r := a.upstreamLoadReport(x.start.Upstream, x.env.CachePosition)
	if ended && r.Running > 0 && a.isCounted(x.start.ID) {
		r.Running--
	}
	return r
}

// isCounted reports whether the core still counts a run as running.
func (a *Agent) isCounted(id run.ID) bool {
	counted := false
	a.Loop.View(func(s *core.State) { _, counted = s.Runs.Running[id] })
	return counted
}

// upstreamLoadReport returns the load of an upstream and the changes of its prefix cache since seen.
func (a *Agent) upstreamLoadReport(upstream string, seen routing.CachePosition) *routing.Report {
	var r routing.Report
	a.Loop.View(func(s *core.State) { r = s.Runs.Load.Report(time.Now(), upstream, seen) })
	return &r
}

// pollEngines reads the load of the serving engines and the changes of their prefix caches until ctx ends.
func (a *Agent) pollEngines(ctx context.Context) {
	cursors := map[string]int64{}
	t := time.NewTicker(cachePollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			a.pollEnginesOnce(ctx, cursors)
		}
	}
}

func (a *Agent) pollEnginesOnce(ctx context.Context, cursors map[string]int64) {
	var serving []rollout.Upstream
	a.Loop.View(func(s *core.State) {
		for _, name := range s.Rollout.UpstreamNames {
			u := s.Rollout.Upstreams[name]
			if u.Kind == setting.Engine && u.Phase == member.Serving {
				serving = append(serving, *u)
			}
		}
	})
	for _, u := range serving {
		a.pollEngine(ctx, u, cursors)
	}
}

func (a *Agent) pollEngine(ctx context.Context, u rollout.Upstream, cursors map[string]int64) {
	callCtx, cancel := context.WithTimeout(ctx, stateCallTimeout)
	defer cancel()
	state, err := a.readEngineState(callCtx, u.Name, u.URL)
	a.recordLoad(u.Name, state, err)
	if err != nil {
		return
	}
	batch, err := a.engines.CacheEvents(callCtx, u.URL, cursors[u.Name])
	if err != nil {
		return
	}
	cursors[u.Name] = batch.Next
	ev := run.CacheRead{Upstream: u.Name, BootID: state.BootID}
	for _, e := range batch.Events {
		if prefix, ok := routing.ParsePrefix(e.Prefix); ok {
			ev.Events = append(ev.Events, routing.CacheEvent{Prefix: prefix, Evicted: e.Kind == engine.EvictedKind})
		}
	}
	a.Loop.Step(ev)
}
