package weights

import (
	"time"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// standbyBackoff is how long the first standby of an origin part, the candidate after its
	// fetcher, waits before it asks an unavailable origin. Each further rank waits that much
	// longer, and a fallback fetch (see fetchFallback) waits longest. During an outage, no host can tell
	// whether a part's fetcher is alive. If all candidates kept retrying, the origin's link would
	// carry most chunks several times after the recovery.
	standbyBackoff = 10 * time.Second
	// minOriginSilence is the minimum time since a chunk last came from the origin, as far as this
	// host knows, after which failures of peers count as an outage. Until then, perhaps only the
	// paths of those peers to the origin are broken, and standbys must take over.
	minOriginSilence = 2 * time.Second
	// minFailedHosts is how many hosts must have failed since the last chunk from the origin before
	// their failures count as an outage. Each must report its own failure, or one must report that
	// it knows of so many.
	minFailedHosts = 2
)

// outage is what one host knows about an outage of the origin, from its own fetches and from the
// failures that other hosts report in their hellos. A chunk that arrives from the origin at any
// host ends the outage.
type outage struct {
	// lastOriginChunkAt is when a chunk last came from the origin, or when the burst began.
	lastOriginChunkAt time.Time
	// endedAt is when the last outage was found to have ended.
	endedAt time.Time
	// ownFetchSucceeded is set while this host's last own fetch from the origin succeeded. The origin
	// is then available, whatever other hosts report.
	ownFetchSucceeded bool
	// firstOwnFailure and lastOwnFailure are the first and the last failure of an own fetch since
	// lastOriginChunkAt; zero if there is none.
	firstOwnFailure, lastOwnFailure time.Time
	// peerFailures are the last failures since lastOriginChunkAt that other hosts reported, by
	// address. peerOutageSince is since when these count as an outage; zero if they don't.
	peerFailures    map[string]time.Time
	peerOutageSince time.Time
	// reportedDown is set while the last report to the shell says that the origin is unavailable.
	// The shell carries out the effects of the reducer.
	reportedDown bool
}

// OriginFailure is what hosts report to each other about failed fetches since a chunk last came from
// the origin.
type OriginFailure struct {
	// Ago is the time since the last failure; 0 if there is none.
	Ago time.Duration
	// Widespread is set when several hosts failed, as far as the reporting host knows.
	Widespread bool
}

// OriginOutageChanged reports to the shell that the origin is considered unavailable, or available
// again.
type OriginOutageChanged struct {
	effect
	Digest string
	Down   bool
	// OwnFetch is set when a fetch of this host failed; otherwise other hosts reported the
	// failures.
	OwnFetch bool
	// Lasted is the time since a chunk last came from the origin.
	Lasted time.Duration
}

// recordOwnFailure records a failed own fetch from the origin.
func (o *outage) recordOwnFailure(now time.Time) {
	if o.lastOwnFailure.IsZero() {
		o.firstOwnFailure = now
	}
	o.lastOwnFailure, o.ownFetchSucceeded = now, false
}

// recordPeerFailure records the failures that another host reports.
func (o *outage) recordPeerFailure(now time.Time, from string, f OriginFailure) {
	at := now.Add(-f.Ago)
	if f.Ago <= 0 || !at.After(o.lastOriginChunkAt) {
		return
	}
	if o.peerFailures == nil {
		o.peerFailures = map[string]time.Time{}
	}
	o.peerFailures[from] = at
	if o.peerOutageSince.IsZero() && (f.Widespread || o.widespread()) {
		o.peerOutageSince = now
	}
}

// widespread reports whether enough hosts failed, including this one.
func (o *outage) widespread() bool {
	failedHosts := len(o.peerFailures)
	if !o.lastOwnFailure.IsZero() {
		failedHosts++
	}
	return failedHosts >= minFailedHosts || !o.peerOutageSince.IsZero()
}

// failureReport returns what this host reports to others: its own last failure or, if failures are
// widespread, the last known one of any host.
func (o *outage) failureReport(now time.Time) OriginFailure {
	last := o.lastOwnFailure
	if o.widespread() {
		for _, at := range o.peerFailures {
			if at.After(last) {
				last = at
			}
		}
	}
	if last.IsZero() {
		return OriginFailure{}
	}
	return OriginFailure{Ago: max(1, now.Sub(last)), Widespread: o.widespread()}
}

// ongoing reports whether the origin is considered unavailable.
func (o *outage) ongoing(now time.Time) bool {
	reportedByPeers := !o.ownFetchSucceeded && !o.peerOutageSince.IsZero() && now.Sub(o.lastOriginChunkAt) >= minOriginSilence
	return !o.lastOwnFailure.IsZero() || reportedByPeers
}

// prolonged reports whether the outage has lasted so long that it is reported to operators.
func (o *outage) prolonged(now time.Time) bool {
	return o.ongoing(now) && now.Sub(o.startedAt()) > reportedFailures*shortOriginBackoff
}

// startedAt is when the first failure of the outage became known here.
func (o *outage) startedAt() time.Time {
	if o.firstOwnFailure.IsZero() || !o.peerOutageSince.IsZero() && o.peerOutageSince.Before(o.firstOwnFailure) {
		return o.peerOutageSince
	}
	return o.firstOwnFailure
}

// suspends reports whether a candidate of the given rank must not ask the origin. The fetcher of a
// part has rank 0 and is never suspended. Failures reported by peers suspend a host only for a
// fixed time after the first report, because only the path of those peers to the origin may be
// broken.
func (o *outage) suspends(now time.Time, rank int) bool {
	if !o.ongoing(now) {
		return false
	}
	from := o.lastOwnFailure
	if from.IsZero() {
		from = o.peerOutageSince
	}
	return now.Sub(from) < time.Duration(rank)*standbyBackoff
}

// recordOriginChunk records that a chunk came from the origin; own is set if it came to this host.
// It ends an outage, after which the candidates may fetch immediately.
func (b *Burst) recordOriginChunk(now time.Time, own bool) {
	wasDown := b.outage.ongoing(now)
	b.outage = outage{lastOriginChunkAt: now, endedAt: b.outage.endedAt, ownFetchSucceeded: own || b.outage.ownFetchSucceeded, reportedDown: b.outage.reportedDown}
	if !wasDown {
		return
	}
	b.outage.endedAt = now
	b.originRetryAt, b.originFailures = time.Time{}, 0
	if b.blockedBy == code.SourceUnavailable {
		b.blockedBy = 0
	}
}

// reportOutage reports to the shell when the known state of the origin has changed.
func (b *Burst) reportOutage(now time.Time) []step.Effect {
	o := &b.outage
	down := o.ongoing(now)
	if down == o.reportedDown {
		return nil
	}
	o.reportedDown = down
	return []step.Effect{OriginOutageChanged{Digest: b.Digest, Down: down, OwnFetch: !o.lastOwnFailure.IsZero(), Lasted: now.Sub(o.lastOriginChunkAt)}}
}
