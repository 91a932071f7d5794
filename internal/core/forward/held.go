package forward

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forecast"
	"samphireweir.example/samphireweir/internal/core/schedule"
	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// maxHeld limits the requests that wait at one entry for the end of an outage, and defaultMaxHeldBytes their bodies. The limit is
	// a quarter of the memory for callers' bodies; beyond the whole of it, new requests would be refused for lack of memory.
	maxHeld             = 4096
	defaultMaxHeldBytes = 16 << 20
	// earlyMargin is how much sooner than the shortest delay a caller must return in order to count as early. Clocks and the network
	// account for less.
	earlyMargin = 50 * time.Millisecond
)

// hold is the wait of a request for the end of an outage.
type hold struct {
	// outlook is the one in whose list the request waits; nil if it does not wait.
	outlook *outlook
	// until is the latest time at which the request can be sent; zero if it does not wait.
	until time.Time
	// predicted is set for a first try whose wait was decided by a forecast, whatever its length.
	predicted bool
	// awaitsSilent is set for a request that waits, or has waited, for a silent upstream to go on.
	awaitsSilent bool
	// early is set if the caller returned sooner than any caller was told to.
	early bool
	// elapsed is the time since the caller's first try, and size the length of the body in bytes.
	elapsed time.Duration
	size    int64
}

// WaitDecision is what was decided on a request by a forecast.
type WaitDecision string

// The decisions by a forecast.
const (
	// RefusedOnArrival: the predicted wait is too long.
	RefusedOnArrival WaitDecision = "refused"
	// WaitsForRoom: a first try waits because room is predicted within its wait limit.
	WaitsForRoom WaitDecision = "waits"
	// WaitsForEnd: the request waits for the end of an outage.
	WaitsForEnd WaitDecision = "waits-for-end"
	// WaitServed: a request that waited for the end of an outage was sent.
	WaitServed WaitDecision = "served"
	// WaitEnded: a wait ended with a refusal, because its predicted end moved out of reach.
	WaitEnded WaitDecision = "ended"
	// WaitShed: a wait ended with a refusal, because more urgent requests need the memory.
	WaitShed WaitDecision = "shed"
)

// WaitDecided reports to the shell a decision by a forecast.
type WaitDecided struct {
	ID       uint64
	Decision WaitDecision
	// Predicted is the predicted time until there is room.
	Predicted time.Duration
}

// Effect marks the type as an effect.
func (WaitDecided) Effect() {}

// urgency returns the priority of a request where the service's requests have different ones, else 0.
func (s *State) urgency(r *request) int {
	if s.prioritized(r.service) {
		return r.priority
	}
	return 0
}

