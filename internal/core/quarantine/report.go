package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxQuarantined, maxRepeated, maxSingle and maxAnswered bound how many reports of each kind are sent at once: those of quarantined
	// requests, of requests with several crashes, of requests with one, and of requests that were answered since their crashes. Together
	// they take less than 2 kB of the 4 kB that a datagram may have. Each kind has its own bound, so that none displaces the others. There
	// may be many quarantined requests, even of a single client account. Each crash yields a dozen or more requests with a single crash,
	// nearly all of which are innocent.
	maxQuarantined = 16
	maxRepeated    = 6
	maxSingle      = 6
	maxAnswered    = 6
	// singleCrashAge is how long a request with a single crash, or an answer to one with crashes, is reported: three times at one report a
	// second.
	singleCrashAge = 3 * time.Second
)

// Report is what one process reports to another about one request.
type Report struct {
	Fingerprint uint64 `json:"f"`
	// RemainingMS is the remaining quarantine in milliseconds; 0 when the request is not quarantined.
	RemainingMS int64 `json:"h,omitempty"`
	// Crashes lists the upstream instances that crashed under the request; empty while the request is quarantined.
	Crashes []Crash `json:"c,omitempty"`
	// AnsweredMS is the time since the request was answered completely, in milliseconds, at least 1; 0 if it was not answered lately.
	AnsweredMS int64 `json:"n,omitempty"`
}

// Crash is the crash of an upstream instance under a request.
type Crash struct {
	// Upstream is the hash of the upstream instance; all processes compute the same one.
	Upstream uint32 `json:"u"`
	// AgeMS is the time since the crash was found, in milliseconds.
	AgeMS int64 `json:"a"`
}

// Merge applies another process's reports and returns the requests whose quarantine starts with them.
func (t *Table) Merge(now time.Time, reports []Report) []uint64 {
	var quarantined []uint64
	for _, report := range reports {
		if t.merge(now, report) {
			quarantined = append(quarantined, report.Fingerprint)
		}
	}
	return quarantined
}

func (t *Table) merge(now time.Time, report Report) bool {
	if report.RemainingMS > 0 {
		return t.Quarantine(now, report.Fingerprint, time.Duration(report.RemainingMS)*time.Millisecond)
	}
	if r := t.records[report.Fingerprint]; r != nil && report.AnsweredMS > 0 {
		t.answeredAt(r, now.Add(-time.Duration(report.AnsweredMS)*time.Millisecond))
	}
	quarantined := false
	for _, c := range report.Crashes {
		age := time.Duration(c.AgeMS) * time.Millisecond
		if age < 0 || age > CrashRetention-minReported {
			continue
		}
		quarantined = t.Crashed(now, report.Fingerprint, c.Upstream, now.Add(-age)) || quarantined
	}
	return quarantined
}

// Reports returns the reports to send to other processes: the quarantined requests and those with recent crashes. Reports that exceed the
// bound of their kind are returned by later calls, in rotation.
func (t *Table) Reports(now time.Time) []Report {
	var quarantined, repeated, single, answered []Report
	for fingerprint, r := range t.records {
		if remaining := r.quarantinedUntil.Sub(now); remaining >= minReported {
			quarantined = append(quarantined, Report{Fingerprint: fingerprint, RemainingMS: remaining.Milliseconds()})
			continue
		}
		switch crashes := r.reportedCrashes(now); len(crashes) {
		case 0:
			if age := now.Sub(r.answered); age <= singleCrashAge {
				answered = append(answered, Report{Fingerprint: fingerprint, AnsweredMS: max(1, age.Milliseconds())})
			}
		case 1:
			single = append(single, Report{Fingerprint: fingerprint, Crashes: crashes})
		default:
			repeated = append(repeated, Report{Fingerprint: fingerprint, Crashes: crashes})
		}
	}
	list := append(t.rotate(quarantined, maxQuarantined), t.rotate(repeated, maxRepeated)...)
	list = append(list, t.rotate(single, maxSingle)...)
	list = append(list, t.rotate(answered, maxAnswered)...)
	t.round++
	return list
}

// reportedCrashes returns the crashes under a request to report: all that other processes would accept. A single crash is left out after
// singleCrashAge.
func (r *record) reportedCrashes(now time.Time) []Crash {
	var list []Crash
	for instanceHash, at := range r.crashes {
		if age := now.Sub(at); age <= CrashRetention-minReported {
			list = append(list, Crash{Upstream: instanceHash, AgeMS: age.Milliseconds()})
		}
	}
	if len(list) == 1 && list[0].AgeMS > singleCrashAge.Milliseconds() {
		return nil
	}
	slices.SortFunc(list, func(a, b Crash) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return list
}

// rotate returns at most n of the reports; when there are more, each round returns the next n.
func (t *Table) rotate(all []Report, n int) []Report {
	if len(all) <= n {
		return all
	}
	slices.SortFunc(all, func(a, b Report) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	start := t.round * n % len(all)
	return append(slices.Clone(all[start:]), all[:start]...)[:n]
}
