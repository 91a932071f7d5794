// Package incarnation is the reducer that acquires an agent's incarnation: the fencing number that the agent sends
// with its load orders to engines. The number is the revision of the conditional write by which the agent took over
// its host's object on the platform. Revisions only increase, so a later incarnation is always higher, even if the
// object was deleted in between. It is not the Incarnation of core.Self, which is the start time of a process.
//
// For engines that ignore fencing numbers, the same object serves as a lease. The holder renews it by writing it. A
// new holder waits until no order of the previous one can still be in flight.
package incarnation

import (
	"encoding/json"
	"time"

	"samphireweir.example/samphireweir/internal/core/step"
)

// Prefix begins the keys of the objects: the key is Prefix + host.
const Prefix = "incarnations/"

// Default timing.
const (
	// DefaultLease is how long one renewal allows orders to engines that ignore fencing numbers.
	DefaultLease = 15 * time.Second
	// DefaultOrderDrain is the maximum time for which an order can stay in flight after its holder cancelled it.
	DefaultOrderDrain = 5 * time.Second
	// DefaultMinRetryDelay is the minimum delay after a failed call. A random part of up to the same length is added.
	DefaultMinRetryDelay = 500 * time.Millisecond
)

// leaseMarginDivisor sets the safety margin: the holder leaves 1/10 of the lease unused. The clock rates of two hosts
// differ by far less than that.
const leaseMarginDivisor = 10

// renewalsPerLease is the number of renewals in the duration of a lease, while orders are in flight or wanted.
const renewalsPerLease = 3

// Timing configures the lease; zero fields take the defaults.
type Timing struct {
	// Lease is how long one renewal allows orders to engines that ignore fencing numbers.
	Lease time.Duration
	// OrderDrain is the maximum time for which an order can stay in flight after its holder cancelled it.
	OrderDrain time.Duration
	// MinRetryDelay is the minimum delay after a failed call.
	MinRetryDelay time.Duration
}

func (t Timing) withDefaults() Timing {
	if t.Lease == 0 {
		t.Lease = DefaultLease
	}
	if t.OrderDrain == 0 {
		t.OrderDrain = DefaultOrderDrain
	}
	if t.MinRetryDelay == 0 {
		t.MinRetryDelay = DefaultMinRetryDelay
	}
	return t
}

// Record is the JSON value of the host's object.
type Record struct {
	// Holder is the unique name of the process that wrote the object.
	Holder string `json:"holder"`
	// Renewal counts the holder's writes.
	Renewal uint64 `json:"renewal"`
	// Released is set when the holder sends no more orders.
	Released bool `json:"released,omitempty"`
}

// State is an agent's view of its incarnation.
type State struct {
	// Number is the incarnation, which is the fencing number, or 0 while none is held.
	Number uint64
	// Superseded is set when this agent's incarnation is superseded: another process took over the host's object, or this
	// one released it. It is never reset.
	Superseded bool

	key    string
	holder string
	timing Timing
	// version is the object's version in the last answer.
	version uint64
	// renewal is the counter in the last write, and renewalSentAt is when that write was emitted.
	renewal       uint64
	renewalSentAt time.Time
	// leaseStart is when the last write that took effect was emitted. The lease runs from then.
	leaseStart time.Time
	// acquiredAt is when this process learned that it holds the incarnation.
	acquiredAt time.Time
	// noFormerOrders is set when no order of a previous holder can be in flight: there was none, or it released the
	// incarnation, or it was this process itself.
	noFormerOrders bool
	// inFlight is set while a call awaits its answer.
	inFlight bool
	// needsRead is set when the object must be read before any other call.
	needsRead bool
	// releasing is set when the incarnation is to be given up.
	releasing bool
	// nextCallAt is the earliest time of the next call.
	nextCallAt time.Time
}

// Event is an event of this package.
type Event interface {
	step.Event
	incarnation()
}

// Present reports the object's current state. It answers a read, a write, or a write that failed on a version conflict.
type Present struct {
	// Version is 0 when the object does not exist.
	Version uint64
	Value   []byte
}

// Failed reports that a call failed. If it was a write, its outcome is unknown.
type Failed struct{}

// Event marks the type as an event.
func (Present) Event() {}

// Event marks the type as an event.
func (Failed) Event() {}

func (Present) incarnation() {}
func (Failed) incarnation()  {}

// Read reads the object.
type Read struct{ Key string }

// Write writes the object if its version is still IfVersion.
type Write struct {
	Key       string
	IfVersion uint64
	Value     []byte
}

// Held notifies the shell that the incarnation was acquired. The shell carries out the effects of reducers.
type Held struct{ Number uint64 }

// Lost notifies the shell that another process took over the host's object, so this one sends no more orders.
type Lost struct{ Number uint64 }

// Effect marks the type as an effect.
func (Read) Effect() {}

// Effect marks the type as an effect.
func (Write) Effect() {}

// Effect marks the type as an effect.
func (Held) Effect() {}

// Effect marks the type as an effect.
func (Lost) Effect() {}

// NewState returns the state of a process that does not hold the incarnation. holder must be unique among all
// processes.
func NewState(host, holder string, t Timing) *State {
	return &State{key: Prefix + host, holder: holder, timing: t.withDefaults()}
}

// MinRetryDelay returns the minimum delay after a failed call.
func (s *State) MinRetryDelay() time.Duration { return s.timing.MinRetryDelay }

