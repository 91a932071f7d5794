package weights

import "time"

const (
	// initialDistrust is how long no chunk is fetched from a peer after it sent a corrupted chunk for
	// the first time. It doubles with each further one.
	initialDistrust = 10 * time.Second
	// maxDistrustDoublings bounds the number of doublings.
	maxDistrustDoublings = 8
	// initialStallBackoff is how long a peer is not used after a stall. It doubles with each
	// consecutive stall, at most maxBackoffDoublings times.
	initialStallBackoff = 2 * time.Second
	maxBackoffDoublings = 5
)

// peer is the state that this host keeps about another host.
type peer struct {
	Peer
	hash uint64
	// listed is set while the host is live and wants the version.
	listed bool
	tier   Tier
	// have holds which chunks the peer has; nil until the peer reports them.
	have []bool
	// linked is set if the peer is linked: both hosts send each other announcements.
	linked bool
	// helloDue is set when a hello must be sent.
	helloDue  bool
	nextHello time.Time
	// announced is how many chunks of arrivalOrder were announced to the peer.
	announced int
	// inFlight counts the fetches in flight from the peer.
	inFlight int
	// No chunk is fetched from the peer until busyUntil, after it rejected a request; until
	// silentUntil, after it did not answer; and until distrustedUntil, after a corrupted chunk.
	busyUntil, silentUntil, distrustedUntil time.Time
	// corruptChunks counts the corrupted chunks from the peer; stalls counts the fetches from it that
	// stalled consecutively.
	corruptChunks, stalls int
	// stalledUntil is until when the peer is not used after a stall. Answers to control calls don't
	// end the wait, because a link can stall for chunks alone.
	stalledUntil time.Time
	// refusals counts the consecutive rejections; refusedSince is the time of the first.
	refusals     int
	refusedSince time.Time
}

// recordRefusal backs off from a peer that rejected a request because too many uploads wait. A peer
// that rejects requests for longer than timeout counts as stalled.
func (p *peer) recordRefusal(now time.Time, backoff, timeout time.Duration) {
	if p.refusals == 0 {
		p.refusedSince = now
	}
	p.busyUntil = now.Add(min(backoff<<min(p.refusals, maxBackoffDoublings), maxBusyBackoff))
	p.refusals++
	if now.Sub(p.refusedSince) > timeout {
		p.refusals = 0
		p.recordStall(now)
	}
}

// recordStall backs off from a peer after a stall.
func (p *peer) recordStall(now time.Time) {
	p.stalledUntil = now.Add(initialStallBackoff << min(p.stalls, maxBackoffDoublings))
	p.stalls++
}

// recordDelivery records that the peer sent a chunk.
func (p *peer) recordDelivery() {
	p.stalls, p.refusals = 0, 0
	p.stalledUntil = time.Time{}
}

// recordCorruption stops fetching from a peer for a time that grows with each corrupted chunk.
func (p *peer) recordCorruption(now time.Time) {
	p.distrustedUntil = now.Add(initialDistrust << min(p.corruptChunks, maxDistrustDoublings))
	p.corruptChunks++
}

// available reports whether the peer can be expected to send the chunks that it has, now or soon.
func (p *peer) available(now time.Time) bool {
	return p.listed && !now.Before(p.silentUntil) && !now.Before(p.distrustedUntil) && !now.Before(p.stalledUntil)
}
