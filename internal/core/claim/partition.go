package claim

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/step"
)

// phase is the state of a partition's calls to the platform. There is at most one such call at a time.
type phase int

const (
	// notLoaded: the head was not read, or must be read again before it is used.
	notLoaded phase = iota
	// loading: the head is being read.
	loading
	// ready: the head is known and no call is in flight.
	ready
	// committing: a write of the head is in flight.
	committing
)

// stage is the progress of a claim or settlement.
type stage int

const (
	// waiting: not decided yet.
	waiting stage = iota
	// batched: decided; its change is part of the next commit.
	batched
	// inFlight: its change is part of the commit in flight.
	inFlight
)

// op is a claim or settlement that has no reply yet.
type op struct {
	id uint64
	// claim is nil for a settlement.
	claim      *Claim
	settlement Settlement
	deadline   time.Time
	stage      stage
	// maybeRecorded is set if a write with this claim may have taken effect, or may still take effect.
	maybeRecorded bool
	// timedOut is set if the claim is given up because a time limit ended.
	timedOut bool
}

// State is what one process knows of one partition.
type State struct {
	partition int
	writer    string
	config    Config

	phase phase
	// callStartedAt is when the latest call to the platform started.
	callStartedAt time.Time
	// version is the version of head. head and durable are what the platform was known to hold at syncedAt.
	version uint64
	head    Head
	durable map[Key]Record
	// era is the latest known era of the platform's store, and restoredAt is Head.RestoredAt as this process knows it.
	era        int64
	restoredAt int64
	// untimedCount is the number of records of untimed keys in durable.
	untimedCount int
	// sentChanges are the changes in the commit in flight, nextChanges those of the commit after it. nextChangeBytes is the
	// estimated size of nextChanges.
	sentChanges     map[Key]Record
	nextChanges     map[Key]Record
	nextChangeBytes int
	// nextHead is the head in the commit in flight, sealedRecords the records that it moves to segments, and
	// sweptObjects the names of the objects to be deleted after it took effect.
	nextHead      Head
	sealedRecords []Record
	sweptObjects  []string

	// ops are the claims and settlements that have no reply yet, in the order in which they arrived.
	ops []*op
	// syncedAt is the start of the latest call to the platform that confirmed head and durable.
	syncedAt     time.Time
	lastCommitAt time.Time
	// platformDownUntil is when the platform may be called again.
	platformDownUntil time.Time
	// wakeAt is the time of the latest Wake; zero if none is pending.
	wakeAt time.Time
	// segmentCount counts the segments that this process has sealed; it makes their names unique.
	segmentCount uint64
}

// NewState returns the state of a process that has not read the partition yet. writer is unique to this instance of the
// process.
func NewState(partition int, writer string, c Config) *State {
	return &State{
		partition: partition, writer: writer, config: c.WithDefaults(),
		durable: map[Key]Record{}, nextChanges: map[Key]Record{},
	}
}

// Reduce handles one event and returns the effects to be carried out.
func (s *State) Reduce(in step.Input) []step.Effect {
	r := &reduction{s: s, now: in.Now}
	switch ev := in.Event.(type) {
	case ClaimRequested:
		r.accept(&op{id: ev.Op, claim: &ev.Claim, deadline: ev.Deadline})
	case SettlementRequested:
		r.accept(&op{id: ev.Op, settlement: ev.Settlement, deadline: ev.Deadline})
	case Loaded:
		r.loaded(ev)
	case LoadFailed:
		r.loadFailed(ev)
	case Committed:
		r.committed(ev)
	case Conflicted, Uncertain, Refused:
		r.commitFailed(ev)
	case Woken:
		s.wakeAt = time.Time{}
	}
	r.advance()
	return r.effects
}

// reduction is the handling of one input.
type reduction struct {
	s       *State
	now     time.Time
	effects []step.Effect
}

func (r *reduction) emit(e step.Effect) { r.effects = append(r.effects, e) }

// accept queues a claim or settlement. It rejects it immediately if the queue is full, and the first try of a claim also while the
// platform is unavailable, since it would most likely pass its deadline in the queue. A further try follows a call that was not
// answered, so it waits until the platform may be called again.
func (r *reduction) accept(o *op) {
	s := r.s
	if len(s.ops) >= s.config.MaxPending || (o.claim != nil && o.claim.Try == 0 && r.platformUnavailable()) {
		r.emit(Reply{Op: o.id, Verdict: NotRecorded, RetryAfter: r.retryAfter()})
		return
	}
	s.ops = append(s.ops, o)
}

// platformUnavailable reports whether a call to the platform failed recently, or the present one takes longer than
// SlowCallThreshold.
func (r *reduction) platformUnavailable() bool {
	s := r.s
	if r.now.Before(s.platformDownUntil) {
		return true
	}
	calling := s.phase == loading || s.phase == committing
	return calling && r.now.Sub(s.callStartedAt) > SlowCallThreshold
}

// retryAfter returns the Retry-After delay for a caller that is rejected now.
func (r *reduction) retryAfter() time.Duration {
	return max(MinRetryAfter, r.s.platformDownUntil.Sub(r.now))
}

// advance takes all steps that are possible in the current state.
func (r *reduction) advance() {
	s := r.s
	r.expire()
	if s.phase == notLoaded && len(s.ops) > 0 && !r.now.Before(s.platformDownUntil) {
		r.load()
	}
	if s.phase == ready || s.phase == committing {
		r.decideWaiting()
	}
	if s.phase == ready {
		r.commitWhenDue()
	}
	r.wakeForDeadlines()
}

