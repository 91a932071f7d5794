package record

import (
	"sort"
	"time"

	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// Fanout is the number of peers to which a process pushes changed records.
	Fanout = 4
	// MaxPushRecords is the maximum number of records in one push. MaxMessageBytes is the maximum size in bytes of
	// one push or answer. A connection allows messages of up to four times that size.
	MaxPushRecords  = 256
	MaxMessageBytes = 1 << 20
	// OwnPushInterval is the interval at which an agent pushes its own dynamic record to an entry again, in case
	// an earlier push was lost. The anti-entropy exchanges can't repair that, since agents compare no dynamic records.
	OwnPushInterval = 10 * time.Second
)

// Push sends records to a peer.
type Push struct {
	To      string
	Records []Record
}

// Effect marks the type as an effect.
func (Push) Effect() {}

// tick pushes pending changes and starts an exchange when one is due.
func (s *State) tick(in step.Input, peers Peers) []step.Effect {
	s.expireRequests(in.Now)
	var effects []step.Effect
	if len(s.pending) > 0 {
		effects = s.pushPending(in, peers)
	}
	effects = append(effects, s.pushOwn(in, peers)...)
	if in.Now.Before(s.nextExchange) || len(peers.All) == 0 {
		return effects
	}
	s.nextExchange = in.Now.Add(s.exchangeInterval(len(peers.Entries) > 0))
	e := Exchange{To: s.exchangePeer(in, peers), Common: s.sums.Common(), Dynamic: s.dynamicSum(in.Now), Coverage: s.coverage(in.Now)}
	return append(effects, e)
}

// PushOwnTo schedules a push of the own dynamic record to a peer at the next tick.
func (s *State) PushOwnTo(address string) { s.ownPushTargets = append(s.ownPushTargets, address) }

// pushOwn pushes an agent's own dynamic record to the scheduled peers, and to one entry per OwnPushInterval.
func (s *State) pushOwn(in step.Input, peers Peers) []step.Effect {
	own, known := s.Records[s.ownKey]
	if s.holdDynamic || !known {
		return nil
	}
	to := s.ownPushTargets
	s.ownPushTargets = nil
	if len(peers.Entries) > 0 && !in.Now.Before(s.nextOwnPush) {
		s.nextOwnPush = in.Now.Add(OwnPushInterval)
		to = append(to, peers.Entries[(in.Rand>>8)%uint64(len(peers.Entries))])
	}
	var effects []step.Effect
	for _, address := range to {
		effects = append(effects, splitIntoPushes(address, []Record{own})...)
	}
	return effects
}

// exchangePeer picks the peer of the next exchange. A process without the settings picks any listed process, because
// its near peers may have just started, too. An entry picks an entry about every other time, because agents hold no
// dynamic records.
func (s *State) exchangePeer(in step.Input, peers Peers) string {
	from := peers.Near
	entry := s.holdDynamic && len(peers.Entries) > 0 && (in.Rand%2 == 0 || !s.DynamicMerged)
	switch {
	case entry:
		from = peers.Entries
	case !s.SettingsKnown || len(from) == 0:
		from = peers.All
	}
	return from[(in.Rand>>1)%uint64(len(from))]
}

// pushPending sends the changed records to a few peers: common records to any peer, dynamic records to entries. An
// agent pushes its own dynamic record. An entry offers dynamic records, at most once per OfferInterval.
func (s *State) pushPending(in step.Input, peers Peers) []step.Effect {
	byPeer := map[string][]Record{}
	offers := map[string][]string{}
	deferred := map[string]string{}
	for _, key := range sortedKeysOf(s.pending) {
		from := s.pending[key]
		switch {
		case !isDynamic(key):
			for _, peer := range choosePeers(in.Rand, peers.Near, from, Fanout) {
				byPeer[peer] = append(byPeer[peer], s.Records[key])
			}
		case !s.holdDynamic:
			for _, peer := range choosePeers(in.Rand, peers.Entries, from, OwnFanout) {
				byPeer[peer] = append(byPeer[peer], s.Records[key])
			}
		case in.Now.Before(s.nextOffer):
			deferred[key] = from
		default:
			for _, peer := range choosePeers(in.Rand, peers.Entries, from, OfferFanout) {
				offers[peer] = append(offers[peer], key)
			}
		}
	}
	s.pending = deferred
	if len(offers) > 0 {
		s.nextOffer = in.Now.Add(OfferInterval)
	}
	var effects []step.Effect
	for _, peer := range sortedKeysOf(byPeer) {
		effects = append(effects, splitIntoPushes(peer, byPeer[peer])...)
	}
	for _, peer := range sortedKeysOf(offers) {
		effects = append(effects, s.makeOffers(peer, offers[peer])...)
	}
	return effects
}

// choosePeers draws up to limit distinct peers, without the one that a change came from.
func choosePeers(random uint64, peers []string, except string, limit int) []string {
	pool := make([]string, 0, len(peers))
	for _, p := range peers {
		if p != except {
			pool = append(pool, p)
		}
	}
	n := min(limit, len(pool))
	for i := range n {
		// A linear congruential step draws the next index from the input's one random number.
		random = random*6364136223846793005 + 1442695040888963407
		j := i + int((random>>33)%uint64(len(pool)-i))
		pool[i], pool[j] = pool[j], pool[i]
	}
	return pool[:n]
}

// splitIntoPushes splits records into pushes within the limits.
func splitIntoPushes(to string, records []Record) []step.Effect {
	var effects []step.Effect
	for len(records) > 0 {
		n := countThatFits(records, MaxPushRecords)
		effects = append(effects, Push{To: to, Records: records[:n]})
		records = records[n:]
	}
	return effects
}

// countThatFits returns how many of the first records fit into one message: at least one, at most limit.
func countThatFits(records []Record, limit int) int {
	size := 0
	for i, r := range records {
		size += len(r.Key) + len(r.Value) + recordOverhead
		if i == limit || i > 0 && size > MaxMessageBytes {
			return i
		}
	}
	return len(records)
}

// recordOverhead is the approximate size in bytes of a record's version and punctuation in a message.
const recordOverhead = 100

// sortedKeysOf returns the keys of a map in ascending order.
func sortedKeysOf[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// exchangeInterval returns the time until the next exchange.
func (s *State) exchangeInterval(hasEntries bool) time.Duration {
	if !s.SettingsKnown || s.holdDynamic && !s.DynamicMerged && hasEntries {
		return InitialInterval
	}
	return ExchangeInterval
}
