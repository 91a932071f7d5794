// Package objectapi simulates the object API: small JSON objects with versions, conditional writes, lists and watches.
package objectapi

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"
)

// Object is one object. Version is the revision of its last write, 0 if the object doesn't exist.
type Object struct {
	Key     string          `json:"key"`
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Change is one write or deletion, as returned by a watch.
type Change struct {
	Object
	Deleted bool `json:"deleted"`
}

// unconditional is the expected version of a write that doesn't depend on the object's version.
const unconditional int64 = -1

// outcome is the outcome of a write.
type outcome int

const (
	written outcome = iota
	conflict
	absent
)

// watcher is one waiting watch.
type watcher struct {
	prefix string
	wake   chan struct{}
}

// store holds the objects and the recent changes.
type store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]Object
	// history holds recent changes, one for each revision, in order. Watches use the last historyLimit changes. It is trimmed to
	// these when it holds more than twice as many.
	history      []Change
	historyLimit int
	watchers     map[*watcher]struct{}
}

func newStore(historyLimit int) *store {
	return &store{objects: map[string]Object{}, historyLimit: historyLimit, watchers: map[*watcher]struct{}{}}
}

// currentRevision returns the revision of the last write to any object.
func (s *store) currentRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// get returns the object at key, and whether it exists.
func (s *store) get(key string) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key]
	return object, ok
}

// put writes value at key if the version of the object is expected. It returns the object after the call, also on a conflict.
func (s *store) put(key string, value json.RawMessage, expected int64) (Object, outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.objects[key]
	if expected != unconditional && expected != current.Version {
		current.Key = key
		return current, conflict
	}
	object := Object{Key: key, Version: s.revision + 1, Value: value}
	s.objects[key] = object
	s.record(Change{Object: object})
	return object, written
}

// remove deletes the object at key if its version is expected. On success, Version of the result is the revision of the deletion.
func (s *store) remove(key string, expected int64) (Object, outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.objects[key]
	if !ok {
		return Object{Key: key}, absent
	}
	if expected != unconditional && expected != current.Version {
		return current, conflict
	}
	delete(s.objects, key)
	object := Object{Key: key, Version: s.revision + 1}
	s.record(Change{Object: object, Deleted: true})
	return object, written
}

// record increments the revision, appends the change to the history and wakes the watchers whose prefix matches.
func (s *store) record(change Change) {
	s.revision++
	s.history = append(s.history, change)
	if len(s.history) > 2*s.historyLimit {
		s.history = slices.Clone(s.history[len(s.history)-s.historyLimit:])
	}
	for w := range s.watchers {
		if strings.HasPrefix(change.Key, w.prefix) {
			close(w.wake)
			delete(s.watchers, w)
		}
	}
}

// list returns the current revision and the objects whose keys begin with prefix, sorted by key.
func (s *store) list(prefix string) (int64, []Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []Object{}
	for key, object := range s.objects {
		if strings.HasPrefix(key, prefix) {
			items = append(items, object)
		}
	}
	slices.SortFunc(items, func(a, b Object) int { return strings.Compare(a.Key, b.Key) })
	return s.revision, items
}

// changes is the result of a watch.
type changes struct {
	revision int64
	items    []Change
	// gone is set if the history no longer contains all requested changes, or the requested revision doesn't exist yet.
	gone bool
}

// changesAfter returns the last change since revision after of each key that begins with prefix.
func (s *store) changesAfter(prefix string, after int64) changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.find(prefix, after)
}

// watch returns the same as changesAfter. If there is no change yet, it also returns a watcher that the next matching change wakes; the
// caller removes a watcher that has not been woken with unwatch.
func (s *store) watch(prefix string, after int64) (changes, *watcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.find(prefix, after)
	if found.gone || len(found.items) > 0 {
		return found, nil
	}
	w := &watcher{prefix: prefix, wake: make(chan struct{})}
	s.watchers[w] = struct{}{}
	return found, w
}

func (s *store) unwatch(w *watcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watchers, w)
}

func (s *store) find(prefix string, after int64) changes {
	kept := s.history[max(0, len(s.history)-s.historyLimit):]
	oldest := s.revision - int64(len(kept))
	if after < oldest || after > s.revision {
		return changes{revision: s.revision, gone: true}
	}
	last := map[string]Change{}
	for _, change := range kept[after-oldest:] {
		if strings.HasPrefix(change.Key, prefix) {
			last[change.Key] = change
		}
	}
	items := make([]Change, 0, len(last))
	for _, change := range last {
		items = append(items, change)
	}
	slices.SortFunc(items, func(a, b Change) int { return int(a.Version - b.Version) })
	return changes{revision: s.revision, items: items}
}
