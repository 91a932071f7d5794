package claim

import "time"

// ClaimRequested is the event that a claim arrived. Op is the shell's number for it.
type ClaimRequested struct {
	Op    uint64
	Claim Claim
	// Deadline is when the asking process stops waiting; the claim is not granted after it.
	Deadline time.Time
}

// SettlementRequested is the event that a settlement arrived. Op is the shell's number for it.
type SettlementRequested struct {
	Op         uint64
	Settlement Settlement
	// Deadline is when the asking process stops waiting.
	Deadline time.Time
}

// Loaded is the event that the head was read, with those of its segments that Load did not list as known.
type Loaded struct {
	// Version is 0 when there is no head yet.
	Version uint64
	// Era is the era of the platform's store in which the head was read; see package storerev.
	Era      int64
	Head     Head
	Segments map[string][]Record
}

// LoadFailed is the event that the head or a segment could not be read. TimedOut is set if no answer came in time, so that the platform
// refused nothing.
type LoadFailed struct{ TimedOut bool }

// Committed is the event that the head was written and now has Version.
type Committed struct{ Version uint64 }

// Conflicted is the event that the head had another version, so that nothing was written.
type Conflicted struct{}

// Refused is the event that the head was not written: the platform refused it, or a write before it failed. TimedOut is as for
// LoadFailed.
type Refused struct {
	RetryAfter time.Duration
	TimedOut   bool
}

// Uncertain is the event that the write may have taken effect, or may still take effect.
type Uncertain struct{}

// Woken is the event that the time of a Wake has come.
type Woken struct{}

// Event marks the type as an event.
func (ClaimRequested) Event() {}

// Event marks the type as an event.
func (SettlementRequested) Event() {}

// Event marks the type as an event.
func (Loaded) Event() {}

// Event marks the type as an event.
func (LoadFailed) Event() {}

// Event marks the type as an event.
func (Committed) Event() {}

// Event marks the type as an event.
func (Conflicted) Event() {}

// Event marks the type as an event.
func (Refused) Event() {}

// Event marks the type as an event.
func (Uncertain) Event() {}

// Event marks the type as an event.
func (Woken) Event() {}

// Load is the effect that reads the head and those of its segments that are not in KnownSegments. Its result is a
// Loaded or LoadFailed event.
type Load struct{ KnownSegments map[string]bool }

// Commit is the effect that writes the segments and then the head, on condition that the head's version is
// IfVersion. Its result is a Committed, Conflicted, Refused or Uncertain event.
type Commit struct {
	Segments  []NewSegment
	Head      Head
	IfVersion uint64
}

// Sweep is the effect that deletes the objects of segments that the head no longer names. It has no result event:
// an object that could not be deleted only takes up space.
type Sweep struct{ Names []string }

// Reply is the effect that returns the verdict on a claim or settlement.
type Reply struct {
	Op         uint64
	Verdict    Verdict
	RetryAfter time.Duration
	// TimedOut is set if the claim is not recorded because a time limit ended, and not because the platform or this process refused it.
	TimedOut bool
	// Answer is the stored response of a replay, unless AnswersName names the AnswerSegment to read it from.
	Answer      *StoredResponse
	AnswersName string
}

// Wake is the effect that requests a Woken event at the time At.
type Wake struct{ At time.Time }

// Effect marks the type as an effect.
func (Load) Effect() {}

// Effect marks the type as an effect.
func (Commit) Effect() {}

// Effect marks the type as an effect.
func (Sweep) Effect() {}

// Effect marks the type as an effect.
func (Reply) Effect() {}

// Effect marks the type as an effect.
func (Wake) Effect() {}
