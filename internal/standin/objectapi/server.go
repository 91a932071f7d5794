package objectapi

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"samphireweir.example/samphireweir/internal/standin/serve"
)

// versionHeader is the request header that makes a write conditional on the object's version.
const versionHeader = "If-Version"

// Config configures a Server.
type Config struct {
	// WritesPerSecond and ReadsPerSecond limit the rates of calls, with a burst of one second's worth; 0 means no limit. Watches count as
	// reads.
	WritesPerSecond, ReadsPerSecond int
	// History is the number of changes kept for watches.
	History int
}

// Faults are the faults that can be injected at run time.
type Faults struct {
	// Outage makes all calls fail with status 503.
	Outage bool `json:"outage"`
	// Hang makes all calls block without a response until it is cleared.
	Hang bool `json:"hang"`
	// DelayMS delays the handling of each call, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// LoseNextResponses is the number of next writes that take effect but whose connection is reset instead of sending the response.
	LoseNextResponses int `json:"lose_next_answers"`
	// LoseNextKeyPrefix restricts LoseNextResponses to keys with this prefix.
	LoseNextKeyPrefix string `json:"lose_next_key_prefix"`
}

// Stats counts the calls; Refused counts those rejected by a rate limit. Revision is the current revision.
type Stats struct {
	Reads     int64 `json:"reads"`
	Writes    int64 `json:"writes"`
	Watches   int64 `json:"watches"`
	Conflicts int64 `json:"conflicts"`
	Refused   int64 `json:"refused"`
	Revision  int64 `json:"revision"`
}

// WriteResult is the response to a successful write.
type WriteResult struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// List is the response to a list call.
type List struct {
	Revision int64    `json:"revision"`
	Items    []Object `json:"items"`
}

// Changes is the response to a watch call.
type Changes struct {
	Revision int64    `json:"revision"`
	Items    []Change `json:"items"`
}

// Server is the HTTP handler of the simulated object API.
type Server struct {
	mux                       *http.ServeMux
	store                     *store
	faults                    *serve.Faults[Faults]
	readLimiter, writeLimiter *rate.Limiter
	// era counts the restores of the store; see Restore.
	era atomic.Int64

	readCount, writeCount, watchCount, conflictCount, refusedCount atomic.Int64
}

// NewServer returns a server without objects.
func NewServer(config Config) *Server {
	s := &Server{
		mux:          http.NewServeMux(),
		store:        newStore(config.History),
		faults:       serve.NewFaults(Faults{}),
		readLimiter:  newLimiter(config.ReadsPerSecond),
		writeLimiter: newLimiter(config.WritesPerSecond),
	}
	s.mux.HandleFunc("GET /v1/objects/{key...}", s.get)
	s.mux.HandleFunc("PUT /v1/objects/{key...}", s.put)
	s.mux.HandleFunc("DELETE /v1/objects/{key...}", s.remove)
	s.mux.HandleFunc("GET /v1/list", s.list)
	s.mux.HandleFunc("GET /v1/watch", s.watch)
	s.mux.Handle("/admin/faults", s.faults)
	s.mux.HandleFunc("GET /admin/stats", s.stats)
	return s
}

func newLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// ServeHTTP handles one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.setEra(w)
	s.mux.ServeHTTP(w, r)
}

// admit applies the faults and the rate limit. If it returns false, the caller must return: the response has been sent, or the request
// was cancelled.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, limiter *rate.Limiter) bool {
	if !s.applyFaults(w, r) {
		return false
	}
	if !limiter.Allow() {
		s.refusedCount.Add(1)
		serve.Refuse(w)
		return false
	}
	return true
}

func (s *Server) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	if !serve.Sleep(r.Context(), serve.Milliseconds(s.faults.Get().DelayMS)) {
		return false
	}
	return s.applyOutage(w, r)
}

func (s *Server) applyOutage(w http.ResponseWriter, r *http.Request) bool {
	if err := s.faults.WaitWhile(r.Context(), func(f Faults) bool { return f.Hang }); err != nil {
		return false
	}
	if s.faults.Get().Outage {
		serve.Fail(w, http.StatusServiceUnavailable, "outage")
		return false
	}
	return true
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r, s.readLimiter) {
		return
	}
	s.readCount.Add(1)
	object, ok := s.store.get(r.PathValue("key"))
	if !ok {
		serve.Fail(w, http.StatusNotFound, "no such object")
		return
	}
	serve.WriteJSON(w, http.StatusOK, object)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	value, ok := serve.ReadBody(w, r)
	if !ok {
		return
	}
	if !json.Valid(value) {
		serve.Fail(w, http.StatusBadRequest, "the value isn't JSON")
		return
	}
	s.write(w, r, func(key string, expected int64) (Object, outcome) {
		return s.store.put(key, value, expected)
	})
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	s.write(w, r, s.store.remove)
}

