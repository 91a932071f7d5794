package record

import (
	"encoding/binary"
	"time"

	"samphireweir.example/samphireweir/internal/core/step"
)

// An anti-entropy exchange of two processes transfers the records in which their states differ. It repairs what pushes and offers
// missed. The asking process sends two hashes of its state (Exchange). If those of its peer differ, the peer answers with
// the hashes of its buckets (ExchangeAnswer). The asking process then sends the versions of its records in the buckets
// that differ (Compare), and the peer answers with its newer records and with the keys of those that it wants
// (CompareAnswer). The asking process pushes the latter.

const (
	// ExchangeInterval is the interval between two anti-entropy exchanges of one process.
	ExchangeInterval = time.Second
	// DynamicInterval is the interval between comparisons of the dynamic records while they keep changing. A comparison in each
	// exchange would be useless then: offers deliver the changes, and in a burst two entries always differ by the records
	// in flight.
	DynamicInterval = 5 * time.Second
	// dynamicBusyTime is how long after a change the dynamic records count as changing.
	dynamicBusyTime = time.Second
	// InitialInterval is the interval between the exchanges of a process that has not received all records yet.
	InitialInterval = 200 * time.Millisecond
	// MaxAnswerRecords is the maximum number of records in one answer. The next exchange transfers the rest.
	MaxAnswerRecords = 4096
)

// Coverage is what a process reports in each exchange about the completeness and the age of its state.
type Coverage struct {
	// Dynamic is set when the process holds the dynamic records.
	Dynamic bool `json:"dynamic,omitempty"`
	// SettingsKnown is set when the process knows every setting up to Floor. The other fields are valid only then.
	SettingsKnown bool `json:"seasoned,omitempty"`
	// Floor is the object API's revision up to which the process knows every setting.
	Floor uint64 `json:"floor,omitempty"`
	// AgeMS is how long ago Floor was the platform's current revision. It is a duration, so that clocks need not be
	// synchronized.
	AgeMS int64 `json:"age_ms,omitempty"`
}

// ExchangeAsked reports that a peer sent the sums of its state and waits for those of this process.
type ExchangeAsked struct {
	// Call identifies the call that the shell answers.
	Call uint64
	From string
	// Common and Dynamic are the peer's hashes over all its buckets. Dynamic is 0 when it is left out.
	Common   uint64
	Dynamic  uint64
	Coverage Coverage
}

// ExchangeAnswered reports that a peer answered an Exchange with its own sums.
type ExchangeAnswered struct {
	From string
	// Same is set when the states are equal. Otherwise Digest contains the peer's sums.
	Same     bool
	Digest   []byte
	Coverage Coverage
}

// KeyVersion identifies a version of a record. Its JSON names are short like those of Record.
type KeyVersion struct {
	Key   string `json:"k"`
	Major uint64 `json:"a"`
	Minor uint64 `json:"b,omitempty"`
}

func (k KeyVersion) version() Version { return Version{Major: k.Major, Minor: k.Minor} }

// CompareAsked reports that a peer sent the versions of its records in some buckets and waits for the differences.
// Of its dynamic records in these buckets it sends only the fingerprints, because a key with its version takes five times as much
// space.
type CompareAsked struct {
	Call         uint64
	Buckets      []int
	Versions     []KeyVersion
	Fingerprints []byte
}

// Compared reports that a peer answered a Compare. Coverage is what the peer reported before the comparison.
type Compared struct {
	From    string
	Records []Record
	// Wants are the keys of records that the peer lacks or has in an older version.
	Wants []string
	// WantFingerprints are the fingerprints of the dynamic records that the peer lacks.
	WantFingerprints []byte
	// Partial is set when the answer was cut off at the limit of records or bytes.
	Partial  bool
	Coverage Coverage
}

// Event marks the type as an event.
func (ExchangeAsked) Event() {}

// Event marks the type as an event.
func (ExchangeAnswered) Event() {}

