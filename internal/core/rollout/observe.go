package rollout

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/setting"
)

// startRead starts a reading of an engine's state when one is due.
func (s *State) startRead(in step.Input, u *Upstream) []step.Effect {
	if u.readInFlight != 0 || in.Now.Before(u.nextReadAt) {
		return nil
	}
	s.serial++
	u.readInFlight = s.serial
	return []step.Effect{ReadState{Upstream: u.Name, URL: u.URL, Serial: s.serial}}
}

// requireNewReading makes the next reading due at once. The result of a reading that is in flight will be ignored, since it may
// show the state from before an order ended.
func (s *State) requireNewReading(in step.Input, u *Upstream) {
	s.serial++
	u.minSerial = s.serial
	u.fresh = false
	u.nextReadAt = in.Now
}

func (s *State) stateRead(in step.Input, ev StateRead) []step.Effect {
	u := s.Upstreams[ev.Upstream]
	if u == nil || u.readInFlight != ev.Serial {
		return nil
	}
	u.readInFlight = 0
	u.failedReads = 0
	if ev.Serial < u.minSerial {
		return nil // The reading may be from before the last order ended; the next one is due already.
	}
	u.nextReadAt = in.Now.Add(s.timing.Poll)
	u.observed = ev.State
	u.fresh = true
	if s.Incarnation.Held() && ev.State.Fencing > s.Incarnation.Number {
		s.Incarnation.RequestRead()
	}
	if u.order != nil && !u.order.announceOnly {
		return s.observeOrder(in, u)
	}
	return s.observe(in, u)
}

// observe compares a reading with the pin, and takes the engine into service or out of service accordingly.
func (s *State) observe(in step.Input, u *Upstream) []step.Effect {
	if u.Phase == member.Down {
		u.Phase = member.Idle
	}
	if u.servesOrDrains() {
		if u.matchesPin() {
			u.Role = u.observed.Role
			return nil
		}
		return append(u.takeOut(ReasonChanged), s.adopt(in, u)...)
	}
	return s.adopt(in, u)
}

// servesOrDrains reports whether the engine has a pin under which requests may run: it serves, or it drains and may still run earlier
// requests.
func (u *Upstream) servesOrDrains() bool { return u.Phase == member.Serving || u.draining }

// matchesPin reports whether the last reading shows the engine's pin: that the engine still holds the weights under which its
// requests run, and did not restart or load them again.
func (u *Upstream) matchesPin() bool {
	r := u.observed
	return r.loaded() && r.Digest == u.Digest && r.Generation == u.Generation && r.BootID == u.BootID
}

// takeOut takes an engine out of service at once and clears its pin.
func (u *Upstream) takeOut(why Reason) []step.Effect {
	servedOrDrained := u.servesOrDrains()
	u.Phase = member.Idle
	u.Digest = ""
	u.BootID = ""
	u.draining = false
	if !servedOrDrained {
		return nil
	}
	return []step.Effect{OutOfService{Upstream: u.Name, Reason: why}}
}

// adopt takes an engine into service if it already holds a version that its service may serve. What it holds becomes its pin. It makes
// no difference whether an order of this agent loaded that version.
func (s *State) adopt(in step.Input, u *Upstream) []step.Effect {
	r := u.observed
	if !u.fresh || !r.loaded() || u.Phase != member.Idle || !u.target.accepts(r.Digest) || !s.mayServe(in.Now, u) {
		return nil
	}
	u.Phase = member.Serving
	u.Digest = r.Digest
	u.Generation = r.Generation
	u.BootID = r.BootID
	u.Role = r.Role
	u.failedOrders = 0
	adopted := !s.Incarnation.Held() || r.Generation>>generationBits != s.Incarnation.Number
	return []step.Effect{InService{Upstream: u.Name, Digest: r.Digest, Generation: r.Generation, Adopted: adopted}}
}

