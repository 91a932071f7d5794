// Package install holds the agent's reducer that has one engine load the activated versions of weights. It resolves a version to its
// content digest and waits until every chunk is on this host. It then has the chunks staged for the engine and read back, and orders
// the engine to load them, in turn with the other engines of its service. The reducer is pure: see package step.
//
// This package and its shell, package hostagent, are the agent's side on the users' platform. The entry's side there is package gateway
// with package forward. Packages internal/agent and rollout do the same for the first product. Package weights serves both.
//
// No decision relies on the answer to a load order: the engine is read again, which settles lost, repeated and late answers.
package install

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/versionplan"
)

const (
	// resolveTimeout is how long a request for a version's chunk manifest may remain unanswered.
	resolveTimeout = 4 * time.Second
	// resolveRetry is the delay before a failed request for a chunk manifest is repeated.
	resolveRetry = 100 * time.Millisecond
	// prepareRetry is the delay before chunks are staged again after a failure.
	prepareRetry = 200 * time.Millisecond
	// orderRetry is the delay before an order without effect is repeated. An accepted order shows as Busy in the next reading.
	orderRetry = 500 * time.Millisecond
	// orderTimeout is how long a load order may remain unanswered.
	orderTimeout = 3 * time.Second
	// maxCheckAge is the maximum age of the oldest chunk check when the engine is ordered to load. Staged chunks can become corrupted
	// after their check. The platform tolerates a load that follows its check within this time.
	maxCheckAge = 2 * time.Second
	// servingShare is the fraction of the host's link that transfers may use while the engine processes requests. Its answers use
	// the same link.
	servingShare = 0.8
	// idleShare is the same fraction while the engine is idle. Control traffic between hosts takes the rest.
	idleShare = 0.92
)

// Phase is the progress of a version on this host, or the progress of the engine with a model. These have separate sets of constants,
// and a field holds values of one set only. PhaseChanged.Phase, which is logged, holds values of both.
type Phase string

// The phases of a version on this host, held by the field phase of type version.
const (
	// Resolving is the phase in which the version's digest is requested.
	Resolving Phase = "resolving"
	// Fetching is the phase in which the version's chunks are transferred.
	Fetching Phase = "fetching"
	// Fetched is the phase of a complete version: every chunk is on this host. Its value is logged, so it stays "whole".
	Fetched Phase = "whole"
)

// The phases of the engine for a model, held by the field phase of type model.
const (
	// Idle is the phase without a load in progress.
	Idle Phase = "idle"
	// Waiting is the phase in which the engine has a version to load and waits for its turn.
	Waiting Phase = "waiting for its turn"
	// Preparing is the phase in which the chunks are staged and read back.
	Preparing Phase = "preparing"
	// Ordering is the phase in which a load order awaits the engine's answer.
	Ordering Phase = "ordering"
	// Loading is the phase in which the engine completes its running requests and loads. It also follows an order that was not confirmed
	// or not answered. It then waits for the effect of the order, which may have been lost.
	Loading Phase = "loading"
	// Unloading is the phase in which the engine drops weights that were not loaded from checked chunks.
	Unloading Phase = "unloading"
)

// VersionActivated reports that a version of a model was activated and is to be loaded.
type VersionActivated struct {
	Model   string
	Version int64
	// Age is the minimum time since the activation of the version.
	Age time.Duration
}

// Resolved reports the digest of a version's content. An empty digest means that it could not be determined.
type Resolved struct {
	Model   string
	Version int64
	Digest  string
}

// DigestContradicted reports that the origin's present answer contradicts a digest, so that one of the two was corrupted.
type DigestContradicted struct{ Digest string }

// ContentComplete reports that every chunk of a digest's content is on this host.
type ContentComplete struct{ Digest string }

// EngineRead reports the state of the engine as read from it.
type EngineRead struct {
	// StartedAt is the engine's start time, in milliseconds since 1970; 0 when it is unknown.
	StartedAt int64
	// Loaded maps each model to the version that the engine holds completely.
	Loaded map[string]int64
	// Busy is set while a load order is in progress.
	Busy bool
	// OrderCount is the number of load orders that the engine has accepted since its start.
	OrderCount int64
	// RequestCount is the number of requests that the engine processes or has queued.
	RequestCount int
	// Slowdown is the engine's processing time relative to what its service declares; 0 when it is unknown.
	Slowdown float64
	// Notice holds the engine's notices: its rate limit, its shutdown and how long it stays cold.
	Notice catalog.Notice
}

