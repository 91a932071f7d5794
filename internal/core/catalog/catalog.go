package catalog

import (
	"maps"
	"slices"
	"sort"
	"time"

	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// outageGrace is how long upstreams whose registrations are missing after a store outage stay usable. The store drops registrations
	// whose lease expired during the outage, and running upstreams register again within 2 s of its return.
	outageGrace = 2 * time.Second
	// minOutage is how long every call to the store must have failed before its return counts as the end of an outage. It is
	// shorter than the time in which a registration expires, which takes three missed renewals.
	minOutage = 1500 * time.Millisecond
)

// State is the known state of the manifest, the upstreams, the active versions and the evacuations.
type State struct {
	// Manifest is nil until a manifest has been read.
	Manifest  *Manifest
	Upstreams map[string]*Upstream
	// ChangeCount counts the changes of Upstreams and evacuations. Values derived from them are stale when it has increased.
	ChangeCount uint64
	// Versions maps each model to the activation of its active version.
	Versions map[string]Activation
	// FollowsEvacuations is set where operators may evacuate data centres. The process must then know the evacuations before
	// it is ready.
	FollowsEvacuations bool
	// evacuations maps each data centre that was ever evacuated to its last known evacuation state.
	evacuations map[string]evacuation
	// history maps each model to its activations, in the order in which they were received.
	history map[string][]Activation
	// ListedActivatedAt is the assumed activation time of a version that is already in the store when this process first lists the
	// versions. It applies until another process reports the version's age: the store has no activation time, and every process that
	// knew it may have ended before this one started. If zero, the time of the list is used.
	ListedActivatedAt time.Time

	// byAddress maps each address to the IDs of the upstreams registered there. There is more than one only if a registration is stale
	// or forged.
	byAddress map[string][]string
	// reportedStarts maps each address to the start time of its upstream, as reported by the agent on the same host.
	reportedStarts   map[string]reportedStart
	manifestRevision int64
	// ignoredManifest is the revision of the last manifest that was reported as ignored.
	ignoredManifest int64
	listRevision    int64
	listed          map[Topic]bool
	// removed maps each removed upstream to the store revision of its removal, so that an older list can't restore it.
	removed map[string]int64
	// lapsing maps the ID of each upstream whose registration was found missing after an outage to the time at which it counts as
	// removed.
	lapsing map[string]time.Time
	// failingSince is when calls to the store began to fail; zero while the store answers. A registration
	// that is missing before graceUntil may have expired merely because of the outage.
	failingSince time.Time
	graceUntil   time.Time
}

// Topic is a kind of object that is followed in the store.
type Topic string

// The topics.
const (
	ManifestTopic Topic = "manifest"
	UpstreamTopic Topic = "upstreams"
	VersionTopic  Topic = "versions"
	// EvacuationTopic covers the data centres that an operator evacuates.
	EvacuationTopic Topic = "evacuations"
)

// ManifestRead reports the manifest that the store holds at a revision.
type ManifestRead struct {
	Revision int64
	Manifest *Manifest
}

// UpstreamsListed reports all upstreams that are registered at a revision.
type UpstreamsListed struct {
	Revision  int64
	Upstreams []*Upstream
}

// UpstreamChanged reports that a registration was written.
type UpstreamChanged struct{ Upstream *Upstream }

// UpstreamRemoved reports that a registration was removed at a revision.
type UpstreamRemoved struct {
	ID       string
	Revision int64
}

// UpstreamUnreadable reports that a registration was written that doesn't describe a usable upstream.
type UpstreamUnreadable struct {
	ID       string
	Revision int64
}

// TopicListed reports that all objects of a topic were read.
type TopicListed struct{ Topic Topic }

// StoreAnswered reports that the store answered a call.
type StoreAnswered struct{}

// StoreFailed reports that a call to the store failed.
type StoreFailed struct{}

// Event marks the type as an event.
func (ManifestRead) Event() {}

// Event marks the type as an event.
func (UpstreamsListed) Event() {}

// Event marks the type as an event.
func (UpstreamChanged) Event() {}

// Event marks the type as an event.
func (UpstreamRemoved) Event() {}

// Event marks the type as an event.
func (UpstreamUnreadable) Event() {}

// Event marks the type as an event.
func (TopicListed) Event() {}

// Event marks the type as an event.
func (StoreAnswered) Event() {}

