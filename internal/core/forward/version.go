package forward

import (
	"cmp"
	"slices"
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
)

// These margins precede the expiry of a version. While no engine has paused recently, the last seconds before the expiry are:
//
//	2.3 s  Attempts go to engines with the new version if one has capacity (preferMargin).
//	1.3 s  Attempts require the new version (catalog.RequireVersionMargin).
//	0.6 s  Requests that have not started are withdrawn (withdrawMargin).
//	0 s    The version has expired.
//
// A request that is withdrawn has therefore been with its engine for at least startAllowance, unless it was sent later because the
// engines with the new version had no capacity; see minVersionIfFull.
//
// An engine that pauses notices a withdrawal only when it goes on, and may then start the request all the same. After such a pause was
// observed, requests are therefore withdrawn earlier, by as much as the pause requires, and the new version is required earlier as well;
// see withdrawalMargin. A pause that nobody has observed is covered by preferMargin alone: as long as engines with the new version have
// capacity, no other engine holds requests that have not started.
const (
	// withdrawMargin covers the delay until an engine that does not pause is informed: an activation is received up to 0.5 s after its
	// confirmation if another one came just before, a tick of the gateway is 20 ms, and the network takes some milliseconds.
	withdrawMargin = 600 * time.Millisecond
	// noticeTime is how long a withdrawal takes that is due at the start of a pause, besides the pause: a tick of the gateway, the
	// network, and the engine's own work on the closed connection.
	noticeTime = 100 * time.Millisecond
	// startAllowance is the minimum time that an engine has for starting a request before the request is withdrawn.
	startAllowance = catalog.RequireVersionMargin - withdrawMargin
	// preferMargin covers a pause of the maximum length.
	preferMargin = maxPause + noticeTime + startAllowance
)

// Withdraw has the shell withdraw a request that its upstream has not started. The attempt ends as Withdrawn, or as Unsent if nothing
// was sent. The effect is repeated with each tick until the attempt has ended or the request has started.
type Withdraw struct {
	ID uint64
	// Attempt is the number of the attempt; see Send.
	Attempt int
	// OnlyUnsent is set if the attempt goes on in case something of it may have been sent.
	OnlyUnsent bool
}

// Effect marks the type as an effect.
func (Withdraw) Effect() {}

// StartedLate reports to the shell that an upstream started a request on a version of weights that had expired.
type StartedLate struct {
	ID       uint64
	Upstream string
	// Version is the version on which the request started, and Successor the one whose activation made it expire.
	Version   int64
	Successor int64
	// Late is how long after the expiry it started, and Waited how long it had been with the upstream.
	Late   time.Duration
	Waited time.Duration
	// Required is the version that the attempt required; 0 for none.
	Required int64
}

// Effect marks the type as an effect.
func (StartedLate) Effect() {}

// withdrawalMargin returns how long before a version expires the requests that engines with that version have not started are withdrawn.
func (s *State) withdrawalMargin() time.Duration {
	return max(withdrawMargin, s.longestPause()+noticeTime)
}

// versionAt returns the oldest version that will not have expired after a margin from now; 0 for any.
func (s *State) versionAt(now time.Time, model string, margin time.Duration) int64 {
	if s.Self.VersionLifetime <= 0 {
		return 0
	}
	return s.Catalog.RequiredVersion(model, now, s.Self.VersionLifetime-margin)
}

// requiredVersion returns the oldest version on which a request for a model may start from now on; 0 for any.
func (s *State) requiredVersion(now time.Time, model string) int64 {
	return s.versionAt(now, model, s.withdrawalMargin()+startAllowance)
}

// versionLimits are the versions that engines must hold to be considered for a request, the newest first. 0 stands for any version.
type versionLimits struct {
	// preferred is required if an engine that holds it has capacity.
	preferred int64
	// required is the result of requiredVersion, and ifFull that of minVersionIfFull.
	required, ifFull int64
}

func (s *State) versionLimits(now time.Time, r *request) versionLimits {
	return versionLimits{preferred: s.versionAt(now, r.model, preferMargin), required: s.requiredVersion(now, r.model), ifFull: s.minVersionIfFull(now, r)}
}