// write performs a conditional write with apply and sends the response.
func (s *Server) write(w http.ResponseWriter, r *http.Request, apply func(string, int64) (Object, outcome)) {
	key := r.PathValue("key")
	expected, ok := expectedVersion(r)
	if key == "" || !ok {
		serve.Fail(w, http.StatusBadRequest, "no key, or a bad "+versionHeader)
		return
	}
	if !s.admit(w, r, s.writeLimiter) {
		return
	}
	s.writeCount.Add(1)
	object, result := apply(key, expected)
	switch result {
	case conflict:
		s.conflictCount.Add(1)
		serve.WriteJSON(w, http.StatusConflict, object)
	case absent:
		serve.Fail(w, http.StatusNotFound, "no such object")
	default:
		s.writeResult(w, object)
	}
}

func (s *Server) writeResult(w http.ResponseWriter, object Object) {
	matches := strings.HasPrefix(object.Key, s.faults.Get().LoseNextKeyPrefix)
	if matches && s.faults.Take(func(f *Faults) *int { return &f.LoseNextResponses }) {
		serve.Reset(w)
		return
	}
	serve.WriteJSON(w, http.StatusOK, WriteResult{Key: object.Key, Version: object.Version})
}

func expectedVersion(r *http.Request) (int64, bool) {
	header := r.Header.Get(versionHeader)
	if header == "" {
		return unconditional, true
	}
	version, err := strconv.ParseInt(header, 10, 64)
	return version, err == nil && version >= 0
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r, s.readLimiter) {
		return
	}
	s.readCount.Add(1)
	revision, items := s.store.list(r.FormValue("prefix"))
	serve.WriteJSON(w, http.StatusOK, List{Revision: revision, Items: items})
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, okAfter := queryNumber(r, "after")
	waitMS, okWait := queryNumber(r, "wait_ms")
	if !okAfter || !okWait {
		serve.Fail(w, http.StatusBadRequest, "bad after or wait_ms")
		return
	}
	if !s.admit(w, r, s.readLimiter) {
		return
	}
	s.watchCount.Add(1)
	prefix := r.FormValue("prefix")
	if !s.waitForChange(w, r, prefix, after, serve.Milliseconds(waitMS)) {
		return
	}
	s.setEra(w) // The store may have been restored while the call waited.
	found := s.store.changesAfter(prefix, after)
	if found.gone {
		serve.Fail(w, http.StatusGone, "no longer kept: list again")
		return
	}
	serve.WriteJSON(w, http.StatusOK, Changes{Revision: found.revision, Items: found.items})
}

// waitForChange waits until there is a change for a watch or the wait is over. An outage or a hang that begins in the meantime applies to
// the watch as well. If waitForChange returns false, the caller must return: the response has been sent, or the request was cancelled.
func (s *Server) waitForChange(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		faultsChanged := s.faults.Changed()
		if !s.applyOutage(w, r) {
			return false
		}
		_, waiting := s.store.watch(prefix, after)
		if waiting == nil {
			return true
		}
		select {
		case <-waiting.wake:
			return true
		case <-timer.C:
			s.store.unwatch(waiting)
			return true
		case <-r.Context().Done():
			s.store.unwatch(waiting)
			return false
		case <-faultsChanged:
			s.store.unwatch(waiting)
		}
	}
}

func queryNumber(r *http.Request, name string) (int64, bool) {
	text := r.FormValue(name)
	if text == "" {
		return 0, true
	}
	value, err := strconv.ParseInt(text, 10, 64)
	return value, err == nil && value >= 0
}

func (s *Server) stats(w http.ResponseWriter, _ *http.Request) {
	serve.WriteJSON(w, http.StatusOK, Stats{
		Reads:     s.readCount.Load(),
		Writes:    s.writeCount.Load(),
		Watches:   s.watchCount.Load(),
		Conflicts: s.conflictCount.Load(),
		Refused:   s.refusedCount.Load(),
		Revision:  s.store.currentRevision(),
	})
}