// Prepared reports whether the chunks of a version are staged at the engine and were read back without an error.
type Prepared struct {
	Model   string
	Version int64
	OK      bool
	// CheckedAt is when the first chunk was read back.
	CheckedAt time.Time
}

// LoadOrderEnded reports that the engine answered a load order, or that the call failed.
type LoadOrderEnded struct {
	Model   string
	Version int64
	// Accepted is set when the engine accepted the order.
	Accepted bool
}

// TransfersRead reports what remains to be transferred to this host, as of now.
type TransfersRead struct {
	// Transfers are the wanted versions, by digest.
	Transfers map[string]Transfer
	// OriginRate and LinkRate are in bytes per second; 0 if unknown. OriginAway is set when the origin is known to be unreachable.
	OriginRate, LinkRate float64
	OriginAway           bool
}

// Transfer is what remains to be transferred of one version.
type Transfer struct {
	// Size is the size of the version, HostLacks that of the chunks that this host does not have, and FleetLacks that of those that no
	// reachable host has. They are in bytes; Size is 0 until the chunk manifest is read.
	Size, HostLacks, FleetLacks int64
	// Chunks is the number of chunks, Held how many this host has, and Known how many it or a reachable peer has.
	Chunks, Held, Known int
	// Gone is set when the origin no longer sends the version.
	Gone bool
}

// PeersChanged reports the hosts that load weights into engines of the same service, this host included.
type PeersChanged struct{ Peers []string }

// Event marks the type as an event.
func (VersionActivated) Event() {}

// Event marks the type as an event.
func (Resolved) Event() {}

// Event marks the type as an event.
func (DigestContradicted) Event() {}

// Event marks the type as an event.
func (ContentComplete) Event() {}

// Event marks the type as an event.
func (EngineRead) Event() {}

// Event marks the type as an event.
func (Prepared) Event() {}

// Event marks the type as an event.
func (LoadOrderEnded) Event() {}

// Event marks the type as an event.
func (TransfersRead) Event() {}

// Event marks the type as an event.
func (PeersChanged) Event() {}

// Resolve has the shell determine the content of a version.
type Resolve struct {
	Model   string
	Version int64
	// EarlierAttempts is the number of attempts before this one. The more there were, the more hosts may ask the origin.
	EarlierAttempts int
}

// WantedChanged informs the shell that the versions whose chunks are wanted on this host have changed; see State.Wanted.
type WantedChanged struct{}

// Want is a version whose chunks are wanted on this host.
type Want struct {
	Model   string
	Version int64
	Digest  string
	// Rank is the version's place in the fetch order; 0 comes first.
	Rank int
}

// Prepare has the shell stage the chunks for the engine and read each one back.
type Prepare struct {
	Model   string
	Version int64
	Digest  string
}

// LoadOrder has the shell send a load order to the engine.
type LoadOrder struct {
	Model   string
	Version int64
	// Instance is the ID of the instance whose chunks were checked; any other instance rejects the order. It is empty if the ID is not known.
	Instance string
	// Sequence is the count, EngineRead.OrderCount, that the engine must have when the order arrives. Otherwise it rejects the order.
	Sequence int64
	// CheckedAt is when the first chunk was read back. The order must be sent within MaxSendAge of it, and is of no use when its answer
	// takes longer than MaxAcceptAge from then on.
	CheckedAt    time.Time
	MaxSendAge   time.Duration
	MaxAcceptAge time.Duration
}

// VersionDropped has the shell log that an incomplete version is no longer wanted.
type VersionDropped struct {
	Model    string
	Version  int64
	Transfer Transfer
	Reason   string
}

// PlanChanged has the shell log that the plan for a model has changed, with the inputs of the decision.
type PlanChanged struct {
	Model  string
	Plan   versionplan.Plan
	Inputs versionplan.Inputs
}

// PhaseChanged has the shell log that a version, or the engine for a model, entered a phase. The texts in Phase and Reason are logged as
// they are.
type PhaseChanged struct {
	Model   string
	Version int64
	Phase   Phase
	Reason  string
}

// Effect marks the type as an effect.
func (Resolve) Effect() {}

