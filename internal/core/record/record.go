// Package record is the reducer for the state that is replicated to every process: operators' settings, the list of
// hosts, the hosts' own advertisements, and quarantines. Each of them is a record under a key. Two versions of a
// record are merged by keeping the higher one. Merging is commutative, associative and idempotent, so that reordered
// or repeated messages and peers with old state cannot revert a record.
//
// Processes push changed records to peers, and entries offer dynamic records to each other by fingerprint. Anti-entropy
// exchanges, in which two processes compare their states, repair missed messages (see antientropy.go).
//
// A deletion is stored as a record, too (a tombstone). Tombstones are not part of the hashes that two processes compare,
// so that each process can drop its own at any time without getting them back from its peers. A deleted setting does not
// return even without a tombstone: the Floor is the object API's revision up to which this process knows every setting.
// A setting with a revision at or below the Floor that it does not know was therefore deleted.
package record

import (
	"encoding/json"
	"sort"
	"strings"
	"time"

	"samphireweir.example/samphireweir/internal/core/step"
)

// Version orders the states of one record. For settings, Major is the object API's revision. For advertisements, Major
// is the host's incarnation and Minor is the host's sequence number.
type Version struct {
	Major uint64 `json:"a"`
	Minor uint64 `json:"b,omitempty"`
}

// Less reports whether v is older than w.
func (v Version) Less(w Version) bool {
	if v.Major != w.Major {
		return v.Major < w.Major
	}
	return v.Minor < w.Minor
}

// Record is one versioned value. Its JSON names are short, because most records are small and there are many.
type Record struct {
	Key     string          `json:"k"`
	Version Version         `json:"v"`
	Value   json.RawMessage `json:"x,omitempty"`
	Deleted bool            `json:"d,omitempty"`
}

const (
	// SettingsPrefix begins the keys of settings, to which the Floor applies.
	SettingsPrefix = "settings/"
	// PhasePrefix and DemandPrefix begin the keys of the dynamic records. These change often and only entries need
	// them, so an agent holds none but its own. All other records are the common records, which every process holds.
	PhasePrefix  = "phase/"
	DemandPrefix = "demand/"
	// TombstoneRetention is how long a tombstone is kept. A process that was disconnected for longer may restore a
	// deleted host until the host list is next read. It cannot restore a setting, because of the Floor.
	TombstoneRetention = 24 * time.Hour
	// sweepInterval is the interval between two sweeps of tombstones.
	sweepInterval = time.Minute
)

// State holds the records and the changes that still have to be sent to peers.
type State struct {
	// Records holds the records by key, tombstones included.
	Records map[string]Record
	// SettingsKnown is set once this process knows every setting up to Floor, from the platform or from a peer.
	SettingsKnown bool
	// Floor is the object API's revision up to which this process knows every setting.
	Floor uint64
	// FloorCurrentAt is the last time, by this process's clock, at which Floor was known to be the platform's current revision.
	FloorCurrentAt time.Time
	// MergedPeers contains the peers whose complete state was merged since the start.
	MergedPeers map[string]bool
	// DynamicMerged is set once an entry has merged all dynamic records of another entry.
	DynamicMerged bool

	// ownKey is the key of the own dynamic record.
	ownKey string
	// holdDynamic is set when this process holds the dynamic records of others. Only entries do.
	holdDynamic bool
	// sums holds the hashes of the buckets of Records.
	sums Sums
	// pending maps the keys of the records to push at the next tick to the peer that they came from.
	pending map[string]string
	// keyByFingerprint maps the fingerprints of the dynamic records to their keys, to answer offers.
	keyByFingerprint map[uint64]string
	// requestedAt maps the fingerprints of requested records to the time of the request.
	requestedAt map[uint64]time.Time
	// tombstones maps the keys of the tombstones to when they were received.
	tombstones map[string]time.Time
	// nextExchange, nextSweep and nextOwnPush are the earliest times of the next anti-entropy exchange, sweep of tombstones
	// and push of the own dynamic record to an entry.
	nextExchange time.Time
	nextSweep    time.Time
	nextOwnPush  time.Time
	// nextOffer is the earliest time of the next offer of dynamic records.
	nextOffer time.Time
	// dynamicBusyUntil is until when the dynamic records count as changing.
	dynamicBusyUntil time.Time
	// nextDynamicCompare is when the dynamic records are next compared although they keep changing.
	nextDynamicCompare time.Time
	// ownPushTargets are the peers to which the own dynamic record is pushed at the next tick.
	ownPushTargets []string
}

// NewState returns an empty state. selfDynamic is the key of this process's own dynamic record. holdDynamic is set for
// a process that also holds those of others.
func NewState(selfDynamic string, holdDynamic bool) *State {
	return &State{
		Records: map[string]Record{}, MergedPeers: map[string]bool{}, ownKey: selfDynamic, holdDynamic: holdDynamic,
		pending: map[string]string{}, tombstones: map[string]time.Time{}, keyByFingerprint: map[uint64]string{}, requestedAt: map[uint64]time.Time{},
	}
}

// Published reports that this process itself has new records.
type Published struct{ Records []Record }

// Received reports that a peer sent records.
type Received struct {
	From    string
	Records []Record
}

// Event marks the type as an event.
func (Published) Event() {}

// Event marks the type as an event.
func (Received) Event() {}

// Peers are the addresses of the processes to which messages may be sent.
type Peers struct {
	// Near are the fixed peers of this process.
	Near []string
	// Entries are its peers among the entries.
	Entries []string
	// All are all listed processes.
	All []string
}

