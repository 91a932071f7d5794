package slot

import (
	"encoding/json"
	"sort"
	"strings"
	"time"

	"samphireweir.example/samphireweir/internal/core/step"
)

// Timing configures the slots; zero fields take the defaults.
type Timing struct {
	// Expiry is how long a heartbeat must stay unchanged, under observation without a gap, before its slot may be
	// removed.
	Expiry time.Duration
	// PollInterval is the minimum interval between two reads of the object while waiting for a free slot.
	PollInterval time.Duration
	// TurnTimeout is how long an engine waits for its turn before it requests a slot out of turn.
	TurnTimeout time.Duration
}

// Default timing.
const (
	DefaultExpiry       = 30 * time.Second
	DefaultPollInterval = 500 * time.Millisecond
	DefaultTurnTimeout  = 10 * time.Second
)

const (
	// expiryMarginDivisor sets the safety margin: a holder leaves 1/10 of the expiry unused.
	expiryMarginDivisor = 10
	// heartbeatCount is the number of heartbeats per expiry. An observation has a gap when no answer arrived for longer
	// than one such interval.
	heartbeatCount = 3
	// requestersPerSlot is the number of engines per slot of a service whose turn it is to request one. More requesters would only
	// cause conflicts.
	requestersPerSlot = 2
	// maxTableAge is the maximum age of the table that a write is based on. An older one is read again first: other agents
	// write too, and a read is cheaper than a conflict.
	maxTableAge = 20 * time.Millisecond
	// conflictJitterDivisor sets the jitter after a conflict: retries are spread over 1/4 of the poll interval.
	conflictJitterDivisor = 4
	// maxSentTimes is the number of latest writes whose send times are kept. A write that arrives late then still has a known
	// send time.
	maxSentTimes = 8
)

// WithDefaults returns the timing with the zero fields set to the defaults.
func (t Timing) WithDefaults() Timing {
	if t.Expiry == 0 {
		t.Expiry = DefaultExpiry
	}
	if t.PollInterval == 0 {
		t.PollInterval = DefaultPollInterval
	}
	if t.TurnTimeout == 0 {
		t.TurnTimeout = DefaultTurnTimeout
	}
	return t
}

// Event is an event of this package.
type Event interface {
	step.Event
	slot()
}

// Present reports the current state of a service's object. It answers a read, a write, or a write that failed on a
// version conflict.
type Present struct {
	Key string
	// Version is 0 when the object does not exist.
	Version uint64
	Value   []byte
	// Conflict is set when a write was rejected because the object had another version.
	Conflict bool
}

// Failed reports that a call failed. If it was a write, its outcome is unknown.
type Failed struct{ Key string }

// Event marks the type as an event.
func (Present) Event() {}

// Event marks the type as an event.
func (Failed) Event() {}

func (Present) slot() {}
func (Failed) slot()  {}

// Read reads the object.
type Read struct{ Key string }

// Write writes the object if its version is still IfVersion.
type Write struct {
	Key       string
	IfVersion uint64
	Value     []byte
}

// Effect marks the type as an effect.
func (Read) Effect() {}

// Effect marks the type as an effect.
func (Write) Effect() {}

// request is the request of one engine of this host for a new slot, or for keeping the one that it has.
type request struct {
	// since is when the request was made.
	since time.Time
	// rank is the engine's turn, from 0, among the engines of the service that wait to become unavailable.
	rank int
	// keepOnly is set for an engine that is unavailable already. It gets no new slot but keeps the one that it has.
	keepOnly bool
}

// observation is a slot as it was observed, and since when it has not changed.
type observation struct {
	holder Holder
	since  time.Time
}

