// Package ledger records the outcome of each request of a run as its caller saw it.
package ledger

import (
	"sync"
	"time"
)

// Kind is the kind of a request.
type Kind string

// Kinds of requests.
const (
	Lookup     Kind = "lookup"     // GET to a plain service
	Submission Kind = "submission" // POST to a plain service, with an idempotency key
	Generation Kind = "generation" // model request
	// Poison is a model request that crashes each engine that runs it.
	Poison Kind = "poison"
)

// Outcome is the result of a request for its caller.
type Outcome string

// Outcomes of a request.
const (
	Complete  Outcome = "complete" // a complete and correct response
	Refused   Outcome = "refused"  // a final response that refuses the request
	Lost      Outcome = "lost"     // no final response: a transport error or a truncated response
	Incorrect Outcome = "garbled"  // a complete response with incorrect content
)

// What a refusal says about the execution of the request.
const (
	NotRun  = "not run"
	DidRun  = "ran"
	Unknown = "unknown"
)

// Record describes one request as its caller saw it.
type Record struct {
	Kind      Kind
	RequestID string // from the response, or else as the caller sent it
	Key       string // idempotency key; empty when there is none
	Start     time.Time
	Took      time.Duration // until the response was complete or failed
	Outcome   Outcome
	Status    int    // HTTP status; 0 without a response
	Code      int    // result code of the refusal; 0 if the response has none
	Ran       string // what a refusal says about execution: not run, ran or unknown
	Note      string // why the request was refused or lost, or what was incorrect
	Entry     int    // index of the entry that it was sent to
	CleanEnd  bool   // the response ended without a transport error, but was truncated
	Crossed   bool   // the response belongs to another request
}

// Tally counts the records by outcome.
type Tally struct {
	Sent, Complete, Refused, Lost, Incorrect int
}

// Book is the ledger of one run; it is safe for concurrent use.
type Book struct {
	mutex   sync.Mutex
	records []Record
	tally   Tally
}

// Add appends a record and counts its outcome.
func (b *Book) Add(record Record) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.records = append(b.records, record)
	b.tally.Sent++
	switch record.Outcome {
	case Complete:
		b.tally.Complete++
	case Refused:
		b.tally.Refused++
	case Lost:
		b.tally.Lost++
	case Incorrect:
		b.tally.Incorrect++
	}
}

// Tally returns the counts so far.
func (b *Book) Tally() Tally {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.tally
}

// Records returns a copy of all records so far.
func (b *Book) Records() []Record {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return append([]Record(nil), b.records...)
}
