package weights

import (
	"time"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/manifest"
	"samphireweir.example/samphireweir/internal/setting"
)

const (
	// manifestRetryInterval is the time between two requests for the manifest.
	manifestRetryInterval = 500 * time.Millisecond
	// memoryRetryInterval is the wait before a retry when the chunk memory can't hold a version or
	// chunk.
	memoryRetryInterval = 5 * time.Second
)

// Burst is the transfer of one version to this host.
type Burst struct {
	Ref      Ref
	Digest   string
	Policy   setting.Policy
	Manifest *manifest.Manifest

	mode       Mode
	self       Peer
	selfHash   uint64
	fetchCount *uint64
	rates      *rates
	// siblings are the bursts of this host, by digest. rank is the burst's own rank among them, since rankedAt.
	siblings map[string]*Burst
	rank     int
	rankedAt time.Time

	// peers are all other hosts that have wanted the version since the burst began. Those that no
	// longer want it stay in the slice, so that indexes never change.
	peers []*peer
	index map[string]int
	// earlyPeers are peers that sent a hello before the version was wanted here.
	earlyPeers   []string
	cachedGroups []group

	// keys are the keys of the chunks for rendezvous hashing, and ranks this host's ranks for them.
	keys  []uint64
	ranks []rank
	// originParts are the parts of the version for fetching from the origin.
	originParts []originPart

	chunks []chunk
	// nearChunks are the missing chunks that a peer of the data centre has and that are not in
	// flight.
	nearChunks set
	// farChunks are the missing chunks that a host outside the data centre has and that are not in
	// flight.
	farChunks set
	// missing are the chunks that this host does not have.
	missing set
	// stalled are missing chunks whose only known holder stalled.
	stalled set
	// arrivalOrder lists the held chunks in order of arrival, for the announcements.
	arrivalOrder []int

	inFlight map[uint64]*chunkFetch
	// originFetches and peerFetches count the fetches in flight from the origin and from peers.
	originFetches, peerFetches int

	timing timing
	// partActiveAt has, for each origin part that this host is a candidate for, when this host last
	// learned that a chunk of the part had come from the origin.
	partActiveAt []time.Time
	// firstOriginChunkAt is when this host first learned that a chunk had come from the origin.
	firstOriginChunkAt time.Time
	// tookOverPart are the origin parts that this host fetches in place of a silent host.
	tookOverPart map[int]bool
	// pendingAnnouncements are chunks to announce to peers that are not linked, by peer index.
	pendingAnnouncements map[int][]int

	nextManifestAttempt time.Time
	// nextPeerManifest is when a peer may be asked for the manifest again.
	nextPeerManifest time.Time
	nextAnnounce     time.Time
	nextPoll         time.Time
	// originRetryAt is when the origin may be asked again; originFailures counts its consecutive
	// failures.
	originRetryAt  time.Time
	originFailures int
	outage         outage
	// lastOriginProgress is when this host last learned that a chunk of this version had come from the origin.
	lastOriginProgress time.Time
	// originGone is set once the origin has answered that it no longer sends the version.
	originGone bool
	// reservedAt is when a burst of an earlier rank last had the origin for itself.
	reservedAt time.Time
	// servedFrom is when the origin began to serve the burst last, and knownBefore the size of the chunks that were known in the fleet then.
	servedFrom  time.Time
	knownBefore int64
	// sent is how much the origin should have sent of the version at estimatedAt, as far as this host can tell; see unseen.
	sent        int64
	estimatedAt time.Time
	// originMeasured is set once the fleet has had a complete copy.
	originMeasured bool
	startedAt      time.Time
	completedAt    time.Time
	// fallbackTurns is the number of idle turns after which this host began to fetch any missing
	// chunk from the origin; 0 while it does not. See fetchFallback.
	fallbackTurns int
	// blockedBy is the result code of the problem that blocks the burst; 0 if there is none.
	blockedBy code.Code

	Counts Counts
	// reportedBlockedBy is the blockedBy last reported to other processes.
	reportedBlockedBy code.Code
}

// Counts are the bytes received by this host for a version, by the tier they came from, and the
// numbers of failures.
type Counts struct {
	// Bytes counts the bytes of verified chunks.
	Bytes [tiers]int64 `json:"bytes"`
	// Wasted counts the discarded bytes: corrupted, or already held.
	Wasted int64 `json:"wasted"`
	// Corrupt counts the corrupted chunks received; Hedged counts the fetches started because another
	// fetch of the same chunk had stalled.
	Corrupt int64 `json:"corrupt"`
	Hedged  int64 `json:"hedged"`
	// Busy counts the fetches that failed with reason Busy; Failed counts all other failures.
	Busy   int64 `json:"busy"`
	Failed int64 `json:"failed"`
}

// chunk is the known state of one chunk.
type chunk struct {
	have bool
	// inFlight counts the fetches in flight.
	inFlight int
	// nearHolders and farHolders are the peers that have the chunk, inside and outside this data
	// centre.
	nearHolders, farHolders []int
	// farSince is when the chunk was first known to be held outside this data centre.
	farSince time.Time
	// retryAt is the earliest time of the next fetch after a failure.
	retryAt time.Time
	// stalledAt is when a fetch from the only known holder first stalled.
	stalledAt time.Time
	// originFailures counts the failed fetches from the origin.
	originFailures int
}

