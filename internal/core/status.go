package core

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/watch"
	"samphireweir.example/samphireweir/internal/fleet"
	"samphireweir.example/samphireweir/internal/setting"
)

// Status returns this process's view of the fleet, for operators.
func (s *State) Status(now time.Time) fleet.Status {
	st := fleet.Status{Process: s.processStatus(now), Hosts: s.hostStatus()}
	for _, key := range s.settingKeys() {
		st.Services = append(st.Services, s.serviceStatus(key, s.Settings[key]))
	}
	st.Problems = s.problems(st)
	return st
}

func (s *State) processStatus(now time.Time) fleet.Process {
	p := fleet.Process{
		Name: s.Self.Host, Role: string(s.Self.Role), Place: s.Self.Place, Region: s.Self.Region,
		Ready: s.Ready, CompleteTo: s.Records.Floor, Unreachable: s.Members.Unreachable(now),
	}
	if s.Records.SettingsKnown {
		p.PlatformDataAgeMS = now.Sub(s.Records.FloorCurrentAt).Milliseconds()
	}
	return p
}

func (s *State) hostStatus() fleet.Hosts {
	counts := fleet.Hosts{Places: map[string]int{}}
	for _, h := range s.Members.Hosts {
		switch {
		case h.Listed.Address == "":
		case h.State == member.Leaving || h.Advert != nil && h.Advert.Leaving:
			counts.Leaving++
		default:
			counts.Live++
			counts.Places[h.Place]++
			if h.Advert == nil {
				counts.NotAdvertised++
			}
		}
	}
	return counts
}

func (s *State) settingKeys() []string {
	keys := make([]string, 0, len(s.Settings))
	for key := range s.Settings {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

func (s *State) serviceStatus(key string, in InForce) fleet.Service {
	service := fleet.Service{Key: key, Revision: in.Revision, Kind: string(in.Setting.Kind)}
	if in.Setting.Kind == setting.Engine {
		service.Weights = in.Setting.Model + "/" + in.Setting.Adapter + "/" + in.Setting.Version
	}
	counts := map[string]*fleet.PlaceCount{}
	for place, n := range in.Setting.Places {
		counts[place] = &fleet.PlaceCount{Place: place, Requested: n}
	}
	s.eachUpstream(key, func(h *member.Host, u member.Upstream) {
		c := counts[h.Place]
		if c == nil {
			c = &fleet.PlaceCount{Place: h.Place}
			counts[h.Place] = c
		}
		countPhase(c, u, in.Setting)
	})
	for _, c := range counts {
		service.Places = append(service.Places, *c)
	}
	sort.Slice(service.Places, func(i, j int) bool { return service.Places[i].Place < service.Places[j].Place })
	return service
}

func countPhase(c *fleet.PlaceCount, u member.Upstream, target *setting.Setting) {
	switch {
	case u.Phase == member.Loading:
		c.Loading++
	case u.Phase != member.Serving:
	case target.Kind == setting.Engine && u.Digest != target.Digest:
		c.Other++
	default:
		c.Serving++
	}
}

// eachUpstream calls f for each upstream of a service on a listed host that is not shutting down.
func (s *State) eachUpstream(key string, f func(*member.Host, member.Upstream)) {
	for _, h := range s.Members.Hosts {
		if h.Advert == nil || h.Listed.Address == "" || h.State == member.Leaving || h.Advert.Leaving {
			continue
		}
		for _, u := range h.Advert.Upstreams {
			if setting.Key(u.Team, u.Service) == key {
				f(h, u)
			}
		}
	}
}

// problems lists the detected problems, the most serious first, each with what the operator should do.
func (s *State) problems(st fleet.Status) []fleet.Problem {
	var list []fleet.Problem
	add := func(what, next string) { list = append(list, fleet.Problem{What: what, Next: next}) }
	silence := time.Duration(st.Process.PlatformDataAgeMS) * time.Millisecond
	switch {
	case !s.Ready:
		add("this process is not ready: it has not got the settings", "check the object API and the host list; it needs either the platform or its peers")
	case silence > 2*watch.MaxAge:
		add(fmt.Sprintf("no news of the object API for %v", silence.Round(time.Second)), "check the object API; settings in force stay, changes wait")
	}
	if n := len(st.Process.Unreachable); n > 0 {
		add(fmt.Sprintf("%d processes don't answer this one: %s", n, strings.Join(st.Process.Unreachable[:min(n, 5)], ", ")),
			"check those hosts and the network between; the host list drops dead ones by itself")
	}
	if s.Self.Role == member.Agent {
		add("this is an agent: it does not know what engines elsewhere do", "ask an entry for the counts of services")
		return list
	}
	return append(list, serviceProblems(st)...)
}

func serviceProblems(st fleet.Status) []fleet.Problem {
	var list []fleet.Problem
	for _, service := range st.Services {
		for _, c := range service.Places {
			if c.Serving >= c.Requested {
				continue
			}
			next := "look whether the place has hosts enough; start more, or lower `places` in the setting"
			if c.Loading > 0 {
				next = "engines are loading: wait, and look again in a minute"
			}
			list = append(list, fleet.Problem{
				What: fmt.Sprintf("%s in %s: %d of %d serve the version asked for (%d loading, %d on another version)",
					service.Key, c.Place, c.Serving, c.Requested, c.Loading, c.Other),
				Next: next,
			})
		}
	}
	return list
}
