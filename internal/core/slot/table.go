// Package slot is the reducer by which agents limit how many engines of a service are unavailable (out of service) at
// once. A slot is the permission for one engine to be unavailable: an engine may be taken out of service only while it
// holds a slot, and a service has max_unavailable slots.
//
// The slots of a service are stored in one platform object that is written conditionally on its version. The agent of a
// holder sends heartbeats by writing the object. An agent that needs a slot may remove one whose heartbeat did not change
// for the whole expiry, provided that the agent observed the object without a gap during that time.
package slot

import (
	"encoding/json"
	"sort"
)

// Prefix begins the keys of the objects: the key is Prefix + team + "/" + service.
const Prefix = "slots/"

// Key returns the object key of a service's slots.
func Key(team, service string) string { return Prefix + team + "/" + service }

// Holder is one slot and the engine that holds it.
type Holder struct {
	// Engine identifies the engine as HOST/NAME.
	Engine string `json:"engine"`
	// Fencing is the fencing number of the holder's agent (see package incarnation).
	Fencing uint64 `json:"fencing"`
	// Heartbeat counts the writes of the holder's agent.
	Heartbeat uint64 `json:"beat"`
}

// Table is the JSON value of the object.
type Table struct {
	Holders []Holder `json:"holders"`
}

// parse decodes a table. A malformed value counts as an empty table and is overwritten by the next write.
func parse(value []byte) Table {
	var t Table
	if json.Unmarshal(value, &t) != nil {
		return Table{}
	}
	return t
}

// holderOf returns the slot that an engine holds, if any.
func (t Table) holderOf(engine string) (Holder, bool) {
	for _, h := range t.Holders {
		if h.Engine == engine {
			return h, true
		}
	}
	return Holder{}, false
}

// without returns a copy of the table that leaves out the slots for which drop is true.
func (t Table) without(drop func(Holder) bool) Table {
	kept := Table{Holders: make([]Holder, 0, len(t.Holders)+1)}
	for _, h := range t.Holders {
		if !drop(h) {
			kept.Holders = append(kept.Holders, h)
		}
	}
	return kept
}

// add inserts a slot and keeps the slots sorted by engine.
func (t *Table) add(h Holder) {
	t.Holders = append(t.Holders, h)
	sort.Slice(t.Holders, func(i, j int) bool { return t.Holders[i].Engine < t.Holders[j].Engine })
}