// expire replies to the undecided operations whose deadline has passed. Those in a batch or a commit stay until its
// outcome is known.
func (r *reduction) expire() {
	r.finishOps(func(o *op) (Verdict, bool) {
		if o.stage != waiting || r.now.Before(o.deadline) {
			return 0, false
		}
		return o.expiredVerdict(), true
	})
}

// failureVerdict returns the verdict on an operation that is given up and, as far as this process knows, not recorded.
func (o *op) failureVerdict() Verdict {
	if o.maybeRecorded {
		return MaybeRecorded
	}
	return NotRecorded
}

// expiredVerdict returns the verdict on an operation that is given up because its deadline has passed.
func (o *op) expiredVerdict() Verdict {
	o.timedOut = true
	return o.failureVerdict()
}

// finishOps removes the operations for which f returns true and replies to them with f's verdict.
func (r *reduction) finishOps(f func(*op) (Verdict, bool)) {
	kept := r.s.ops[:0]
	for _, o := range r.s.ops {
		verdict, over := f(o)
		if !over {
			kept = append(kept, o)
			continue
		}
		r.emit(r.newReply(o, decision{verdict: verdict}))
	}
	clear(r.s.ops[len(kept):])
	r.s.ops = kept
}

func (r *reduction) newReply(o *op, d decision) Reply {
	a := Reply{Op: o.id, Verdict: d.verdict, TimedOut: o.timedOut}
	switch d.verdict {
	case NotRecorded, MaybeRecorded, StillRunning:
		a.RetryAfter = r.retryAfter()
	case Replayed:
		a.Answer, a.AnswersName = d.current.Answer, d.current.AnswersName
	}
	return a
}

// load requests a read of the head and the segments that are not known yet.
func (r *reduction) load() {
	s := r.s
	s.phase = loading
	s.callStartedAt = r.now
	have := make(map[string]bool, len(s.head.Segments))
	for _, g := range s.head.Segments {
		have[g.Name] = true
	}
	r.emit(Load{KnownSegments: have})
}

// decideWaiting decides the waiting operations on the current state, until the next commit is full. It reads the head
// again if the current state is too old for one of them.
func (r *reduction) decideWaiting() {
	s := r.s
	stale := false
	kept := s.ops[:0]
	for _, o := range s.ops {
		if o.stage != waiting || s.nextChangeBytes > maxBatchBytes {
			kept = append(kept, o)
			continue
		}
		d := r.decide(o)
		if !d.final && d.record == nil && r.now.Sub(s.syncedAt) > MaxStaleness {
			stale = true
			kept = append(kept, o)
			continue
		}
		if r.needsWrite(o, d) {
			kept = append(kept, o)
			continue
		}
		r.emit(r.newReply(o, d))
	}
	clear(s.ops[len(kept):])
	s.ops = kept
	if stale && s.phase == ready {
		r.reload()
	}
}

// decide decides o on the durable records and the changes that are not durable yet.
func (r *reduction) decide(o *op) decision {
	s := r.s
	f := decisionInput{now: r.now.UnixMilli(), horizon: r.horizon(), untimedFull: s.untimedCount >= s.config.MaxUntimed, restoredAt: s.restoredAt}
	if o.claim == nil {
		f.current = s.lookup(o.settlement.Key)
		return decideSettlement(o.settlement, f)
	}
	f.current = s.lookup(o.claim.Key)
	return decideClaim(*o.claim, f)
}

// horizon returns the time before which keys are refused, in Unix milliseconds. It is the head's horizon. If nothing was
// swept for longer than a sweep period, it is one by this process's clock instead: the retention and a sweep period ago.
func (r *reduction) horizon() int64 {
	c := r.s.config
	own := r.now.Add(-c.Retention - c.Retention/sweepsPerRetention).UnixMilli()
	return max(r.s.head.Horizon, own)
}

// needsWrite reports whether the verdict on o depends on a write that is not durable yet. It then assigns o to that
// write: the next commit, or the one in flight.
func (r *reduction) needsWrite(o *op, d decision) bool {
	s := r.s
	if d.record != nil {
		s.nextChanges[d.record.Key] = *d.record
		s.nextChangeBytes += d.record.size()
		o.stage = batched
		return true
	}
	if d.verdict != Granted && d.verdict != Settled {
		return false
	}
	if _, pending := s.nextChanges[o.key()]; pending {
		o.stage = batched
		return true
	}
	if _, pending := s.sentChanges[o.key()]; pending {
		o.stage = inFlight
		return true
	}
	return false
}

func (o *op) key() Key {
	if o.claim != nil {
		return o.claim.Key
	}
	return o.settlement.Key
}

// lookup returns the record of a key, including changes that are not durable yet, or nil if there is none.
func (s *State) lookup(k Key) *Record {
	for _, m := range []map[Key]Record{s.nextChanges, s.sentChanges, s.durable} {
		if r, ok := m[k]; ok {
			return &r
		}
	}
	return nil
}

// wakeForDeadlines requests a wake-up at the earliest deadline of the waiting operations, and at the end of the
// platform's backoff if the head must be read then.
func (r *reduction) wakeForDeadlines() {
	var first time.Time
	for _, o := range r.s.ops {
		if o.stage == waiting && (first.IsZero() || o.deadline.Before(first)) {
			first = o.deadline
		}
	}
	if !first.IsZero() {
		r.wake(first)
	}
	if r.s.phase == notLoaded && len(r.s.ops) > 0 && r.now.Before(r.s.platformDownUntil) {
		r.wake(r.s.platformDownUntil)
	}
}

// wake requests a wake-up at the given time, unless one at that time or earlier is pending.
func (r *reduction) wake(at time.Time) {
	s := r.s
	if !s.wakeAt.IsZero() && !at.Before(s.wakeAt) {
		return
	}
	s.wakeAt = at
	r.emit(Wake{At: at})
}
