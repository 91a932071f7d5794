package rig

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// historyTime is how long the store keeps its history; the settings of the processes state the same.
const historyTime = 20 * time.Second

// object is an object of the store in JSON.
type object struct {
	Metadata map[string]any  `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`

	name    string
	created int64
}

// newObject returns an object as of a revision.
func newObject(name string, rev, created int64, spec json.RawMessage) object {
	return object{Metadata: with(wire.Metadata, map[string]any{"name": name, "rev": rev, "created": created}), Spec: spec, name: name, created: created}
}

// change is one change in the store's history.
type change struct {
	kind string
	at   time.Time
	rev  int64
	body json.RawMessage
	// deleted is set if the object was removed.
	deleted bool
}

// Store is a stand-in for the platform's metadata store. It answers reads; the operator and the engines of a case write by its methods.
type Store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	history  []change
	// forgotten is the revision up to which the history is gone.
	forgotten int64
	changed   chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// Put writes an object and returns the store's revision. Its return is the store's confirmation.
func (s *Store) Put(kind, name string, spec any) int64 {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // A case passed a value that JSON can't hold.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	created := s.revision
	if old, known := s.objects[kind][name]; known {
		created = old.created
	}
	o := newObject(name, s.revision, created, raw)
	s.objects[kind][name] = o
	s.record(kind, o, false)
	return s.revision
}

// Delete removes an object; it does nothing if there is none.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, known := s.objects[kind][name]
	if !known {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	s.record(kind, newObject(name, s.revision, o.created, o.Spec), true)
}

// record adds a change to the history and wakes the watches. The caller holds the lock.
func (s *Store) record(kind string, o object, deleted bool) {
	encoded, err := json.Marshal(o)
	if err != nil {
		panic(err)
	}
	s.history = append(s.history, change{kind: kind, at: time.Now(), rev: s.revision, body: encoded, deleted: deleted})
	close(s.changed)
	s.changed = make(chan struct{})
}

// forget drops what is older than the history that the settings promise. The caller holds the lock.
func (s *Store) forget(now time.Time) {
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyTime {
		s.forgotten = s.history[0].rev
		s.history = s.history[1:]
	}
}

// ServeHTTP answers a call of the system.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	watch, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	switch {
	case r.Method != http.MethodGet:
		w.WriteHeader(http.StatusServiceUnavailable) // No case lets the system write.
	case name != "":
		s.get(w, kind, name)
	case err == nil:
		s.watch(w, r, kind, watch)
	default:
		s.list(w, kind, r.URL.Query().Get("after"))
	}
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, known := s.objects[kind][name]
	s.mu.Unlock()
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, o)
}

// pageItems is how many objects a page of a list holds at most.
const pageItems = 500

// list answers with the objects of a kind after a name.
func (s *Store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	items, asOf := []object{}, s.revision
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.name, b.name) })
	more := len(items) > pageItems
	writeJSON(w, map[string]any{"items": items[:min(len(items), pageItems)], wire.More: more, "asOf": asOf})
}

// watch answers with the events of a kind since a revision, as soon as there is one.
func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string, since int64) {
	wait, err := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil {
		wait = 0
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		s.forget(time.Now())
		gone, asOf, changed := since < s.forgotten, s.revision, s.changed
		events := []map[string]any{}
		for _, c := range s.history {
			if c.kind == kind && c.rev > since {
				events = append(events, map[string]any{"object": c.body, "deleted": c.deleted})
			}
		}
		s.mu.Unlock()
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || ended:
			writeJSON(w, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	_, _ = w.Write(raw) // An error means that the process has left.
}
