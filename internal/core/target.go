package core

import (
	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/rollout"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/setting"
)

// target returns the desired state of an upstream. digest is empty if the upstream is not among the replicas of its
// service.
func (s *State) target(u member.Upstream, digest string) rollout.Target {
	in, ok := s.Settings[setting.Key(u.Team, u.Service)]
	if !ok || in.Setting.Kind != setting.Engine {
		return rollout.Target{}
	}
	return rollout.Target{
		Digest:         digest,
		Role:           in.Setting.Role,
		IgnoresFencing: in.Setting.Fencing == setting.FencingIgnored,
		MaxUnavailable: in.Setting.MaxUnavailable,
		Rank:           s.rolloutRank(u, in.Setting),
		Accepted:       s.servedDigests(u.Team, u.Service),
	}
}

// servedDigests returns the versions of a service that any host advertises as being served. During a rollout, an engine
// that holds one of them may serve it until it is its turn to load the new version.
func (s *State) servedDigests(team, service string) map[string]bool {
	digests := map[string]bool{}
	for _, digest := range s.reportedServed[setting.Key(team, service)] {
		digests[digest] = true
	}
	for _, h := range s.Members.Hosts {
		if h.Advert == nil {
			continue
		}
		for _, u := range h.Advert.Upstreams {
			if u.Team == team && u.Service == service && u.Phase == member.Serving {
				digests[u.Digest] = true
			}
		}
	}
	return digests
}

// rolloutRank returns the position of an engine, from 0, among the engines of its service that serve another version or
// role than the setting asks for. They are in the service's rendezvous order, and engines on unlisted hosts don't
// count. The known phases of other hosts may be stale, so the rank only keeps engines from requesting slots all at once.
func (s *State) rolloutRank(u member.Upstream, target *setting.Setting) int {
	own := s.Self.Host + "/" + u.Name
	members := []string{own}
	for _, address := range s.Members.Peers() {
		h := s.Members.Hosts[address]
		if h == nil || h.Advert == nil {
			continue
		}
		for _, other := range h.Advert.Upstreams {
			if other.Team == u.Team && other.Service == u.Service && outdated(other, target) {
				members = append(members, h.Advert.Host+"/"+other.Name)
			}
		}
	}
	return step.Position(setting.Key(u.Team, u.Service), own, members)
}

func outdated(u member.Upstream, target *setting.Setting) bool {
	return u.Phase == member.Serving && (u.Digest != target.Digest || u.Role != target.Role)
}
