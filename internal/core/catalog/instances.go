package catalog

import "time"

// RecordRestart records that an upstream has restarted under the same ID, if its agent reports the later start time before the store
// does. A new instance holds no weights. It counts as cold for its service's ColdDuration, unless it
// reports otherwise.
func (s *State) RecordRestart(now time.Time, id string, startedAt int64) {
	u := s.Upstreams[id]
	if u == nil || startedAt <= u.StartedAt {
		return
	}
	next := *u
	next.StartedAt, next.Versions = startedAt, map[string]int64{}
	next.ColdUntil = now.Add(s.coldFor(u.Service))
	s.Upstreams[id] = &next
	s.ChangeCount++
}

// coldFor returns how long an upstream of the service is cold after a start.
func (s *State) coldFor(service string) time.Duration {
	if s.Manifest == nil || s.Manifest.Services[service] == nil {
		return 0
	}
	return s.Manifest.Services[service].ColdDuration
}

// UpstreamAt returns the upstream at an address whose start time is startedAt, or else the one that registered there last; nil if none
// is registered there.
func (s *State) UpstreamAt(address string, startedAt int64) *Upstream {
	var last *Upstream
	for _, id := range s.byAddress[address] {
		u := s.Upstreams[id]
		if last == nil || u.preferredOver(last, startedAt) {
			last = u
		}
	}
	return last
}

// UpstreamsAt returns all upstreams that are registered at an address. At most one of them is running there.
func (s *State) UpstreamsAt(address string) []*Upstream {
	var list []*Upstream
	for _, id := range s.byAddress[address] {
		list = append(list, s.Upstreams[id])
	}
	return list
}

// reportedStart holds the start time of an upstream by its own clock, in milliseconds since 1970, and when it was last reported.
type reportedStart struct {
	startedAt  int64
	receivedAt time.Time
}

// staleStartWindow is how long after a report another one with an earlier start time is ignored as delayed. If such a report arrives
// later, the host's clock has been set back. It is longer than the interval between two reports of an agent.
const staleStartWindow = 2500 * time.Millisecond

// RecordStart records the start time that an agent reports for the upstream at an address, in milliseconds since 1970.
func (s *State) RecordStart(now time.Time, address string, startedAt int64) {
	known := s.reportedStarts[address]
	if len(s.byAddress[address]) == 0 || startedAt <= 0 || startedAt < known.startedAt && now.Sub(known.receivedAt) < staleStartWindow {
		return
	}
	s.reportedStarts[address] = reportedStart{startedAt: startedAt, receivedAt: now}
	if startedAt != known.startedAt {
		s.ChangeCount++
	}
}

// Superseded reports whether an upstream's registration is superseded: it remains in the store although its instance has ended. That is
// so if the agent at the address reports a later start time, or if a later registration at the same address has the same start time.
func (s *State) Superseded(u *Upstream) bool {
	if u.StartedAt <= 0 {
		return false
	}
	if s.reportedStarts[u.Address].startedAt > u.StartedAt {
		return true
	}
	for _, id := range s.byAddress[u.Address] {
		if other := s.Upstreams[id]; other.StartedAt == u.StartedAt && other.Revision.After(u.Revision) {
			return true
		}
	}
	return false
}
