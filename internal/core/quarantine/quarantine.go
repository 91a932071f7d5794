// Package quarantine detects requests that crash the upstreams that run them, and quarantines them. A request is identified by its
// fingerprint, a hash of its path, its caller and its body, so that a repeated request is recognized under any request ID.
//
// Entries observe which requests were in flight on an upstream when it crashed, and report the crashes to all processes (see Report).
// Crashes are therefore counted over the whole fleet, and each upstream's crash counts once. A request that crashed CrashThreshold
// upstreams, without a complete answer in between, is quarantined for QuarantineDuration at every process that receives a report of it. A complete
// answer does not lift a quarantine; otherwise processes that receive answers and crashes in a different order would disagree.
//
// The package is pure: the current time is a parameter of each call.
package quarantine

import (
	"time"
)

const (
	// CrashThreshold is the number of upstreams that must crash under a request, without a complete answer in between, before the request
	// is quarantined. An innocent request that runs beside a crashing one can be in flight at two of its crashes.
	CrashThreshold = 3
	// QuarantineDuration is the duration of a quarantine. Upstreams are back a few seconds after a crash, and callers give up after a few attempts.
	QuarantineDuration = 30 * time.Second
	// CrashRetention is how long a crash counts towards CrashThreshold.
	CrashRetention = 20 * time.Second
	// minReported is the minimum remaining time of a crash or quarantine that is sent to or accepted from another process. It is longer
	// than a datagram takes to arrive, so that two processes don't renew each other's quarantine forever, each time a little longer.
	minReported = time.Second
	// maxRecords bounds the number of requests that are tracked. A record with two crashes takes about 440 bytes.
	maxRecords = 4096
)

// record is what is known of one request.
type record struct {
	// crashes maps each upstream instance that crashed under the request to the time of the crash. An upstream that restarted and crashed
	// again counts twice.
	crashes map[uint32]time.Time
	// lastUpdate is when the last crash or quarantine was recorded.
	lastUpdate time.Time
	// answered is when the request was last answered completely after a crash. Crashes before it don't count.
	answered time.Time
	// quarantinedUntil is when the quarantine ends.
	quarantinedUntil time.Time
}

// Table holds what a process knows of requests that crashed upstreams. It is not safe for concurrent use.
type Table struct {
	records map[uint64]*record
	// round counts the calls of Reports and selects the reports that the next call returns; see rotate.
	round int
	// changes counts the updates of the table; see Changes.
	changes uint64
	dropped int
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: map[uint64]*record{}} }

// Remaining returns the remaining quarantine of a request; 0 when it is not quarantined.
func (t *Table) Remaining(now time.Time, fingerprint uint64) time.Duration {
	r := t.records[fingerprint]
	if r == nil {
		return 0
	}
	return max(0, r.quarantinedUntil.Sub(now))
}

// RecentCrashes returns the upstream instances that crashed under a request within CrashRetention and since its last complete answer; nil for
// none.
func (t *Table) RecentCrashes(now time.Time, fingerprint uint64) []uint32 {
	r := t.records[fingerprint]
	if r == nil {
		return nil
	}
	var list []uint32
	for upstream, at := range r.crashes {
		if now.Sub(at) <= CrashRetention {
			list = append(list, upstream)
		}
	}
	return list
}

// Crashed records that an upstream instance was found crashed under a request at the given time. It reports whether this crash starts a
// quarantine.
func (t *Table) Crashed(now time.Time, fingerprint uint64, upstream uint32, at time.Time) bool {
	r := t.record(fingerprint)
	if r == nil || !at.After(r.answered) {
		return false
	}
	if _, known := r.crashes[upstream]; known {
		return false
	}
	r.crashes[upstream] = at
	r.lastUpdate = now
	t.changes++
	if now.Before(r.quarantinedUntil) || len(t.RecentCrashes(now, fingerprint)) < CrashThreshold {
		return false
	}
	r.quarantinedUntil = now.Add(QuarantineDuration)
	return true
}

// record returns the record of a request and creates it if needed; nil when the table is full.
func (t *Table) record(fingerprint uint64) *record {
	r := t.records[fingerprint]
	if r != nil {
		return r
	}
	if len(t.records) >= maxRecords {
		t.dropped++
		return nil
	}
	r = &record{crashes: map[uint32]time.Time{}}
	t.records[fingerprint] = r
	return r
}

// Quarantine applies a quarantine that another process reported with its remaining time. It reports whether the request was not quarantined
// before.
func (t *Table) Quarantine(now time.Time, fingerprint uint64, remaining time.Duration) bool {
	if remaining < minReported || t.Remaining(now, fingerprint) > 0 {
		return false
	}
	r := t.record(fingerprint)
	if r == nil {
		return false
	}
	r.lastUpdate, r.quarantinedUntil = now, now.Add(min(remaining, QuarantineDuration))
	t.changes++
	return true
}

// Answered records that an upstream answered a request completely. The request did not cause the crashes before that.
func (t *Table) Answered(now time.Time, fingerprint uint64) {
	if r := t.records[fingerprint]; r != nil {
		r.answered = now
		clear(r.crashes)
	}
}

// Expire removes the records whose last update is older than CrashRetention and whose quarantine has ended.
func (t *Table) Expire(now time.Time) {
	for fingerprint, r := range t.records {
		if now.Sub(r.lastUpdate) > CrashRetention && !now.Before(r.quarantinedUntil) {
			delete(t.records, fingerprint)
		}
	}
}

// Empty reports whether the table has no records.
func (t *Table) Empty() bool { return len(t.records) == 0 }

// Changes returns a counter that increases with each recorded crash or quarantine. A peer that received reports at one value needs none
// until the value changes.
func (t *Table) Changes() uint64 { return t.changes }

// TakeDropped returns how many crashes and quarantines were not recorded since the last call because maxRecords requests are tracked
// already.
func (t *Table) TakeDropped() int {
	n := t.dropped
	t.dropped = 0
	return n
}