// mayServe reports whether an engine may serve the version that it holds. An engine that checks fencing numbers is first sent
// this agent's number, so that it refuses later orders of a former agent. If the agent has no number, as in an outage of the
// platform, the engine serves nevertheless, because each request is checked against the engine's state when it ends. An
// engine that ignores fencing numbers serves only once no order of a former agent can be in flight.
func (s *State) mayServe(now time.Time, u *Upstream) bool {
	if s.Incarnation.Superseded {
		return false
	}
	if u.target.IgnoresFencing {
		return s.Incarnation.FormerOrdersExpired(now)
	}
	return !s.Incarnation.Held() || u.announcedNumber == s.Incarnation.Number
}

// observeOrder cancels the call of an order whose answer need not be awaited any more. The reading shows that the order took effect,
// or that the engine restarted, or that Timing.OrderTimeout has passed and the engine is not loading.
func (s *State) observeOrder(in step.Input, u *Upstream) []step.Effect {
	o := u.order
	r := u.observed
	if o.cancelled {
		return nil
	}
	tookEffect := o.digest != "" && r.loaded() && r.Digest == o.digest && r.Generation == o.generation
	restarted := r.BootID != o.bootID
	lost := !r.Loading && in.Now.Sub(o.startedAt) >= s.timing.OrderTimeout
	if tookEffect || restarted || lost {
		return u.cancelOrder()
	}
	return nil
}

// cancelOrder aborts the call of the order in flight. If the order is cancelled already, it does nothing.
func (u *Upstream) cancelOrder() []step.Effect {
	if u.order.cancelled {
		return nil
	}
	u.order.cancelled = true
	return []step.Effect{CancelOrder{Upstream: u.Name, Order: u.order.serial}}
}

// stateFailed records a failed reading. After downAfter of them in a row the engine counts as down.
func (s *State) stateFailed(in step.Input, ev StateFailed) []step.Effect {
	u := s.Upstreams[ev.Upstream]
	if u == nil || u.readInFlight != ev.Serial {
		return nil
	}
	u.readInFlight = 0
	u.failedReads++
	u.nextReadAt = in.Now.Add(s.timing.Poll)
	if u.failedReads < downAfter {
		return nil
	}
	u.nextReadAt = in.Now.Add(backoff(s.timing.Poll, u.failedReads-downAfter, s.timing.MaxPoll))
	u.fresh = false
	effects := u.takeOut(ReasonNoAnswer)
	u.Phase = member.Down
	if u.order != nil {
		effects = append(effects, u.cancelOrder()...)
	}
	return effects
}

// orderEnded records that the call of an order has ended. A new reading of the engine's state then shows its result.
func (s *State) orderEnded(in step.Input, ev OrderEnded) {
	u := s.Upstreams[ev.Upstream]
	if u == nil || u.order == nil || u.order.serial != ev.Order {
		return
	}
	o := u.order
	u.order = nil
	s.requireNewReading(in, u)
	if u.Phase == member.Loading {
		u.Phase = member.Idle
	}
	switch {
	case ev.Outcome == OrderDone:
		u.announcedNumber = o.fencing
	case ev.Outcome == OrderRefused:
		s.raiseNumber = true
		s.Incarnation.RequestRead()
		s.delayNextOrder(in, u)
	case !o.cancelled:
		s.delayNextOrder(in, u)
	}
}

// delayNextOrder delays the next order after a failed one, with exponential backoff.
func (s *State) delayNextOrder(in step.Input, u *Upstream) {
	u.nextOrderAt = in.Now.Add(backoff(s.timing.RetryDelay, u.failedOrders, s.timing.MaxRetryDelay))
	u.failedOrders++
}

// backoff returns initial doubled n times, but at most maxDelay.
func backoff(initial time.Duration, n int, maxDelay time.Duration) time.Duration {
	d := initial
	for range n {
		d *= 2
		if d >= maxDelay {
			return maxDelay
		}
	}
	return min(d, maxDelay)
}

// inRole reports whether role is the target's role. A target without a role accepts any.
func (u *Upstream) inRole(role setting.Role) bool {
	return u.target.Role == "" || role == u.target.Role
}
