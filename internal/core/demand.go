package core

import (
	"encoding/json"
	"sort"
	"strings"
	"time"

	"samphireweir.example/samphireweir/internal/core/admission"
	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/record"
	"samphireweir.example/samphireweir/internal/core/step"
)

// MinDemandInterval is the minimum time between two publications of an entry's demand.
const MinDemandInterval = time.Second

// demandState holds what an entry last published about the demand of client accounts.
type demandState struct {
	// next is the earliest time of the next publication.
	next time.Time
	// last is the published value as JSON; empty before the first publication.
	last string
}

// updateEntries passes the current entries to routing and admission. The entries of this data centre share its
// upstreams, and all entries share the fleet-wide limits of client accounts.
func (s *State) updateEntries() {
	if s.Self.Role != member.Entry {
		return
	}
	place := []string{s.Self.Address}
	all := []string{s.Self.Address}
	for _, address := range s.Members.Peers() {
		h := s.Members.Hosts[address]
		if h.Role != member.Entry || h.State == member.Leaving || (h.Advert != nil && h.Advert.Leaving) {
			continue
		}
		all = append(all, address)
		if h.Place == s.Self.Place {
			place = append(place, address)
		}
	}
	sort.Strings(place)
	s.Requests.Routing.SetEntries(place)
	s.Requests.Fleet.SetEntries(all)
}

// receiveDemand passes the demand that entries published to admission.
func (s *State) receiveDemand(changed []record.Record) {
	if s.Self.Role != member.Entry {
		return
	}
	for _, r := range changed {
		if !strings.HasPrefix(r.Key, admission.DemandPrefix) {
			continue
		}
		var d admission.Demand
		if json.Unmarshal(r.Value, &d) == nil && d.Entry != "" {
			s.Requests.Fleet.SetDemand(d)
		}
	}
}

// publishDemand publishes the demand of client accounts with a fleet-wide limit if it has changed.
func (s *State) publishDemand(in step.Input) []step.Effect {
	if s.Self.Role != member.Entry || in.Now.Before(s.demand.next) {
		return nil
	}
	s.demand.next = in.Now.Add(MinDemandInterval)
	d := admission.Demand{Entry: s.Self.Address, Accounts: s.limitedDemand()}
	value, err := json.Marshal(d)
	if err != nil || string(value) == s.demand.last || (s.demand.last == "" && len(d.Accounts) == 0) {
		return nil
	}
	s.demand.last = string(value)
	s.sequence++
	r := record.Record{
		Key:     admission.DemandPrefix + s.Self.Address,
		Version: record.Version{Major: s.major, Minor: s.sequence},
		Value:   value,
	}
	return s.reduceRecords(withEvent(in, record.Published{Records: []record.Record{r}}))
}

// limitedDemand returns the demand of client accounts with a fleet-wide limit, by service key and account.
func (s *State) limitedDemand() map[string]map[string]int {
	found := map[string]map[string]int{}
	for key, in := range s.Settings {
		for name, limits := range in.Setting.Clients {
			if limits.Concurrency <= 0 {
				continue
			}
			if n := s.Requests.Demand(key, name); n > 0 {
				if found[key] == nil {
					found[key] = map[string]int{}
				}
				found[key][name] = n
			}
		}
	}
	return found
}
