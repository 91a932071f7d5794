package forward

import (
	"fmt"
	"time"

	"samphireweir.example/samphireweir/internal/core/forecast"
	"samphireweir.example/samphireweir/internal/core/step"
)

// rateTolerance is the part of the predicted wait that must be out of reach for a wait to end. The rate at which capacity becomes free
// varies, and a request at the limit would be refused a moment before it is served.
const rateTolerance = 0.8

// decideByRate decides on a first try to a full service whose requests have different priorities. It is refused on arrival, or its wait
// ends, if the requests before it take longer than it can wait.
func (s *State) decideByRate(in step.Input, r *request, found availability) ([]step.Effect, bool) {
	if found != full || r.returning || !s.prioritized(r.service) {
		return nil, false
	}
	o := s.outlookOf(in.Now, r)
	if o == nil {
		return nil, false
	}
	if !r.queueDeadline.IsZero() {
		return s.keepWaitingByRate(in, r, o)
	}
	ahead := s.queue(r.service).Ahead(in.Now, s.item(r))
	roomAt, known := o.capacity.RoomByRate(in.Now, r.priority, ahead)
	if !known {
		return nil, false
	}
	q := s.forecastRequest(r, o)
	q.Outage = false
	d := forecast.Decide(in.Now, q, roomAt, roomAt, in.Rand)
	if d.Wait {
		return nil, false
	}
	return s.refuseByForecast(in, r, RefusedOnArrival, full, roomAt, d, describeRate(r, ahead, roomAt.Sub(in.Now))), true
}

// keepWaitingByRate ends the wait of a request in the queue if its turn no longer comes in time. It is reviewed with each tick.
func (s *State) keepWaitingByRate(in step.Input, r *request, o *outlook) ([]step.Effect, bool) {
	if _, tick := in.Event.(step.Tick); !tick || s.pass == nil || !in.Now.Before(r.queueDeadline) {
		return nil, false
	}
	roomAt, known := o.capacity.RoomByRate(in.Now, r.priority, s.pass.ahead)
	if !known || !in.Now.Add(time.Duration(rateTolerance*float64(roomAt.Sub(in.Now)))).After(r.queueDeadline) {
		return nil, false
	}
	d := forecast.Decision{RetryAfter: s.clampedRetryAfter(in, r, o), Reason: "its turn no longer comes in time"}
	return s.refuseByForecast(in, r, WaitEnded, full, roomAt, d, describeRate(r, s.pass.ahead, roomAt.Sub(in.Now))), true
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
	effects := s.enqueue(in, r)
	if s.requests[r.id] == r {
		effects = append(effects, Yielded{ID: r.id, Priority: r.priority})
	}
	return effects, true
}
