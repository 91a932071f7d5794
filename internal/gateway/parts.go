package gateway

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/attribution"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/logevent"
)

// evidenceSendInterval is the least time between two heartbeats that are sent because this entry observed something about a crash.
const evidenceSendInterval = 100 * time.Millisecond

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
