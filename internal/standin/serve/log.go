package serve

import (
	"encoding/json"
	"net/http"
	"sync"
)

// Outcomes of a run or a load.
const (
	OutcomeDone      = "done"
	OutcomeCancelled = "cancelled"
	OutcomeCrashed   = "crashed"
)

// Log keeps the entries of a run log in memory, and serves them as NDJSON at GET /admin/log.
type Log[T any] struct {
	mu      sync.Mutex
	entries []T
}

// Add appends an entry.
func (l *Log[T]) Add(entry T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, entry)
}

// Entries returns the entries so far. The caller must not change them.
func (l *Log[T]) Entries() []T {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries[:len(l.entries):len(l.entries)]
}

// ServeHTTP writes the entries as one JSON object per line.
func (l *Log[T]) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	encoder := json.NewEncoder(w)
	for _, entry := range l.Entries() {
		if err := encoder.Encode(entry); err != nil {
			return
		}
	}
}