// everHeld reports whether this process has ever held the incarnation.
func (s *State) everHeld() bool { return !s.acquiredAt.IsZero() }

// Idle reports whether no call is in flight and no read of the object is pending.
func (s *State) Idle() bool { return !s.inFlight && !s.needsRead }

// Held reports whether this process holds the incarnation, as far as it knows.
func (s *State) Held() bool { return s.Number != 0 && !s.Superseded }

// FormerOrdersExpired reports whether no order of a previous agent can reach an engine that ignores fencing numbers any more.
// That is so if the previous holder can have had none in flight (see noFormerOrders), or once Lease and OrderDrain have passed
// since this process acquired the incarnation.
func (s *State) FormerOrdersExpired(now time.Time) bool {
	if !s.Held() {
		return false
	}
	return s.noFormerOrders || now.Sub(s.acquiredAt) >= s.timing.Lease+s.timing.OrderDrain
}

// OrdersAllowed reports whether an order may be sent at now. ignored is set when the engine ignores fencing numbers. Then the
// lease must be valid too, and the orders of previous agents must have expired.
func (s *State) OrdersAllowed(now time.Time, ignored bool) bool {
	if !s.Held() || s.releasing {
		return false
	}
	if !ignored {
		return true
	}
	valid := s.timing.Lease - s.timing.Lease/leaseMarginDivisor
	return s.FormerOrdersExpired(now) && now.Sub(s.leaseStart) < valid
}

// RequestRead requests that the object is read again. It is called when an engine has seen a higher fencing number.
func (s *State) RequestRead() { s.needsRead = true }

// Release starts giving up the incarnation. The caller must have no order in flight.
func (s *State) Release() { s.releasing = true }

// Advance returns the call to make at now, if any. renew is set while orders to engines that ignore fencing numbers
// are in flight or wanted, so that the lease must be kept.
func (s *State) Advance(now time.Time, renew bool) []step.Effect {
	if s.inFlight || s.Superseded || now.Before(s.nextCallAt) {
		return nil
	}
	if s.releasing && !s.everHeld() {
		return nil // There is nothing to release.
	}
	if s.Number == 0 || s.needsRead {
		s.inFlight = true
		return []step.Effect{Read{Key: s.key}}
	}
	if s.releasing {
		return s.write(now, true)
	}
	if renew && now.Sub(s.leaseStart) >= s.timing.Lease/renewalsPerLease {
		return s.write(now, false)
	}
	return nil
}

// Reduce handles one event.
func (s *State) Reduce(in step.Input) []step.Effect {
	s.inFlight = false
	switch ev := in.Event.(type) {
	case Present:
		return s.handlePresent(in, ev)
	case Failed:
		s.delayNextCall(in)
		// The outcome of a failed write is unknown until the object is read.
		s.needsRead = true
	}
	return nil
}

// delayNextCall delays the next call by MinRetryDelay plus random jitter of up to the same length, so that processes do not
// retry at the same time.
func (s *State) delayNextCall(in step.Input) {
	s.nextCallAt = in.Now.Add(s.timing.MinRetryDelay + time.Duration(in.Rand%uint64(s.timing.MinRetryDelay)))
}

// handlePresent handles the object's current state.
func (s *State) handlePresent(in step.Input, ev Present) []step.Effect {
	var r Record
	if ev.Version != 0 && json.Unmarshal(ev.Value, &r) != nil {
		r = Record{} // A malformed value is treated as one of another process.
	}
	s.version = ev.Version
	if ev.Version != 0 && r.Holder == s.holder {
		return s.handleOwn(in, r)
	}
	if s.everHeld() && ev.Version != 0 {
		// A process that lost the incarnation never takes it again. Otherwise two processes could take it from each
		// other forever.
		s.Superseded = true
		return []step.Effect{Lost{Number: s.Number}}
	}
	s.needsRead = false
	if s.everHeld() {
		// The object was deleted. The number stays valid, because any later incarnation is higher.
		return s.write(in.Now, s.releasing)
	}
	s.noFormerOrders = ev.Version == 0 || r.Released
	return s.write(in.Now, false)
}

// handleOwn handles an object whose holder is this process.
func (s *State) handleOwn(in step.Input, r Record) []step.Effect {
	if r.Renewal == s.renewal {
		s.leaseStart = s.renewalSentAt
	}
	s.needsRead = false
	if r.Released {
		s.Superseded = true
		return nil
	}
	if s.Number != 0 {
		return nil
	}
	s.Number = s.version
	if !s.everHeld() {
		s.acquiredAt = in.Now
	}
	return []step.Effect{Held{Number: s.Number}}
}

// AcquireHigher acquires a new, higher number. It is called when an engine refused the current number although this process
// is the holder.
func (s *State) AcquireHigher(now time.Time) []step.Effect {
	if s.inFlight || !s.Held() {
		return nil
	}
	s.Number = 0
	s.noFormerOrders = true
	return s.write(now, false)
}

// write emits a write of the object with the next renewal counter.
func (s *State) write(now time.Time, released bool) []step.Effect {
	s.renewal++
	s.renewalSentAt = now
	s.inFlight = true
	value, err := json.Marshal(Record{Holder: s.holder, Renewal: s.renewal, Released: released})
	if err != nil {
		return nil
	}
	return []step.Effect{Write{Key: s.key, IfVersion: s.version, Value: value}}
}
