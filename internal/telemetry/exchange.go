package telemetry

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"samphireweir.example/samphireweir/internal/code"
)

const (
	// outcomeOK labels a request whose answer was forwarded completely.
	outcomeOK = "ok"
	// outcomeAborted labels a request whose answer was aborted; the caller can see that it is incomplete.
	outcomeAborted = "aborted"
	// noService is the label of a team or service without a setting in force.
	noService = "-"
	// problemType is the media type of the bodies of refusals.
	problemType = "application/problem+json"
)

// KnownService reports whether a team's service has a setting in force.
type KnownService func(team, service string) bool

// ObserveRequests wraps the handler of callers' requests, and counts and times each request. The outcome is taken from the answer
// that is written to the caller, so it matches what the caller observes.
func (t *Telemetry) ObserveRequests(known KnownService, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{ResponseWriter: w, startedAt: time.Now()}
		x.team, x.service = t.serviceOf(known, r.URL.Path)
		t.Metrics.InFlight.Add(1, x.team, x.service)
		returned := false
		defer func() { t.Metrics.count(x, r, returned) }()
		next.ServeHTTP(x, r)
		returned = true
	})
}

// serviceOf returns the team and service labels of a path. Services without a setting in force share one label, so that callers
// can't create an unbounded number of series.
func (t *Telemetry) serviceOf(known KnownService, path string) (team, service string) {
	team, rest, ok := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	if !ok {
		return noService, noService
	}
	service, _, _ = strings.Cut(rest, "/")
	if t.Metrics.InFlight.hasSeries(team, service) || known(team, service) {
		return team, service
	}
	return noService, noService
}

// hasSeries reports whether a series with these labels exists.
func (c Counter) hasSeries(values ...string) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	_, ok := c.series[labelsOf(values)]
	return ok
}

// count records a request that ended; returned is false if its handler panicked to abort the connection.
func (m *Metrics) count(x *exchange, r *http.Request, returned bool) {
	m.InFlight.Add(-1, x.team, x.service)
	outcome := x.outcome(r, returned)
	m.Requests.Add(1, x.team, x.service, outcome)
	if outcome != outcomeOK {
		if x.refusal.Code != 0 {
			m.Refusals.Add(1, outcome, string(x.refusal.Ran))
		}
		return
	}
	took := time.Since(x.startedAt)
	if x.firstByte == 0 {
		x.firstByte = took
	}
	m.FirstByte.Observe(x.firstByte, x.team, x.service)
	m.Total.Observe(took, x.team, x.service)
}

// exchange is an http.ResponseWriter that forwards the answer to one request and records what the caller can see of it. It has
// nothing to do with the exchanges of records between processes.
type exchange struct {
	http.ResponseWriter
	team, service string
	startedAt     time.Time
	// firstByte is the time from startedAt to the first byte of the answer's body; 0 before it.
	firstByte time.Duration
	refusal   refusal
}

// refusal holds the fields of a refusal's body that are counted.
type refusal struct {
	Code code.Code `json:"code"`
	Ran  code.Ran  `json:"ran"`
}

// outcome returns the outcome label of a request: a result code, aborted or ok.
func (x *exchange) outcome(r *http.Request, returned bool) string {
	switch {
	case x.refusal.Code != 0:
		return codeText(x.refusal.Code)
	case r.Context().Err() != nil:
		return codeText(code.CallerGone)
	case !returned:
		return outcomeAborted
	}
	return outcomeOK
}

// Write forwards bytes. On the first one it records the time and, if the answer is a refusal, its code.
func (x *exchange) Write(p []byte) (int, error) {
	if x.firstByte == 0 && len(p) > 0 {
		x.firstByte = time.Since(x.startedAt)
		if x.Header().Get("Content-Type") == problemType {
			_ = json.Unmarshal(p, &x.refusal)
		}
	}
	return x.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController reach the connection.
func (x *exchange) Unwrap() http.ResponseWriter { return x.ResponseWriter }
