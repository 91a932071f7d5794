package attribution

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"
)

const (
	// maxReportedCrashes, maxReportedSuspects and maxReportedQuarantines bound a report. Together they take less than 1.8 kB of the 4 kB
	// that a datagram may have. What exceeds them is reported later, in rotation.
	maxReportedCrashes     = 8
	maxReportedSuspects    = 56
	maxReportedQuarantines = 6
	// newestCrashes is the number of crashes that are in each report: the newest ones. Each has at most newestSuspects of its suspects in it,
	// so that older ones have room.
	newestCrashes  = 4
	newestSuspects = 10
)

const (
	// suspectBytes is the encoded size of a suspect: the part, two bytes with flags and the time from the sending of its attempt to the
	// crash in units of sentUnit, and two bytes with the hash of the request.
	suspectBytes         = 12
	clearedFlag   uint16 = 1 << 15
	provenFlag    uint16 = 1 << 14
	maxSentUnits         = provenFlag - 1
	sentUnit             = 10 * time.Millisecond
	maxGeneration uint32 = 1 << 16
)

// maxReportAge is the age up to which a crash is reported. It is less than crashRetention, since reports age on their way: a crash that one
// process has forgotten must not come back from another one.
const maxReportAge = crashRetention - 10*time.Second

// Report is what one process reports to another.
type Report struct {
	Crashes     []CrashReport      `json:"c,omitempty"`
	Quarantines []QuarantineReport `json:"q,omitempty"`
}

// CrashReport is a crash with its suspects.
type CrashReport struct {
	// Upstream is the hash of the upstream instance; all processes compute the same one.
	Upstream uint32 `json:"u"`
	// AgeMS is the time since the crash, in milliseconds.
	AgeMS int64 `json:"a"`
	// Suspects are the suspects, each in suspectBytes bytes.
	Suspects []byte `json:"s"`
}

// QuarantineReport is the quarantine of a part.
type QuarantineReport struct {
	Part       Part   `json:"p"`
	Generation uint32 `json:"g"`
	Lifted     bool   `json:"l,omitempty"`
	Owner      uint32 `json:"o"`
	// AgeMS is the time since the start, and SeenMS that since the last request with the part, in milliseconds.
	AgeMS   int64 `json:"a"`
	SeenMS  int64 `json:"n"`
	Trials  int   `json:"t,omitempty"`
	Crashes int   `json:"k"`
}

// Empty reports whether there is nothing to report.
func (r Report) Empty() bool { return len(r.Crashes) == 0 && len(r.Quarantines) == 0 }

// Report returns what to report to other processes. Repeated calls go through everything that is known.
func (t *Table) Report(now time.Time) Report {
	defer func() { t.round++ }()
	return Report{Crashes: t.reportedCrashes(now), Quarantines: t.reportedQuarantines(now)}
}

func (t *Table) reportedCrashes(now time.Time) []CrashReport {
	upstreams := make([]uint32, 0, len(t.crashes))
	for upstream, c := range t.crashes {
		if len(c.suspects) > 0 && now.Sub(c.at) < maxReportAge {
			upstreams = append(upstreams, upstream)
		}
	}
	slices.SortFunc(upstreams, func(a, b uint32) int {
		return cmp.Or(t.crashes[b].at.Compare(t.crashes[a].at), cmp.Compare(a, b))
	})
	newest := upstreams[:min(newestCrashes, len(upstreams))]
	older := rotated(upstreams[len(newest):], t.round, maxReportedCrashes-newestCrashes)
	room := maxReportedSuspects
	var list []CrashReport
	for i, upstream := range append(slices.Clone(newest), older...) {
		c, n := t.crashes[upstream], room
		if i < len(newest) {
			n = min(n, newestSuspects)
		}
		encoded := t.encodeSuspects(c, n)
		if len(encoded) == 0 {
			break
		}
		room -= len(encoded) / suspectBytes
		list = append(list, CrashReport{Upstream: upstream, AgeMS: now.Sub(c.at).Milliseconds(), Suspects: encoded})
	}
	return list
}

// rotated returns at most n items of a list, from a position on that is counted over the end of the list.
func rotated[T any](list []T, from, n int) []T {
	var out []T
	for i := range min(n, len(list)) {
		out = append(out, list[(from+i)%len(list)])
	}
	return out
}

// encodeSuspects encodes at most n suspects of a crash. If there are more, those that more crashes count against come first, and the others
// follow in turn.
func (t *Table) encodeSuspects(c *crash, n int) []byte {
	parts := make([]Part, 0, len(c.suspects))
	for p := range c.suspects {
		parts = append(parts, p)
	}
	slices.Sort(parts)
	if len(parts) > n {
		repeated, others := t.repeatedSuspects(parts, n/2)
		parts = append(repeated, rotated(others, c.reported, n-len(repeated))...)
		c.reported += n - len(repeated)
	}
	var encoded []byte
	for _, p := range parts {
		s := c.suspects[p]
		units := uint16(min(max(0, c.at.Sub(s.sentAt)/sentUnit), time.Duration(maxSentUnits)))
		if s.cleared {
			units |= clearedFlag
		}
		if s.proven {
			units |= provenFlag
		}
		encoded = binary.BigEndian.AppendUint64(encoded, uint64(p))
		encoded = binary.BigEndian.AppendUint16(encoded, units)
		encoded = binary.BigEndian.AppendUint16(encoded, s.request)
	}
	return encoded
}

