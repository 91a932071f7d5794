package claim

// decision is the result of deciding a claim or settlement, before anything is written.
type decision struct {
	verdict Verdict
	// record is the new state of the key, which must be written before the verdict is returned; nil if nothing changes.
	record *Record
	// current is the current record of the key; it is set for a replay only.
	current *Record
	// final is set if a newer read of the head could not lead to a better verdict, for example a grant.
	final bool
}

// decisionInput is what a decision depends on besides the claim or settlement.
type decisionInput struct {
	// now is in Unix milliseconds.
	now int64
	// horizon is the time before which keys are refused, in Unix milliseconds.
	horizon int64
	// current is the record of the key; nil if there is none.
	current *Record
	// restoredAt is when the store was last restored from a copy, in Unix milliseconds; 0 if it never was.
	restoredAt int64
	// untimedFull is set if there are already Config.MaxUntimed records of untimed keys.
	untimedFull bool
}

// noFingerprint is the fingerprint of a record that was written by a settlement without its claim, because this
// process may not have read the claim yet.
const noFingerprint = 0

// decideClaim decides a claim.
func decideClaim(c Claim, f decisionInput) decision {
	if c.KeyTime != 0 && c.KeyTime < f.horizon {
		return decision{verdict: KeyTooOld, final: true}
	}
	if c.KeyTime > f.now+MaxKeyAhead.Milliseconds() {
		return decision{verdict: KeyAhead, final: true}
	}
	r := f.current
	switch {
	case r == nil && mayHaveLostRecord(c, f):
		return decision{verdict: OutcomeUnknown, final: true}
	case r == nil:
		return grant(c, f)
	case r.RequestID == c.RequestID:
		return decideOwnClaim(c, f)
	case r.Status == Released:
		return grant(c, f)
	case r.Fingerprint != noFingerprint && r.Fingerprint != c.Fingerprint:
		return decision{verdict: KeyReused, final: true}
	}
	return decideRepeat(r, f.now)
}

// mayHaveLostRecord reports whether a key without a record may have been claimed before the store was restored from a copy that lacks the
// claim. Callers resend a call for less than MinRetention, so an untimed key that comes later is a new one.
func mayHaveLostRecord(c Claim, f decisionInput) bool {
	if f.restoredAt == 0 {
		return false
	}
	if c.KeyTime == 0 {
		return f.now < f.restoredAt+MinRetention.Milliseconds()
	}
	return c.KeyTime < f.restoredAt+MaxRestoreSkew.Milliseconds()
}

// grant decides a claim of a free key.
func grant(c Claim, f decisionInput) decision {
	if c.KeyTime == 0 && f.untimedFull && f.current == nil {
		return decision{verdict: NotRecorded}
	}
	return decision{verdict: Granted, record: &Record{
		Key: c.Key, RequestID: c.RequestID, Status: Claimed, Fingerprint: c.Fingerprint,
		KeyTime: c.KeyTime, ClaimedAt: f.now, Deadline: f.now + c.RunTimeoutMS, Try: c.Try,
	}}
}

// decideOwnClaim decides a claim of a key that the same request holds, for example because the reply to its first
// claim was lost.
func decideOwnClaim(c Claim, f decisionInput) decision {
	r := f.current
	if r.Status == Claimed {
		return decision{verdict: Granted, final: true}
	}
	if r.Status == Released && c.Try > r.Try {
		return grant(c, f) // An earlier try was given up before it was written.
	}
	// The request has released the claim or has ended. This is a late duplicate, which must not permit a run.
	return decision{verdict: NotRecorded, final: true}
}

// decideRepeat decides a claim of a key that another request holds.
func decideRepeat(r *Record, now int64) decision {
	switch {
	case r.Status == Ran && (r.Answer != nil || r.AnswersName != ""):
		return decision{verdict: Replayed, current: r, final: true}
	case r.Status == Ran:
		return decision{verdict: AlreadyRan, final: true}
	case r.Status == Claimed && now < r.Deadline:
		return decision{verdict: StillRunning}
	}
	return decision{verdict: OutcomeUnknown}
}

// decideSettlement decides a settlement.
func decideSettlement(t Settlement, f decisionInput) decision {
	done := decision{verdict: Settled, final: true}
	if t.KeyTime != 0 && t.KeyTime < f.horizon {
		return done
	}
	r := f.current
	if r == nil {
		// The claim may still be on its way. The record prevents a grant when it arrives.
		return decision{verdict: Settled, record: applySettlement(Record{Key: t.Key, RequestID: t.RequestID, KeyTime: t.KeyTime, ClaimedAt: f.now}, t)}
	}
	if r.RequestID != t.RequestID {
		return done
	}
	if r.Status == Claimed || (r.Status == Unknown && t.Status == Ran) {
		return decision{verdict: Settled, record: applySettlement(*r, t)}
	}
	if r.Status == Released && t.Status == Released && r.Try < MaxTries {
		return decision{verdict: Settled, record: applySettlement(*r, t)} // No later try may be granted.
	}
	return done
}

// applySettlement returns r with the outcome of t.
func applySettlement(r Record, t Settlement) *Record {
	r.Status = t.Status
	r.Try = MaxTries
	r.Answer = nil
	if t.Status == Ran {
		r.Answer = t.Answer
	}
	return &r
}
