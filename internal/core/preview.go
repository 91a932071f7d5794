package core

import (
	"sort"

	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/fleet"
	"samphireweir.example/samphireweir/internal/setting"
)

// placedUpstream is an upstream of a service and the host that it runs on.
type placedUpstream struct {
	host     string
	upstream string
	address  string
}

func (u placedUpstream) name() string { return u.host + "/" + u.upstream }

// Preview computes what would change if target were in force under key. It applies the same rule as the hosts, see
// replicas.
func (s *State) Preview(key string, target *setting.Setting) fleet.Preview {
	var p fleet.Preview
	byPlace := map[string][]placedUpstream{}
	s.eachUpstream(key, func(h *member.Host, u member.Upstream) {
		byPlace[h.Place] = append(byPlace[h.Place], placedUpstream{host: h.Advert.Host, upstream: u.Name, address: h.Advert.Address})
	})
	current := s.Settings[key].Setting
	changed := map[string]bool{}
	for place, list := range byPlace {
		s.previewPlace(&p, key, place, list, current, target, changed)
	}
	for place, want := range target.Places {
		if have := len(byPlace[place]); have < want {
			p.Shortages = append(p.Shortages, fleet.Shortage{Place: place, Requested: want, Have: have})
		}
	}
	sort.Strings(p.Load)
	sort.Strings(p.Drop)
	sort.Slice(p.Shortages, func(i, j int) bool { return p.Shortages[i].Place < p.Shortages[j].Place })
	p.Services = s.otherServices(key, changed)
	return p
}

// previewPlace adds the changes in one data centre to p and the addresses of the affected hosts to changed.
func (s *State) previewPlace(p *fleet.Preview, key, place string, list []placedUpstream, current, target *setting.Setting, changed map[string]bool) {
	names := make([]string, 0, len(list))
	for _, u := range list {
		names = append(names, u.name())
	}
	hosts := map[string]bool{}
	for _, u := range list {
		position := step.Position(key, u.name(), names)
		before := current != nil && position < current.Places[place]
		after := position < target.Places[place]
		switch {
		case after && target.Kind == setting.Engine && (!before || current.Digest != target.Digest):
			p.Load = append(p.Load, u.name())
			hosts[u.address], changed[u.address] = true, true
		case before && !after:
			p.Drop = append(p.Drop, u.name())
			changed[u.address] = true
		default:
			p.Keep++
		}
	}
	p.Hosts += len(hosts)
}

// otherServices returns the keys of the services other than key that have an upstream on any of the hosts, sorted.
func (s *State) otherServices(key string, hosts map[string]bool) []string {
	found := map[string]bool{}
	for address := range hosts {
		for _, u := range s.Members.Hosts[address].Advert.Upstreams {
			if other := setting.Key(u.Team, u.Service); other != key {
				found[other] = true
			}
		}
	}
	list := make([]string, 0, len(found))
	for other := range found {
		list = append(list, other)
	}
	sort.Strings(list)
	return list
}
