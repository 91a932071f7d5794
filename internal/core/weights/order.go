package weights

import (
	"cmp"
	"slices"
	"time"

	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// laterPeerFetches bounds the fetches from peers of a burst while one of an earlier rank can fetch from peers.
	laterPeerFetches = 1
	// baseReservation is how long, beyond the time that its chunks should take, the origin is reserved for a burst of an earlier rank
	// without a new chunk. Its chunks may be out of reach for their fetchers alone, and the later burst must not wait for good.
	baseReservation = 300 * time.Millisecond
	// reservationFactor multiplies the time that the chunks which the fetchers fetch at the same time should take.
	reservationFactor = 1.5
	// probeInterval is the time between two origin fetches of a later burst on this host during an outage. The earlier burst's fetchers ask
	// more often, and get the origin first when it is back.
	probeInterval = 2 * time.Second
	// maxUnseen bounds the time for which the origin is taken to have sent chunks of which this host has not learnt. A round of the origin
	// fetchers takes 1 s with versions of 2.4 MB at 9 Mbit/s, and most hosts learn of its chunks within 0.5 s.
	maxUnseen = 1500 * time.Millisecond
	// usualLag is how long it usually takes until a host learns that the last chunk has come from the origin.
	usualLag = 400 * time.Millisecond
	// sendMargin is how long the origin remains reserved after it should have sent all chunks of the earlier burst.
	sendMargin = 100 * time.Millisecond
)

// Transfer is what remains to be transferred of a version.
type Transfer struct {
	// Size is the size of the version, HostLacks that of the chunks that this host does not have, and FleetLacks that of those that no
	// reachable host has. What the origin should have sent of the latter by now is subtracted from FleetLacks, which is at least 1 while
	// there are any. They are in bytes; all are 0 until the manifest is read.
	Size, HostLacks, FleetLacks int64
	// Chunks is the number of chunks, Held how many this host has, and Known how many it or a reachable peer has.
	Chunks, Held, Known int
	// Gone is set when the origin no longer sends the version.
	Gone bool
	// Stalled is set when the fleet lacks chunks and none has come from the origin for longer than the origin should take.
	Stalled bool
}

// Transfers returns what remains of each wanted version, by digest.
func (s *State) Transfers(now time.Time) map[string]Transfer {
	list := make(map[string]Transfer, len(s.Bursts))
	for digest, b := range s.Bursts {
		list[digest] = b.transfer(now)
	}
	return list
}

func (b *Burst) transfer(now time.Time) Transfer {
	if b.Manifest == nil {
		return Transfer{}
	}
	t := Transfer{Size: b.Manifest.Size, Chunks: len(b.chunks), Held: len(b.chunks) - b.missing.len(), Known: len(b.chunks), Gone: b.originGone}
	for _, c := range b.missing.items {
		size := b.Manifest.Chunks[c].Size
		t.HostLacks += size
		if !b.reachable(now, c) {
			t.FleetLacks += size
			t.Known--
		}
	}
	if t.FleetLacks == 0 || b.originGone {
		return t
	}
	t.Stalled = !b.originReserved(now) && !now.Before(b.reservedUntil(now))
	t.FleetLacks = max(1, t.FleetLacks-b.unseen(now, t.Size-t.FleetLacks))
	return t
}

// unseen returns how many bytes of the chunks that no reachable host is known to have the origin should have sent by now. All fetchers share
// its link, so their chunks arrive about the same time, and it takes some hops until this host learns of them.
func (b *Burst) unseen(now time.Time, known int64) int64 {
	rate, elapsed := b.originRate(now, known), now.Sub(b.estimatedAt)
	b.estimatedAt = now
	switch {
	case originAway(b.siblings, now):
		b.sent = 0 // What was on its way is lost.
	case !b.originReserved(now) && now.After(b.servedFrom):
		b.sent += int64(rate * min(elapsed, now.Sub(b.servedFrom)).Seconds())
	}
	b.sent = min(max(b.sent, known), known+int64(rate*maxUnseen.Seconds()))
	return b.sent - known
}