// Event marks the type as an event.
func (CompareAsked) Event() {}

// Event marks the type as an event.
func (Compared) Event() {}

// Exchange sends the sums of this process's state to a peer.
type Exchange struct {
	To       string
	Common   uint64
	Dynamic  uint64
	Coverage Coverage
}

// ExchangeAnswer answers an ExchangeAsked.
type ExchangeAnswer struct {
	Call uint64
	// Same is set when the states are equal. Otherwise Digest contains the sums of this process.
	Same     bool
	Digest   []byte
	Coverage Coverage
}

// Compare sends the versions of this process's records in the buckets that differ.
type Compare struct {
	To           string
	Buckets      []int
	Versions     []KeyVersion
	Fingerprints []byte
	// Coverage is what the peer reported before; the shell returns it with Compared.
	Coverage Coverage
}

// CompareAnswer answers a CompareAsked.
type CompareAnswer struct {
	Call    uint64
	Records []Record
	// Wants are the keys of records that this process lacks or has in an older version.
	Wants []string
	// WantFingerprints are the fingerprints of the dynamic records that this process lacks.
	WantFingerprints []byte
	// Partial is set when the answer was cut off at the limit of records or bytes.
	Partial bool
}

// Effect marks the type as an effect.
func (Exchange) Effect() {}

// Effect marks the type as an effect.
func (ExchangeAnswer) Effect() {}

// Effect marks the type as an effect.
func (Compare) Effect() {}

// Effect marks the type as an effect.
func (CompareAnswer) Effect() {}

// coverage returns what this process reports about its own state.
func (s *State) coverage(now time.Time) Coverage {
	if !s.SettingsKnown {
		return Coverage{}
	}
	return Coverage{Dynamic: s.holdDynamic, SettingsKnown: true, Floor: s.Floor, AgeMS: now.Sub(s.FloorCurrentAt).Milliseconds()}
}

// adoptCoverage takes over what a peer reports about its state, once that complete state was merged: it raises Floor and
// FloorCurrentAt to the peer's.
func (s *State) adoptCoverage(now time.Time, from string, st Coverage) {
	if !st.SettingsKnown {
		return
	}
	s.MergedPeers[from] = true
	s.DynamicMerged = s.DynamicMerged || s.holdDynamic && st.Dynamic
	s.raiseFloor(st.Floor, now.Add(-time.Duration(st.AgeMS)*time.Millisecond))
}

// dynamicSum returns the hash over the dynamic buckets. It returns 0, which leaves them out of the exchange, when this
// process does not hold them, or when they keep changing and were compared recently.
func (s *State) dynamicSum(now time.Time) uint64 {
	busy := s.DynamicMerged && now.Before(s.dynamicBusyUntil) && now.Before(s.nextDynamicCompare)
	if !s.holdDynamic || busy {
		return 0
	}
	return s.sums.Dynamic()
}

// handleExchangeAsked compares a peer's sums with those of this process.
func (s *State) handleExchangeAsked(in step.Input, ask ExchangeAsked) ExchangeAnswer {
	a := ExchangeAnswer{Call: ask.Call, Coverage: s.coverage(in.Now)}
	both := s.holdDynamic && ask.Dynamic != 0
	a.Same = s.sums.Common() == ask.Common && (!both || s.sums.Dynamic() == ask.Dynamic)
	if a.Same {
		// Records that were not compared do not count as received.
		ask.Coverage.Dynamic = ask.Coverage.Dynamic && both
		s.adoptCoverage(in.Now, ask.From, ask.Coverage)
		return a
	}
	switch {
	case !both:
		a.Digest = packFrom(0, s.sums[:Buckets])
	case s.sums.Common() == ask.Common:
		a.Digest = packFrom(Buckets, s.sums[Buckets:])
	default:
		a.Digest = packFrom(0, s.sums[:])
	}
	return a
}