// Event marks the type as an event.
func (StoreFailed) Event() {}

// StateChanged has the shell log a change of the known state.
type StateChanged struct {
	// Topic is the kind of object that changed.
	Topic Topic
	// Name is the upstream's ID, the model or the data centre; empty for the manifest.
	Name string
	// Value describes the new state.
	Value string
	// Revision is the store revision of the new state.
	Revision int64
}

// ManifestIgnored has the shell log that a manifest was read but not put in force, because it is older than the one in force.
type ManifestIgnored struct {
	// Version and Revision are those of the manifest that was read.
	Version  int64
	Revision int64
	// InForce and InForceRevision are those of the manifest in force.
	InForce         int64
	InForceRevision int64
}

// Effect marks the type as an effect.
func (StateChanged) Effect() {}

// Effect marks the type as an effect.
func (ManifestIgnored) Effect() {}

// NewState returns an empty state.
func NewState() *State {
	return &State{
		Upstreams: map[string]*Upstream{}, Versions: map[string]Activation{}, history: map[string][]Activation{}, listed: map[Topic]bool{},
		byAddress: map[string][]string{}, reportedStarts: map[string]reportedStart{}, removed: map[string]int64{}, lapsing: map[string]time.Time{},
		evacuations: map[string]evacuation{},
	}
}

// Ready reports whether the process knows enough to accept requests: the manifest, the upstreams, the versions and, where
// they are followed, the evacuations.
func (s *State) Ready() bool {
	if s.FollowsEvacuations && !s.listed[EvacuationTopic] {
		return false
	}
	return s.Manifest != nil && s.listed[UpstreamTopic] && s.listed[VersionTopic]
}

// Reduce handles one input and returns the effects to carry out.
func (s *State) Reduce(in step.Input) []step.Effect {
	switch ev := in.Event.(type) {
	case StoreAnswered:
		s.storeAnswered(in.Now)
	case StoreFailed:
		if s.failingSince.IsZero() {
			s.failingSince = in.Now
		}
	case TopicListed:
		s.listed[ev.Topic] = true
	case ManifestRead:
		return s.manifestRead(ev)
	case UpstreamsListed:
		return s.upstreamsListed(in.Now, ev)
	case UpstreamChanged:
		return s.upstreamChanged(in.Now, ev.Upstream)
	case UpstreamRemoved:
		return s.upstreamRemoved(in.Now, ev)
	case UpstreamUnreadable:
		return s.upstreamUnreadable(ev)
	case EvacuationStarted:
		return s.evacuate(ev.DataCentre, evacuation{active: true, revision: ev.Revision})
	case EvacuationEnded:
		return s.evacuate(ev.DataCentre, evacuation{revision: ev.Revision})
	case EvacuationsListed:
		return s.evacuationsListed(ev)
	case VersionActivated:
		return s.versionActivated(in.Now, ev)
	case step.Tick:
		return s.expire(in.Now)
	}
	return nil
}

func (s *State) storeAnswered(now time.Time) {
	if !s.failingSince.IsZero() && now.Sub(s.failingSince) > minOutage {
		s.graceUntil = now.Add(outageGrace)
	}
	s.failingSince = time.Time{}
}

func (s *State) manifestRead(ev ManifestRead) []step.Effect {
	if ev.Revision == s.manifestRevision {
		return nil
	}
	if ev.Revision < s.manifestRevision {
		return s.ignoreManifest(ev)
	}
	s.manifestRevision = ev.Revision
	s.Manifest = ev.Manifest
	return []step.Effect{StateChanged{Topic: ManifestTopic, Value: "in force", Revision: ev.Revision}}
}

// ignoreManifest reports, once for each manifest, that it was read but is not put in force.
func (s *State) ignoreManifest(ev ManifestRead) []step.Effect {
	if ev.Revision == s.ignoredManifest {
		return nil
	}
	s.ignoredManifest = ev.Revision
	return []step.Effect{ManifestIgnored{
		Version: ev.Manifest.Version, Revision: ev.Revision, InForce: s.Manifest.Version, InForceRevision: s.manifestRevision,
	}}
}