// chunkFetch is one fetch in flight.
type chunkFetch struct {
	id         uint64
	chunkIndex int
	peerIndex  int
	fromOrigin bool
	startedAt  time.Time
}

func newBurst(s *State, in step.Input, w Want) *Burst {
	return &Burst{
		Ref: w.Ref, Digest: w.Digest, mode: s.Mode, self: s.Self, selfHash: hostHash(s.Self.Address), fetchCount: &s.fetchCount,
		rates: &s.rates, siblings: s.Bursts, rank: w.Rank, rankedAt: in.Now,
		index: map[string]int{}, inFlight: map[uint64]*chunkFetch{}, pendingAnnouncements: map[int][]int{}, tookOverPart: map[int]bool{},
		startedAt: in.Now, timing: newTiming(in.Now), outage: outage{lastOriginChunkAt: in.Now},
	}
}

func (b *Burst) complete() bool { return b.Manifest != nil && b.missing.len() == 0 }

// start begins the transfer of the chunks once the manifest is known.
func (b *Burst) start(in step.Input, ev ManifestRead) []step.Effect {
	if b.Manifest != nil {
		return nil
	}
	b.Manifest = ev.Manifest
	b.blockedBy = 0
	n := len(ev.Manifest.Chunks)
	b.chunks = make([]chunk, n)
	b.keys = make([]uint64, n)
	b.nearChunks, b.farChunks, b.missing, b.stalled = newSet(n), newSet(n), newSet(n), newSet(n)
	for i, c := range ev.Manifest.Chunks {
		b.keys[i] = chunkKey(c.SHA256, i)
		b.missing.add(i)
	}
	b.rankChunks()
	for _, i := range ev.Held {
		b.markHeld(i)
	}
	for i, p := range b.peers {
		for c, has := range p.have {
			if has && c < n {
				b.addHolder(in, i, c)
			}
		}
	}
	if b.complete() {
		b.completedAt = in.Now
	}
	b.announceManifest(ev.From)
	return append(b.sendHellos(in), b.scheduleFetches(in)...)
}

// announceManifest sends hellos to the linked peers that are not known to have the manifest. If
// this host is the first of its data centre to have it, it also sends hellos to the delegates
// elsewhere.
func (b *Burst) announceManifest(from Source) {
	for _, p := range b.peers {
		if p.linked && p.have == nil {
			p.helloDue = true
			p.nextHello = time.Time{}
		}
	}
	tier := b.tierOf(nil, from)
	if b.mode != Tiers || tier == Place {
		return
	}
	for _, i := range b.delegates(manifestIndex, tier) {
		b.peers[i].helloDue = true
	}
}

func (b *Burst) manifestFailed(in step.Input, ev ManifestFailed) []step.Effect {
	b.blockedBy = ev.Code
	switch ev.Code {
	case code.MemoryTooSmall:
		b.nextManifestAttempt = in.Now.Add(memoryRetryInterval)
	case 0:
		if ev.From == Origin {
			b.originFailures++
		}
	}
	return nil
}

// markHeld records that this host has the chunk.
func (b *Burst) markHeld(i int) {
	if b.chunks[i].have {
		return
	}
	b.chunks[i].have = true
	b.missing.remove(i)
	b.stalled.remove(i)
	b.nearChunks.remove(i)
	b.farChunks.remove(i)
	b.arrivalOrder = append(b.arrivalOrder, i)
}

func (b *Burst) chunkStored(in step.Input, ev ChunkStored) []step.Effect {
	f := b.endFetch(ev.Fetch)
	if b.Manifest == nil || ev.Index >= len(b.chunks) {
		return nil
	}
	size := b.Manifest.Chunks[ev.Index].Size
	if b.chunks[ev.Index].have {
		b.Counts.Wasted += size
		return b.scheduleFetches(in)
	}
	if f != nil && !f.fromOrigin {
		b.peers[f.peerIndex].recordDelivery()
	}
	tier := b.tierOf(f, ev.From)
	b.Counts.Bytes[tier] += size
	if tier == Region || tier == Fleet {
		b.fallbackTurns = 0
	}
	if b.idleTurns(in) < regionFallbackTurns {
		b.timing.addGap(in.Now)
	}
	b.timing.addChunk(in.Now, ev.Took, tier)
	b.markHeld(ev.Index)
	effects := b.cancelDuplicates(ev.Index)
	if tier == FromOrigin {
		b.originFailures = 0
		b.blockedBy = 0
		b.recordOriginChunk(in.Now, true)
		b.lastOriginProgress = in.Now
		b.recordPartChunk(in, ev.Index)
		b.queueForCandidates(ev.Index)
	}
	if tier != Place {
		b.queueForDelegates(ev.Index, tier)
	}
	if b.complete() {
		b.completedAt = in.Now
		b.blockedBy = 0
	}
	effects = append(effects, b.announceIfDue(in)...)
	return append(effects, b.scheduleFetches(in)...)
}