// handleExchangeAnswered compares a peer's digest and asks for the differences, if any.
func (s *State) handleExchangeAnswered(in step.Input, ev ExchangeAnswered) []step.Effect {
	if ev.Coverage.Dynamic && !in.Now.Before(s.nextDynamicCompare) {
		s.nextDynamicCompare = in.Now.Add(DynamicInterval)
	}
	if ev.Same {
		s.adoptCoverage(in.Now, ev.From, ev.Coverage)
		return nil
	}
	from, sums := unpack(ev.Digest)
	differs := map[int]bool{}
	c := Compare{To: ev.From, Coverage: ev.Coverage}
	for i, sum := range sums {
		b := from + i
		if sum != s.sums[b] {
			differs[b] = true
			c.Buckets = append(c.Buckets, b)
		}
	}
	for _, key := range s.sortedKeys() {
		r := s.Records[key]
		switch {
		case r.Deleted || !differs[bucket(key)]:
		case isDynamic(key):
			c.Fingerprints = binary.BigEndian.AppendUint64(c.Fingerprints, fingerprint(r))
		default:
			c.Versions = append(c.Versions, KeyVersion{Key: key, Major: r.Version.Major, Minor: r.Version.Minor})
		}
	}
	return []step.Effect{c}
}

// handleCompareAsked compares a peer's versions with those of this process.
func (s *State) handleCompareAsked(ask CompareAsked) CompareAnswer {
	a := CompareAnswer{Call: ask.Call}
	peerVersions := make(map[string]Version, len(ask.Versions))
	for _, kv := range ask.Versions {
		peerVersions[kv.Key] = kv.version()
		a = s.compareRecord(a, kv)
	}
	known := map[uint64]bool{}
	for _, fp := range decodeFingerprints(ask.Fingerprints) {
		known[fp] = true
		if _, held := s.keyByFingerprint[fp]; s.holdDynamic && !held {
			a.WantFingerprints = binary.BigEndian.AppendUint64(a.WantFingerprints, fp)
		}
	}
	requested := map[int]bool{}
	for _, b := range ask.Buckets {
		requested[b] = true
	}
	for _, key := range s.sortedKeys() {
		r := s.Records[key]
		if _, listed := peerVersions[key]; listed || r.Deleted || !requested[bucket(key)] || isDynamic(key) && known[fingerprint(r)] {
			continue
		}
		a.Records = append(a.Records, r)
	}
	if n := countThatFits(a.Records, MaxAnswerRecords); n < len(a.Records) {
		a.Records = a.Records[:n]
		a.Partial = true
	}
	return a
}

// compareRecord adds to the answer what follows from the peer's version of one record.
func (s *State) compareRecord(a CompareAnswer, kv KeyVersion) CompareAnswer {
	own, known := s.Records[kv.Key]
	switch {
	case !s.holds(kv.Key):
	case s.deletedBelowFloor(kv.Key, kv.version(), known):
		a.Records = append(a.Records, s.floorTombstone(kv.Key))
	case !known || own.Version.Less(kv.version()):
		a.Wants = append(a.Wants, kv.Key)
	case kv.version().Less(own.Version):
		a.Records = append(a.Records, own)
	}
	return a
}

// handleCompared merges a peer's answer and returns the pushes of the records that the peer wants.
func (s *State) handleCompared(in step.Input, ev Compared) ([]Record, []step.Effect) {
	changed, newer := s.merge(in.Now, ev.From, ev.Records)
	if !ev.Partial {
		s.adoptCoverage(in.Now, ev.From, ev.Coverage)
	}
	for _, key := range ev.Wants {
		if r, known := s.Records[key]; known {
			newer = append(newer, r)
		}
	}
	return changed, append(splitIntoPushes(ev.From, newer), s.handleOfferAnswered(OfferAnswered{From: ev.From, Fingerprints: ev.WantFingerprints})...)
}