// originRate returns the rate at which the origin serves the burst, in bytes per second. It is the usual one of the origin, or less if this
// host has not learnt of as many chunks as should have arrived.
func (b *Burst) originRate(now time.Time, known int64) float64 {
	if since := b.servedSince(); !since.Equal(b.servedFrom) {
		b.servedFrom, b.knownBefore = since, known
	}
	rate := b.rates.originRate()
	if elapsed := now.Sub(b.servedFrom) - maxUnseen; elapsed > 0 {
		rate = min(rate, float64(known-b.knownBefore)/elapsed.Seconds())
	}
	return rate
}

// measureOrigin measures the origin's rate when the fleet has the first copy of the version, unless other transfers or an outage delayed it.
func (b *Burst) measureOrigin(now time.Time) {
	if b.Manifest == nil || b.originMeasured || b.rates.assumedOrigin == 0 {
		return
	}
	lacks := b.unheld(now)
	b.unseen(now, b.Manifest.Size-lacks)
	if lacks > 0 {
		return
	}
	b.originMeasured = true
	elapsed := now.Sub(b.servedFrom) - usualLag
	alone := b.servedFrom.Equal(b.startedAt.Add(helloAnswerTimeout)) && len(b.siblings) == 1
	if alone && elapsed > 0 && b.knownBefore <= b.Manifest.Size/10 {
		b.rates.origin = float64(b.Manifest.Size-b.knownBefore) / elapsed.Seconds()
	}
}

// unheld returns the size of the chunks that no reachable host is known to have.
func (b *Burst) unheld(now time.Time) int64 {
	size := int64(0)
	for _, c := range b.missing.items {
		if !b.reachable(now, c) {
			size += b.Manifest.Chunks[c].Size
		}
	}
	return size
}

// reachable reports whether a reachable peer is known to have the chunk.
func (b *Burst) reachable(now time.Time, c int) bool {
	return b.availableAt(now, b.chunks[c].nearHolders) || b.availableAt(now, b.chunks[c].farHolders)
}

// rates are what is known about the origin's rate, in bytes per second.
type rates struct {
	// origin is the rate at which the first copy of the last version came from the origin; 0 until it is measured. assumedOrigin counts
	// until then.
	origin, assumedOrigin float64
}

func (r *rates) originRate() float64 {
	if r.origin > 0 {
		return r.origin
	}
	return r.assumedOrigin
}

// AssumeOriginRate sets the rate in bytes per second that counts until the origin's rate is measured. Without it, it is not measured.
func (s *State) AssumeOriginRate(rate float64) { s.rates.assumedOrigin = rate }

// OriginRate returns the rate of the origin in bytes per second; 0 if it is not known.
func (s *State) OriginRate(now time.Time) float64 {
	rate := s.rates.originRate()
	for _, b := range s.Bursts {
		if b.Manifest == nil || b.originGone || b.originReserved(now) {
			continue
		}
		if lacks := b.unheld(now); lacks > 0 {
			rate = min(rate, b.originRate(now, b.Manifest.Size-lacks))
		}
	}
	return rate
}

// OriginAway reports whether the origin is considered unavailable.
func (s *State) OriginAway(now time.Time) bool { return originAway(s.Bursts, now) }

func originAway(bursts map[string]*Burst, now time.Time) bool {
	for _, b := range bursts {
		if !b.complete() && !b.originGone && b.outage.ongoing(now) {
			return true
		}
	}
	return false
}

// shareOriginState lets the bursts of other ranks know that the origin answers, after a chunk of the burst came from it.
func (s *State) shareOriginState(in step.Input, from *Burst) []step.Effect {
	if !from.lastOriginProgress.Equal(in.Now) {
		return nil
	}
	var effects []step.Effect
	for _, digest := range sortedDigests(s.Bursts) {
		if b := s.Bursts[digest]; b.rank != from.rank && !b.complete() && b.outage.ongoing(in.Now) {
			b.recordOriginChunk(in.Now, from.outage.ownFetchSucceeded)
			effects = append(effects, b.scheduleFetches(in)...)
		}
	}
	return effects
}

