package core

import (
	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/setting"
)

// replica is an upstream that should run a service, on the host with the given address.
type replica struct {
	address  string
	upstream string
}

// replicaSet holds the replicas of each service by the key of its setting.
type replicaSet map[string]map[replica]bool

// has reports whether an upstream is among the replicas of a service.
func (r replicaSet) has(key, address, upstream string) bool {
	return r[key][replica{address, upstream}]
}

// hosts returns the addresses of the hosts with a replica of any service whose setting has the given digest.
func (r replicaSet) hosts(settings map[string]InForce, digest string) map[string]bool {
	found := map[string]bool{}
	for key, replicas := range r {
		if settings[key].Setting.Digest != digest {
			continue
		}
		for rep := range replicas {
			found[rep.address] = true
		}
	}
	return found
}

// pool identifies the upstreams of one service in one data centre, from which the replicas are chosen.
type pool struct {
	key   string
	place string
}

// replicas computes which upstreams should run each model service: in each data centre the first ones in the service's
// rendezvous order, as many as the setting asks for. Every host computes the same set independently.
func (s *State) replicas() replicaSet {
	pools := map[pool]map[string]replica{}
	for _, a := range s.newestAdverts() {
		s.addToPools(pools, a)
	}
	set := replicaSet{}
	for p, members := range pools {
		if set[p.key] == nil {
			set[p.key] = map[replica]bool{}
		}
		for _, name := range firstRanked(p.key, members, s.Settings[p.key].Setting.Places[p.place]) {
			set[p.key][members[name]] = true
		}
	}
	return set
}

// newestAdverts returns the advertisements of the hosts by host name. A previous instance of a host's process may still
// be listed under another address. Of the two advertisements the one with the higher incarnation is used. For this host it is
// always that of this process.
func (s *State) newestAdverts() map[string]*member.Advert {
	newest := map[string]*member.Advert{}
	for _, address := range s.Members.Peers() {
		h := s.Members.Hosts[address]
		if h == nil || h.Advert == nil || h.State == member.Leaving {
			continue
		}
		other := newest[h.Advert.Host]
		if other == nil || other.Incarnation < h.Advert.Incarnation {
			newest[h.Advert.Host] = h.Advert
		}
	}
	own := s.ownAdvert()
	newest[own.Host] = &own
	return newest
}

// firstRanked returns the first n names of members in the rendezvous order of key.
func firstRanked(key string, members map[string]replica, n int) []string {
	names := make([]string, 0, len(members))
	for name := range members {
		names = append(names, name)
	}
	ranked := step.Rank(key, names)
	return ranked[:min(n, len(ranked))]
}

// addToPools adds the engines of a host to the pools of their services.
func (s *State) addToPools(pools map[pool]map[string]replica, a *member.Advert) {
	for _, u := range a.Upstreams {
		key := setting.Key(u.Team, u.Service)
		in, ok := s.Settings[key]
		if !ok || in.Setting.Kind != setting.Engine || u.Kind != setting.Engine {
			continue
		}
		p := pool{key, a.Place}
		if pools[p] == nil {
			pools[p] = map[string]replica{}
		}
		pools[p][a.Host+"/"+u.Name] = replica{a.Address, u.Name}
	}
}

// ownAdvert returns the advertisement of this host without Weights.
func (s *State) ownAdvert() member.Advert {
	a := member.Advert{
		Host: s.Self.Host, Address: s.Self.Address, Place: s.Self.Place, Region: s.Self.Region,
		Role: s.Self.Role, Leaving: s.leaving, Incarnation: s.Self.Incarnation,
	}
	for _, name := range s.Rollout.UpstreamNames {
		a.Upstreams = append(a.Upstreams, s.Rollout.Upstreams[name].Upstream)
	}
	return a
}
