package member

import (
	"encoding/json"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphireweir.example/samphireweir/internal/core/record"
)

// ListChanges compares the platform's host list with the known records. It returns a record with the next higher
// version for each host whose line differs, and a tombstone for each host that is no longer listed. Any process that
// reads the list can correct the records. The list needs no version of its own: two processes that read the same list
// produce the same records.
func ListChanges(known map[string]record.Record, hosts []Listed) []record.Record {
	var changes []record.Record
	present := make(map[string]bool, len(hosts))
	for _, l := range hosts {
		key := ListPrefix + l.Address
		present[key] = true
		value, err := json.Marshal(l)
		if err != nil {
			continue
		}
		old := known[key]
		if matches(old, l) {
			continue
		}
		changes = append(changes, record.Record{Key: key, Version: nextVersion(old, value), Value: value})
	}
	for key, r := range known {
		if strings.HasPrefix(key, ListPrefix) && !r.Deleted && !present[key] {
			changes = append(changes, record.Record{Key: key, Version: nextVersion(r, nil), Deleted: true})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Key < changes[j].Key })
	return changes
}

// matches reports whether a record holds the given line of the host list. It compares the decoded fields, because the
// codec between processes may write them in another order.
func matches(r record.Record, l Listed) bool {
	var known Listed
	return !r.Deleted && json.Unmarshal(r.Value, &known) == nil && known == l
}

// nextVersion returns the version that follows that of old. The hash of the new value breaks the tie between two
// processes that read different lists.
func nextVersion(old record.Record, value []byte) record.Version {
	return record.Version{Major: old.Version.Major + 1, Minor: xxhash.Sum64(value)}
}

// DepartedTombstones returns tombstones for the advertisement, phases and demand of each host that the changed records
// remove from the host list. Every process computes the same tombstones. A host that returns under the same address
// advertises with a higher version.
func DepartedTombstones(known map[string]record.Record, changed []record.Record) []record.Record {
	var tombstones []record.Record
	for _, r := range changed {
		address, found := strings.CutPrefix(r.Key, ListPrefix)
		if !found || !r.Deleted {
			continue
		}
		for _, prefix := range []string{AdvertPrefix, record.PhasePrefix, record.DemandPrefix} {
			old, held := known[prefix+address]
			if !held || old.Deleted {
				continue
			}
			old.Version.Minor = maxMinor
			tombstones = append(tombstones, record.Record{Key: old.Key, Version: old.Version, Deleted: true})
		}
	}
	return tombstones
}

// maxMinor is higher than every sequence number that a host uses within an incarnation.
const maxMinor = ^uint64(0)

// OrphanRetention is how long the records of an unlisted host are kept. The platform's list lags, so a new host may
// advertise before it is listed.
const OrphanRetention = 10 * time.Minute

// OrphanTombstones returns tombstones for the records of hosts that have been unlisted for OrphanRetention, and drops
// these hosts.
func (s *State) OrphanTombstones(now time.Time, known map[string]record.Record) []record.Record {
	var unlisted []record.Record
	for address, h := range s.Hosts {
		if h.Listed.Address != "" || address == s.Self {
			h.unlistedSince = time.Time{}
			continue
		}
		if h.unlistedSince.IsZero() {
			h.unlistedSince = now
		}
		if now.Sub(h.unlistedSince) >= OrphanRetention {
			unlisted = append(unlisted, record.Record{Key: ListPrefix + address, Deleted: true})
			delete(s.Hosts, address)
		}
	}
	return DepartedTombstones(known, unlisted)
}

func (s *State) applyListed(r record.Record) {
	address := strings.TrimPrefix(r.Key, ListPrefix)
	if r.Deleted {
		delete(s.Hosts, address)
		s.index.setHost(address, nil)
		return
	}
	var l Listed
	if json.Unmarshal(r.Value, &l) != nil {
		return
	}
	h := s.host(address)
	h.Listed = l
	s.index.setHost(address, h.candidates(address))
}

// updatePeers recomputes what depends on which hosts are listed: the peers and this process's rank.
func (s *State) updatePeers() {
	s.addresses = s.addresses[:0]
	for address, h := range s.Hosts {
		if h.Listed.Address != "" && address != s.Self {
			s.addresses = append(s.addresses, address)
		}
	}
	sort.Strings(s.addresses)
	s.peers = s.rankedPeers()
	s.rank = s.ownRank()
}

func (s *State) applyAdvert(r record.Record) {
	address := strings.TrimPrefix(r.Key, AdvertPrefix)
	a := parseAdvert(r, address)
	if a == nil && s.Hosts[address] == nil {
		return
	}
	h := s.host(address)
	h.fixed = a
	s.mergeAdvert(address, h)
}

func (s *State) applyPhases(r record.Record) {
	address := strings.TrimPrefix(r.Key, record.PhasePrefix)
	p := parsePhases(r)
	if p == nil && s.Hosts[address] == nil {
		return
	}
	h := s.host(address)
	h.phases = p
	s.mergeAdvert(address, h)
}

func parseAdvert(r record.Record, address string) *Advert {
	a := &Advert{}
	if r.Deleted || json.Unmarshal(r.Value, a) != nil {
		return nil
	}
	a.Address = address
	return a
}

// mergeAdvert rebuilds a host's Advert from its fixed part and its phases.
func (s *State) mergeAdvert(address string, h *Host) {
	h.Advert = nil
	if h.fixed != nil {
		merged := *h.fixed
		merged.Upstreams = append([]Upstream(nil), h.fixed.Upstreams...)
		if h.phases != nil {
			h.phases.applyTo(&merged)
		}
		h.Advert = &merged
	}
	s.index.setHost(address, h.candidates(address))
}

// Fixed returns the part of an advertisement that does not change while the agent's process runs.
func (a Advert) Fixed() Advert {
	a.Leaving = false
	a.Weights = nil
	list := make([]Upstream, len(a.Upstreams))
	for i, u := range a.Upstreams {
		list[i] = Upstream{Name: u.Name, Team: u.Team, Service: u.Service, Kind: u.Kind}
	}
	a.Upstreams = list
	return a
}