// compareHeld orders the requests that wait for the end of an outage: by priority, those that returned as told before early ones, and
// then by the time until which they can wait, so that most of them get an answer.
func (s *State) compareHeld(a, b *request) int {
	early := func(r *request) int {
		if r.hold.early {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(s.urgency(a), s.urgency(b)), early(a)-early(b), a.hold.until.Compare(b.hold.until), cmp.Compare(a.id, b.id))
}

// decideByForecast decides on a request while its service is in an outage or has just come out of one. The second result is false if
// the forecast has no part in the decision. u and found are the result of pick.
func (s *State) decideByForecast(in step.Input, r *request, u *catalog.Upstream, found availability) ([]step.Effect, bool) {
	if found == available && !r.returning {
		return s.yieldToHeld(in, r)
	}
	o := s.outlookInEffect(in, r)
	if o == nil {
		return s.decideByRate(in, r, found)
	}
	if !r.queueDeadline.IsZero() {
		return s.keepWaiting(in, r, o, found)
	}
	if found == available && len(o.held) == 0 && s.spare(in.Now, o, r) {
		o.freeSlots--
		return s.send(in, r, u), true
	}
	if !o.endKnown() || !r.returning && !o.outage {
		return nil, false
	}
	q := s.forecastRequest(r, o)
	s.markEarly(in.Now, r, o)
	r.hold.until = q.LatestSend(r.arrived)
	ahead, _ := slices.BinarySearchFunc(o.held, r, s.compareHeld)
	r.hold.until = time.Time{}
	firstTryAt, known := o.capacity.RoomAt(forecast.FirstTry, s.urgency(r), 0)
	if !known {
		return nil, false // No engine is registered.
	}
	roomAt, _ := o.capacity.RoomAt(forecast.Candidate, s.urgency(r), ahead)
	d := forecast.Decide(in.Now, q, firstTryAt, roomAt, in.Rand)
	switch {
	case d.UntilEnd:
		return s.holdRequest(in, r, o, d.Until, roomAt), true
	case d.Wait:
		r.hold.predicted = true
		r.queueDeadline = d.Until
		return append(s.enqueue(in, r), WaitDecided{ID: r.id, Decision: WaitsForRoom, Predicted: firstTryAt.Sub(in.Now)}), true
	}
	if !r.returning {
		o.shortestRetry.add(in.Now, d.RetryAfter)
	}
	return s.refuseByForecast(in, r, RefusedOnArrival, found, roomAt, d, o.describe(in.Now)), true
}

// keepWaiting decides on a first try that waits in its queue. Where its wait was decided by a forecast, it goes on though no engine is
// usable yet, and ends once room is no longer expected in time.
func (s *State) keepWaiting(in step.Input, r *request, o *outlook, found availability) ([]step.Effect, bool) {
	if !r.hold.predicted {
		return nil, false
	}
	at, known := o.capacity.RoomAt(forecast.FirstTry, s.urgency(r), 0)
	if !known || !o.endKnown() || at.After(r.queueDeadline.Add(outlookLifetime)) {
		return s.refuseByForecast(in, r, WaitEnded, found, at, forecast.Decision{RetryAfter: s.clampedRetryAfter(in, r, o), Reason: "room is no longer expected in time"}, o.describe(in.Now)), true
	}
	return s.enqueue(in, r), true
}

// forecastRequest returns what the decision on a request depends on.
func (s *State) forecastRequest(r *request, o *outlook) forecast.Request {
	return forecast.Request{
		Arrived: r.arrived, Deadline: r.deadline, CallerTimeout: r.route.CallerTimeout, WaitLimit: s.maxWait(r),
		RunTime: o.capacity.RunTime(), FirstEvent: s.Self.Policy.PrefillAhead + promptTime(s.engine(r.service), r.prompt), Returning: r.returning, Outage: true,
	}
}

// markEarly records whether a caller returned sooner than any caller was told to.
func (s *State) markEarly(now time.Time, r *request, o *outlook) {
	shortest, known := o.shortestRetry.value(now)
	r.hold.early = r.returning && known && r.hold.elapsed < shortest-earlyMargin
}

// spare reports whether a request that is not a first try may take a free slot: no first try waits, and enough slots are left for those
// that are expected. An engine takes no more prompts at once than it reads, so first tries may wait for that though slots are free.
func (s *State) spare(now time.Time, o *outlook, r *request) bool {
	return s.waitingFirstTries(r) == 0 && o.freeSlots >= 1 && o.capacity.Spare(now, s.urgency(r), o.slots)
}

// waitingFirstTries returns how many first tries of the service and of the priority of a request, or of a more urgent one, wait for room.
func (s *State) waitingFirstTries(r *request) int {
	q := s.queues[r.service]
	if q == nil || !s.prioritized(r.service) {
		return s.queueLength(r.service)
	}
	n := 0
	for priority, waiting := range q.Waiting() {
		if priority <= r.priority {
			n += waiting
		}
	}
	return n
}

// queueLength returns how many requests of a service wait in its queue.
func (s *State) queueLength(service string) int {
	if q := s.queues[service]; q != nil {
		return q.Len()
	}
	return 0
}

// holdRequest lets a request wait for the end of an outage. If too many wait, the least urgent one is refused.
func (s *State) holdRequest(in step.Input, r *request, o *outlook, until, roomAt time.Time) []step.Effect {
	r.hold.outlook, r.hold.until = o, until
	at, _ := slices.BinarySearchFunc(o.held, r, s.compareHeld)
	o.held = slices.Insert(o.held, at, r)
	s.heldCount++
	s.heldBytes += r.hold.size
	effects := []step.Effect{WaitDecided{ID: r.id, Decision: WaitsForEnd, Predicted: roomAt.Sub(in.Now)}}
	for s.heldCount > maxHeld || s.heldBytes > s.Self.MaxHeldBytes {
		effects = append(effects, s.shedHeld(in)...)
	}
	return effects
}

// shedHeld refuses the least urgent request that waits for the end of an outage.
func (s *State) shedHeld(in step.Input) []step.Effect {
	var from *outlook
	for _, key := range s.outlookKeys() {
		o := s.outlooks[key]
		if n := len(o.held); n > 0 && (from == nil || s.compareHeld(o.held[n-1], from.held[len(from.held)-1]) > 0) {
			from = o
		}
	}
	r := from.held[len(from.held)-1]
	from.held = from.held[:len(from.held)-1]
	s.unhold(r)
	why := fmt.Sprintf("%d requests with %d bytes wait for the end of the outage, and this is the least urgent", s.heldCount, s.heldBytes)
	return s.refuseByForecast(in, r, WaitShed, full, in.Now, forecast.Decision{RetryAfter: s.clampedRetryAfter(in, r, from), Reason: why}, from.describe(in.Now))
}

// unhold records that a request no longer waits for the end of an outage. It is not in its outlook's list any more.
func (s *State) unhold(r *request) {
	s.heldCount--
	s.heldBytes -= r.hold.size
	r.hold.outlook, r.hold.until = nil, time.Time{}
}

// leaveHeld ends the wait of a request for the end of an outage, if it waits for one.
func (s *State) leaveHeld(r *request) {
	if o := r.hold.outlook; o != nil {
		o.held = slices.DeleteFunc(o.held, func(other *request) bool { return other == r })
		s.unhold(r)
	}
}

// refuseHeld ends all waits for the end of an outage when this process begins to shut down. Otherwise a wait may last longer than the
// shutdown, and its connection would be closed without an answer. The callers return to another entry at once.
func (s *State) refuseHeld(in step.Input) []step.Effect {
	var effects []step.Effect
	for _, key := range s.outlookKeys() {
		for _, r := range slices.Clone(s.outlooks[key].held) { // Its end takes a request off the list.
			effects = append(effects, s.endRequest(in, r, ending{code: code.Stopping, reason: "this process is shutting down", retryAfter: time.Millisecond})...)
		}
	}
	return effects
}

// WaitingForEnd returns the number of requests that wait for the end of an outage.
func (s *State) WaitingForEnd() int { return s.heldCount }

// outlookKeys returns the keys of the outlooks in a fixed order.
func (s *State) outlookKeys() []outlookKey {
	keys := make([]outlookKey, 0, len(s.outlooks))
	for key := range s.outlooks {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b outlookKey) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.model, b.model), cmp.Compare(a.homes, b.homes))
	})
	return keys
}

