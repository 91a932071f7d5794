package claim

import (
	"slices"
	"time"

	"samphireweir.example/samphireweir/internal/core/step"
)

// commitWhenDue writes the batch, or requests a wake-up at the time when it may be written.
func (r *reduction) commitWhenDue() {
	s := r.s
	if !slices.ContainsFunc(s.ops, func(o *op) bool { return o.stage == batched }) {
		return
	}
	due := r.commitDue()
	if r.now.Before(due) {
		r.wake(due)
		return
	}
	r.commit()
}

// commitDue returns the earliest time at which the batch may be written.
func (r *reduction) commitDue() time.Time {
	s := r.s
	wait := s.config.SettleDelay
	for _, o := range s.ops {
		if o.stage == batched && o.claim != nil {
			wait = s.config.CommitInterval
			break
		}
	}
	due := s.lastCommitAt.Add(wait)
	if due.Before(s.platformDownUntil) {
		return s.platformDownUntil
	}
	return due
}

// commit sends the batch as one conditional write of the head.
func (r *reduction) commit() {
	s := r.s
	r.releaseExpiredClaims()
	for _, o := range s.ops {
		if o.stage == batched {
			o.stage = inFlight
		}
	}
	s.sentChanges = s.nextChanges
	s.nextChanges = map[Key]Record{}
	s.nextChangeBytes = 0
	s.phase = committing
	s.callStartedAt = r.now
	s.lastCommitAt = r.now
	segments := r.buildHead()
	r.emit(Commit{Segments: segments, Head: s.nextHead, IfVersion: s.version})
}

// releaseExpiredClaims releases the claims of the batch whose deadline has passed. Their records stay in the batch,
// because other operations of the batch were decided on them.
func (r *reduction) releaseExpiredClaims() {
	s := r.s
	r.finishOps(func(o *op) (Verdict, bool) {
		if o.stage != batched || o.claim == nil || r.now.Before(o.deadline) {
			return 0, false
		}
		if c, ok := s.nextChanges[o.claim.Key]; ok && c.RequestID == o.claim.RequestID && c.Status == Claimed {
			c.Status, c.Try = Released, o.claim.Try
			s.nextChanges[o.claim.Key] = c
		}
		return o.expiredVerdict(), true
	})
}

// committed adds the changes of the commit to the durable records and replies to its operations.
func (r *reduction) committed(ev Committed) {
	s := r.s
	if s.phase != committing {
		return
	}
	for k, record := range s.sentChanges {
		s.putRecord(k, record)
	}
	for _, record := range s.sealedRecords {
		s.putRecord(record.Key, record)
	}
	swept := s.nextHead.Horizon != s.head.Horizon
	s.head, s.version = s.nextHead, ev.Version
	s.sentChanges, s.sealedRecords = nil, nil
	s.syncedAt = s.callStartedAt
	s.phase = ready
	// Reply before dropping expired records: the commit that grants a claim may raise the horizon above its key.
	r.finishCommitted()
	if swept {
		s.dropExpired(r.now)
	}
	if len(s.sweptObjects) > 0 {
		r.emit(Sweep{Names: s.sweptObjects})
		s.sweptObjects = nil
	}
}

// finishCommitted replies to the operations of the commit that took effect.
func (r *reduction) finishCommitted() {
	r.finishOps(func(o *op) (Verdict, bool) {
		switch {
		case o.stage != inFlight:
			return 0, false
		case o.claim == nil:
			return Settled, true
		case !r.s.claimRecorded(o.claim):
			// The claim's own release was in the same commit.
			return NotRecorded, true
		case !r.now.Before(o.deadline):
			// The claim is recorded, but the asking process no longer waits for it: the grant must not be used.
			o.timedOut = true
			return MaybeRecorded, true
		}
		return Granted, true
	})
}