func (b *Burst) tierOf(f *chunkFetch, from Source) Tier {
	if from == Origin {
		return FromOrigin
	}
	if string(from) == b.self.Address {
		return Place // The chunk was already on this host.
	}
	if f != nil {
		return b.peers[f.peerIndex].tier
	}
	if i, known := b.index[string(from)]; known {
		return b.peers[i].tier
	}
	return Fleet
}

// endFetch removes a fetch from those in flight. It returns nil if the fetch was cancelled.
func (b *Burst) endFetch(id uint64) *chunkFetch {
	f := b.inFlight[id]
	if f == nil {
		return nil
	}
	delete(b.inFlight, id)
	b.chunks[f.chunkIndex].inFlight--
	if f.fromOrigin {
		b.originFetches--
	} else {
		b.peerFetches--
		b.peers[f.peerIndex].inFlight--
	}
	b.reindex(f.chunkIndex)
	return f
}

// reindex updates the sets that contain the chunk.
func (b *Burst) reindex(i int) {
	c := &b.chunks[i]
	b.nearChunks.remove(i)
	b.farChunks.remove(i)
	switch {
	case c.have || c.inFlight > 0:
	case len(c.nearHolders) > 0:
		b.nearChunks.add(i)
		if len(c.farHolders) > 0 {
			b.farChunks.add(i)
		}
	case len(c.farHolders) > 0:
		b.farChunks.add(i)
	}
}

func (b *Burst) cancelDuplicates(i int) []step.Effect {
	if b.chunks[i].inFlight == 0 {
		return nil
	}
	var effects []step.Effect
	for _, id := range b.inFlightIDs() {
		if b.inFlight[id].chunkIndex == i {
			b.endFetch(id)
			effects = append(effects, CancelFetch{ID: id})
		}
	}
	return effects
}

// cancelAll cancels all fetches in flight.
func (b *Burst) cancelAll() []step.Effect {
	var effects []step.Effect
	for _, id := range b.inFlightIDs() {
		b.endFetch(id)
		effects = append(effects, CancelFetch{ID: id})
	}
	return effects
}

func (b *Burst) chunkFailed(in step.Input, ev ChunkFailed) []step.Effect {
	f := b.endFetch(ev.Fetch)
	if f == nil {
		return nil // The fetch was cancelled.
	}
	if ev.Reason == Busy {
		b.Counts.Busy++
	} else {
		b.Counts.Failed++
	}
	if f.fromOrigin {
		b.originFetchFailed(in, ev)
	} else {
		b.peerFetchFailed(in, ev, f.peerIndex)
	}
	return b.scheduleFetches(in)
}

func (b *Burst) tick(in step.Input) []step.Effect {
	if b.Manifest == nil {
		return append(b.sendHellos(in), b.requestManifest(in)...)
	}
	b.measureOrigin(in.Now)
	effects := append(b.sendHellos(in), b.announce(in)...)
	effects = append(effects, b.reportOutage(in.Now)...)
	if b.complete() {
		return effects
	}
	if b.blockedBy == 0 && b.outage.prolonged(in.Now) {
		b.blockedBy = code.SourceUnavailable
	}
	effects = append(effects, b.pollPeers(in)...)
	effects = append(effects, b.hedge(in)...)
	return append(effects, b.scheduleFetches(in)...)
}

// requestManifest asks the origin if this host is the first candidate for an origin part, or has
// waited long. Other hosts usually get a hello from a peer and ask that peer. Until then, they ask
// one random peer per attempt, from the second attempt on.
func (b *Burst) requestManifest(in step.Input) []step.Effect {
	if in.Now.Before(b.nextManifestAttempt) {
		return nil
	}
	first := b.nextManifestAttempt.IsZero()
	b.nextManifestAttempt = in.Now.Add(manifestRetryInterval)
	r := random(in.Rand)
	if b.mode == Direct || b.mayFetchManifestFromOrigin(in, &r) {
		return []step.Effect{FetchManifest{Ref: b.Ref, Digest: b.Digest, From: Origin}}
	}
	if first || len(b.peers) == 0 {
		return nil
	}
	from := b.peers[r.intN(len(b.peers))]
	return []step.Effect{FetchManifest{Ref: b.Ref, Digest: b.Digest, From: Source(from.Address)}}
}

// mayFetchManifestFromOrigin reports whether this host is an origin fetcher, or has waited so long
// that it may ask the origin in place of the fetchers.
func (b *Burst) mayFetchManifestFromOrigin(in step.Input, r *random) bool {
	for _, part := range b.assignParts() {
		if part.rank == 0 {
			return true
		}
	}
	attempts := int(in.Now.Sub(b.startedAt) / manifestRetryInterval)
	// If no origin fetcher passes the manifest on, about one more host of the fleet asks the origin
	// at each attempt.
	return attempts >= candidatesPerPart && r.intN(len(b.peers)+1) < attempts
}
