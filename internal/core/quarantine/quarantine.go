// Package quarantine counts, on the users' platform, the crashes of upstreams that requests may have caused, and quarantines requests
// with several crashes. A request is identified by its fingerprint, so that a repeated request is recognized under any request ID. The
// fingerprint is a hash of the request's method, host, path with query, API key (its caller) and body; package gateway computes it.
//
// Entries observe which requests were in flight on an upstream when it crashed, and report the crashes to all processes (see Report).
// Crashes are therefore counted over the whole fleet, and each upstream's crash counts once. A request that crashed CrashThreshold
// upstreams, without a complete answer in between, is quarantined for QuarantineDuration at every process that receives a report of it.
// A complete answer does not lift a quarantine; otherwise processes that receive answers and crashes in a different order would
// disagree. Processes also report when a request with crashes was last answered, so that crashes before it count nowhere.
//
// This package decides on the quarantine and keeps it for its first 30 seconds, in which copies that are on their way may still crash
// upstreams. Package forward hands it on to package attribution, which keeps it while copies come.
//
// Package suspect does the same on the first product's path, and also starts from requests that were in flight at a crash. There, one
// crash makes a request a suspect, which then runs alone on an upstream. If that upstream crashes too, the request is quarantined for
// 30 minutes. Here, the third crash starts a quarantine of 30 seconds.
//
// The package is pure: the current time is a parameter of each call.
package quarantine

import (
	"maps"
	"time"
)

const (
	// CrashThreshold is the number of upstreams that must crash under a request, without a complete answer in between, before the request
	// is quarantined. An innocent request that runs at the same time as one that crashes upstreams can be in flight at two of the
	// crashes.
	CrashThreshold = 3
	// QuarantineDuration is the duration of a quarantine. Upstreams are back a few seconds after a crash, and callers give up after a
	// few attempts.
	QuarantineDuration = 30 * time.Second
	// CrashRetention is how long a crash counts towards CrashThreshold: a request may come seldom. It is as long as package attribution
	// keeps crashes and quarantines.
	CrashRetention = 10 * time.Minute
	// minReported is the minimum remaining time of a crash or quarantine that is sent to or accepted from another process. It is longer
	// than a datagram takes to arrive, so that two processes don't renew each other's quarantine forever, each time a little longer.
	minReported = time.Second
	// maxRecords bounds the number of requests that are tracked. A record with two crashes takes about 440 bytes. Beyond it, the request that
	// is least likely to crash upstreams is forgotten; see forgetOne.
	maxRecords = 4096
)

// record is what is known of one request.
type record struct {
	// crashes maps the hash of each upstream instance that crashed under the request to the time of the crash. An upstream that
	// restarted and crashed again counts twice, since it has two instances.
	crashes map[uint32]time.Time
	// lastUpdate is when the last crash or quarantine was recorded.
	lastUpdate time.Time
	// answered is when the request was last answered completely after a crash. Crashes before it don't count.
	answered time.Time
	// quarantinedAt is when the last quarantine began, and quarantinedUntil when it ends. The crashes that led to it don't count for
	// another one.
	quarantinedAt, quarantinedUntil time.Time
}

// quarantine starts a quarantine.
func (r *record) quarantine(now time.Time, d time.Duration) {
	r.quarantinedAt, r.quarantinedUntil = now, now.Add(d)
	clear(r.crashes)
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

// RecentCrashes returns the hashes of the upstream instances that crashed under a request within CrashRetention and since its last
// complete answer; nil for none.
func (t *Table) RecentCrashes(now time.Time, fingerprint uint64) []uint32 {
	r := t.records[fingerprint]
	if r == nil {
		return nil
	}
	var list []uint32
	for instanceHash, at := range r.crashes {
		if now.Sub(at) <= CrashRetention {
			list = append(list, instanceHash)
		}
	}
	return list
}

// Crashed records that an upstream instance, identified by its hash, was found crashed under a request at the given time. It reports
// whether this crash starts a quarantine.
func (t *Table) Crashed(now time.Time, fingerprint uint64, instanceHash uint32, at time.Time) bool {
	r := t.record(now, fingerprint)
	if r == nil || !at.After(r.answered) || !at.After(r.quarantinedAt) {
		return false
	}
	if _, known := r.crashes[instanceHash]; known {
		return false
	}
	r.crashes[instanceHash] = at
	r.lastUpdate = now
	t.changes++
	if now.Before(r.quarantinedUntil) || len(t.RecentCrashes(now, fingerprint)) < CrashThreshold {
		return false
	}
	r.quarantine(now, QuarantineDuration)
	return true
}

// record returns the record of a request and creates it if needed. When the table is full, another request is forgotten; the result is nil
// if each of them is quarantined.
func (t *Table) record(now time.Time, fingerprint uint64) *record {
	r := t.records[fingerprint]
	if r != nil {
		return r
	}
	if len(t.records) >= maxRecords {
		t.dropped++
		if !t.forgetOne(now) {
			return nil
		}
	}
	r = &record{crashes: map[uint32]time.Time{}}
	t.records[fingerprint] = r
	return r
}

// forgetOne removes the request with the fewest crashes that is not quarantined; of several, the one whose last update is oldest. It
// reports whether there was one.
func (t *Table) forgetOne(now time.Time) bool {
	var worst uint64
	found := false
	for fingerprint, r := range t.records {
		if now.Before(r.quarantinedUntil) {
			continue
		}
		if !found || r.lessLikely(t.records[worst]) {
			worst, found = fingerprint, true
		}
	}
	if found {
		delete(t.records, worst)
	}
	return found
}

// lessLikely reports whether the request of this record is less likely to crash upstreams than that of another one.
func (r *record) lessLikely(other *record) bool {
	if len(r.crashes) != len(other.crashes) {
		return len(r.crashes) < len(other.crashes)
	}
	return r.lastUpdate.Before(other.lastUpdate)
}

// Quarantine applies a quarantine that another process reported with its remaining time. It reports whether the quarantine is new here
// and was recorded.
func (t *Table) Quarantine(now time.Time, fingerprint uint64, remaining time.Duration) bool {
	if remaining < minReported || t.Remaining(now, fingerprint) > 0 {
		return false
	}
	r := t.record(now, fingerprint)
	if r == nil {
		return false
	}
	r.lastUpdate = now
	r.quarantine(now, min(remaining, QuarantineDuration))
	t.changes++
	return true
}

// Release ends the quarantine of a request, which was found not to crash upstreams.
func (t *Table) Release(fingerprint uint64) {
	if r := t.records[fingerprint]; r != nil {
		r.quarantinedUntil = time.Time{}
		clear(r.crashes)
	}
}

// Answered records that an upstream answered a request completely. The crashes before that no longer count, since the request is taken
// not to have caused them.
func (t *Table) Answered(now time.Time, fingerprint uint64) {
	if r := t.records[fingerprint]; r != nil {
		t.answeredAt(r, now)
	}
}

// answeredAt records that a request was answered completely at a time.
func (t *Table) answeredAt(r *record, at time.Time) {
	if !at.After(r.answered) {
		return
	}
	if len(r.crashes) > 0 {
		t.changes++
	}
	r.answered = at
	maps.DeleteFunc(r.crashes, func(_ uint32, crashedAt time.Time) bool { return !crashedAt.After(at) })
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
