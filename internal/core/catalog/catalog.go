package catalog

import (
	"sort"
	"time"

	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/storerev"
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
	// Regions are the regions that exist. Home regions in the manifest are checked against them; empty if they are unknown.
	Regions map[string]bool
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
	manifestRevision storerev.Revision
	// ignoredManifest is the revision of the last manifest that was reported as ignored.
	ignoredManifest storerev.Revision
	listRevision    storerev.Revision
	listed          map[Topic]bool
	// removed maps each removed upstream to its removal, so that an older list can't restore it.
	removed map[string]removal
	// lapsing maps the ID of each upstream whose registration was found missing after an outage to the time at which it counts as
	// removed.
	lapsing map[string]time.Time
	// failingSince is when calls to the store began to fail; zero while the store answers. A registration
	// that is missing before graceUntil may have expired merely because of the outage.
	failingSince time.Time
	graceUntil   time.Time
	// eras holds what is to be settled after the store was restored.
	eras eras
	// reads holds what the calls to the store prove.
	reads reads
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

// ManifestRead reports the manifest that the store holds at a revision. The manifest belongs to the reducer from then on, which replaces
// invalid values in it; see FieldKept.
type ManifestRead struct {
	Revision storerev.Revision
	Manifest *Manifest
}

// TopicListed reports that all objects of a topic were read.
type TopicListed struct{ Topic Topic }

// Event marks the type as an event.
func (ManifestRead) Event() {}

// Event marks the type as an event.
func (TopicListed) Event() {}

// StateChanged has the shell log a change of the known state.
type StateChanged struct {
	// Topic is the kind of object that changed.
	Topic Topic
	// Name is the upstream's ID, the model or the data centre; empty for the manifest.
	Name string
	// Value describes the new state.
	Value string
	// Revision is the store revision of the new state.
	Revision storerev.Revision
}

// ManifestIgnored has the shell log that a manifest was read but not put in force, because it is older than the one in force.
type ManifestIgnored struct {
	// Version and Revision are those of the manifest that was read.
	Version  int64
	Revision storerev.Revision
	// InForce and InForceRevision are those of the manifest in force.
	InForce         int64
	InForceRevision storerev.Revision
}

// Effect marks the type as an effect.
func (StateChanged) Effect() {}

// Effect marks the type as an effect.
func (ManifestIgnored) Effect() {}

// NewState returns an empty state.
func NewState() *State {
	return &State{
		Upstreams: map[string]*Upstream{}, Versions: map[string]Activation{}, history: map[string][]Activation{}, listed: map[Topic]bool{},
		byAddress: map[string][]string{}, reportedStarts: map[string]reportedStart{}, removed: map[string]removal{}, lapsing: map[string]time.Time{},
		evacuations: map[string]evacuation{}, eras: newEras(),
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
	effects := s.noticeEra(in.Now, in.Event)
	return append(effects, s.handle(in)...)
}

func (s *State) handle(in step.Input) []step.Effect {
	switch ev := in.Event.(type) {
	case StoreAnswered:
		s.reads.answered(in.Now, ev)
		s.storeAnswered(in.Now)
	case StoreFailed:
		s.reads.failed(ev)
		if s.failingSince.IsZero() {
			s.failingSince = in.Now
		}
	case StoreHistoryGone:
		s.reads.broken = true
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
		return s.evacuationsListed(in.Now, ev)
	case VersionActivated:
		return s.versionActivated(in.Now, ev)
	case step.Tick:
		return s.expire(in.Now)
	}
	return nil
}

func (s *State) expire(now time.Time) []step.Effect {
	return append(s.dropLapsed(now), s.settleEra(now)...)
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
	if !s.replacesManifest(ev) {
		return s.ignoreManifest(ev)
	}
	s.manifestRevision = ev.Revision
	effects := s.repairManifest(ev.Manifest)
	s.Manifest = ev.Manifest
	return append(effects, StateChanged{Topic: ManifestTopic, Value: "in force", Revision: ev.Revision})
}

// replacesManifest reports whether a manifest that was read replaces the one in force. Within an era of the store, the later one is in
// force. Between eras the operator's version numbers tell: a restored store has an older manifest until the newest is written again, and a
// process that starts then hears of the newest from one that read it before.
func (s *State) replacesManifest(ev ManifestRead) bool {
	if s.Manifest == nil || ev.Revision.SameEra(s.manifestRevision) || ev.Manifest.Version == s.Manifest.Version {
		return ev.Revision.After(s.manifestRevision)
	}
	return ev.Manifest.Version > s.Manifest.Version
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

// ManifestRevision returns the store revision at which the manifest in force was read.
func (s *State) ManifestRevision() storerev.Revision { return s.manifestRevision }

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

func sortByPrefix(list []*Route) {
	sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
}
