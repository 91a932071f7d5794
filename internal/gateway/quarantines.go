package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

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

// followQuarantines keeps the quarantines of parts in the store and those known here alike, until ctx ends. They are read at the start, when one
// has changed here, and while any is known: what others decide is reported by the agents sooner.
func (g *Gateway) followQuarantines(ctx context.Context) {
	interval, starting := quarantineRetryInterval, true
	for {
		if (starting || g.hasQuarantineRecords()) && g.syncQuarantines(ctx, starting) {
			interval, starting = quarantineReadInterval, false
		}
		select {
		case <-ctx.Done():
			return
		case <-g.quarantineChanged:
		case <-time.After(interval):
		}
	}
}

func (g *Gateway) hasQuarantineRecords() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.forward.Parts.HasRecords()
}

// syncQuarantines reads the quarantines in the store and brings their records up to date. It reports whether they were read. starting is
// set until they were read for the first time.
func (g *Gateway) syncQuarantines(ctx context.Context, starting bool) bool {
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
	g.step(forward.QuarantinesRead{List: list, Starting: starting})
	g.mu.Lock()
	writes, removals := g.forward.Parts.RecordChanges(time.Now(), list)
	g.mu.Unlock()
	for _, r := range writes {
		g.logStoreFailure(g.directStore.RecordQuarantine(ctx, r))
	}
	for _, r := range removals {
		g.logStoreFailure(g.directStore.RemoveQuarantine(ctx, r))
	}
	return true
}

// logStoreFailure logs that a write to the store failed. What is still to be written is written after the next read.
func (g *Gateway) logStoreFailure(err error) {
	if err != nil && !errors.Is(err, platform.ErrQuarantineChanged) {
		logevent.Warn(g.log, logevent.PeerFailed).Err(err).Msg("peer failed")
	}
}