// Effect marks the type as an effect.
func (WantedChanged) Effect() {}

// Effect marks the type as an effect.
func (Prepare) Effect() {}

// Effect marks the type as an effect.
func (LoadOrder) Effect() {}

// Effect marks the type as an effect.
func (PhaseChanged) Effect() {}

// Effect marks the type as an effect.
func (VersionDropped) Effect() {}

// Effect marks the type as an effect.
func (PlanChanged) Effect() {}

// version is one version of a model that may be loaded.
type version struct {
	number int64
	digest string
	phase  Phase
	// knownSince is when this process learned of the version.
	knownSince time.Time
	// nextAt is when the request for the chunk manifest is repeated if it failed or is unanswered. attempts counts these repetitions.
	nextAt   time.Time
	attempts int
}

// model is what is known about one model.
type model struct {
	name string
	// activatedAt maps each version to its activation time as far as known. It includes versions that the engine skips, because
	// the expiry of the earlier versions is counted from their activation too.
	activatedAt map[int64]time.Time
	// versions are the versions that the engine may still need, oldest first; see package versionplan.
	versions []*version
	// phase is the engine's phase for this model, and target the number of the version to load.
	phase  Phase
	target int64
	// nextAt ends the wait of the phase: for the engine's turn in Waiting, for the answer in Ordering, for the order's effect in Loading
	// and Unloading.
	nextAt time.Time
	// dropped holds the versions that were dropped before they were complete.
	dropped map[int64]bool
	// plan is the last plan. turnVersion is the version that this engine loads in its turn at nextAt, and turnHeldVersion the one that it
	// held when the turn was set.
	plan                         versionplan.Plan
	turnVersion, turnHeldVersion int64
	// rolloutSince is when some engines of the service could first load rolloutVersion. They take turns from then on.
	rolloutVersion int64
	rolloutSince   time.Time
	// loggedAt is when a change of the plan was last logged.
	loggedAt time.Time
	// phaseSince is when the engine entered its phase.
	phaseSince time.Time
	// orderedAt is when the last load was ordered, and orderedBusy is set if the engine had requests then.
	orderedAt   time.Time
	orderedBusy bool
	// order is the last load order; nil once its weights are verified, and after a restart of the engine.
	order *sentOrder
}

// State is what an agent knows about its engine and the versions to load.
type State struct {
	// Self is this host's address among the peers.
	Self string
	// VersionLifetime is how long requests may still start on a version after a newer one was activated.
	VersionLifetime time.Duration
	// ChunkMemory is the size of the memory for chunks, in bytes; 0 for no limit.
	ChunkMemory int64

	models map[string]*model
	peers  []string
	engine EngineRead
	// idleSince is when the engine was first read without requests after it had some.
	idleSince time.Time
	// readAt is when the engine last answered, and failedReads counts the readings that have failed since. silent is set if the last of
	// these ran out of time and the engine does not count as down yet.
	readAt      time.Time
	failedReads int
	silent      bool
	// startedAt is the start time of the engine's present instance as last read; see EngineRead. instanceSince is when that
	// instance was first read. A check of staged chunks that began before it may have read chunks of an earlier instance.
	startedAt     int64
	instanceSince time.Time
	verified      verifiedWeights
	// registered are the instances that are registered at the engine's address.
	registered []catalog.Instance
	// complete holds the digests whose content is complete on this host.
	complete map[string]bool
	// transfers is the last reading of the transfers.
	transfers TransfersRead
	// measuredLoadTime is the measured load time of this engine while it has requests; 0 until a load is measured.
	measuredLoadTime time.Duration
}

// NewState returns the state of an agent that knows nothing about its engine yet.
func NewState(self string, versionLifetime time.Duration) *State {
	return &State{
		Self: self, VersionLifetime: versionLifetime, models: map[string]*model{}, complete: map[string]bool{},
		verified: verifiedWeights{adopting: true, versions: map[string]int64{}},
	}
}

// NotAccepting reports whether the engine accepts no new requests, or will stop accepting them because of a load order.
func (s *State) NotAccepting() bool {
	for _, m := range s.models {
		if m.phase == Ordering || m.phase == Loading || m.phase == Unloading {
			return true
		}
	}
	return s.engine.Busy
}

