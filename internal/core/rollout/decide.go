package rollout

import (
	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/step"
)

// decide returns the effects that an engine needs now: an order, the cancellation of one, or the report that the engine went into
// or out of service.
func (s *State) decide(in step.Input, u *Upstream, complete func(string) bool) []step.Effect {
	if s.Incarnation.Superseded {
		return s.stopSuperseded(u)
	}
	if u.order != nil {
		return s.checkOrder(in, u)
	}
	if u.Phase == member.Idle && !u.draining {
		if effects := s.adopt(in, u); effects != nil {
			return effects
		}
	}
	if u.draining && (u.target.Digest == "" || u.atTarget() || !s.holdsSlot(u, in.Now)) {
		u.resume()
	}
	if u.Phase == member.Serving && (u.target.Digest == "" || u.atTarget()) {
		s.slotsOf(u).Release(u.Name)
	}
	if s.releasing || u.target.Digest == "" || !u.fresh || u.Phase == member.Down {
		return nil
	}
	if u.Phase == member.Serving && u.atTarget() {
		return s.announceNumber(in, u)
	}
	return s.approachTarget(in, u, complete)
}

// stopSuperseded stops the orders of a superseded agent and takes its engines out of service, because another agent controls
// them now.
func (s *State) stopSuperseded(u *Upstream) []step.Effect {
	effects := u.takeOut(ReasonSuperseded)
	u.Phase = member.Down
	if u.order != nil {
		effects = append(effects, u.cancelOrder()...)
	}
	return effects
}

// checkOrder cancels an order that is no longer wanted or no longer permitted.
func (s *State) checkOrder(in step.Input, u *Upstream) []step.Effect {
	o := u.order
	s.renewLease = s.renewLease || u.target.IgnoresFencing
	unwanted := o.digest != "" && o.digest != u.target.Digest
	if unwanted || s.releasing || !s.OrderAllowed(u.Name, in.Now) {
		return u.cancelOrder()
	}
	return nil
}

// atTarget reports whether the engine's pin and role are those of the target.
func (u *Upstream) atTarget() bool {
	return u.Digest == u.target.Digest && u.inRole(u.Role)
}

// resume returns a draining engine to service, under the pin that it still has. It does nothing for other engines.
func (u *Upstream) resume() {
	if !u.draining {
		return
	}
	u.draining = false
	u.DrainOverdue = false
	u.Phase = member.Serving
}

// announceNumber sends an engine that checks fencing numbers the number of the present incarnation. The order sets the role that
// the engine already has, so that it changes nothing else. Once the engine has obeyed it, it refuses the orders of former agents.
func (s *State) announceNumber(in step.Input, u *Upstream) []step.Effect {
	if !s.needsAnnounce(u) || in.Now.Before(u.nextOrderAt) {
		return nil
	}
	o := s.newOrder(in, u)
	o.announceOnly = true
	o.role = u.observed.Role
	return []step.Effect{SetRole{Upstream: u.Name, URL: u.URL, Order: o.serial, Role: o.role, Fencing: o.fencing}}
}

func (s *State) needsAnnounce(u *Upstream) bool {
	return s.Incarnation.Held() && !u.target.IgnoresFencing && u.announcedNumber != s.Incarnation.Number
}

// approachTarget brings an engine to its target: it drains the engine, then orders the role, then the weights.
func (s *State) approachTarget(in step.Input, u *Upstream, complete func(string) bool) []step.Effect {
	s.renewLease = s.renewLease || (u.target.IgnoresFencing && s.Incarnation.FormerOrdersExpired(in.Now))
	if !s.OrderAllowed(u.Name, in.Now) || in.Now.Before(u.nextOrderAt) {
		u.resume()
		return nil
	}
	if u.Phase == member.Idle && !u.draining && u.observed.loaded() && u.target.accepts(u.observed.Digest) {
		// The engine already holds a version that its service may serve, but must not serve it yet (see mayServe). If it checks
		// fencing numbers, it is sent the present one first. Once it has obeyed that order, adopt takes it into service with
		// the version that it holds.
		return s.announceNumber(in, u)
	}
	needsLoad := u.observed.Digest != u.target.Digest || u.observed.Loading
	if needsLoad && !complete(u.target.Digest) {
		s.keepServing(u)
		return nil
	}
	if !s.mayTakeOut(in, u) {
		return nil
	}
	if effects, drained := s.drain(in, u); !drained {
		return effects
	}
	if !u.inRole(u.observed.Role) {
		return s.orderRole(in, u)
	}
	if needsLoad {
		return s.orderLoad(in, u)
	}
	return nil
}

// keepServing keeps an engine in service that can't be brought to its target yet. The engine needs no slot meanwhile and
// releases the one that it has.
func (s *State) keepServing(u *Upstream) {
	u.resume()
	if u.servesOrDrains() {
		s.slotsOf(u).Release(u.Name)
	}
}

// mayTakeOut reports whether an engine may be taken out of service. An engine in service needs a slot for that. One that is
// out of service already needs none, and keeps the slot under which it was taken out.
func (s *State) mayTakeOut(in step.Input, u *Upstream) bool {
	slots := s.slotsOf(u)
	if !u.servesOrDrains() {
		slots.Keep(u.Name, in.Now)
		return true
	}
	slots.Request(u.Name, u.target.Rank, in.Now)
	return s.holdsSlot(u, in.Now)
}

// drain stops new requests to an engine and waits for the requests in flight, so that they end under the weights with which
// they started. It never aborts a request; the wait is bounded by the requests' own deadlines. A draining engine has the phase
// Idle, so that it accepts no new requests, although it still runs earlier ones. Unlike other idle engines it keeps its pin.
func (s *State) drain(in step.Input, u *Upstream) (effects []step.Effect, drained bool) {
	if u.Phase == member.Serving {
		u.Phase = member.Idle
		u.draining = true
		u.drainStartedAt = in.Now
	}
	if u.running == 0 {
		return nil, true
	}
	if u.DrainOverdue || in.Now.Sub(u.drainStartedAt) < s.timing.DrainWarning {
		return nil, false
	}
	u.DrainOverdue = true
	return []step.Effect{DrainOverdue{Upstream: u.Name, Running: u.running}}, false
}

// newOrder records a new order as in flight and returns it.
func (s *State) newOrder(in step.Input, u *Upstream) *order {
	s.serial++
	u.order = &order{serial: s.serial, fencing: s.Incarnation.Number, bootID: u.observed.BootID, startedAt: in.Now}
	return u.order
}

// clearPin marks an engine as loading and clears its pin (see Upstream), because an order changes the engine from now on.
func (u *Upstream) clearPin() {
	u.Phase = member.Loading
	u.draining = false
	u.DrainOverdue = false
	u.Digest = ""
	u.BootID = ""
}

func (s *State) orderRole(in step.Input, u *Upstream) []step.Effect {
	o := s.newOrder(in, u)
	o.role = u.target.Role
	u.clearPin()
	return []step.Effect{SetRole{Upstream: u.Name, URL: u.URL, Order: o.serial, Role: o.role, Fencing: o.fencing}}
}

func (s *State) orderLoad(in step.Input, u *Upstream) []step.Effect {
	o := s.newOrder(in, u)
	s.loadCount++
	o.digest = u.target.Digest
	o.generation = o.fencing<<generationBits + s.loadCount
	u.clearPin()
	return []step.Effect{Load{
		Upstream: u.Name, URL: u.URL, Order: o.serial, Digest: o.digest, Generation: o.generation, Fencing: o.fencing,
	}}
}
