package forward

import (
	"fmt"
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forecast"
	"samphireweir.example/samphireweir/internal/core/step"
)

// decideByRate decides on a first try that arrives at a full service whose requests have different priorities. It is refused if the
// requests before it take longer than it can wait. The rate does not end a wait that has begun: so few requests complete within it that
// their number says little. While a silent upstream may go on, the rate is no measure of what follows.
func (s *State) decideByRate(in step.Input, r *request, found availability) ([]step.Effect, bool) {
	if found != full || r.returning || !r.queueDeadline.IsZero() || !s.prioritized(r.service) {
		return nil, false
	}
	o := s.outlookOf(in.Now, r)
	if o == nil {
		return nil, false
	}
	ahead := s.queue(r.service).Ahead(in.Now, s.item(r))
	if s.inReach(in.Now, r, o, ahead, s.maxWait(r)) || s.mayAwaitSilent(in.Now, r) {
		return nil, false
	}
	roomAt, _ := o.capacity.RoomByRate(in.Now, r.priority, ahead)
	q := s.forecastRequest(r, o)
	q.Outage = false
	d := forecast.Decide(in.Now, q, roomAt, roomAt, in.Rand)
	if d.Wait {
		return nil, false
	}
	return s.refuseByForecast(in, r, RefusedOnArrival, full, roomAt, d, describeRate(r, ahead, roomAt.Sub(in.Now))), true
}

// inReach reports whether a request may well get room within a time: in the scheduler's order, or by the floor of its priority, for which
// only requests of the same priority count. The floor is given to a priority only while requests of it wait.
func (s *State) inReach(now time.Time, r *request, o *outlook, ahead, within time.Duration) bool {
	if o.capacity.InReachByRate(now, r.priority, ahead, within) {
		return true
	}
	others := s.queue(r.service).Waiting()[catalog.ClampPriority(r.priority)]
	return o.capacity.InReachByFloor(now, others, within)
}

// describeRate describes, for the log, what a prediction by the rate is based on.
func describeRate(r *request, ahead, wait time.Duration) string {
	return fmt.Sprintf("priority %d, %v of work ahead, room in %v by the completions of the last second", r.priority, ahead.Round(time.Millisecond), wait.Round(time.Millisecond))
}

// yieldToHeld lets a first try wait though an upstream has capacity, because a more urgent request waits for the end of an outage and has
// not had its turn yet. It has it with the next tick.
func (s *State) yieldToHeld(in step.Input, r *request) ([]step.Effect, bool) {
	if s.heldCount == 0 || r.attempts > 0 || !s.prioritized(r.service) {
		return nil, false
	}
	o := s.outlookOf(in.Now, r)
	if o == nil || len(o.held) == 0 || o.held[0].priority >= r.priority || o.servedAt.Equal(in.Now) {
		return nil, false
	}
	first := r.queueDeadline.IsZero()
	if first {
		// Without an objective a request has no time to wait, and would be refused though there is room.
		r.queueDeadline = in.Now.Add(max(s.maxWait(r), outlookLifetime))
	}
	effects := s.enqueue(in, r)
	if first {
		effects = append(effects, Yielded{ID: r.id, Priority: r.priority})
	}
	return effects, true
}
