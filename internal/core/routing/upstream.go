package routing

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// ReportMaxAge is how long a load report is used. An older one is no evidence of the present load.
	ReportMaxAge = 3 * time.Second
	// LeavingMaxAge is how long an upstream gets no requests after its agent reported that it is shutting down. It gets
	// requests sooner if a new instance of the agent at the same address advertises itself, or if its weights are loaded
	// again.
	LeavingMaxAge = 30 * time.Second
	// DefaultLimit is the concurrency limit of an upstream that has not reported one.
	DefaultLimit = 16
	// maxFirstByteUS is the longest first-byte time that is taken from a report, in microseconds. A longer one exceeds every deadline.
	maxFirstByteUS = int64(time.Hour / time.Microsecond)
)

// Report is an agent's load report on one of its upstreams. The agent sends it with its replies.
type Report struct {
	// Running is the number of requests of all entries that are in flight at the upstream.
	Running int `json:"running"`
	// Limit is how many requests the agent currently admits; 0 if unknown.
	Limit int `json:"limit,omitempty"`
	// Waiting is how many requests waited at the engine outside its batch, according to the engine's own report. That
	// report was made WaitingAgeMS milliseconds ago.
	Waiting      int   `json:"waiting,omitempty"`
	WaitingAgeMS int64 `json:"age_ms,omitempty"`
	// Leaving reports whether the agent is shutting down and accepts no new requests.
	Leaving bool `json:"leaving,omitempty"`
	// FirstByteUS is how long the upstream took for the first byte of this answer, in microseconds: from the end of the agent's write
	// of the request to the agent's read of the first byte. It is 0 if it is unknown, and only in the report with an answer's head.
	FirstByteUS int64 `json:"first_us,omitempty"`
	// WasSilent reports whether the upstream was silent as a whole while this answer's request waited for the first byte. The time to the first byte
	// then says nothing about its speed. It is only set in the report with an answer's head.
	WasSilent bool `json:"was_silent,omitempty"`
	// Cache holds the changes of the engine's prefix cache that the entry has not received yet; nil for none.
	Cache *CacheChanges `json:"cache,omitempty"`
}

// FirstByteTime returns the upstream's first-byte time as its agent measured it; 0 if it is unknown. The receiver may be nil.
func (r *Report) FirstByteTime() time.Duration {
	if r == nil || r.FirstByteUS <= 0 || r.FirstByteUS > maxFirstByteUS {
		return 0
	}
	return time.Duration(r.FirstByteUS) * time.Microsecond
}

// upstream is the state that this entry keeps of one upstream.
type upstream struct {
	candidate member.Candidate
	key       string
	hash      uint64
	// estimate is the estimated load during the current call of Pick, in requests.
	estimate int
	// inFlight counts this entry's requests in flight at the upstream.
	inFlight int
	// report is the latest load report, received at reportAt. sentSince and endedSince count this entry's requests since
	// then.
	report     Report
	reportAt   time.Time
	sentSince  int
	endedSince int
	// leavingUntil is the time until which the upstream gets no requests because its agent is shutting down.
	leavingUntil time.Time
	// cache identifies the last received change of the prefix cache.
	cache CachePosition
	// cacheEpoch is incremented when everything known of the cache becomes invalid.
	cacheEpoch int

	// latency is the mean first-byte time that this entry measured, and runTime the mean that the agent reported.
	latency, runTime latency

	health       health
	ejectedUntil time.Time
	// ejectedWaiting is set if the last ejection followed a wait for an answer that did not come.
	ejectedWaiting bool
	// ejections counts the ejections, less one for each return to service. It determines the next eject time.
	ejections int
	lastProbe time.Time
	// goodProbes counts consecutive probes that were answered fast enough.
	goodProbes int
	// failures counts consecutive answers with which the upstream reported that it can't serve.
	failures int
}

func newUpstream(c member.Candidate) *upstream {
	key := Key(c)
	return &upstream{candidate: c, key: key, hash: step.Score(key, "upstream")}
}

func (u *upstream) reported(now time.Time, r Report) {
	u.report = r
	u.reportAt = now
	u.sentSince = 0
	u.endedSince = 0
	if r.Leaving {
		u.leavingUntil = now.Add(LeavingMaxAge)
	}
}

// load estimates the number of requests in flight at the upstream: the latest report, plus the requests that this entry
// has sent since then, less those that ended. The changes by other entries since then are unknown. A report older than
// ReportMaxAge is not used.
func (u *upstream) load(now time.Time) int {
	if u.reportAt.IsZero() || now.Sub(u.reportAt) > ReportMaxAge {
		return u.inFlight
	}
	return max(u.inFlight, u.report.Running+u.sentSince-u.endedSince)
}

func (u *upstream) limit() int {
	if u.report.Limit > 0 {
		return u.report.Limit
	}
	return DefaultLimit
}
