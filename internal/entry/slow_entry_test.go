package entry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"samphireweir.example/samphireweir/internal/core"
	"samphireweir.example/samphireweir/internal/frame"
)

// heldWriter is a caller's connection. The write with number at is held before it is accepted.
type heldWriter struct {
	*httptest.ResponseRecorder
	writes, at int
	hold       func()
}

// Write calls hold before the chosen write.
func (w *heldWriter) Write(p []byte) (int, error) {
	w.writes++
	if w.writes == w.at {
		w.hold()
	}
	return w.ResponseRecorder.Write(p)
}

// FlushError implements the interface that http.ResponseController uses.
func (w *heldWriter) FlushError() error { return nil }

// SetWriteDeadline implements the interface that http.ResponseController uses.
func (w *heldWriter) SetWriteDeadline(time.Time) error { return nil }

// SetReadDeadline implements the interface that http.ResponseController uses.
func (w *heldWriter) SetReadDeadline(time.Time) error { return nil }

// hold delays one call of the entry to an agent. Each function that is set is called once: before the call is sent, when its connection is
// made, when the first byte of the response has been read, and when the response's header was returned.
type hold struct{ before, connected, firstByte, after func() }

// rest returns a function that waits.
func rest(d time.Duration) func() { return func() { time.Sleep(d) } }

// heldTransport delays an entry's calls to agents, by path. The first calls of a path are delayed by one element each.
type heldTransport struct {
	base  http.RoundTripper
	mu    *sync.Mutex
	holds map[string][]hold
}

// next removes and returns the hold of the next call to a path.
func (t heldTransport) next(path string) hold {
	t.mu.Lock()
	defer t.mu.Unlock()
	waiting := t.holds[path]
	if len(waiting) == 0 {
		return hold{}
	}
	t.holds[path] = waiting[1:]
	return waiting[0]
}

// RoundTrip implements http.RoundTripper.
func (t heldTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	h := t.next(r.URL.Path)
	if h.before != nil {
		h.before()
	}
	trace := &httptrace.ClientTrace{GotFirstResponseByte: h.firstByte}
	if h.connected != nil {
		trace.GotConn = func(httptrace.GotConnInfo) { h.connected() }
	}
	resp, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if h.after != nil {
		h.after()
	}
	return resp, err
}

// holdCalls makes the first entry delay its next calls to agents.
func (f *testFleet) holdCalls(holds map[string][]hold) {
	mu := &sync.Mutex{}
	for _, c := range []*http.Client{f.entries[0].agentClient, f.entries[0].unpooledAgentClient} {
		c.Transport = heldTransport{base: c.Transport, mu: mu, holds: holds}
	}
}

// handled is what one request came to that was handed to an entry's handler.
type handled struct {
	outcome
	// runs and completeRuns count the runs on all engines.
	runs, completeRuns int
	// log is what the entries logged.
	log string
}

// String describes what was seen.
func (h handled) String() string {
	return fmt.Sprintf("%d runs, %d of them complete; %v\n%s", h.runs, h.completeRuns, h.outcome, h.log)
}

// handle passes a request to the handler of the first entry and waits for its end. hold is called before the caller's connection accepts
// write number at.
func (f *testFleet) handle(q testRequest, at int, hold func()) handled {
	r := httptest.NewRequest(q.method, "/karrakin/"+q.service+q.path, strings.NewReader(q.body))
	if q.deadline > 0 {
		r.Header.Set(HeaderDeadline, fmt.Sprint(q.deadline.Milliseconds()))
	}
	w := &heldWriter{ResponseRecorder: httptest.NewRecorder(), at: at, hold: hold}
	start, logged := time.Now(), len(f.entryLog.String())
	func() {
		defer func() {
			if p := recover(); p != nil && p != http.ErrAbortHandler {
				panic(p)
			}
		}()
		f.entries[0].callerHandler().ServeHTTP(w, r)
	}()
	h := handled{outcome: outcome{id: w.Header().Get(HeaderRequestID), status: w.Code, duration: time.Since(start)}}
	h.read(w.Result(), q, f.weightsDigest)
	h.log = f.entryLog.String()[logged:]
	time.Sleep(time.Second) // A run too many has come to its end.
	for _, run := range f.engineRuns()[h.id] {
		h.runs++
		if run.Outcome == "done" {
			h.completeRuns++
		}
	}
	return h
}

// checkOneRun checks that a request whose agents and engines worked all the time ran once and was answered.
func (h handled) checkOneRun(t *testing.T) {
	t.Helper()
	t.Logf("%v", h)
	assert.True(t, h.complete, "the answer is whole: %v", h)
	assert.Equal(t, 1, h.runs, "each request runs once: %v", h)
}