// Reduce handles one input. It returns the records that changed, for the other reducers, and the effects.
func (s *State) Reduce(in step.Input, peers Peers) (changed []Record, effects []step.Effect) {
	switch ev := in.Event.(type) {
	case Published:
		changed, _ = s.merge(in.Now, "", ev.Records)
		return changed, nil
	case Received:
		changed, newer := s.merge(in.Now, ev.From, ev.Records)
		return changed, splitIntoPushes(ev.From, newer)
	case Offered:
		return nil, []step.Effect{s.handleOffered(in.Now, ev)}
	case OfferAnswered:
		return nil, s.handleOfferAnswered(ev)
	case ExchangeAsked:
		return nil, []step.Effect{s.handleExchangeAsked(in, ev)}
	case ExchangeAnswered:
		return nil, s.handleExchangeAnswered(in, ev)
	case CompareAsked:
		return nil, []step.Effect{s.handleCompareAsked(ev)}
	case Compared:
		return s.handleCompared(in, ev)
	case step.Tick:
		s.sweepTombstones(in.Now)
		return nil, s.tick(in, peers)
	}
	return nil, nil
}

// Listed merges a complete listing of the settings at a revision. A known setting at or below the revision that is not
// listed was deleted.
func (s *State) Listed(now time.Time, revision uint64, records []Record) []Record {
	listed := make(map[string]bool, len(records))
	for _, r := range records {
		listed[r.Key] = true
	}
	var missing []Record
	for _, key := range s.sortedKeys() {
		r := s.Records[key]
		if isSetting(key) && !r.Deleted && !listed[key] && r.Version.Major <= revision {
			missing = append(missing, Record{Key: key, Version: Version{Major: revision}, Deleted: true})
		}
	}
	return s.Watched(now, revision, append(records, missing...))
}

// Watched merges all changes of settings since the Floor, up to a revision.
func (s *State) Watched(now time.Time, revision uint64, records []Record) []Record {
	changed, _ := s.merge(now, "", records)
	s.raiseFloor(revision, now)
	return changed
}

// raiseFloor raises Floor and FloorCurrentAt; neither ever decreases.
func (s *State) raiseFloor(floor uint64, fresh time.Time) {
	s.SettingsKnown = true
	s.Floor = max(s.Floor, floor)
	if fresh.After(s.FloorCurrentAt) {
		s.FloorCurrentAt = fresh
	}
}

// merge stores the records that are newer than the known ones, and returns them as changed. newer are the records of this
// process of which the sender has an older version.
func (s *State) merge(now time.Time, from string, records []Record) (changed, newer []Record) {
	for _, r := range records {
		if !s.holds(r.Key) {
			continue
		}
		old, known := s.Records[r.Key]
		if s.deletedBelowFloor(r.Key, r.Version, known) {
			if !r.Deleted {
				newer = append(newer, s.floorTombstone(r.Key))
			}
			continue
		}
		if known && !old.Version.Less(r.Version) {
			if r.Version.Less(old.Version) {
				newer = append(newer, old)
			}
			continue
		}
		s.store(now, from, r)
		changed = append(changed, r)
	}
	return changed, newer
}

// deletedBelowFloor reports whether v is a version of a setting that is unknown here because the setting was deleted.
func (s *State) deletedBelowFloor(key string, v Version, known bool) bool {
	return !known && isSetting(key) && v.Major <= s.Floor
}

// floorTombstone returns a tombstone at the Floor for a setting that was deleted at or below it.
func (s *State) floorTombstone(key string) Record {
	return Record{Key: key, Version: Version{Major: s.Floor}, Deleted: true}
}

// store stores a record, updates the sums and schedules the record to be sent to peers.
func (s *State) store(now time.Time, from string, r Record) {
	old, known := s.Records[r.Key]
	if known && !old.Deleted {
		s.sums[bucket(r.Key)] ^= fingerprint(old)
	}
	if isDynamic(r.Key) {
		s.dynamicBusyUntil = now.Add(dynamicBusyTime)
		delete(s.keyByFingerprint, fingerprint(old))
		s.keyByFingerprint[fingerprint(r)] = r.Key
	}
	delete(s.tombstones, r.Key)
	if r.Deleted {
		r.Value = nil
		s.tombstones[r.Key] = now
	} else {
		s.sums[bucket(r.Key)] ^= fingerprint(r)
	}
	s.Records[r.Key] = r
	s.pending[r.Key] = from
}

// holds reports whether this process stores records under a key.
func (s *State) holds(key string) bool {
	return s.holdDynamic || key == s.ownKey || !isDynamic(key)
}

// sweepTombstones drops expired tombstones. This cannot restore a deleted setting, because its tombstone is dropped
// only when the Floor covers it.
func (s *State) sweepTombstones(now time.Time) {
	if now.Before(s.nextSweep) {
		return
	}
	s.nextSweep = now.Add(sweepInterval)
	for key, since := range s.tombstones {
		covered := !isSetting(key) || s.Records[key].Version.Major <= s.Floor
		if covered && now.Sub(since) > TombstoneRetention {
			delete(s.tombstones, key)
			delete(s.keyByFingerprint, fingerprint(s.Records[key]))
			delete(s.Records, key)
			delete(s.pending, key)
		}
	}
}

// Tombstones returns the number of tombstones.
func (s *State) Tombstones() int { return len(s.tombstones) }

// sortedKeys returns the keys of all records in ascending order.
func (s *State) sortedKeys() []string {
	keys := make([]string, 0, len(s.Records))
	for k := range s.Records {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

func isSetting(key string) bool { return strings.HasPrefix(key, SettingsPrefix) }

func isDynamic(key string) bool {
	return strings.HasPrefix(key, PhasePrefix) || strings.HasPrefix(key, DemandPrefix)
}
