package core

import (
	"sort"
	"time"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/weights"
	"samphireweir.example/samphireweir/internal/setting"
)

// BurstView is a process's view of all bursts in the fleet, for operators. A burst is the distribution of one version of weights to
// many hosts at once.
type BurstView struct {
	Bursts []FleetBurst `json:"bursts"`
	// Local is the progress of this host; empty on an entry.
	Local []weights.Progress `json:"here,omitempty"`
	// Share is the fraction of this host's link that transfers may use now.
	Share float64 `json:"share"`
	// Sent counts the bytes that this host sent to hosts in this data centre, elsewhere in the region and in other regions.
	Sent []int64 `json:"sent"`
	// Unanswered counts the hosts that did not report their progress.
	Unanswered int `json:"silent,omitempty"`
}

// FleetBurst is the distribution of one version to all hosts that the settings choose to run it.
type FleetBurst struct {
	// Services holds the services whose settings require the version.
	Services []string       `json:"services"`
	Model    string         `json:"model"`
	Adapter  string         `json:"adapter"`
	Version  string         `json:"version"`
	Digest   string         `json:"digest"`
	Policy   setting.Policy `json:"policy"`
	Places   []PlaceBurst   `json:"places"`
}

// PlaceBurst is the state of a burst in one data centre, for one service.
type PlaceBurst struct {
	Place  string `json:"place"`
	Region string `json:"region"`
	// Wanted is the number of replicas that the setting asks for. Hosts counts the hosts with an engine of the
	// service, and Holding those that have every chunk. Loading and Serving count engines.
	Wanted  int `json:"wanted"`
	Hosts   int `json:"hosts"`
	Holding int `json:"holding"`
	Loading int `json:"loading"`
	Serving int `json:"serving"`
	// Percent is the mean progress of the hosts.
	Percent int `json:"percent"`
	// Rate is the sum over the hosts that lack chunks, in bytes per second. LeftMS is the estimated time until the slowest
	// of them has every chunk, in milliseconds.
	Rate   int64 `json:"rate"`
	LeftMS int64 `json:"left_ms"`
	// From counts the received bytes by source: the data centre, elsewhere in the region, other regions, the origin.
	From  [4]int64    `json:"from"`
	Stuck []StuckHost `json:"stuck,omitempty"`
}

// StuckHost is a host that can't complete a burst.
type StuckHost struct {
	Host string    `json:"host"`
	Code code.Code `json:"code"`
	Text string    `json:"text"`
}

// Bursts describes the bursts of all engine settings in force. progress holds the reports of the hosts that BurstHosts
// lists, by address. For a host without one it uses the advertisement.
func (s *State) Bursts(now time.Time, progress map[string][]weights.Summary) BurstView {
	v := BurstView{Bursts: []FleetBurst{}, Local: s.Weights.View(now), Share: s.Weights.Yield.Share, Sent: s.Weights.Uploads.Sent[:]}
	byDigest := map[string]int{}
	for _, key := range s.engineKeys() {
		target := s.Settings[key].Setting
		at, known := byDigest[target.Digest]
		if !known {
			at = len(v.Bursts)
			byDigest[target.Digest] = at
			v.Bursts = append(v.Bursts, FleetBurst{
				Model: target.Model, Adapter: target.Adapter, Version: target.Version, Digest: target.Digest, Policy: target.Policy,
			})
		}
		b := &v.Bursts[at]
		b.Services = append(b.Services, key[len(setting.Prefix):])
		b.Places = s.addPlaces(b.Places, key, target, progress)
	}
	return v
}

func (s *State) engineKeys() []string {
	var keys []string
	for key, in := range s.Settings {
		if in.Setting.Kind == setting.Engine {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

func (s *State) addPlaces(places []PlaceBurst, key string, target *setting.Setting, progress map[string][]weights.Summary) []PlaceBurst {
	names := make([]string, 0, len(target.Places))
	for name := range target.Places {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		p := PlaceBurst{Place: name, Wanted: target.Places[name]}
		for _, a := range s.adverts() {
			if a.Place == name {
				p.addHost(a, key, target.Digest, progress)
			}
		}
		if p.Hosts > 0 {
			p.Percent /= p.Hosts
		}
		places = append(places, p)
	}
	return places
}

// BurstHosts returns the addresses of the listed hosts, without this one, that have an engine of a setting in force.
func (s *State) BurstHosts() []string {
	keys := map[string]bool{}
	for _, key := range s.engineKeys() {
		keys[key] = true
	}
	var list []string
	for _, address := range s.Members.Peers() {
		if h := s.Members.Hosts[address]; h.Advert != nil && hasEngineOf(h.Advert, keys) {
			list = append(list, address)
		}
	}
	return list
}

func hasEngineOf(a *member.Advert, keys map[string]bool) bool {
	for _, u := range a.Upstreams {
		if keys[setting.Key(u.Team, u.Service)] {
			return true
		}
	}
	return false
}

// adverts returns the advertisements of the listed hosts and of this one, sorted by address.
func (s *State) adverts() []*member.Advert {
	addresses := append([]string{s.Self.Address}, s.Members.Peers()...)
	sort.Strings(addresses)
	var list []*member.Advert
	for _, address := range addresses {
		if h := s.Members.Hosts[address]; h != nil && h.Advert != nil {
			list = append(list, h.Advert)
		}
	}
	return list
}

// addHost adds a host to the counts if it has an upstream of the service.
func (p *PlaceBurst) addHost(a *member.Advert, key, digest string, progress map[string][]weights.Summary) {
	runsService := false
	serving := 0
	for _, u := range a.Upstreams {
		if setting.Key(u.Team, u.Service) != key {
			continue
		}
		runsService = true
		if u.Phase == member.Loading {
			p.Loading++
		}
		if u.Phase == member.Serving && u.Digest == digest {
			serving++
		}
	}
	if !runsService {
		return
	}
	p.Hosts++
	p.Serving += serving
	p.Region = a.Region
	list, answered := progress[a.Address]
	if !answered {
		list = a.Weights
	}
	p.addSummary(a.Host, list, digest, serving > 0)
}

func (p *PlaceBurst) addSummary(host string, list []weights.Summary, digest string, serving bool) {
	for _, w := range list {
		if w.Digest != digest {
			continue
		}
		p.addProgress(host, w, serving)
		return
	}
	if serving {
		p.Holding++
		p.Percent += 100
	}
}

func (p *PlaceBurst) addProgress(host string, w weights.Summary, serving bool) {
	percent := w.Percent
	if serving {
		percent = 100
	}
	p.Percent += percent
	if percent == 100 {
		p.Holding++
	} else {
		p.Rate += w.Rate
		p.LeftMS = max(p.LeftMS, w.LeftMS)
	}
	for i, n := range w.From {
		p.From[i] += n
	}
	if w.BlockedBy != 0 {
		p.Stuck = append(p.Stuck, StuckHost{Host: host, Code: w.BlockedBy, Text: w.BlockedBy.Describe().Help})
	}
}