// TestCallerThatPausesDoesNotCauseSecondRun guards against a second run of a request whose caller accepts nothing for a time, while all of its
// answer waits unread at the entry.
func TestCallerThatPausesDoesNotCauseSecondRun(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		tokens int
		pause  time.Duration
	}{
		"beyond the frame timeout":                      {100, 4 * time.Second},
		"until the agent has forgotten a short answer":  {100, 6500 * time.Millisecond},
		"until the agent has given up one that goes on": {1800, 9 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t, 1, 2)
			f.handle(generateRequest("warm", 1, true), 0, nil)
			q := generateRequest("pause", c.tokens, true)
			q.deadline = time.Minute
			f.handle(q, 5, func() { time.Sleep(c.pause) }).checkOneRun(t)
		})
	}
}

// TestCallerThatPausesAtHeartbeatDoesNotCauseSecondRun guards against a second run of a request whose caller does not accept a keepalive
// comment for a time, while the engine generates the answer.
func TestCallerThatPausesAtHeartbeatDoesNotCauseSecondRun(t *testing.T) {
	t.Parallel()
	f := startTestFleet(&testFleet{t: t, stalledAfter: time.Minute}, 1, 2)
	f.setFaults(f.engineServer, `{"*":{"slow_factor":700}}`)
	q := generateRequest("pause", 1, true)
	q.deadline = time.Minute
	f.handle(q, 1, func() { time.Sleep(6500 * time.Millisecond) }).checkOneRun(t)
}

// TestHeldReducerDoesNotCauseSecondRun guards against a second run of a request whose entry waits for its own reducer, while all of the
// answer waits unread.
func TestHeldReducerDoesNotCauseSecondRun(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 2)
	f.holdCalls(map[string][]hold{frame.RunPath: {{after: func() {
		held := make(chan struct{})
		go f.entries[0].Loop.View(func(*core.State) {
			close(held)
			time.Sleep(9 * time.Second)
		})
		<-held
	}}}})
	q := generateRequest("reducer", 2000, true)
	q.deadline = time.Minute
	f.handle(q, 0, nil).checkOneRun(t)
}

// TestEntryThatIsLateToReadHeadDoesNotCauseSecondRun guards against a second run and a refusal of a request whose entry has the agent's
// response and is late to act on it: the response was there within the head timeout, and the entry took longer to come to it. The agent's
// run goes on, and at the last reconnect nobody waits for the fence that would say so.
func TestEntryThatIsLateToReadHeadDoesNotCauseSecondRun(t *testing.T) {
	t.Parallel()
	late, lateFence := hold{firstByte: rest(1500 * time.Millisecond)}, hold{before: rest(2500 * time.Millisecond)}
	returned := hold{after: rest(1500 * time.Millisecond)}
	for name, holds := range map[string]map[string][]hold{
		"at the run":                           {frame.RunPath: {late}},
		"at the run and the resume":            {frame.RunPath: {late}, frame.ResumePath: {late}},
		"at the run, the resume and the fence": {frame.RunPath: {late}, frame.ResumePath: {late}, frame.FencePath: {lateFence}},
		"at every run and resume":              {frame.RunPath: slices.Repeat([]hold{late}, 9), frame.ResumePath: slices.Repeat([]hold{late}, 9)},
		"after every header":                   {frame.RunPath: slices.Repeat([]hold{returned}, 9), frame.ResumePath: slices.Repeat([]hold{returned}, 9)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t, 1, 2)
			f.holdCalls(holds)
			f.handle(generateRequest("late", 400, true), 0, nil).checkOneRun(t)
		})
	}
}

// TestEntryThatIsLateToReadHeadDoesNotRefuseBooking guards against a refusal, with an unknown outcome, of a request that must run only once:
// it ran, its answer waits at the agent, and the entry is late to read the header of each response.
func TestEntryThatIsLateToReadHeadDoesNotRefuseBooking(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 2)
	late := slices.Repeat([]hold{{firstByte: rest(1200 * time.Millisecond)}}, 9)
	f.holdCalls(map[string][]hold{frame.RunPath: late, frame.ResumePath: slices.Clone(late)})
	q := bookingRequest("late", "once")
	q.deadline = time.Minute
	h := f.handle(q, 0, nil)
	assert.True(t, h.complete, "%d runs of the booking; %v", len(f.plainRuns()[h.id]), h)
	assert.Len(t, f.plainRuns()[h.id], 1)
}

// TestEntryThatIsLateToSendCallRefusesNothing guards against a refusal for silence of an agent to which nothing was sent: the time that the
// entry takes before it connects, or before it writes, counts as the agent's.
func TestEntryThatIsLateToSendCallRefusesNothing(t *testing.T) {
	t.Parallel()
	for name, late := range map[string]hold{
		"before it connects": {before: rest(1200 * time.Millisecond)},
		"before it writes":   {connected: rest(1200 * time.Millisecond)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t, 1, 1)
			f.holdCalls(map[string][]hold{frame.RunPath: slices.Repeat([]hold{late}, 20)})
			q := generateRequest("late", 20, true)
			q.deadline = 8 * time.Second
			f.handle(q, 0, nil).checkOneRun(t)
		})
	}
}
