package weights

import (
	"sort"
	"time"

	"samphireweir.example/samphireweir/internal/core/step"
)

// State holds the bursts of this host. A burst is the transfer of one version.
type State struct {
	// Self is this host.
	Self Peer
	Mode Mode
	// Bursts are the transfers of the wanted versions, by digest.
	Bursts map[string]*Burst
	// Uploads schedules the chunk requests of peers.
	Uploads Uploads
	// Yield computes the share of the link that transfers may use.
	Yield Yield

	// retired are bursts that are no longer wanted but whose chunks are still held.
	retired map[string]*Burst
	// earlyPeers are peers that sent a hello for a version before it was wanted here, by digest.
	earlyPeers map[string][]string
	// fetchCount is the number of fetches so far; it is also the ID of the last one.
	fetchCount uint64
	// rates are the rates of the origin and of the link.
	rates rates
	// tickedAt is when the last tick was handled, or the first event after this process was delayed; zero before the first tick.
	tickedAt time.Time
	// nextBlockedReport is the earliest time of the next report of blocked bursts.
	nextBlockedReport time.Time
}

const (
	// maxEarlyPeers bounds the peers remembered per version that is not wanted yet.
	maxEarlyPeers = 32
	// maxEarlyVersions bounds the number of such versions.
	maxEarlyVersions = 16
)

// NewState returns a State without bursts.
func NewState(self Peer) *State {
	return &State{
		Self: self, Mode: Tiers, Bursts: map[string]*Burst{},
		Uploads: Uploads{calls: map[uint64]*upload{}}, Yield: newYield(),
		retired: map[string]*Burst{}, earlyPeers: map[string][]string{},
	}
}

// SetWants starts bursts for new versions, stops those that are no longer wanted and updates the
// peers of the rest.
func (s *State) SetWants(in step.Input, wants []Want) []step.Effect {
	var effects []step.Effect
	wanted := make(map[string]bool, len(wants))
	for _, w := range wants {
		wanted[w.Digest] = true
	}
	for _, digest := range sortedDigests(s.Bursts) {
		if !wanted[digest] {
			effects = append(effects, s.retire(digest)...)
		}
	}
	for _, w := range wants {
		effects = append(effects, s.want(in, w)...)
	}
	return append(effects, s.dropRetired()...)
}

func (s *State) want(in step.Input, w Want) []step.Effect {
	b := s.Bursts[w.Digest]
	if b != nil {
		b.Policy = w.Policy
		b.setRank(in.Now, w.Rank)
		return b.setPeers(in, w.Peers)
	}
	var effects []step.Effect
	if s.retired[w.Digest] != nil {
		// Some of its chunks may have been evicted, so the chunk memory must report which are left.
		delete(s.retired, w.Digest)
		effects = append(effects, Returned{Digest: w.Digest})
	}
	b = newBurst(s, in, w)
	s.Bursts[w.Digest] = b
	b.Policy = w.Policy
	b.earlyPeers = s.earlyPeers[w.Digest]
	delete(s.earlyPeers, w.Digest)
	return append(effects, b.setPeers(in, w.Peers)...)
}

// retire stops a burst immediately. Its chunks are kept until the wanted versions are complete,
// because these may share some of them.
func (s *State) retire(digest string) []step.Effect {
	b := s.Bursts[digest]
	delete(s.Bursts, digest)
	s.retired[digest] = b
	return append(b.cancelAll(), Retired{Digest: digest})
}

func (s *State) dropRetired() []step.Effect {
	for _, b := range s.Bursts {
		if !b.complete() {
			return nil
		}
	}
	var effects []step.Effect
	for _, digest := range sortedDigests(s.retired) {
		delete(s.retired, digest)
		effects = append(effects, Dropped{Digest: digest})
	}
	return effects
}

// Reduce handles one input and returns its effects.
func (s *State) Reduce(in step.Input) []step.Effect {
	s.noticeOwnDelay(in)
	switch ev := in.Event.(type) {
	case Configured:
		if ev.Mode != "" {
			s.Mode = ev.Mode
		}
		s.Yield.disabled = ev.NoYield
	case ManifestRead:
		return s.withBurst(in, ev.Digest, func(b *Burst) []step.Effect { return b.start(in, ev) })
	case ManifestFailed:
		return s.withBurst(in, ev.Digest, func(b *Burst) []step.Effect { return b.manifestFailed(in, ev) })
	case ChunkStored:
		return s.withBurst(in, ev.Digest, func(b *Burst) []step.Effect { return b.chunkStored(in, ev) })
	case ChunkFailed:
		return s.withBurst(in, ev.Digest, func(b *Burst) []step.Effect { return b.chunkFailed(in, ev) })
	case PeerHas:
		return s.peerHas(in, ev)
	case PeerSilent:
		return s.withBurst(in, ev.Digest, func(b *Burst) []step.Effect { return b.peerSilent(in, ev.From) })
	case UploadRequested:
		return s.Uploads.request(ev, s.tierOf(ev.From))
	case UploadEnded:
		return s.Uploads.ended(ev)
	case FirstByte:
		return s.Yield.addSample(in, ev)
	case step.Tick:
		return s.tick(in)
	}
	return nil
}

func (s *State) tick(in step.Input) []step.Effect {
	effects := s.Yield.tick(in)
	for _, digest := range sortedDigests(s.Bursts) {
		effects = append(effects, s.Bursts[digest].tick(in)...)
	}
	return effects
}

// withBurst passes an event to the burst with the given digest. If the event completes the burst,
// retired versions that were kept for their shared chunks may be dropped.
func (s *State) withBurst(in step.Input, digest string, f func(*Burst) []step.Effect) []step.Effect {
	b := s.Bursts[digest]
	if b == nil {
		return nil
	}
	before := b.complete()
	effects := append(f(b), s.shareOriginState(in, b)...)
	if !before && b.complete() {
		effects = append(effects, Completed{Digest: digest, Took: b.completedAt.Sub(b.startedAt), Counts: b.Counts})
		effects = append(effects, s.dropRetired()...)
	}
	return effects
}

func (s *State) peerHas(in step.Input, ev PeerHas) []step.Effect {
	if s.Bursts[ev.Digest] == nil {
		s.rememberEarlyPeer(ev)
		return nil
	}
	return s.withBurst(in, ev.Digest, func(b *Burst) []step.Effect { return b.peerHas(in, ev) })
}

func (s *State) rememberEarlyPeer(ev PeerHas) {
	peers := s.earlyPeers[ev.Digest]
	if len(peers) >= maxEarlyPeers || (peers == nil && len(s.earlyPeers) >= maxEarlyVersions) {
		return
	}
	s.earlyPeers[ev.Digest] = append(peers, ev.From)
}

// tierOf returns the tier of the peer with the given address. An unknown peer gets the farthest,
// Fleet.
func (s *State) tierOf(address string) Tier {
	for _, b := range s.Bursts {
		if i, known := b.index[address]; known {
			return b.peers[i].tier
		}
	}
	return Fleet
}

// Complete reports whether this host has every chunk of the version.
func (s *State) Complete(digest string) bool {
	b := s.Bursts[digest]
	return b != nil && b.complete()
}

func sortedDigests(bursts map[string]*Burst) []string {
	list := make([]string, 0, len(bursts))
	for d := range bursts {
		list = append(list, d)
	}
	sort.Strings(list)
	return list
}

// random generates pseudo-random numbers, seeded from an input so that the reducer stays
// deterministic.
type random uint64

func (r *random) intN(n int) int {
	*r += 0x9e3779b97f4a7c15
	return int(mix(uint64(*r)) % uint64(n))
}