// minVersionIfFull returns the oldest version on which a request may start if no engine with a newer one has capacity. The request
// may go to an engine whose version is about to expire, as long as the engine is likely to start it before such requests are
// withdrawn.
func (s *State) minVersionIfFull(now time.Time, r *request) int64 {
	if !r.route.Repeatable() {
		return s.requiredVersion(now, r.model) // Once withdrawn, the request could not go to another engine.
	}
	// The time to the start is limited to startAllowance, so that the result is never newer than requiredVersion.
	start := time.Duration(s.Self.Policy.StartShare * float64(r.route.Objective))
	return s.versionAt(now, r.model, s.withdrawalMargin()+min(start, startAllowance))
}

// started handles the first event of an answer.
func (s *State) started(in step.Input, ev Started) []step.Effect {
	r := s.requests[ev.ID]
	if r == nil {
		return nil
	}
	var effects []step.Effect
	r.withAttempt(ev.Attempt, func() {
		s.firstEventReceived(in.Now, r)
		s.clearPendingPrompt(r)
		s.unreportedStarted(in.Now, r)
		if r.isOpen() {
			s.loadState(r.instance).noteHeard(in.Now)
		}
		effects = s.checkStartedVersion(in, r, ev)
	})
	return append(effects, s.servePrioritized(in, r.service)...)
}

// checkStartedVersion reports a request that started on an expired version of weights.
func (s *State) checkStartedVersion(in step.Input, r *request, ev Started) []step.Effect {
	if r.model == "" || ev.Version == 0 || s.Self.VersionLifetime <= 0 {
		return nil
	}
	successor, ok := s.Catalog.Successor(r.model, ev.Version)
	late := in.Now.Sub(successor.ActivatedAt) - s.Self.VersionLifetime
	if !ok || late <= 0 {
		return nil
	}
	return []step.Effect{StartedLate{
		ID: r.id, Upstream: r.instance.ID, Version: ev.Version, Successor: successor.Version, Late: late, Waited: in.Now.Sub(r.sentAt),
		Required: r.version,
	}}
}

// withdrawUnstarted withdraws the requests that their upstreams have not started and must not start any more: quarantined requests,
// those at engines whose version is about to expire, and unsent ones to upstreams that get no new requests.
//
// An engine starts a request when its turn comes, which may be long after the attempt was sent if the engine is full or slow. When
// versions were compared only at the sending, requests started up to 173 ms late at 1.1 times the engines' capacity.
func (s *State) withdrawUnstarted(in step.Input) []step.Effect {
	var list []Withdraw
	for id, r := range s.requests {
		r.eachAttempt(func() {
			switch {
			case r.awaitingFirstEvent && (s.mayStartExpired(in.Now, r) || s.mustNotStart(in.Now, r)):
				list = append(list, Withdraw{ID: id, Attempt: r.number})
			case s.mustNotConnect(in.Now, r):
				list = append(list, Withdraw{ID: id, Attempt: r.number, OnlyUnsent: true})
			}
		})
	}
	slices.SortFunc(list, func(a, b Withdraw) int { return cmp.Or(cmp.Compare(a.ID, b.ID), a.Attempt-b.Attempt) })
	var effects []step.Effect
	for _, e := range list {
		effects = append(effects, e)
	}
	return effects
}

// mustNotConnect reports whether a request waits for a connection to an upstream that gets no new requests any more. A connection to a silent
// upstream may be made more than a second after the attempt was decided, when the upstream has to be free of new requests.
func (s *State) mustNotConnect(now time.Time, r *request) bool {
	if !r.isOpen() || !r.stalled || !r.unsent {
		return false
	}
	u := s.Catalog.Upstreams[r.instance.ID]
	return u == nil || u.Instance() != r.instance || s.view(u).inactive(now)
}

// mayStartExpired reports whether the engine that a request is with may start it on a version that has expired by then. An engine
// that accepted the request with a required version (r.version) holds at least that version.
func (s *State) mayStartExpired(now time.Time, r *request) bool {
	if r.model == "" {
		return false
	}
	required := s.versionAt(now, r.model, s.withdrawalMargin())
	if required == 0 || r.version >= required {
		return false
	}
	u := s.Catalog.Upstreams[r.instance.ID]
	return u == nil || u.Instance() != r.instance || s.view(u).heldVersion(now, r.model) < required
}