func (s *State) upstreamsListed(now time.Time, ev UpstreamsListed) []step.Effect {
	if ev.Revision < s.listRevision {
		return nil
	}
	s.listRevision = ev.Revision
	var effects []step.Effect
	present := map[string]bool{}
	for _, u := range ev.Upstreams {
		present[u.ID] = true
		effects = append(effects, s.upstreamChanged(now, u)...)
	}
	for _, id := range sortedIDs(s.Upstreams) {
		if !present[id] && s.Upstreams[id].Revision <= ev.Revision {
			effects = append(effects, s.upstreamRemoved(now, UpstreamRemoved{ID: id, Revision: ev.Revision})...)
		}
	}
	return effects
}

func (s *State) upstreamChanged(now time.Time, u *Upstream) []step.Effect {
	if u.Revision <= s.removed[u.ID] {
		return nil
	}
	old := s.Upstreams[u.ID]
	if old != nil && u.Revision < old.Revision {
		return nil
	}
	if old != nil && u.StartedAt == 0 && old.StartedAt > 0 {
		// The upstream itself would have given its start time, so another process wrote this registration.
		return s.upstreamUnreadable(UpstreamUnreadable{ID: u.ID, Revision: u.Revision})
	}
	if old != nil && u.StartedAt < old.StartedAt {
		return nil // A delayed write of an earlier instance.
	}
	delete(s.lapsing, u.ID)
	delete(s.removed, u.ID)
	s.put(old, u.withColdUntil(now, old))
	if old != nil && old.Draining == u.Draining && old.StartedAt == u.StartedAt {
		return nil
	}
	value := "ready"
	if u.Draining {
		value = "draining"
	}
	return []step.Effect{StateChanged{Topic: UpstreamTopic, Name: u.ID, Value: value, Revision: u.Revision}}
}

// put replaces old, which is nil for a new upstream, with u.
func (s *State) put(old, u *Upstream) {
	s.Upstreams[u.ID] = u
	s.ChangeCount++
	if old != nil && old.Address == u.Address {
		return
	}
	if old != nil {
		s.unlink(old)
	}
	s.byAddress[u.Address] = append(s.byAddress[u.Address], u.ID)
}

// unlink removes the upstream from the index by address.
func (s *State) unlink(u *Upstream) {
	remaining := slices.DeleteFunc(s.byAddress[u.Address], func(id string) bool { return id == u.ID })
	if len(remaining) == 0 {
		delete(s.byAddress, u.Address)
		delete(s.reportedStarts, u.Address)
		return
	}
	s.byAddress[u.Address] = remaining
}

// upstreamUnreadable drops an upstream at once, also within the grace period after an outage: its registration exists but doesn't
// describe a usable upstream.
func (s *State) upstreamUnreadable(ev UpstreamUnreadable) []step.Effect {
	u := s.Upstreams[ev.ID]
	if u == nil || ev.Revision < u.Revision {
		return nil
	}
	return s.drop(ev.ID, ev.Revision)
}

func (s *State) upstreamRemoved(now time.Time, ev UpstreamRemoved) []step.Effect {
	u := s.Upstreams[ev.ID]
	if u == nil || ev.Revision < u.Revision {
		return nil
	}
	if now.Before(s.graceUntil) && !u.Draining {
		if _, known := s.lapsing[ev.ID]; !known {
			s.lapsing[ev.ID] = s.graceUntil
		}
		return nil
	}
	return s.drop(ev.ID, ev.Revision)
}

func (s *State) drop(id string, revision int64) []step.Effect {
	if u := s.Upstreams[id]; u != nil {
		s.unlink(u)
	}
	delete(s.Upstreams, id)
	s.ChangeCount++
	delete(s.lapsing, id)
	s.removed[id] = revision
	return []step.Effect{StateChanged{Topic: UpstreamTopic, Name: id, Value: "gone", Revision: revision}}
}

func (s *State) expire(now time.Time) []step.Effect {
	var effects []step.Effect
	for _, id := range slices.Sorted(maps.Keys(s.lapsing)) {
		if u := s.Upstreams[id]; u != nil && !now.Before(s.lapsing[id]) {
			effects = append(effects, s.drop(id, u.Revision)...)
		}
	}
	return effects
}

// Origin returns the address of the weights origin, or an empty string when the manifest has none.
func (s *State) Origin() string {
	if s.Manifest == nil {
		return ""
	}
	for _, svc := range s.Manifest.Services {
		if svc.Origin != "" {
			return svc.Origin
		}
	}
	return ""
}

func sortedIDs(m map[string]*Upstream) []string {
	ids := make([]string, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

func sortByPrefix(list []*Route) {
	sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
}
