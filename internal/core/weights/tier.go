package weights

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

// Tier is the distance to another host.
type Tier uint8

// The tiers, nearest first. FromOrigin is the weight store or the origin.
const (
	Place Tier = iota
	Region
	Fleet
	FromOrigin
	tiers
)

// String returns the name of the tier.
func (t Tier) String() string {
	return [...]string{"place", "region", "fleet", "origin", ""}[min(t, tiers)]
}

const (
	// manifestIndex is the chunk index that denotes the manifest in rankings.
	manifestIndex = -1
	// maxRank is the highest rank that is stored. It also marks a host that is no candidate for an
	// origin part.
	maxRank = 255
	// delegatesPerGroup is how many hosts of each data centre or region are sent announcements of a
	// new chunk: the delegate and its replacement.
	delegatesPerGroup = 2
	// candidatesPerPart is how many hosts may fetch an origin part: its fetcher, and standbys that
	// replace it in the order of their ranks.
	candidatesPerPart = 4
	// originPartCount is the number of origin parts, into which the chunks are split for fetching
	// from the origin. It bounds the hosts that fetch at the same time and the connections to the
	// origin. It must not depend on the number of hosts: two hosts whose host lists differ by one
	// would then split the chunks differently. Some chunks would be fetched twice, and others not
	// until a standby's wait has passed.
	originPartCount = 24
)

// rank is this host's position in the rendezvous order of a chunk, over its data centre and over
// its region.
type rank struct{ place, region uint8 }

// mix is the finalizer of SplitMix64.
func mix(z uint64) uint64 {
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// score is the rendezvous weight of a host for a key, computed from both hashes. It must be cheap,
// because a burst ranks each chunk over all hosts of a region.
func score(key, host uint64) uint64 { return mix(key ^ host) }

func hostHash(address string) uint64 { return mix(xxhash.Sum64String(address)) }

// chunkKey derives the key of a chunk from its digest. Equal chunks of one version get different
// keys.
func chunkKey(sha string, i int) uint64 {
	raw, err := hex.DecodeString(sha[:min(16, len(sha))])
	if err != nil || len(raw) < 8 {
		return mix(xxhash.Sum64String(sha) + uint64(i))
	}
	return mix(binary.BigEndian.Uint64(raw) + uint64(i))
}

// rankChunks computes this host's rank for each chunk and assigns the origin parts. It runs whenever
// the list of hosts changes.
func (b *Burst) rankChunks() {
	b.ranks = make([]rank, len(b.keys))
	for i, key := range b.keys {
		b.ranks[i] = b.rankOf(key)
	}
	b.originParts = b.assignParts()
}

func (b *Burst) rankOf(key uint64) rank {
	own := score(key, b.selfHash)
	place, region := 0, 0
	for _, p := range b.peers {
		if !p.listed || p.tier > Region || score(key, p.hash) < own {
			continue
		}
		region++
		if p.tier == Place {
			place++
		}
	}
	return rank{place: uint8(min(place, maxRank)), region: uint8(min(region, maxRank))}
}

// originPart is a part of the chunks that one host of the fleet at a time may fetch from the origin.
type originPart struct {
	// rank is this host's position among the candidates; maxRank if it is not one of them.
	rank uint8
	// candidates are the indexes of the other hosts that may fetch the part.
	candidates []int
}

// assignParts distributes the origin parts over the hosts. An origin fetcher is the first holder of
// the chunks that it fetches and sends them to more hosts than any other. With as many fetchers as
// the number of parts allows, all links send about the same amount. No host is the fetcher of more
// than its share of the parts, so that only a few parts change hands when a host is missing from one
// list.
func (b *Burst) assignParts() []originPart {
	originParts := make([]originPart, originPartCount)
	share := (originPartCount + b.hostCount() - 1) / b.hostCount()
	firstFor := map[int]int{}
	for j := range originParts {
		order := b.topRanked(partKey(b.Digest, j), candidatesPerPart, func(i int) bool { return firstFor[i] < share })
		if len(order) > 0 {
			firstFor[order[0]]++
		}
		originParts[j] = b.newPart(order)
	}
	return originParts
}

// hostCount returns the number of listed hosts, including this one.
func (b *Burst) hostCount() int {
	hosts := 1
	for _, p := range b.peers {
		if p.listed {
			hosts++
		}
	}
	return hosts
}

func (b *Burst) newPart(order []int) originPart {
	part := originPart{rank: maxRank}
	for k, i := range order {
		if i == selfIndex {
			part.rank = uint8(k)
			continue
		}
		part.candidates = append(part.candidates, i)
	}
	return part
}

func partKey(digest string, j int) uint64 { return mix(xxhash.Sum64String(digest) + uint64(j)) }

// selfIndex denotes this host among indexes of peers.
const selfIndex = -1

// topRanked returns the first n listed hosts, including this one, in the rendezvous order of a key,
// among those that satisfy fits.
func (b *Burst) topRanked(key uint64, n int, fits func(i int) bool) []int {
	var order []int
	add := func(i int, s uint64) {
		at := len(order)
		for at > 0 && b.scoreOf(key, order[at-1]) < s {
			at--
		}
		if at >= n {
			return
		}
		order = append(order, 0)
		copy(order[at+1:], order[at:])
		order[at] = i
		order = order[:min(n, len(order))]
	}
	if fits(selfIndex) {
		add(selfIndex, score(key, b.selfHash))
	}
	for i, p := range b.peers {
		if p.listed && fits(i) {
			add(i, score(key, p.hash))
		}
	}
	return order
}

func (b *Burst) scoreOf(key uint64, i int) uint64 {
	if i == selfIndex {
		return score(key, b.selfHash)
	}
	return score(key, b.peers[i].hash)
}

// delegates returns the hosts to which a chunk that came from the given tier is announced:
// delegates and their replacements. If the chunk came from outside the region, these are in the
// other data centres of the region. If it came from the origin, they are also in the other regions.
func (b *Burst) delegates(c int, from Tier) []int {
	key := b.keyOf(c)
	var delegates []int
	for _, group := range b.remoteGroups() {
		if group.region == b.self.Region && from < Fleet {
			continue
		}
		if group.region != b.self.Region && from < FromOrigin {
			continue
		}
		delegates = append(delegates, b.topRanked(key, delegatesPerGroup, group.contains)...)
	}
	return delegates
}

func (b *Burst) keyOf(c int) uint64 {
	if c == manifestIndex {
		return mix(xxhash.Sum64String(b.Digest))
	}
	return b.keys[c]
}

// group is another data centre of this host's region, or another region.
type group struct {
	region   string
	contains func(i int) bool
}

// remoteGroups returns the other data centres of this region and the other regions.
func (b *Burst) remoteGroups() []group {
	if b.cachedGroups != nil {
		return b.cachedGroups
	}
	seen := map[string]bool{}
	groups := []group{}
	for _, p := range b.peers {
		switch {
		case !p.listed || p.tier == Place:
		case p.tier == Region && !seen["place "+p.Place]:
			seen["place "+p.Place] = true
			groups = append(groups, group{p.Region, func(i int) bool {
				return i != selfIndex && b.peers[i].tier == Region && b.peers[i].Place == p.Place
			}})
		case p.tier == Fleet && !seen["region "+p.Region]:
			seen["region "+p.Region] = true
			groups = append(groups, group{p.Region, func(i int) bool {
				return i != selfIndex && b.peers[i].tier == Fleet && b.peers[i].Region == p.Region
			}})
		}
	}
	b.cachedGroups = groups
	return groups
}