// Service is an agent's view of the slots of one service.
type Service struct {
	key    string
	host   string
	timing Timing

	// requests are the requests of this host's engines, by HOST/NAME.
	requests map[string]request
	// table and version are the object in the last answer; known is set once there was an answer.
	table   Table
	version uint64
	known   bool
	// stale is set when the table must be read before the next write.
	stale bool
	// asOf is when the last answer, and with it the table, arrived.
	asOf time.Time
	// observations are the observed slots, by engine.
	observations map[string]observation
	// heartbeat counts this agent's writes, and sentTimes maps the most recent counters to when the write was emitted.
	heartbeat uint64
	sentTimes map[uint64]time.Time
	// heartbeatAt is when the last write was emitted.
	heartbeatAt time.Time
	// inFlight is set while a call awaits its answer.
	inFlight bool
	// nextPollAt is the earliest time of the next read for a free slot, and nextCallAt that of any call.
	nextPollAt time.Time
	nextCallAt time.Time
}

// NewService returns the state of an agent that has not read the slots of a service yet.
func NewService(team, service, host string, t Timing) *Service {
	return &Service{
		key: Key(team, service), host: host, timing: t.WithDefaults(),
		requests: map[string]request{}, observations: map[string]observation{}, sentTimes: map[uint64]time.Time{},
	}
}

// engineID returns the engine's identifier, HOST/NAME.
func (s *Service) engineID(engine string) string { return s.host + "/" + engine }

// Request requests a slot for an engine that serves and is to become unavailable. rank is its turn, from 0.
func (s *Service) Request(engine string, rank int, now time.Time) {
	id := s.engineID(engine)
	r, known := s.requests[id]
	if !known || r.keepOnly {
		r = request{since: now}
	}
	r.rank = rank
	s.requests[id] = r
}

// Keep keeps the slot, if any, of an engine that is unavailable already. It does not request a new one.
func (s *Service) Keep(engine string, now time.Time) {
	id := s.engineID(engine)
	if _, known := s.requests[id]; !known {
		s.requests[id] = request{since: now, keepOnly: true}
	}
}

// Release releases the slot of an engine that serves again.
func (s *Service) Release(engine string) { delete(s.requests, s.engineID(engine)) }

// HoldsValidSlot reports whether an engine of this host holds a valid slot at now. fencing is this agent's fencing number. After
// a pause of the process the slot is invalid until it was written again, because other agents may have removed it.
func (s *Service) HoldsValidSlot(engine string, fencing uint64, now time.Time) bool {
	h, held := s.table.holderOf(s.engineID(engine))
	if !held || h.Fencing != fencing {
		return false
	}
	sentAt, known := s.sentTimes[h.Heartbeat]
	return known && now.Sub(sentAt) < s.timing.Expiry-s.timing.Expiry/expiryMarginDivisor
}

// Reduce handles the answer to a call for this service's object, or its failure.
func (s *Service) Reduce(in step.Input) {
	s.inFlight = false
	switch ev := in.Event.(type) {
	case Present:
		s.receive(in.Now, ev)
		if ev.Conflict {
			s.nextCallAt = in.Now.Add(jitter(in, s.timing.PollInterval/conflictJitterDivisor))
		}
	case Failed:
		// The outcome is unknown, and the observation has a gap.
		s.stale = true
		s.observations = map[string]observation{}
		s.nextCallAt = in.Now.Add(s.timing.PollInterval + jitter(in, s.timing.PollInterval))
	}
}

// jitter returns a random duration below limit, so that agents do not retry at the same time.
func jitter(in step.Input, limit time.Duration) time.Duration {
	return time.Duration(in.Rand % uint64(limit))
}

// receive stores the object and records since when each slot has not changed.
func (s *Service) receive(now time.Time, ev Present) {
	if s.hasGap(now) {
		s.observations = map[string]observation{} // Changes during the gap are unknown.
	}
	s.asOf = now
	s.known = true
	s.stale = false
	s.version = ev.Version
	s.table = parse(ev.Value)
	observations := make(map[string]observation, len(s.table.Holders))
	for _, h := range s.table.Holders {
		before, known := s.observations[h.Engine]
		if !known || before.holder != h {
			before = observation{holder: h, since: now}
		}
		observations[h.Engine] = before
	}
	s.observations = observations
}

