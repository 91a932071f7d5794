// Package hostlist simulates the service that lists hosts. Changes become visible after a lag.
package hostlist

import (
	"cmp"
	"context"
	"flag"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"samphireweir.example/samphireweir/internal/standin/serve"
)

// defaultLag is the default time until a change becomes visible.
const defaultLag = 2 * time.Second

// Host is one host. Address, as IP:PORT, is where its samphireweir process listens for its peers.
type Host struct {
	Address string `json:"address"`
	Role    string `json:"role"`
	Place   string `json:"place"`
	Region  string `json:"region"`
	State   string `json:"state"`
}

func (h Host) valid() bool {
	role := h.Role == "agent" || h.Role == "entry"
	state := h.State == "live" || h.State == "leaving"
	return h.Address != "" && role && state
}

// Hosts is the response to GET /v1/hosts, sorted by address.
type Hosts struct {
	Hosts []Host `json:"hosts"`
}

// Faults are the faults that can be injected at run time.
type Faults struct {
	// Outage makes reads fail with status 503.
	Outage bool `json:"outage"`
	// DelayMS delays each read, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
}

// Stats counts the successful reads and the changes.
type Stats struct {
	Reads   int64 `json:"reads"`
	Changes int64 `json:"changes"`
}

// change is a change to the list that becomes visible at visibleAt.
type change struct {
	visibleAt time.Time
	host      Host
	removed   bool
}

// Server is the HTTP handler of the simulated host list.
type Server struct {
	mux    *http.ServeMux
	faults *serve.Faults[Faults]
	lag    time.Duration

	reads, changes atomic.Int64

	mu      sync.Mutex
	visible map[string]Host
	pending []change
}

// NewServer returns a server without hosts. Changes become visible after lag.
func NewServer(lag time.Duration) *Server {
	s := &Server{
		mux:     http.NewServeMux(),
		faults:  serve.NewFaults(Faults{}),
		lag:     lag,
		visible: map[string]Host{},
	}
	s.mux.HandleFunc("GET /v1/hosts", s.get)
	s.mux.HandleFunc("PUT /admin/hosts", s.put)
	s.mux.HandleFunc("DELETE /admin/hosts", s.remove)
	s.mux.Handle("/admin/faults", s.faults)
	s.mux.HandleFunc("GET /admin/stats", s.stats)
	return s
}

// ServeHTTP handles one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	faults := s.faults.Get()
	if !serve.Sleep(r.Context(), serve.Milliseconds(faults.DelayMS)) {
		return
	}
	if faults.Outage {
		serve.Fail(w, http.StatusServiceUnavailable, "outage")
		return
	}
	s.reads.Add(1)
	serve.WriteJSON(w, http.StatusOK, Hosts{Hosts: s.hosts(time.Now())})
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var host Host
	if !serve.ReadJSON(w, r, &host) {
		return
	}
	if !host.valid() {
		serve.Fail(w, http.StatusBadRequest, "bad address, role or state")
		return
	}
	s.change(change{host: host})
	serve.WriteJSON(w, http.StatusOK, host)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	host := Host{Address: r.FormValue("address")}
	s.change(change{host: host, removed: true})
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) change(c change) {
	s.changes.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	c.visibleAt = time.Now().Add(s.lag)
	s.pending = append(s.pending, c)
}

// hosts returns the hosts that are visible at now.
func (s *Server) hosts(now time.Time) []Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyDue(now)
	hosts := []Host{}
	for _, host := range s.visible {
		hosts = append(hosts, host)
	}
	slices.SortFunc(hosts, func(a, b Host) int { return cmp.Compare(a.Address, b.Address) })
	return hosts
}

// applyDue makes the changes visible whose lag has passed. The caller holds the lock.
func (s *Server) applyDue(now time.Time) {
	for len(s.pending) > 0 && !now.Before(s.pending[0].visibleAt) {
		next := s.pending[0]
		s.pending = s.pending[1:]
		if next.removed {
			delete(s.visible, next.host.Address)
		} else {
			s.visible[next.host.Address] = next.host
		}
	}
}

func (s *Server) stats(w http.ResponseWriter, _ *http.Request) {
	serve.WriteJSON(w, http.StatusOK, Stats{Reads: s.reads.Load(), Changes: s.changes.Load()})
}

// NewCommand returns the subcommand hostlist.
func NewCommand() *serve.Command {
	var lag time.Duration
	return &serve.Command{
		Title: "hostlist",
		About: "Simulates the service that lists hosts.",
		Flags: func(flags *flag.FlagSet) {
			flags.DurationVar(&lag, "lag", defaultLag, "time until a change becomes visible")
		},
		Build: func(context.Context) (http.Handler, error) {
			return NewServer(lag), nil
		},
	}
}
