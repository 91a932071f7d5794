// Package claim is the reducer for calls that must run at most once. A caller's idempotency key is claimed before
// the call is sent: its record is written to the platform's object API, on condition that the object's version has not
// changed. The call may be sent only after that write is known to have taken effect.
//
// Keys are hashed to a fixed number of partitions. A partition consists of one mutable object, the head, which holds
// the newest records, and of immutable objects, the segments, which hold the older ones. Every decision is one
// conditional write of the head. If two processes both act as a partition's owner, only one of their writes
// succeeds; the other process reads the head again and decides its claims again. Ownership therefore affects
// latency, not correctness.
//
// A State handles one partition. Like every reducer of the core it is pure: see package step. Its shell is package claims
// (internal/claims), which carries out the effects: it calls the platform and forwards claims between processes.
package claim

import (
	"net/http"
	"time"
)

// Status is the state of the call that was made with a key.
type Status int

// The statuses of a record, in the order of their transitions. Their numbers are part of the stored format.
const (
	// Claimed: the call may be running.
	Claimed Status = iota + 1
	// Unknown: the call was sent and its outcome is not known.
	Unknown
	// Ran: the call ran.
	Ran
	// Released: the request that held the key certainly did not run; another request may claim the key.
	Released
)

// Record is the stored state of one key.
type Record struct {
	Key Key `json:"k"`
	// RequestID is the id of the request that holds the key. It is dropped from memory once the call ran, to save memory.
	RequestID string `json:"r"`
	Status    Status `json:"s"`
	// Fingerprint identifies the request's content, see the function Fingerprint. It is 0 if the record was written
	// for a settlement by a process that had not read the claim.
	Fingerprint uint64 `json:"f,omitempty"`
	// KeyTime is the timestamp in the key, in Unix milliseconds; 0 for an untimed key, which contains none.
	KeyTime int64 `json:"t,omitempty"`
	// ClaimedAt is when the claim was made, in Unix milliseconds, by the clock of the owner.
	ClaimedAt int64 `json:"m"`
	// Deadline is the deadline of the call, in Unix milliseconds.
	Deadline int64 `json:"u,omitempty"`
	// Try is the latest try that the record is of, see Claim.Try. It is MaxTries once the request has ended.
	Try int `json:"y,omitempty"`
	// Answer is the stored response while the record is in the head.
	Answer *StoredResponse `json:"a,omitempty"`
	// AnswersName names the AnswerSegment object that holds the stored response of a sealed record.
	AnswersName string `json:"i,omitempty"`
}

// StoredResponse is an upstream's response, stored to be replayed when the caller repeats its request.
type StoredResponse struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// Claim is a request for permission to send the call of a key.
type Claim struct {
	Key         Key    `json:"key"`
	RequestID   string `json:"request"`
	Fingerprint uint64 `json:"fingerprint"`
	KeyTime     int64  `json:"key_time,omitempty"`
	// RunTimeoutMS is the longest time that the call may take, in milliseconds.
	RunTimeoutMS int64 `json:"run_for_ms"`
	// Try is the number of earlier tries of this request to record the claim.
	Try int `json:"try,omitempty"`
}

// Settlement reports how the call of a claimed key ended.
type Settlement struct {
	Key       Key    `json:"key"`
	RequestID string `json:"request"`
	KeyTime   int64  `json:"key_time,omitempty"`
	// Status is Unknown, Ran or Released.
	Status Status          `json:"status"`
	Answer *StoredResponse `json:"answer,omitempty"`
}

// Verdict is the result of a Claim or a Settlement.
type Verdict int

// The verdicts. Their numbers are part of the protocol between processes.
const (
	// Granted: the claim is recorded; the call may be sent once.
	Granted Verdict = iota + 1
	// Settled: the settlement is recorded, or has no effect.
	Settled
	// Replayed: the call ran and its response is stored.
	Replayed
	// AlreadyRan: the call ran and its response is not stored.
	AlreadyRan
	// OutcomeUnknown: the call may have run.
	OutcomeUnknown
	// StillRunning: the call may be running now.
	StillRunning
	// KeyTooOld: the key's time is before the horizon, so its record may have been swept.
	KeyTooOld
	// KeyAhead: the key's time is more than MaxKeyAhead in the future.
	KeyAhead
	// KeyReused: the key was used before with another request.
	KeyReused
	// NotRecorded and MaybeRecorded: the claim is not granted, because it could not be recorded in time, for example while the
	// platform is unavailable, or because its request has already ended. The call must not be sent. The two differ in what the
	// platform holds. With NotRecorded, certainly no open claim of this request is recorded, so there is nothing to undo.
	// With MaybeRecorded, a write of the claim took effect or may still do so. The asking process must then release the
	// claim; otherwise repeats of the key would be refused. For a settlement both mean that it is not known to be recorded,
	// so it is sent again.
	NotRecorded
	// MaybeRecorded: see NotRecorded.
	MaybeRecorded
)

