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

// cleanupInterval is the time between two searches for records of unlisted hosts and for expired marks.
const cleanupInterval = time.Minute

// MinPhasesInterval is the minimum time from one publication of a host's phases to the next if the change does not affect
// routing.
const MinPhasesInterval = 10 * time.Second

// reducePlatform handles the results of reads from the platform, including failed ones.
func (s *State) reducePlatform(in step.Input) []step.Effect {
	switch ev := in.Event.(type) {
	case PlatformListed:
		s.Watch.Succeeded()
		return s.applyChanged(in, s.Records.Listed(in.Now, ev.Revision, ev.Records))
	case PlatformWatched:
		s.Watch.Succeeded()
		return s.applyChanged(in, s.Records.Watched(in.Now, ev.Revision, ev.Records))
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
		Rank: s.Members.Rank(), Hosts: len(s.Members.Peers()), SettingsKnown: s.Records.SettingsKnown, Floor: s.Records.Floor,
		FloorCurrentAt: s.Records.FloorCurrentAt, MergedPeers: len(s.Records.MergedPeers), Listed: s.Members.Listed(), EnginesUnknown: s.lacksPhases(),
	}
}

// lacksPhases reports whether this process is an entry that does not know the phases of the engines on the listed hosts
// yet. It receives them from another entry or from the agents.
func (s *State) lacksPhases() bool {
	return s.Self.Role == member.Entry && !s.Ready && !s.Records.DynamicMerged && s.Members.HasUnreportedAgents()
}

// readPlatform decides at a tick what to read from the platform and whether the process has become ready.
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

// cleanUp deletes the records of hosts that are not listed any more, and the marks of requests (see package suspect) that expired
// at least suspect.ExpiredRetention ago.
func (s *State) cleanUp(in step.Input) []step.Effect {
	if in.Now.Before(s.nextCleanup) {
		return nil
	}
	s.nextCleanup = in.Now.Add(cleanupInterval)
	orphans := s.Members.OrphanTombstones(in.Now, s.Records.Records)
	return s.publish(in, append(orphans, s.Suspects.Expired(in.Now)...))
}

func (s *State) publish(in step.Input, records []record.Record) []step.Effect {
	if len(records) == 0 {
		return nil
	}
	return s.reduceRecords(withEvent(in, record.Published{Records: records}))
}

func (s *State) reduceRecords(in step.Input) []step.Effect {
	var peers record.Peers
	if _, ticks := in.Event.(step.Tick); ticks {
		peers = s.Members.ExchangePeers(in.Now)
	}
	changed, effects := s.Records.Reduce(in, peers)
	return append(effects, s.applyChanged(in, changed)...)
}

// applyChanged passes changed records to the other reducers.
func (s *State) applyChanged(in step.Input, changed []record.Record) []step.Effect {
	if len(changed) == 0 {
		return nil
	}
	var effects []step.Effect
	if s.Members.ApplyRecords(changed) {
		s.updateEntries()
		effects = s.applyOwnListedState(in)
	}
	s.pushPhasesToNewEntries(changed)
	s.replan = true
	for _, mark := range s.Suspects.Apply(in.Now, changed) {
		effects = append(effects, s.publishMark(in, mark)...)
	}
	s.receiveDemand(changed)
	effects = append(effects, s.applySettings(changed)...)
	effects = append(effects, s.publish(in, member.DepartedTombstones(s.Records.Records, changed))...)
	effects = append(effects, s.applyOwnListedState(in)...)
	return append(effects, s.republishContested(in, changed)...)
}

// pushPhasesToNewEntries schedules a push of this agent's phases to entries that were newly listed or have restarted.
func (s *State) pushPhasesToNewEntries(changed []record.Record) {
	for _, r := range changed {
		for _, prefix := range []string{member.ListPrefix, member.AdvertPrefix} {
			address, found := strings.CutPrefix(r.Key, prefix)
			if found && !r.Deleted && s.Members.IsEntryPeer(address) {
				s.Records.PushOwnTo(address)
			}
		}
	}
}

// applySettings puts changed settings in force. A setting that can't be parsed is reported and skipped.
func (s *State) applySettings(changed []record.Record) []step.Effect {
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
			// The last valid setting stays in force.
			effects = append(effects, BadRecord{Key: r.Key, Err: err})
			continue
		}
		s.Settings[r.Key] = InForce{Setting: parsed, Revision: r.Version.Major}
		effects = append(effects, SettingChanged{Key: r.Key, Revision: r.Version.Major})
	}
	return effects
}

// IsBehind reports whether this process does not know a setting as of the given revision yet.
func (s *State) IsBehind(key string, revision uint64) bool {
	return revision > s.Records.Records[key].Version.Major && revision > s.Records.Floor
}

// republishContested publishes this process's own records again under a higher version when other processes hold
// different values under its keys: values of an earlier instance with a higher incarnation, or tombstones from a time
// when the host was not listed. The incarnation is the start time of the process, so an earlier instance can have a higher
// one if the clock was set back. The current values win even then.
func (s *State) republishContested(in step.Input, changed []record.Record) []step.Effect {
	contested := false
	for _, r := range changed {
		own, mine := s.published[r.Key]
		if mine && (r.Deleted || string(r.Value) != own) && !r.Version.Less(record.Version{Major: s.major}) {
			contested = true
			s.major = max(s.major, r.Version.Major) + 1
		}
	}
	if !contested {
		return nil
	}
	return s.republish(in)
}

// advertise publishes the changed parts of this host's advertisement.
func (s *State) advertise(in step.Input) []step.Effect {
	a := s.ownAdvert()
	a.Weights = s.Weights.BlockedBursts(in.Now)
	effects := s.publishOwn(in, member.AdvertPrefix+s.Self.Address, a.Fixed())
	return append(effects, s.publishPhases(in, a)...)
}

// publishPhases publishes the changing part of the advertisement. A change that affects routing is published at once.
// Other changes, for example while the host only fetches or loads, are published at most once in MinPhasesInterval,
// because each record is sent to every entry.
func (s *State) publishPhases(in step.Input, a member.Advert) []step.Effect {
	routing := a.Routing()
	s.phasesPending = routing == s.publishedRouting && in.Now.Before(s.nextPhases)
	if s.phasesPending {
		return nil
	}
	s.publishedRouting = routing
	s.nextPhases = in.Now.Add(MinPhasesInterval)
	return s.publishOwn(in, record.PhasePrefix+s.Self.Address, a.Phases())
}

// publishOwn publishes a value about this process with its next version, unless the value is unchanged.
func (s *State) publishOwn(in step.Input, key string, v any) []step.Effect {
	value, err := json.Marshal(v)
	if err != nil {
		return []step.Effect{BadRecord{Key: key, Err: err}}
	}
	if s.published[key] == string(value) {
		return nil
	}
	s.published[key] = string(value)
	return s.publish(in, []record.Record{s.ownRecord(key)})
}

// ownRecord returns the published value of key as a record with the next version.
func (s *State) ownRecord(key string) record.Record {
	s.sequence++
	return record.Record{Key: key, Version: record.Version{Major: s.major, Minor: s.sequence}, Value: json.RawMessage(s.published[key])}
}

// republish publishes both parts of this host's advertisement with a new version.
func (s *State) republish(in step.Input) []step.Effect {
	var records []record.Record
	for _, key := range []string{member.AdvertPrefix + s.Self.Address, record.PhasePrefix + s.Self.Address} {
		if _, mine := s.published[key]; mine {
			records = append(records, s.ownRecord(key))
		}
	}
	return s.publish(in, records)
}
