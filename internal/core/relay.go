package core

import (
	"encoding/json"
	"strings"
	"time"

	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/record"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/watch"
	"samphireweir.example/samphireweir/internal/setting"
)

// tidyInterval is the time between two looks for what unlisted hosts said.
const tidyInterval = time.Minute

// PhasesInterval is the least time between two records of a host's phases that tell routing nothing new.
const PhasesInterval = 10 * time.Second

// reducePlatform takes in what was read from the platform, or that it could not be read.
func (s *State) reducePlatform(in step.Input) []step.Effect {
	switch ev := in.Event.(type) {
	case PlatformListed:
		s.Watch.Succeeded()
		return s.changed(in, s.Records.Listed(in.Now, ev.Revision, ev.Records))
	case PlatformWatched:
		s.Watch.Succeeded()
		return s.changed(in, s.Records.Watched(in.Now, ev.Revision, ev.Records))
	case watch.ReadFailed:
		s.Watch.Failed(in, ev, s.watchView())
	case watch.HostsFailed:
		s.Watch.HostsRead(in, false, s.watchView())
	case member.ListRead:
		s.Watch.HostsRead(in, true, s.watchView())
		return s.publish(in, member.ListChanges(s.Records.Records, ev.Hosts))
	}
	return nil
}

func (s *State) watchView() watch.View {
	return watch.View{
		Rank: s.Members.Rank(), Hosts: len(s.Members.Peers()), Seasoned: s.Records.Seasoned, Floor: s.Records.Floor,
		Fresh: s.Records.Fresh, Heard: len(s.Records.Heard), Listed: s.Members.Listed(), Blind: s.blind(),
	}
}

// blind tells whether this is an entry that has not heard yet what the engines of the listed hosts do. It hears from
// another entry, or from the agents themselves.
func (s *State) blind() bool {
	return s.Self.Role == member.Entry && !s.Ready && !s.Records.HeardDynamic && s.Members.HasUnreportedAgents()
}

// readPlatform decides on a tick what to read, and whether the process has become ready.
func (s *State) readPlatform(in step.Input) []step.Effect {
	v := s.watchView()
	effects := s.Watch.Tick(in, v)
	if s.Watch.BecomesReady(in.Now, v) {
		s.Ready = true
		s.readyAt = in.Now
		effects = append(effects, BecameReady{})
	}
	return effects
}

// tidy drops what hosts said that are not listed any more, and marks that expired long ago.
func (s *State) tidy(in step.Input) []step.Effect {
	if in.Now.Before(s.nextTidy) {
		return nil
	}
	s.nextTidy = in.Now.Add(tidyInterval)
	old := s.Members.OrphanTombstones(in.Now, s.Records.Records)
	return s.publish(in, append(old, s.Suspects.Expired(in.Now)...))
}

func (s *State) publish(in step.Input, records []record.Record) []step.Effect {
	if len(records) == 0 {
		return nil
	}
	return s.reduceRecords(with(in, record.Published{Records: records}))
}

func (s *State) reduceRecords(in step.Input) []step.Effect {
	var peers record.Peers
	if _, ticks := in.Event.(step.Tick); ticks {
		peers = s.Members.ExchangePeers(in.Now)
	}
	changed, effects := s.Records.Reduce(in, peers)
	return append(effects, s.changed(in, changed)...)
}

// changed carries changed records to the other reducers.
func (s *State) changed(in step.Input, changed []record.Record) []step.Effect {
	if len(changed) == 0 {
		return nil
	}
	var effects []step.Effect
	if s.Members.ApplyRecords(changed) {
		s.noteEntries()
		effects = s.noteListed(in)
	}
	s.tellEntries(changed)
	s.replan = true
	for _, mark := range s.Suspects.Changed(in.Now, changed) {
		effects = append(effects, s.publishMark(in, mark)...)
	}
	s.hearDemand(changed)
	effects = append(effects, s.settingsChanged(changed)...)
	effects = append(effects, s.publish(in, member.DepartedTombstones(s.Records.Records, changed))...)
	effects = append(effects, s.noteListed(in)...)
	return append(effects, s.defend(in, changed)...)
}

