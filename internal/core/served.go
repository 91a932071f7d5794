package core

import (
	"sort"
	"time"

	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/setting"
)

// servedInterval is the time between two questions of an agent whose engines are not all where they should be.
const servedInterval = 2 * time.Second

// AskServed asks an entry which versions of a service are served: agents hold no phases of other hosts.
type AskServed struct {
	To  string
	Key string
}

// ServedRead says what an entry answered.
type ServedRead struct {
	Key     string
	Digests []string
}

// Effect marks the type as an effect.
func (AskServed) Effect() {}

// Event marks the type as an event.
func (ServedRead) Event() {}

// Served lists the versions that hosts advertise as serving a service, sorted.
func (s *State) Served(key string) []string {
	team, service, ok := setting.SplitKey(key)
	if !ok {
		return nil
	}
	var list []string
	for digest := range s.served(team, service) {
		list = append(list, digest)
	}
	sort.Strings(list)
	return list
}

func (s *State) servedRead(ev ServedRead) {
	s.heardServed[ev.Key] = ev.Digests
	s.replan = true
}

// askServed asks for the services of the engines that do not serve what they should.
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
	for _, name := range s.Rollout.Order {
		u := s.Rollout.Upstreams[name]
		key := setting.Key(u.Team, u.Service)
		target, known := s.Settings[key]
		if u.Kind != setting.Engine || !known || asked[key] || u.Phase == member.Serving && u.Digest == target.Setting.Digest {
			continue
		}
		asked[key] = true
		effects = append(effects, AskServed{To: entries[in.Rand%uint64(len(entries))], Key: key})
	}
	return effects
}
