package objectapi

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
)

// eraHeader is in all responses. Its value rises by one each time the store is restored from a backup.
const eraHeader = "Store-Era"

// Backup is a copy of the store's content.
type Backup struct {
	revision int64
	objects  map[string]Object
	history  []Change
}

// Backup returns a copy of the store's content.
func (s *Server) Backup() Backup {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	return Backup{revision: s.store.revision, objects: maps.Clone(s.store.objects), history: slices.Clone(s.store.history)}
}

// Restore replaces the store's content by that of a backup. What was written since is lost, and its revisions are given out again.
func (s *Server) Restore(b Backup) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.revision, s.store.objects, s.store.history = b.revision, maps.Clone(b.objects), slices.Clone(b.history)
	for w := range s.store.watchers {
		close(w.wake)
		delete(s.store.watchers, w)
	}
	s.era.Add(1)
}

// setEra sets the header that tells the store's era.
func (s *Server) setEra(w http.ResponseWriter) {
	w.Header().Set(eraHeader, strconv.FormatInt(s.era.Load(), 10))
}