// serveHeld sends the requests that wait for the end of an outage as far as there are slots that no first try needs, and refuses those
// whose turn no longer comes in time. With prioritized set, it does so only for services whose requests have different priorities.
func (s *State) serveHeld(in step.Input, prioritized bool) []step.Effect {
	if s.heldCount == 0 {
		return nil
	}
	var effects []step.Effect
	for _, key := range s.outlookKeys() {
		if o := s.outlooks[key]; len(o.held) > 0 && (!prioritized || s.prioritized(key.service)) {
			effects = append(effects, s.serveOutlook(in, o)...)
		}
	}
	return effects
}

// serveOutlook is serveHeld for one outlook.
func (s *State) serveOutlook(in step.Input, o *outlook) []step.Effect {
	s.updateOutlook(in.Now, o)
	list := o.held
	o.held, o.servedAt = nil, in.Now
	slices.SortFunc(list, s.compareHeld) // A new manifest may have changed priorities.
	var effects []step.Effect
	blocked := false
	for _, r := range list {
		if left, end := s.leaveOutlook(in, o, r); left {
			effects = append(effects, end...)
			continue
		}
		if !blocked && s.spare(in.Now, o, r) {
			if u, found := s.pick(in, r); found == available {
				s.unhold(r)
				o.freeSlots--
				effects = append(append(effects, s.send(in, r, u)...), WaitDecided{ID: r.id, Decision: WaitServed})
				continue
			}
		}
		blocked = true
		effects = append(effects, s.reviewHold(in, o, r)...)
	}
	return effects
}

// leaveOutlook ends the wait of a request that the manifest forbids, or that the engines of the outlook no longer serve. The first result
// is false if it goes on.
func (s *State) leaveOutlook(in step.Input, o *outlook, r *request) (bool, []step.Effect) {
	if end, forbidden := s.refreshAndCheck(in, r); forbidden {
		s.unhold(r)
		return true, s.endRequest(in, r, end)
	}
	if s.outlookOf(in.Now, r) != o {
		s.unhold(r)
		return true, s.dispatch(in, r)
	}
	return false, nil
}

// reviewHold lets a request wait behind those in o.held, or refuses it if its turn no longer comes in time.
func (s *State) reviewHold(in step.Input, o *outlook, r *request) []step.Effect {
	roomAt, known := o.capacity.RoomAt(forecast.Waiting, s.urgency(r), len(o.held))
	if known && o.endKnown() && !roomAt.After(r.hold.until) && !in.Now.Add(outlookLifetime).After(r.hold.until) {
		o.held = append(o.held, r)
		return nil
	}
	d := forecast.Decision{RetryAfter: s.clampedRetryAfter(in, r, o), Reason: fmt.Sprintf("its turn no longer comes within %v", r.hold.until.Sub(in.Now).Round(time.Millisecond))}
	s.unhold(r)
	return s.refuseByForecast(in, r, WaitEnded, full, roomAt, d, o.describe(in.Now))
}

// refuseByForecast refuses a request for its predicted wait. inputs are what the prediction is based on.
func (s *State) refuseByForecast(in step.Input, r *request, decision WaitDecision, found availability, roomAt time.Time, d forecast.Decision, inputs string) []step.Effect {
	c := code.Overloaded
	if found == unavailable {
		c = code.NoUpstream
	}
	end := ending{code: c, reason: fmt.Sprintf("%s: %s (%s)", decision, d.Reason, inputs), retryAfter: d.RetryAfter}
	return append(s.endRequest(in, r, end), WaitDecided{ID: r.id, Decision: decision, Predicted: max(0, roomAt.Sub(in.Now))})
}

// describe describes, for the log, what the predictions of an outlook are based on.
func (o *outlook) describe(now time.Time) string {
	return fmt.Sprintf("%d of %d engines of %s usable, %d predicted by reports of up to %v, %d requests waiting, %.1f first tries/s",
		o.usable, o.total, o.key.service, o.capacity.Predicted(), o.oldestReport.Round(time.Millisecond), len(o.held), o.capacity.FirstTries(now, schedule.Priorities-1))
}
