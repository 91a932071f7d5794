package core

import (
	"sort"
	"time"

	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/setting"
)

// servedInterval is the time between two rounds of QueryServed while an engine of this host does not serve its target.
const servedInterval = 2 * time.Second

// QueryServed is the effect that asks an entry which versions of a service are served. Agents need it because they hold no
// phases of other hosts.
type QueryServed struct {
	To  string
	Key string
}

// ServedReceived is the event that an entry answered QueryServed.
type ServedReceived struct {
	Key     string
	Digests []string
}

// Effect marks the type as an effect.
func (QueryServed) Effect() {}

// Event marks the type as an event.
func (ServedReceived) Event() {}

// Served returns the digests of the versions of a service that are being served, sorted.
func (s *State) Served(key string) []string {
	team, service, ok := setting.SplitKey(key)
	if !ok {
		return nil
	}
	var list []string
	for digest := range s.servedDigests(team, service) {
		list = append(list, digest)
	}
	sort.Strings(list)
	return list
}

func (s *State) applyServed(ev ServedReceived) {
	s.reportedServed[ev.Key] = ev.Digests
	s.replan = true
}

// askServed asks a random entry about each service with an engine on this host that does not serve its target version.
func (s *State) askServed(in step.Input) []step.Effect {
	if s.Self.Role != member.Agent || in.Now.Before(s.nextServed) {
		return nil
	}
	entries := s.Members.ExchangePeers(in.Now).Entries
	if len(entries) == 0 {
		return nil
	}
	s.nextServed = in.Now.Add(servedInterval)
	asked := map[string]bool{}
	var effects []step.Effect
	for _, name := range s.Rollout.UpstreamNames {
		u := s.Rollout.Upstreams[name]
		key := setting.Key(u.Team, u.Service)
		target, known := s.Settings[key]
		if u.Kind != setting.Engine || !known || asked[key] || u.Phase == member.Serving && u.Digest == target.Setting.Digest {
			continue
		}
		asked[key] = true
		effects = append(effects, QueryServed{To: entries[in.Rand%uint64(len(entries))], Key: key})
	}
	return effects
}