// setRank sets the burst's rank among the wanted versions.
func (b *Burst) setRank(now time.Time, rank int) {
	if b.rank != rank {
		b.rank, b.rankedAt = rank, now
	}
}

// earlierBursts returns the incomplete bursts of an earlier rank for the same model.
func (b *Burst) earlierBursts() []*Burst {
	if b.rank == 0 {
		return nil
	}
	var list []*Burst
	for _, other := range b.siblings {
		if other.rank < b.rank && other.Ref.Model == b.Ref.Model && !other.complete() {
			list = append(list, other)
		}
	}
	slices.SortFunc(list, func(x, y *Burst) int { return cmp.Compare(x.Digest, y.Digest) })
	return list
}

// originReserved reports whether a burst of an earlier rank has the origin for itself. During an outage this burst still asks now and then,
// because it may learn first that the origin is back.
func (b *Burst) originReserved(now time.Time) bool {
	for _, earlier := range b.earlierBursts() {
		if earlier.originGone || !earlier.needsOrigin(now) || earlier.sentByOrigin(now) {
			continue
		}
		reserved := now.Before(earlier.reservedUntil(now))
		if originAway(b.siblings, now) {
			reserved = now.Sub(b.outage.lastOwnFailure) < probeInterval
		}
		if reserved {
			b.reservedAt = now
			return true
		}
	}
	return false
}

// sentByOrigin reports whether the origin should have sent all chunks some time ago. This host then only has not learnt of all holders yet.
func (b *Burst) sentByOrigin(now time.Time) bool {
	if b.Manifest == nil || originAway(b.siblings, now) {
		return false
	}
	lacks := b.unheld(now)
	known := b.Manifest.Size - lacks
	return b.unseen(now, known) >= lacks+int64(b.originRate(now, known)*sendMargin.Seconds())
}

// needsOrigin reports whether no reachable host has some chunk of the burst.
func (b *Burst) needsOrigin(now time.Time) bool {
	if b.Manifest == nil {
		return true
	}
	for _, c := range b.missing.items {
		if !b.reachable(now, c) {
			return true
		}
	}
	return false
}

// servedSince is the time since which the origin serves the burst.
func (b *Burst) servedSince() time.Time {
	since := b.startedAt.Add(helloAnswerTimeout)
	for _, at := range []time.Time{b.outage.endedAt, b.reservedAt} {
		if at.After(since) {
			since = at
		}
	}
	return since
}

// awaitedSince is the time from which the next chunk from the origin is awaited.
func (b *Burst) awaitedSince() time.Time {
	since := b.servedSince()
	for _, at := range []time.Time{b.lastOriginProgress, b.rankedAt} {
		if at.After(since) {
			since = at
		}
	}
	return since
}

// nextOriginChunks returns the size of the chunks that the origin fetchers fetch next at the same time.
func (b *Burst) nextOriginChunks(now time.Time) int64 {
	bytes, chunks := int64(0), 0
	for _, c := range b.missing.items {
		if chunks < originPartCount && !b.reachable(now, c) {
			bytes += b.Manifest.Chunks[c].Size
			chunks++
		}
	}
	return bytes
}

// reservedUntil is until when the origin should have sent the next chunk of the burst to some host.
func (b *Burst) reservedUntil(now time.Time) time.Time {
	since := b.awaitedSince()
	rate := 0.0
	if b.Manifest != nil && !b.lastOriginProgress.IsZero() {
		rate = b.originRate(now, b.Manifest.Size-b.unheld(now))
	}
	if rate <= 0 {
		return since.Add(max(2*b.partTimeout(), firstOriginChunkTimeout))
	}
	return since.Add(baseReservation + time.Duration(reservationFactor*float64(b.nextOriginChunks(now))/rate*float64(time.Second)))
}

// peersReserved reports whether a burst of an earlier rank can fetch from peers.
func (b *Burst) peersReserved(now time.Time) bool {
	for _, earlier := range b.earlierBursts() {
		if earlier.peerFetches > 0 {
			return true
		}
		for _, c := range earlier.nearChunks.items {
			if earlier.availableAt(now, earlier.chunks[c].nearHolders) {
				return true
			}
		}
	}
	return false
}
