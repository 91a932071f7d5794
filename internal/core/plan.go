package core

import (
	"sort"

	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/weights"
	"samphireweir.example/samphireweir/internal/setting"
)

// plan computes which version each upstream of this host should serve, and which other hosts exchange the chunks of that version
// with this one.
func (s *State) plan(in step.Input) []step.Effect {
	if !s.replan || s.Self.Role != member.Agent {
		return nil
	}
	s.replan = false
	replicas := s.replicas()
	wants := map[string]*weights.Want{}
	for _, name := range s.Rollout.UpstreamNames {
		u := s.Rollout.Upstreams[name]
		digest := ""
		key := setting.Key(u.Team, u.Service)
		if replicas.has(key, s.Self.Address, name) {
			target := s.Settings[key].Setting
			digest = target.Digest
			wants[digest] = s.want(target, replicas.hosts(s.Settings, digest))
		}
		s.Rollout.SetTarget(name, s.target(u.Upstream, digest))
	}
	return s.Weights.SetWants(in, sortedWants(wants))
}

func sortedWants(wants map[string]*weights.Want) []weights.Want {
	list := make([]weights.Want, 0, len(wants))
	for _, w := range wants {
		list = append(list, *w)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Digest < list[j].Digest })
	return list
}

// want returns the version of a setting with the peers that fetch it too. A host without a replica of the version is not
// a peer: others would rely on it to fetch chunks that it never fetches.
func (s *State) want(target *setting.Setting, hosts map[string]bool) *weights.Want {
	w := &weights.Want{
		Ref:    weights.Ref{Model: target.Model, Adapter: target.Adapter, Version: target.Version},
		Digest: target.Digest,
		Policy: target.Policy,
	}
	for _, address := range s.Members.Peers() {
		if hosts[address] {
			h := s.Members.Hosts[address]
			w.Peers = append(w.Peers, weights.Peer{Address: address, Place: h.Place, Region: h.Region})
		}
	}
	return w
}