// tellEntries has this agent tell its phases to entries that are new to the list, or that have started again.
func (s *State) tellEntries(changed []record.Record) {
	for _, r := range changed {
		for _, prefix := range []string{member.ListPrefix, member.AdvertPrefix} {
			address, found := strings.CutPrefix(r.Key, prefix)
			if found && !r.Deleted && s.Members.IsEntryPeer(address) {
				s.Records.TellOwn(address)
			}
		}
	}
}

func (s *State) settingsChanged(changed []record.Record) []step.Effect {
	var effects []step.Effect
	for _, r := range changed {
		if !strings.HasPrefix(r.Key, setting.Prefix) {
			continue
		}
		if r.Deleted {
			delete(s.Settings, r.Key)
			effects = append(effects, SettingChanged{Key: r.Key, Revision: r.Version.Major, Deleted: true})
			continue
		}
		parsed, err := setting.Parse(r.Value)
		if err != nil {
			// The last good setting stays in force.
			effects = append(effects, BadRecord{Key: r.Key, Err: err})
			continue
		}
		s.Settings[r.Key] = InForce{Setting: parsed, Revision: r.Version.Major}
		effects = append(effects, SettingChanged{Key: r.Key, Revision: r.Version.Major})
	}
	return effects
}

// Behind tells whether this process knows an older state of a setting than a revision that someone else has.
func (s *State) Behind(key string, revision uint64) bool {
	return revision > s.Records.Records[key].Version.Major && revision > s.Records.Floor
}

// defend publishes what this process says of itself again, under a higher version, when others have something else
// under its keys: from an earlier life whose incarnation was higher, or a tombstone from a time when the host was
// not listed. So what it says never goes back, whatever clock the incarnation came from.
func (s *State) defend(in step.Input, changed []record.Record) []step.Effect {
	contested := false
	for _, r := range changed {
		own, mine := s.said[r.Key]
		if mine && (r.Deleted || string(r.Value) != own) && !r.Version.Less(record.Version{Major: s.major}) {
			contested = true
			s.major = max(s.major, r.Version.Major) + 1
		}
	}
	if !contested {
		return nil
	}
	return s.sayAgain(in)
}

// advertise publishes what this host offers, as far as it changed.
func (s *State) advertise(in step.Input) []step.Effect {
	a := s.ownAdvert()
	a.Weights = s.Weights.Troubles(in.Now)
	effects := s.say(in, member.AdvertPrefix+s.Self.Address, a.Fixed())
	return append(effects, s.sayPhases(in, a)...)
}

// sayPhases publishes what the upstreams do. What routing needs goes out at once; while the host only fetches or loads,
// it says so once in PhasesInterval, since each record goes to every entry.
func (s *State) sayPhases(in step.Input, a member.Advert) []step.Effect {
	routing := a.Routing()
	s.phasesDue = routing == s.toldRouting && in.Now.Before(s.nextPhases)
	if s.phasesDue {
		return nil
	}
	s.toldRouting = routing
	s.nextPhases = in.Now.Add(PhasesInterval)
	return s.say(in, record.PhasePrefix+s.Self.Address, a.Phases())
}

// say publishes a value of this process's own under its next version, unless it is what it said before.
func (s *State) say(in step.Input, key string, v any) []step.Effect {
	value, err := json.Marshal(v)
	if err != nil {
		return []step.Effect{BadRecord{Key: key, Err: err}}
	}
	if s.said[key] == string(value) {
		return nil
	}
	s.said[key] = string(value)
	return s.publish(in, []record.Record{s.own(key)})
}

func (s *State) own(key string) record.Record {
	s.sequence++
	return record.Record{Key: key, Version: record.Version{Major: s.major, Minor: s.sequence}, Value: json.RawMessage(s.said[key])}
}

func (s *State) sayAgain(in step.Input) []step.Effect {
	var records []record.Record
	for _, key := range []string{member.AdvertPrefix + s.Self.Address, record.PhasePrefix + s.Self.Address} {
		if _, mine := s.said[key]; mine {
			records = append(records, s.own(key))
		}
	}
	return s.publish(in, records)
}
