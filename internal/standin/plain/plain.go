// Package plain simulates plain services. Each call takes a fixed time, and is then answered and logged.
package plain

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"samphireweir.example/samphireweir/internal/standin/serve"
)

// Default values of flags and fault fields.
const (
	defaultWork      = 2 * time.Millisecond
	defaultRestartMS = 1000
)

// Faults are the faults of one service that can be injected at run time.
type Faults struct {
	// SlowFactor multiplies the duration of a call.
	SlowFactor float64 `json:"slow_factor"`
	// Freeze makes calls block, without any response, until it is cleared.
	Freeze bool `json:"freeze"`
	// SilentMS makes the service freeze immediately and go on after that time, in milliseconds; the field is then reset to 0.
	SilentMS int64 `json:"silent_ms"`
	// Crash crashes the service immediately; the field is then reset to false.
	Crash bool `json:"crash"`
	// RestartMS is the time for which a crashed service is unavailable, in milliseconds.
	RestartMS int64 `json:"restart_ms"`
	// DropResponse is the number of next calls that run but whose connection is reset instead of sending the response.
	DropResponse int `json:"drop_answer"`
}

// Response is the body of the response to any call. Run is the number of calls that the service has run, including this one. BodyLen is the
// length of the request body, in bytes.
type Response struct {
	RequestID  string `json:"request_id"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	Query      string `json:"query"`
	BodySHA256 string `json:"body_sha256"`
	BodyLen    int64  `json:"body_len"`
	Run        int64  `json:"run"`
}

// RunEntry is the log entry of one call that ran. Times are Unix times in milliseconds.
type RunEntry struct {
	Service        string `json:"service"`
	Kind           string `json:"kind"`
	RequestID      string `json:"request_id"`
	Attempt        string `json:"attempt"`
	IdempotencyKey string `json:"idempotency_key"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	StartMS        int64  `json:"start_ms"`
	EndMS          int64  `json:"end_ms"`
	Outcome        string `json:"outcome"`
}

// Stats counts the calls that one service has started to run.
type Stats struct {
	Runs int64 `json:"runs"`
}

// service is one simulated service.
type service struct {
	name    string
	work    time.Duration
	faults  *serve.Faults[Faults]
	process *serve.Process
	log     *serve.Log[RunEntry]
	runs    atomic.Int64
}

// NewServer returns a handler that simulates the services called names. Each call takes the time work.
func NewServer(names []string, work time.Duration) http.Handler {
	mux := http.NewServeMux()
	log := &serve.Log[RunEntry]{}
	faults := serve.NamedFaults[Faults]{}
	services := map[string]*service{}
	for _, name := range names {
		s := newService(name, work, log)
		services[name] = s
		faults[name] = s.faults
		mux.Handle("/"+name+"/", http.StripPrefix("/"+name, s.process.Guard(s)))
	}
	mux.Handle("GET /admin/log", log)
	mux.Handle("/admin/faults", faults)
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) {
		stats := map[string]Stats{}
		for name, s := range services {
			stats[name] = Stats{Runs: s.runs.Load()}
		}
		serve.WriteJSON(w, http.StatusOK, stats)
	})
	return mux
}

func newService(name string, work time.Duration, log *serve.Log[RunEntry]) *service {
	s := &service{
		name:    name,
		work:    work,
		faults:  serve.NewFaults(Faults{SlowFactor: 1, RestartMS: defaultRestartMS}),
		process: serve.NewProcess(),
		log:     log,
	}
	s.faults.OnMerge = s.faultsChanged
	return s
}

func (s *service) faultsChanged() {
	serve.FreezeFor(s.faults, func(f *Faults) (freeze *bool, silentMS *int64) { return &f.Freeze, &f.SilentMS })
	s.applyCrashFault()
}

func (s *service) applyCrashFault() {
	faults := s.faults.Get()
	if !faults.Crash {
		return
	}
	s.faults.Set(func(f *Faults) { f.Crash = false })
	s.process.Crash(serve.Milliseconds(faults.RestartMS))
}

// ServeHTTP handles one call to the service.
func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	hash := sha256.New()
	size, err := io.Copy(hash, r.Body)
	if err != nil {
		return
	}
	if err := s.faults.WaitWhile(r.Context(), func(f Faults) bool { return f.Freeze }); err != nil {
		return
	}
	response := Response{
		RequestID:  r.Header.Get("Request-Id"),
		Method:     r.Method,
		Path:       r.URL.Path,
		Query:      r.URL.RawQuery,
		BodySHA256: hex.EncodeToString(hash.Sum(nil)),
		BodyLen:    size,
		Run:        s.runs.Add(1),
	}
	if s.run(r) != serve.OutcomeDone {
		return
	}
	if s.faults.Take(func(f *Faults) *int { return &f.DropResponse }) {
		serve.Reset(w)
		return
	}
	serve.WriteJSON(w, http.StatusOK, response)
}

// run executes a call, logs it and returns its outcome.
func (s *service) run(r *http.Request) string {
	entry := RunEntry{
		Service:        s.name,
		Kind:           "run",
		RequestID:      r.Header.Get("Request-Id"),
		Attempt:        r.Header.Get("Attempt"),
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Method:         r.Method,
		Path:           r.URL.Path,
		StartMS:        time.Now().UnixMilli(),
	}
	entry.Outcome = s.doWork(r.Context())
	entry.EndMS = time.Now().UnixMilli()
	s.log.Add(entry)
	return entry.Outcome
}

func (s *service) doWork(ctx context.Context) string {
	duration := time.Duration(float64(s.work) * s.faults.Get().SlowFactor)
	completed := serve.Sleep(ctx, duration)
	if completed {
		return serve.OutcomeDone
	}
	if serve.Crashed(ctx) {
		return serve.OutcomeCrashed
	}
	return serve.OutcomeCancelled
}

// NewCommand returns the subcommand plain.
func NewCommand() *serve.Command {
	var names string
	var work time.Duration
	return &serve.Command{
		Title: "plain",
		About: "Simulates plain services.",
		Flags: func(flags *flag.FlagSet) {
			flags.StringVar(&names, "names", "p1", "names of the services, separated by commas")
			flags.DurationVar(&work, "work", defaultWork, "duration of a call")
		},
		Build: func(context.Context) (http.Handler, error) {
			list, err := serve.SplitNames(names)
			if err != nil {
				return nil, err
			}
			return NewServer(list, work), nil
		},
	}
}
