package rig2

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in for the platform's metadata store, as far as entries and agents call it.
type Store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]storeObject
	history  []storeEvent
	changed  chan struct{}
}

type storeObject struct {
	Metadata struct {
		Name string `json:"name"`
		Rev  int64  `json:"rev"`
	} `json:"metadata"`
	Spec json.RawMessage `json:"spec"`
}

type storeEvent struct {
	kind    string
	Object  storeObject `json:"object"`
	Deleted bool        `json:"deleted"`
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{revision: 1, objects: map[string]map[string]storeObject{}, changed: make(chan struct{})}
}

// Put writes an object.
func (s *Store) Put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	var o storeObject
	o.Metadata.Name, o.Metadata.Rev, o.Spec = name, s.revision, raw
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]storeObject{}
	}
	s.objects[kind][name] = o
	s.history = append(s.history, storeEvent{kind: kind, Object: o})
	s.wake()
}

// Delete removes an object.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, known := s.objects[kind][name]
	if !known {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Rev = s.revision
	s.history = append(s.history, storeEvent{kind: kind, Object: o, Deleted: true})
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP handles lists, watches and writes.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	switch {
	case r.Method == http.MethodDelete:
		s.Delete(kind, name)
	case r.Method != http.MethodGet:
		var o storeObject
		if json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20)).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if name == "" {
			name = o.Metadata.Name
		}
		s.Put(kind, name, o.Spec)
	case r.URL.Query().Get("watch") != "":
		s.watch(w, r, kind)
	default:
		s.list(w, kind, r.URL.Query().Get("after"))
	}
}

const pageItems = 500

func (s *Store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > pageItems
	items := []storeObject{}
	for _, name := range names[:min(pageItems, len(names))] {
		items = append(items, s.objects[kind][name])
	}
	asOf := s.revision
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, Wire.More: more, "asOf": asOf})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	ended := false
	for {
		s.mu.Lock()
		events := []storeEvent{}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Metadata.Rev > from {
				events = append(events, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ended {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			ended = true
		}
	}
}
