package setting

import (
	"encoding/json"

	"github.com/pkg/errors"
)

const (
	// FullHistory is the number of earlier settings that an object keeps completely, for diff and rollback.
	FullHistory = 10
	// MetadataHistory is the number of further changes of which an object keeps only the ID, author, time and version.
	MetadataHistory = 50
	// MaxHistoryBytes bounds the total size of the earlier settings that are kept completely, in bytes.
	MaxHistoryBytes = 256 << 10
)

// HistoryEntry is an earlier state of a setting.
type HistoryEntry struct {
	// Version is the object's version while this state was current.
	Version uint64 `json:"version"`
	// Change is the ID of the change that wrote this state.
	Change string `json:"change,omitempty"`
	// Author is the operator who made the change.
	Author string `json:"author,omitempty"`
	// At is the time of the change by the operator's clock, for information only.
	At string `json:"at,omitempty"`
	// Deleted reports whether the change deleted the setting.
	Deleted bool `json:"deleted,omitempty"`
	// Setting is the complete state; nil for a deletion and for changes of which only the metadata is kept.
	Setting *Setting `json:"setting,omitempty"`
}

// Object is a setting as the object API stores it: the current state and its history. Both are in one object, so that one
// conditional write changes both and no change is missing from the history.
type Object struct {
	Setting
	// Deleted marks a tombstone: the service has no setting, but its history is kept.
	Deleted bool `json:"deleted,omitempty"`
	// History holds the earlier states, the latest first.
	History []HistoryEntry `json:"history,omitempty"`
}

// ParseObject decodes an object without validating the setting, which a tombstone does not have.
func ParseObject(raw []byte) (*Object, error) {
	o := &Object{}
	if err := json.Unmarshal(raw, o); err != nil {
		return nil, errors.Wrap(err, "decoding a setting's object")
	}
	return o, nil
}

// Next returns the object that replaces o, which was read at version, with the setting s. A nil s deletes the setting.
// Version 0 means that o does not exist, and adds nothing to the history.
func (o *Object) Next(version uint64, s *Setting, info ChangeInfo) *Object {
	next := &Object{}
	if s != nil {
		next.Setting = *s
	}
	next.Deleted = s == nil
	next.Change, next.Author, next.At = info.Change, info.Author, info.At
	if version != 0 {
		next.History = append([]HistoryEntry{o.historyEntry(version)}, o.History...)
		next.History = trimHistory(next.History)
	}
	return next
}

// ChangeInfo identifies the change that wrote a state.
type ChangeInfo struct {
	// Change is the ID of the change.
	Change string
	// Author is the operator who made the change.
	Author string
	// At is the time of the change, for information only; no decision depends on it.
	At string
}

// historyEntry returns the current state of o, which was read at version, as an entry of the history.
func (o *Object) historyEntry(version uint64) HistoryEntry {
	p := HistoryEntry{Version: version, Change: o.Change, Author: o.Author, At: o.At, Deleted: o.Deleted}
	if !o.Deleted {
		s := o.Setting
		p.Setting = &s
	}
	return p
}

// trimHistory keeps the latest states completely, only the metadata of MetadataHistory more, and drops the rest.
func trimHistory(history []HistoryEntry) []HistoryEntry {
	history = history[:min(len(history), FullHistory+MetadataHistory)]
	size := 0
	for i := range history {
		if history[i].Setting == nil {
			continue
		}
		raw, err := json.Marshal(history[i].Setting)
		size += len(raw)
		if err != nil || i >= FullHistory || size > MaxHistoryBytes {
			history[i].Setting = nil
		}
	}
	return history
}

// FindChange reports whether a change is the current one or in the history, and returns the version with which it took effect.
// version is the current version of the object.
func (o *Object) FindChange(change string, version uint64) (uint64, bool) {
	if o.Change == change {
		return version, true
	}
	for _, p := range o.History {
		if p.Change == change {
			return p.Version, true
		}
	}
	return 0, false
}

// CompleteSince reports whether the history is complete since version. If it is, a change that was conditional on that
// version and is not in the history has not taken effect and never will.
func (o *Object) CompleteSince(version uint64) bool {
	if version == 0 {
		// The first state is in the history unless the history is full.
		return len(o.History) < FullHistory+MetadataHistory
	}
	for _, p := range o.History {
		if p.Version <= version {
			return true
		}
	}
	return false
}

// HistoryAt returns the earlier state that was current at version.
func (o *Object) HistoryAt(version uint64) (HistoryEntry, bool) {
	for _, p := range o.History {
		if p.Version == version {
			return p, true
		}
	}
	return HistoryEntry{}, false
}

// WithoutHistory returns the part of an object's raw value that processes relay to one another: the setting without its history,
// or deleted for a tombstone. A value that can't be decoded is relayed unchanged, and the receiver rejects it.
func WithoutHistory(raw json.RawMessage) (value json.RawMessage, deleted bool) {
	o, err := ParseObject(raw)
	if err != nil {
		return raw, false
	}
	if o.Deleted {
		return nil, true
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(raw, &fields) != nil {
		return raw, false
	}
	if _, found := fields["history"]; !found {
		return raw, false
	}
	delete(fields, "history")
	value, err = json.Marshal(fields)
	if err != nil {
		return raw, false
	}
	return value, false
}
