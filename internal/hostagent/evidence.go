package hostagent

import (
	"net/netip"
	"time"

	"samphireweir.example/samphireweir/internal/loadreport"
	"samphireweir.example/samphireweir/internal/logevent"
)

// mergeEvidence applies what an entry knows of what crashes upstreams.
func (r *reporter) mergeEvidence(now time.Time, e loadreport.Evidence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.parts.Merge(now, e.Parts)
	r.quarantinedRequests.Merge(now, e.Requests)
}

// evidenceChanges returns a counter that increases with each change of the evidence.
func (r *reporter) evidenceChanges() uint64 {
	return r.parts.Changes() + r.quarantinedRequests.Changes()
}

// sendEvidence passes on the evidence to each entry to which it is due. The caller holds the reporter's lock.
func (a *Agent) sendEvidence(now time.Time) {
	if !a.reporter.parts.Known() && !a.reporter.quarantinedRequests.Known() {
		return
	}
	var due []netip.AddrPort
	changes := a.reporter.evidenceChanges()
	for address, s := range a.reporter.subscribers {
		if s.evidence.Due(now, changes) {
			due = append(due, address)
		}
	}
	if len(due) == 0 {
		return
	}
	m, ok := loadreport.NewEvidence(a.reporter.parts.Report(now), a.reporter.quarantinedRequests.Report(now))
	if !ok {
		return
	}
	for _, address := range due {
		if err := a.socket.Send(address, m); err != nil {
			logevent.Info(a.log, logevent.PeerFailed).Str("peer", address.String()).Err(err).Msg("peer failed")
		}
	}
}