// repeatedSuspects splits parts: into at most n that several crashes count against, those with most crashes first, and the others.
func (t *Table) repeatedSuspects(parts []Part, n int) (repeated, others []Part) {
	crashes := map[Part]int{}
	for _, p := range parts {
		if crashes[p] = t.unclearedCrashes(p); crashes[p] > 1 {
			repeated = append(repeated, p)
		}
	}
	slices.SortFunc(repeated, func(a, b Part) int { return cmp.Or(cmp.Compare(crashes[b], crashes[a]), cmp.Compare(a, b)) })
	repeated = slices.Clone(repeated[:min(n, len(repeated))])
	others = slices.DeleteFunc(slices.Clone(parts), func(p Part) bool { return slices.Contains(repeated, p) })
	return repeated, others
}

func (t *Table) reportedQuarantines(now time.Time) []QuarantineReport {
	parts := make([]Part, 0, len(t.quarantines))
	for p := range t.quarantines {
		parts = append(parts, p)
	}
	slices.Sort(parts)
	var list []QuarantineReport
	for _, p := range rotated(parts, t.round*maxReportedQuarantines, maxReportedQuarantines) {
		q := t.quarantines[p]
		list = append(list, QuarantineReport{
			Part: p, Generation: q.generation, Lifted: q.lifted, Owner: q.owner, AgeMS: now.Sub(q.startedAt).Milliseconds(),
			SeenMS: now.Sub(q.seenAt).Milliseconds(), Trials: q.trials, Crashes: q.crashes,
		})
	}
	return list
}

// Merge applies another process's report and returns the quarantines that change with it.
func (t *Table) Merge(now time.Time, r Report) []Change {
	t.touch(now)
	var changes []Change
	for _, q := range r.Quarantines {
		changes = append(changes, t.mergeQuarantine(now, q)...)
	}
	for _, c := range r.Crashes {
		if c.AgeMS >= 0 && c.AgeMS < maxReportAge.Milliseconds() {
			t.mergeCrash(now, c)
		}
	}
	return append(changes, t.decide(now)...)
}

func (t *Table) mergeCrash(now time.Time, r CrashReport) {
	at := now.Add(-time.Duration(r.AgeMS) * time.Millisecond)
	c := t.crash(r.Upstream, at)
	for encoded := r.Suspects; len(encoded) >= suspectBytes; encoded = encoded[suspectBytes:] {
		p, units := Part(binary.BigEndian.Uint64(encoded)), binary.BigEndian.Uint16(encoded[8:])
		s := suspicion{
			sentAt: at.Add(-time.Duration(units&maxSentUnits) * sentUnit), request: binary.BigEndian.Uint16(encoded[10:]),
			cleared: units&clearedFlag != 0, proven: units&provenFlag != 0,
		}
		t.suspect(c, p, t.addOwnKnowledge(c, p, s))
	}
	for p, s := range c.suspects {
		if !s.cleared && t.Quarantined(p) {
			t.dropOtherSuspects(p)
			return
		}
	}
}

// addOwnKnowledge adds to what another process reported of a part and a crash what this one knows of the part by answers.
func (t *Table) addOwnKnowledge(c *crash, p Part, s suspicion) suspicion {
	h, proven := t.history[p]
	if !proven || t.explained(c) {
		return s
	}
	cleared := h.sentAt.After(s.sentAt)
	known := c.suspects[p]
	news := known == nil || !known.proven || cleared && !known.cleared
	if news && (!s.proven || cleared && !s.cleared) && t.unclearedCrashes(p) > 0 {
		t.contributions++ // A part at a single crash is not about to be blamed.
	}
	s.proven, s.cleared = true, s.cleared || cleared
	return s
}

func (t *Table) mergeQuarantine(now time.Time, r QuarantineReport) []Change {
	age, seen := time.Duration(r.AgeMS)*time.Millisecond, time.Duration(r.SeenMS)*time.Millisecond
	if age < 0 || seen < 0 || seen > quietTime-seenResolution || r.Generation == 0 || r.Generation > maxGeneration {
		return nil
	}
	q := t.quarantines[r.Part]
	if q == nil || r.Generation > q.generation {
		t.quarantines[r.Part] = &quarantine{
			generation: r.Generation, lifted: r.Lifted, owner: r.Owner, startedAt: now.Add(-age), crashes: r.Crashes, seenAt: now.Add(-seen), trials: r.Trials,
		}
		t.changes++
		return t.adopted(r, q != nil && !q.lifted)
	}
	if r.Generation < q.generation {
		return nil
	}
	if started := now.Add(-age); started.Before(q.startedAt) {
		q.startedAt = started
	}
	if seenAt := now.Add(-seen); seenAt.Sub(q.seenAt) > seenResolution {
		q.seenAt = seenAt
	}
	q.owner, q.trials, q.crashes = min(q.owner, r.Owner), max(q.trials, r.Trials), max(q.crashes, r.Crashes)
	if r.Lifted && !q.lifted {
		return []Change{t.lift(r.Part, q)}
	}
	return nil
}

// adopted returns the change of a quarantine that was taken over from a report. before is set if the part was quarantined already.
func (t *Table) adopted(r QuarantineReport, before bool) []Change {
	switch {
	case r.Lifted && before:
		return []Change{{Part: r.Part, Kind: Lifted, Crashes: r.Crashes}}
	case !r.Lifted:
		t.dropOtherSuspects(r.Part)
		if !before {
			return []Change{{Part: r.Part, Kind: Reported, Crashes: r.Crashes}}
		}
	}
	return nil
}
