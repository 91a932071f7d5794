package gateway

import (
	"context"
	"time"

	"samphireweir.example/samphireweir/internal/core/attribution"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/platform"
)

const (
	// quarantineReadInterval is the time between two reads of the quarantines in the store while any is known. Operators lift them there.
	quarantineReadInterval = 5 * time.Second
	// quarantineRetryInterval is the time between two tries to read them after the start.
	quarantineRetryInterval = 2 * time.Second
	// quarantineCallTimeout limits one call of the store.
	quarantineCallTimeout = 2 * time.Second
)

// followQuarantines keeps the quarantines of parts in the store and those known here alike, until ctx ends. They are read at the start, and
// then only while any is known: what others decide is reported by the agents sooner.
func (g *Gateway) followQuarantines(ctx context.Context) {
	for !g.syncQuarantines(ctx) {
		if !sleep(ctx, quarantineRetryInterval) {
			return
		}
	}
	for sleep(ctx, quarantineReadInterval) {
		g.mu.Lock()
		known := g.forward.Parts.HasQuarantines()
		g.mu.Unlock()
		if known {
			g.syncQuarantines(ctx)
		}
	}
}

// sleep waits for d. It reports false if ctx ended before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// syncQuarantines reads the quarantines in the store, and writes those that this entry decided on. It reports whether they were read.
func (g *Gateway) syncQuarantines(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, quarantineCallTimeout)
	defer cancel()
	objects, _, err := g.directStore.List(ctx, platform.QuarantineKind, true)
	if err != nil {
		return false
	}
	var list []attribution.Recorded
	for _, o := range objects {
		r, err := platform.DecodeQuarantine(o)
		if err != nil {
			logevent.Warn(g.log, logevent.MalformedObject).Err(err).Msg("failed to read a quarantine")
			continue
		}
		list = append(list, r)
	}
	g.step(forward.QuarantinesRead{List: list})
	g.mu.Lock()
	unrecorded, expired := g.forward.Parts.Unrecorded(list), g.forward.Parts.TakeExpired()
	g.mu.Unlock()
	for _, r := range unrecorded {
		g.logStoreFailure(g.directStore.RecordQuarantine(ctx, r))
	}
	for _, p := range expired {
		g.logStoreFailure(g.directStore.RemoveQuarantine(ctx, p))
	}
	return true
}

// logStoreFailure logs that a write to the store failed. It is made again with the next read, or not needed any more.
func (g *Gateway) logStoreFailure(err error) {
	if err != nil {
		logevent.Warn(g.log, logevent.PeerFailed).Err(err).Msg("peer failed")
	}
}
