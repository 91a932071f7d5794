package gateway

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/core/attribution"
	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/logevent"
)

const (
	// evidenceSendInterval is the least time between two heartbeats that are sent because this entry observed something about a crash.
	evidenceSendInterval = 100 * time.Millisecond
	// downCheckTimeout limits the check whether an upstream is down.
	downCheckTimeout = 150 * time.Millisecond
)

// sendEvidence sends heartbeats at once after this entry observed something about a crash.
func (g *Gateway) sendEvidence() {
	g.mu.Lock()
	due := g.evidence.Changed(g.evidenceFound) && time.Since(g.heartbeatAt) >= evidenceSendInterval
	g.mu.Unlock()
	if due {
		g.sendHeartbeats()
	}
}

// recordPartQuarantine logs a change of a part's quarantine. The caller holds the lock.
func (g *Gateway) recordPartQuarantine(e forward.PartQuarantineChanged) {
	g.metrics.PartsQuarantined.Add(int64(g.forward.Parts.Active()) - g.metrics.PartsQuarantined.Value())
	logevent.Warn(g.log, logevent.PartQuarantined).Stringer("part", e.Part).Str("change", string(e.Kind)).Int("crashes", e.Crashes).Msg("part quarantined")
	if e.Kind != attribution.Started && e.Kind != attribution.Lifted {
		return
	}
	g.evidenceFound++
	select {
	case g.quarantineChanged <- struct{}{}:
	default: // The store is to be brought up to date already.
	}
}

// checkDown finds out whether an upstream is down after an attempt broke there, and reports it to the reducer if it is. It then refuses
// connections, since its process has ended.
func (g *Gateway) checkDown(ctx context.Context, u *catalog.Upstream) bool {
	ctx, cancel := context.WithTimeout(ctx, downCheckTimeout)
	defer cancel()
	conn, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", u.Address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	g.step(forward.UpstreamDown{Upstream: u.Instance()})
	return true
}