// LinkShare returns the fraction of the host's link that transfers may use, above 0 up to 1. It is higher while the engine is idle, and while
// the engine would be without a usable version otherwise.
func (s *State) LinkShare() float64 {
	if s.engine.RequestCount > 0 && !slices.ContainsFunc(s.Models(), func(name string) bool { return s.tooLate(s.models[name]) }) {
		return servingShare
	}
	return idleShare
}

// arrivalMargin is added to the time that this host's link needs for what it lacks of a version, since the last chunks reach it later over
// the links of others.
const arrivalMargin = time.Second

// tooLate reports whether the newest version is expected to be complete only after the version that the engine holds has gone out of use.
func (s *State) tooLate(m *model) bool {
	newest, until := m.newest(), s.usableUntil(m, s.usableVersion(m.name))
	t := s.transfers.Transfers[newest.digest]
	if newest.phase != Fetching || until.IsZero() || t.Size == 0 || s.transfers.LinkRate <= 0 {
		return false
	}
	left := time.Duration(float64(t.HostLacks) / s.transfers.LinkRate * float64(time.Second))
	return s.readAt.Add(left + arrivalMargin).After(until)
}

// Answered reports whether the engine has ever answered.
func (s *State) Answered() bool { return !s.readAt.IsZero() }

// StartedAt returns the engine's start time as of the last reading, in milliseconds since 1970; 0 when it is unknown.
func (s *State) StartedAt() int64 { return s.engine.StartedAt }

// ColdRemaining returns the remaining time for which the engine reports to be cold; 0 when it doesn't report any.
func (s *State) ColdRemaining() time.Duration { return s.engine.Notice.ColdRemaining }

// Slowdown returns the engine's processing time relative to what its service declares; 0 when it is at most 1 or unknown.
func (s *State) Slowdown() float64 {
	if s.engine.Slowdown <= 1 {
		return 0
	}
	return s.engine.Slowdown
}

// RateLimit returns the limit that the engine reports, in requests per second for all entries together; nil for none.
func (s *State) RateLimit() *float64 {
	if !s.engine.Notice.Limited {
		return nil
	}
	limit := s.engine.Notice.RateLimit
	return &limit
}

// Leaving reports whether the engine says that it is leaving, which means that it is shutting down.
func (s *State) Leaving() bool { return s.engine.Notice.Leaving }

// RequestCount returns the number of requests that the engine processes or has queued.
func (s *State) RequestCount() int { return s.engine.RequestCount }

// Wanted returns the versions whose chunks are wanted on this host, in the order in which they are fetched. It includes complete versions,
// because other hosts may still fetch them from here.
func (s *State) Wanted() []Want {
	var wants []Want
	for _, name := range s.Models() {
		m := s.models[name]
		for _, v := range m.versions {
			if v.digest != "" {
				wants = append(wants, Want{Model: name, Version: v.number, Digest: v.digest, Rank: m.rank(v)})
			}
		}
	}
	slices.SortStableFunc(wants, func(a, b Want) int { return cmp.Compare(a.Rank, b.Rank) })
	return wants
}

// NewestVersion returns the newest activated version of a model; 0 for none.
func (s *State) NewestVersion(name string) int64 {
	if m := s.models[name]; m != nil {
		return m.newest().number
	}
	return 0
}

// Models returns the names of the models, sorted.
func (s *State) Models() []string {
	names := make([]string, 0, len(s.models))
	for name := range s.models {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Reduce handles one input and returns the effects to carry out.
func (s *State) Reduce(in step.Input) []step.Effect {
	var effects []step.Effect
	switch ev := in.Event.(type) {
	case VersionActivated:
		effects = s.versionActivated(in, ev)
	case Resolved:
		effects = s.resolved(in, ev)
	case DigestContradicted:
		effects = s.contradicted(in, ev)
	case ContentComplete:
		s.complete[ev.Digest] = true
	case EngineRead:
		effects = s.engineRead(in, ev)
	case EngineFailed:
		s.engineFailed(in.Now, ev)
	case Prepared:
		effects = s.prepared(in, ev)
	case LoadOrderEnded:
		effects = s.loadOrderEnded(in, ev)
	case EngineRegistered:
		s.registered = ev.Instances
	case PeersChanged:
		s.peers = ev.Peers
	case TransfersRead:
		s.transfers = ev
	}
	return append(effects, s.advance(in)...)
}
