package claim

import "samphireweir.example/samphireweir/internal/code"

// Refusal is the response to a caller whose claim is not granted.
type Refusal struct {
	Code code.Code
	// Ran states whether the key's earlier call ran. The refused request itself is never run.
	Ran code.Ran
}

// refusals maps every verdict that refuses a call to its refusal. The refusal of Replayed is used only if the stored
// response can't be replayed.
var refusals = map[Verdict]Refusal{
	Replayed:       {code.AlreadyRun, code.DidRun},
	AlreadyRan:     {code.AlreadyRun, code.DidRun},
	OutcomeUnknown: {code.OutcomeUnknown, code.Unknown},
	StillRunning:   {code.StillRunning, code.Unknown},
	KeyTooOld:      {code.KeyTooOld, code.Unknown},
	KeyAhead:       {code.KeyInFuture, code.NotRun},
	KeyReused:      {code.KeyReused, code.NotRun},
	NotRecorded:    {code.ClaimUnavailable, code.NotRun},
	MaybeRecorded:  {code.ClaimUnavailable, code.NotRun},
}

// Refusal returns the response to the caller; ok is false for a verdict that is not a refusal.
func (v Verdict) Refusal() (r Refusal, ok bool) {
	r, ok = refusals[v]
	return r, ok
}

// SettlementStatus returns the status to settle a granted claim with. sent reports whether the call was ever sent, and complete
// whether its complete response arrived. ran is what a refusal of the call says; it is empty if there was none.
func SettlementStatus(sent, complete bool, ran code.Ran) Status {
	switch {
	case complete || ran == code.DidRun:
		return Ran
	case !sent || ran == code.NotRun:
		return Released
	}
	return Unknown
}