// claimRecorded reports whether the claim is durably recorded.
func (s *State) claimRecorded(c *Claim) bool {
	record, ok := s.durable[c.Key]
	return ok && record.RequestID == c.RequestID && record.Status == Claimed
}

// putRecord adds a record to the durable records in memory. It drops the request id of a call that ran, to save
// memory: no decision needs it.
func (s *State) putRecord(k Key, record Record) {
	if record.Status == Ran {
		record.RequestID = ""
	}
	if _, known := s.durable[k]; !known && record.KeyTime == 0 {
		s.untimedCount++
	}
	s.durable[k] = record
}

// commitFailed handles a write that did not take effect or whose outcome is unknown.
func (r *reduction) commitFailed(ev step.Event) {
	if r.s.phase != committing {
		return
	}
	switch ev := ev.(type) {
	case Conflicted:
		r.reload()
	case Uncertain:
		r.commitUncertain()
	case Refused:
		r.commitRefused(ev)
	}
}

// reload reads the head again. All operations are decided again on the result.
func (r *reduction) reload() {
	r.resetBatch()
	r.load()
}

// commitUncertain reads the head before anything else, to find out whether the write took effect. Its claims may be
// recorded even if the head does not show them yet, since the write may still arrive.
func (r *reduction) commitUncertain() {
	for _, o := range r.s.ops {
		if o.stage == inFlight {
			o.maybeRecorded = true
		}
	}
	r.reload()
}

// resetBatch discards the changes that are not durable and returns all operations to the undecided stage.
func (r *reduction) resetBatch() {
	s := r.s
	s.sentChanges, s.sealedRecords, s.sweptObjects = nil, nil, nil
	s.nextChanges = map[Key]Record{}
	s.nextChangeBytes = 0
	for _, o := range s.ops {
		o.stage = waiting
	}
}

// commitRefused rejects all pending claims, because the platform is unavailable. Settlements wait until it may be
// called again.
func (r *reduction) commitRefused(ev Refused) {
	r.resetBatch()
	r.s.phase = ready
	r.backOff(ev.RetryAfter, ev.TimedOut)
}

// loadFailed rejects all pending claims. The head must be read before anything else can be decided.
func (r *reduction) loadFailed(ev LoadFailed) {
	if r.s.phase != loading {
		return
	}
	r.s.phase = notLoaded
	r.backOff(0, ev.TimedOut)
}

// backOff makes no calls to the platform for the given time, or MinRetryAfter if that is longer, and rejects all
// pending claims. timedOut is set if the platform gave no answer in time.
func (r *reduction) backOff(after time.Duration, timedOut bool) {
	r.s.platformDownUntil = r.now.Add(max(after, MinRetryAfter))
	r.finishOps(func(o *op) (Verdict, bool) {
		o.timedOut = timedOut
		return o.failureVerdict(), o.claim != nil
	})
}

// loaded adds the records of the head and the segments that the platform returned to the durable records.
func (r *reduction) loaded(ev Loaded) {
	s := r.s
	if s.phase != loading {
		return
	}
	for _, g := range ev.Head.Segments {
		for _, record := range ev.Segments[g.Name] {
			s.putRecord(record.Key, record)
		}
	}
	for _, record := range ev.Head.Records {
		s.putRecord(record.Key, record)
	}
	swept := ev.Head.Horizon != s.head.Horizon
	s.noteEra(ev, r.now)
	s.head, s.version = ev.Head, ev.Version
	s.syncedAt = s.callStartedAt
	s.phase = ready
	if swept {
		s.dropExpired(r.now)
	}
}

// noteEra records whether the store was restored from a copy since the head that was read was written.
func (s *State) noteEra(ev Loaded, now time.Time) {
	s.restoredAt = max(s.restoredAt, ev.Head.RestoredAt)
	if ev.Era > s.era && ev.Era > ev.Head.Era {
		s.restoredAt = max(s.restoredAt, now.UnixMilli())
	}
	s.era = max(s.era, ev.Era)
}
