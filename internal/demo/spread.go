package demo

import (
	"context"
	"sync"
	"time"

	"samphireweir.example/samphireweir/internal/demo/layout"
	"samphireweir.example/samphireweir/internal/demo/standinclient"
)

const (
	statePollInterval = 200 * time.Millisecond
	maxStateReads     = 16 // concurrent reads of engine states
	// A spread may take spreadTimeoutBase, plus the time in which a host's link carries spreadTimeoutCopies copies and
	// one more copy per host.
	spreadTimeoutBase   = 45 * time.Second
	spreadTimeoutCopies = 15
)

// spreadResult holds what was measured while one version was distributed to the hosts.
type spreadResult struct {
	version    string
	manifest   standinclient.Manifest
	startedAt  time.Time // just before the setting was applied
	acceptedAt time.Time // the setting was accepted
	endedAt    time.Time // all live engines serve the version, or the timeout has passed
	serving    int       // live engines that serve the version
	bytes      int64     // data bytes sent by origin and store
	cpuSeconds float64   // processor time of all agents
	memoryMB   float64   // mean resident memory of an agent
}

// spreadVersion applies a version and waits until all live engines serve it or the timeout has passed. With kill, it
// kills the configured share of the agents halfway through the time in which a host's link carries one copy.
func (r *run) spreadVersion(ctx context.Context, version string, kill bool) (*spreadResult, error) {
	result := &spreadResult{version: version, manifest: r.manifests[version]}
	before, err := r.sourceBytes(ctx)
	if err != nil {
		return nil, err
	}
	result.startedAt = time.Now()
	cpuBefore := r.fleet.cpuSeconds()
	setting := layout.ModelSetting(r.hosts, version, r.options.Policy)
	if result.acceptedAt, err = r.fleet.apply(ctx, layout.ModelService, setting); err != nil {
		return nil, err
	}
	r.progress.setPhase("spreading " + version)
	if kill {
		if err := sleep(ctx, time.Until(result.acceptedAt.Add(r.options.copyTime()/2))); err != nil {
			return nil, err
		}
		r.fleet.killShare(r.options.KillShare)
	}
	if err := r.awaitServing(ctx, result); err != nil {
		return nil, err
	}
	result.endedAt = time.Now()
	result.cpuSeconds = r.fleet.cpuSeconds() - cpuBefore
	result.memoryMB = r.fleet.memoryMB()
	after, err := r.sourceBytes(ctx)
	result.bytes = after - before
	return result, err
}

// awaitServing waits until all live engines serve the version or the timeout has passed. Running into the timeout is
// no error: result.serving then stays below the number of live hosts.
func (r *run) awaitServing(ctx context.Context, result *spreadResult) error {
	copies := time.Duration(spreadTimeoutCopies + len(r.hosts))
	deadline := result.acceptedAt.Add(spreadTimeoutBase + copies*r.options.copyTime())
	live := r.fleet.live()
	for {
		result.serving = r.countServing(ctx, live, result.manifest.Digest)
		r.progress.setServing(result.serving, len(live))
		if result.serving > 0 {
			r.generator.EnableGenerations()
		}
		if result.serving == len(live) || time.Now().After(deadline) {
			return nil
		}
		if err := sleep(ctx, statePollInterval); err != nil {
			return err
		}
	}
}

// countServing returns how many engines of the hosts serve the digest. An engine whose state can't be read doesn't count.
func (r *run) countServing(ctx context.Context, hosts []layout.Host, digest string) int {
	var (
		group   sync.WaitGroup
		mutex   sync.Mutex
		serving int
	)
	slots := make(chan struct{}, maxStateReads)
	for _, host := range hosts {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			state, err := r.client.EngineState(ctx, r.standIns.Engines, host.Engine)
			if err != nil || state.Loading || state.Digest != digest {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			serving++
		})
	}
	group.Wait()
	return serving
}

// sourceBytes returns the data bytes that origin and store have sent so far.
func (r *run) sourceBytes(ctx context.Context) (int64, error) {
	origin, err := r.client.WeightStats(ctx, r.standIns.Origin)
	if err != nil {
		return 0, err
	}
	store, err := r.client.WeightStats(ctx, r.standIns.Store)
	return origin.Bytes + store.Bytes, err
}