// Advance returns the call to make now, if any. maxUnavailable is the service's max_unavailable setting, and fencing
// is this agent's fencing number.
func (s *Service) Advance(in step.Input, maxUnavailable int, fencing uint64) []step.Effect {
	if s.inFlight || in.Now.Before(s.nextCallAt) {
		return nil
	}
	if !s.known || s.stale {
		if len(s.requests) == 0 && !s.stale {
			return nil
		}
		return s.read()
	}
	wanted, changed := s.nextTable(in.Now, maxUnavailable, fencing)
	if changed && in.Now.Sub(s.asOf) > maxTableAge {
		return s.read() // A write based on an old version would only fail with a conflict.
	}
	if changed {
		return s.write(in.Now, wanted)
	}
	if len(s.requesters(in.Now, maxUnavailable)) == 0 || in.Now.Before(s.nextPollAt) {
		return nil
	}
	s.nextPollAt = in.Now.Add(s.timing.PollInterval + jitter(in, s.timing.PollInterval))
	return s.read()
}

func (s *Service) read() []step.Effect {
	s.inFlight = true
	return []step.Effect{Read{Key: s.key}}
}

// write emits a write of the table with the next heartbeat counter.
func (s *Service) write(now time.Time, t Table) []step.Effect {
	value, err := json.Marshal(t)
	if err != nil {
		return nil
	}
	s.heartbeat++
	s.sentTimes[s.heartbeat] = now
	delete(s.sentTimes, s.heartbeat-maxSentTimes)
	s.heartbeatAt = now
	s.inFlight = true
	return []step.Effect{Write{Key: s.key, IfVersion: s.version, Value: value}}
}

// isLocal reports whether a slot is held by an engine of this host.
func (s *Service) isLocal(h Holder) bool { return strings.HasPrefix(h.Engine, s.host+"/") }

// nextTable computes the table that this agent wants. changed reports whether the table must be written: a local slot
// is added, released, due for a heartbeat or held under another fencing number.
func (s *Service) nextTable(now time.Time, maxUnavailable int, fencing uint64) (wanted Table, changed bool) {
	heartbeatDue := now.Sub(s.heartbeatAt) >= s.timing.Expiry/heartbeatCount
	wanted = s.table.without(s.isLocal)
	for _, h := range s.table.Holders {
		if !s.isLocal(h) {
			continue
		}
		if _, requested := s.requests[h.Engine]; !requested {
			changed = true
			continue
		}
		changed = changed || heartbeatDue || h.Fencing != fencing
		wanted.add(Holder{Engine: h.Engine, Fencing: fencing, Heartbeat: s.heartbeat + 1})
	}
	for _, engine := range s.requesters(now, maxUnavailable) {
		if len(wanted.Holders) >= maxUnavailable {
			wanted = wanted.without(func(h Holder) bool { return s.expired(now, h) })
		}
		if len(wanted.Holders) >= maxUnavailable {
			break
		}
		wanted.add(Holder{Engine: engine, Fencing: fencing, Heartbeat: s.heartbeat + 1})
		changed = true
	}
	return wanted, changed
}

// requesters lists the engines of this host that request a slot, hold none and whose turn it is, in the order of their
// turns.
func (s *Service) requesters(now time.Time, maxUnavailable int) []string {
	var list []string
	for engine, r := range s.requests {
		if _, held := s.table.holderOf(engine); held || r.keepOnly {
			continue
		}
		if r.rank < requestersPerSlot*maxUnavailable || now.Sub(r.since) >= s.timing.TurnTimeout {
			list = append(list, engine)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := s.requests[list[i]], s.requests[list[j]]
		if a.rank != b.rank {
			return a.rank < b.rank
		}
		return list[i] < list[j]
	})
	return list
}

// hasGap reports whether the observation has a gap: the last answer is so old that an outage may have kept holders
// from sending heartbeats.
func (s *Service) hasGap(now time.Time) bool { return now.Sub(s.asOf) > s.timing.Expiry/heartbeatCount }

// expired reports whether a slot of another host has not changed for the whole expiry, under observation without a
// gap.
func (s *Service) expired(now time.Time, h Holder) bool {
	before, known := s.observations[h.Engine]
	return known && !s.hasGap(now) && before.holder == h && !s.isLocal(h) && now.Sub(before.since) >= s.timing.Expiry
}
