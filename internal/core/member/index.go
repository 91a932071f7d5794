package member

import (
	"sort"
	"time"
)

// serviceName identifies a service.
type serviceName struct{ team, service string }

// index holds the serving upstreams of each service. It is updated host by host, so that routing a request needs
// neither a scan over the hosts of other services nor a sort. A list that was returned to a caller is never modified:
// an update creates a new one.
type index struct {
	// lists are sorted by address and name.
	lists map[serviceName][]Candidate
	// byHost holds the candidates of each host, by its address.
	byHost map[string][]Candidate
	// unreachable maps each unreachable host, to which a call of this process failed, to the time until which it counts as
	// unreachable.
	unreachable map[string]time.Time
	// filtered caches the lists without the unreachable hosts. It is valid until filteredUntil, when the first of these hosts
	// no longer counts as unreachable.
	filtered      map[serviceName][]Candidate
	filteredUntil time.Time
}

func newIndex() index {
	return index{
		lists: map[serviceName][]Candidate{}, byHost: map[string][]Candidate{}, unreachable: map[string]time.Time{},
		filtered: map[serviceName][]Candidate{},
	}
}

// setHost replaces the candidates of a host.
func (x *index) setHost(address string, list []Candidate) {
	old := x.byHost[address]
	if sameCandidates(old, list) {
		return
	}
	affected := map[serviceName]bool{}
	for _, c := range old {
		affected[serviceOf(c)] = true
	}
	for _, c := range list {
		affected[serviceOf(c)] = true
	}
	for name := range affected {
		x.lists[name] = replaceHost(x.lists[name], address, filterService(list, name))
		delete(x.filtered, name)
		if len(x.lists[name]) == 0 {
			delete(x.lists, name)
		}
	}
	x.byHost[address] = list
	if len(list) == 0 {
		delete(x.byHost, address)
	}
}

func serviceOf(c Candidate) serviceName { return serviceName{c.Upstream.Team, c.Upstream.Service} }

func filterService(list []Candidate, name serviceName) []Candidate {
	var found []Candidate
	for _, c := range list {
		if serviceOf(c) == name {
			found = append(found, c)
		}
	}
	return found
}

func sameCandidates(a, b []Candidate) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// replaceHost returns a copy of list in which replacement takes the place of the candidates of address.
func replaceHost(list []Candidate, address string, replacement []Candidate) []Candidate {
	from := sort.Search(len(list), func(i int) bool { return list[i].Address >= address })
	to := from
	for to < len(list) && list[to].Address == address {
		to++
	}
	out := make([]Candidate, 0, len(list)-(to-from)+len(replacement))
	out = append(out, list[:from]...)
	out = append(out, replacement...)
	return append(out, list[to:]...)
}

// setUnreachable marks a host as unreachable until the given time. A zero time removes the mark.
func (x *index) setUnreachable(address string, until time.Time) {
	if until.IsZero() {
		if _, known := x.unreachable[address]; !known {
			return
		}
		delete(x.unreachable, address)
	} else {
		x.unreachable[address] = until
	}
	x.resetFiltered()
}

func (x *index) resetFiltered() {
	x.filtered = map[serviceName][]Candidate{}
	x.filteredUntil = time.Time{}
}

// candidates returns the candidates of a service without the unreachable hosts. If every host is unreachable, it returns
// all of them: the fault is then probably in this process or its network. Trying an unreachable host costs a request one
// attempt, but an empty list would reject the request.
func (x *index) candidates(now time.Time, name serviceName) []Candidate {
	if len(x.unreachable) == 0 {
		return x.lists[name]
	}
	if !now.Before(x.filteredUntil) {
		x.expireUnreachable(now)
	}
	list, known := x.filtered[name]
	if known {
		return list
	}
	for _, c := range x.lists[name] {
		if _, unreachable := x.unreachable[c.Address]; !unreachable {
			list = append(list, c)
		}
	}
	if len(list) == 0 {
		list = x.lists[name]
	}
	x.filtered[name] = list
	return list
}

func (x *index) expireUnreachable(now time.Time) {
	x.resetFiltered()
	for address, until := range x.unreachable {
		if !now.Before(until) {
			delete(x.unreachable, address)
			continue
		}
		if x.filteredUntil.IsZero() || until.Before(x.filteredUntil) {
			x.filteredUntil = until
		}
	}
}

// candidates lists the serving upstreams in the host's advertisement, sorted by name. It is empty if the host is not
// listed or is shutting down.
func (h *Host) candidates(address string) []Candidate {
	if h.Advert == nil || h.Listed.Address == "" || h.Listed.State == Leaving || h.Advert.Leaving {
		return nil
	}
	var list []Candidate
	for _, u := range h.Advert.Upstreams {
		if u.Phase == Serving {
			list = append(list, Candidate{Address: address, Place: h.Place, Region: h.Region, Upstream: u, Incarnation: h.Advert.Incarnation})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Upstream.Name < list[j].Upstream.Name })
	return list
}

// AdvertComplete reports whether both parts of the host's advertisement were received: the fixed part and the phases.
func (h *Host) AdvertComplete() bool { return h.fixed != nil && h.phases != nil }