// Config sets the limits of a partition. Zero fields take the defaults.
type Config struct {
	// Retention is how long the record of a timed key is kept after the key's timestamp.
	Retention time.Duration
	// UntimedRetention is how long the record of an untimed key is kept after its claim.
	UntimedRetention time.Duration
	// CommitInterval is the min time between two commits of a partition.
	CommitInterval time.Duration
	// SettleDelay is the min time between two commits when only settlements are pending, so that a claim that
	// arrives meanwhile shares the commit.
	SettleDelay time.Duration
	// SealBytes is the size of a head, in bytes, above which its records move to segments.
	SealBytes int
	// MaxUntimed is the max number of records of untimed keys; claims of further untimed keys are refused.
	MaxUntimed int
	// MaxPending is the max number of claims and settlements of one partition that wait in one process.
	MaxPending int
}

// The defaults of Config, and other limits.
const (
	DefaultRetention        = time.Hour
	DefaultUntimedRetention = 6 * time.Hour
	DefaultCommitInterval   = 100 * time.Millisecond
	DefaultSettleDelay      = 300 * time.Millisecond
	DefaultSealBytes        = 256 << 10
	DefaultMaxUntimed       = 200_000
	DefaultMaxPending       = 8192
	// MinRetention is the min retention. It is longer than the time in which callers resend plus the clock skew
	// between processes.
	MinRetention = time.Minute
	// MaxKeyAhead is how far in the future a key's time may be. It is more than the clock skew.
	MaxKeyAhead = 10 * time.Minute
	// MaxRestoreSkew is how far the clock of a caller that made a key may be ahead of that of the process that noticed a restore of the
	// store. Keys that are made so soon after a restore are refused.
	MaxRestoreSkew = 5 * time.Second
	// MaxResponseBodyBytes is the max body size of a stored response, in bytes. With headers and encoding, a stored response
	// takes at most twice that.
	MaxResponseBodyBytes = 16 << 10
	// MinRetryAfter is the min Retry-After delay of a claim that is not recorded and of a call that is still running.
	// It is also the min backoff after the platform refused a write or could not be read.
	MinRetryAfter = time.Second
	// SlowCallThreshold is how long a call to the platform may take before further claims are refused immediately.
	SlowCallThreshold = time.Second
	// MaxStaleness is how long after the last read or write of the head a record's status counts as current. After
	// that, the head must be read again before a verdict that is not final: another process may have written the head since,
	// and the verdict on what it wrote may be a better one, such as a grant.
	MaxStaleness = time.Second
	// sweepsPerRetention is the number of sweeps in one retention period.
	sweepsPerRetention = 8
	// estimatedRecordBytes is the approximate size of an encoded record without its response, in bytes.
	estimatedRecordBytes = 160
	// maxBatchBytes limits the changes that are collected for one commit, in bytes.
	maxBatchBytes = 384 << 10
)

// WithDefaults returns c with the defaults filled in.
func (c Config) WithDefaults() Config {
	setDefault(&c.Retention, DefaultRetention)
	setDefault(&c.UntimedRetention, DefaultUntimedRetention)
	setDefault(&c.CommitInterval, DefaultCommitInterval)
	setDefault(&c.SettleDelay, DefaultSettleDelay)
	setDefault(&c.SealBytes, DefaultSealBytes)
	setDefault(&c.MaxUntimed, DefaultMaxUntimed)
	setDefault(&c.MaxPending, DefaultMaxPending)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// size estimates the encoded size of r in a head, in bytes.
func (r Record) size() int {
	if r.Answer == nil {
		return estimatedRecordBytes
	}
	return estimatedRecordBytes + r.Answer.size()
}

// size estimates the encoded size of a, in bytes. The body is encoded as base64, which takes 4 bytes for 3.
func (a *StoredResponse) size() int {
	n := len(a.Body)*4/3 + estimatedRecordBytes
	for name, values := range a.Header {
		n += len(name) + 8
		for _, v := range values {
			n += len(v) + 4
		}
	}
	return n
}

// FitsLimit reports whether a is small enough to be stored.
func (a *StoredResponse) FitsLimit() bool { return a.size() <= 2*MaxResponseBodyBytes }
