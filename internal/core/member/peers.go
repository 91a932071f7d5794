package member

import (
	"slices"
	"time"

	"samphireweir.example/samphireweir/internal/core/record"
	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// PeersInPlace and PeersElsewhere are the numbers of fixed exchange peers of a process inside and outside its data
	// centre. A fixed set bounds the number of connections. A random graph of this degree stays connected when a third
	// of the processes fail.
	PeersInPlace   = 4
	PeersElsewhere = 4
	// EntryPeers is the number of entries that a process sends dynamic records to.
	EntryPeers = 6
	// maxSkip is the maximum backoff. A host that does not answer is left out of the exchanges during its backoff.
	maxSkip = 30 * time.Second
)

// recordFailure marks the host as unreachable after a failed call and doubles its backoff.
func (h *Host) recordFailure(now time.Time) {
	h.UnreachableUntil = now.Add(UnreachableDuration)
	h.failures++
	h.skipUntil = now.Add(min(UnreachableDuration<<min(h.failures-1, 8), maxSkip))
}

// recordSuccess resets the failure state of a host that answered.
func (h *Host) recordSuccess() {
	h.UnreachableUntil = time.Time{}
	h.skipUntil = time.Time{}
	h.failures = 0
}

// ExchangePeers returns the processes to exchange records with. Near and Entries omit processes that are in backoff
// after a failed call, unless all of them are. All holds every listed process.
func (s *State) ExchangePeers(now time.Time) record.Peers {
	return record.Peers{
		Near:    s.responsive(now, s.peers.Near, PeersInPlace+PeersElsewhere),
		Entries: s.responsive(now, s.peers.Entries, EntryPeers),
		All:     s.addresses,
	}
}

// responsive returns up to limit addresses of list that are not in backoff. If all are, it returns the first ones.
func (s *State) responsive(now time.Time, list []string, limit int) []string {
	found := make([]string, 0, min(limit, len(list)))
	for _, address := range list {
		if len(found) < limit && !now.Before(s.Hosts[address].skipUntil) {
			found = append(found, address)
		}
	}
	if len(found) == 0 {
		return list[:min(limit, len(list))]
	}
	return found
}

// rankedPeers returns the possible exchange peers in rendezvous order. There are twice as many as are used at a time, so
// that some of them may be in backoff.
func (s *State) rankedPeers() record.Peers {
	var place, elsewhere, entries []string
	for _, address := range s.addresses {
		h := s.Hosts[address]
		if h.Place == s.Place {
			place = append(place, address)
		} else {
			elsewhere = append(elsewhere, address)
		}
		if h.Role == Entry {
			entries = append(entries, address)
		}
	}
	near := interleave(topRanked(s.Self, place, 2*PeersInPlace), topRanked(s.Self, elsewhere, 2*PeersElsewhere))
	return record.Peers{Near: near, Entries: topRanked(s.Self, entries, 2*EntryPeers)}
}

// topRanked returns the first n members in the rendezvous order of key.
func topRanked(key string, members []string, n int) []string {
	ranked := step.Rank(key, members)
	return ranked[:min(n, len(ranked))]
}

// interleave returns the elements of a and b in turn.
func interleave(a, b []string) []string {
	var out []string
	for i := range max(len(a), len(b)) {
		if i < len(a) {
			out = append(out, a[i])
		}
		if i < len(b) {
			out = append(out, b[i])
		}
	}
	return out
}

// Rank returns the position of this process in the rendezvous order of its data centre, from 0.
func (s *State) Rank() int { return s.rank }

func (s *State) ownRank() int {
	members := []string{s.Self}
	for _, address := range s.addresses {
		if s.Hosts[address].Place == s.Place && s.Hosts[address].State != Leaving {
			members = append(members, address)
		}
	}
	return step.Position("watch/"+s.Place, s.Self, members)
}

// Unreachable lists the peers that did not answer this process and are in backoff, sorted. The backoff grows with each failure, so
// they may be listed for longer than they count as unreachable for requests.
func (s *State) Unreachable(now time.Time) []string {
	var list []string
	for _, address := range s.addresses {
		if now.Before(s.Hosts[address].skipUntil) {
			list = append(list, address)
		}
	}
	return list
}

// Listed reports whether this process is on the host list.
func (s *State) Listed() bool {
	own := s.Hosts[s.Self]
	return own != nil && own.Listed.Address != ""
}

// HasUnreportedAgents reports whether there is a listed agent, not shutting down, whose phases were not received yet.
func (s *State) HasUnreportedAgents() bool {
	for _, address := range s.addresses {
		if h := s.Hosts[address]; h.Role == Agent && h.State != Leaving && h.phases == nil {
			return true
		}
	}
	return false
}

// IsEntryPeer reports whether an address is one of the entries that this process may send dynamic records to.
func (s *State) IsEntryPeer(address string) bool { return slices.Contains(s.peers.Entries, address) }
