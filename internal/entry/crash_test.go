package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core"
	"samphireweir.example/samphireweir/internal/core/record"
	"samphireweir.example/samphireweir/internal/core/request"
	"samphireweir.example/samphireweir/internal/core/suspect"
	"samphireweir.example/samphireweir/internal/frame"
)

// crashPrompt makes the engines of newCrashingTestFleet crash.
const crashPrompt = "poison"

// newCrashingTestFleet starts a fleet whose engines crash on prompts that contain crashPrompt. They don't restart
// during the test.
func newCrashingTestFleet(t *testing.T, entries, agents int) *testFleet {
	t.Helper()
	fleet := newTestFleet(t, entries, agents)
	fleet.setFaults(fleet.engineServer, `{"*":{"crash_on":"`+crashPrompt+`","restart_ms":600000}}`)
	return fleet
}

// crashedEngines returns the names of the engines that crashed during a request.
func (f *testFleet) crashedEngines() map[string]bool {
	engines := map[string]bool{}
	for _, runs := range f.engineRuns() {
		for _, run := range runs {
			if run.Outcome == "crashed" {
				engines[run.Engine] = true
			}
		}
	}
	return engines
}

// TestCrashingRequestIsQuarantinedAfterTwoUpstreams guards against a request that crashes one upstream after the
// other by retries. After two crashes it is refused, while other requests are served.
func TestCrashingRequestIsQuarantinedAfterTwoUpstreams(t *testing.T) {
	t.Parallel()
	fleet := newCrashingTestFleet(t, 1, 6)
	o := fleet.send(context.Background(), 0, generateRequest(crashPrompt, 10, true))
	assert.True(t, o.isRefusal(code.Quarantined, code.Unknown), "%v", o)
	assert.Len(t, fleet.crashedEngines(), 2)
	again := fleet.send(context.Background(), 0, generateRequest(crashPrompt, 10, true))
	assert.True(t, again.isRefusal(code.Quarantined, code.NotRun), "%v", again)
	assert.Empty(t, fleet.engineRuns()[again.id], "refused without an attempt")
	assert.Len(t, fleet.crashedEngines(), 2)
	other := fleet.send(context.Background(), 0, generateRequest("harmless", 10, true))
	assert.True(t, other.complete, "%v", other)
}

// TestResentCrashingRequestCrashesAtMostTwoUpstreams has a caller send the request to the next entry as soon as it is
// refused. The quarantine must be known there, so that no further upstream crashes.
func TestResentCrashingRequestCrashesAtMostTwoUpstreams(t *testing.T) {
	t.Parallel()
	fleet := newCrashingTestFleet(t, 3, 8)
	for i := range 6 {
		o := fleet.send(context.Background(), i%3, generateRequest(crashPrompt, 10, true))
		require.NotNil(t, o.problem, "%v", o)
		assert.Equal(t, code.Quarantined, o.problem.Code, "%v", o)
	}
	assert.LessOrEqual(t, len(fleet.crashedEngines()), 2)
}

// TestConcurrentCrashingRequestsAreBoundedByEntries sends copies of the request through all entries before any
// process knows that it crashes upstreams. Each copy may crash one upstream, and the single exclusive retry one more.
func TestConcurrentCrashingRequestsAreBoundedByEntries(t *testing.T) {
	t.Parallel()
	const entries = 3
	fleet := newCrashingTestFleet(t, entries, 10)
	var senders sync.WaitGroup
	for i := range entries {
		senders.Go(func() {
			for range 3 {
				fleet.send(context.Background(), i, generateRequest(crashPrompt, 10, true))
			}
		})
	}
	senders.Wait()
	assert.LessOrEqual(t, len(fleet.crashedEngines()), entries+1)
}

// TestCrashDoesNotFailOtherRequestsInFlight guards against requests that fail or are quarantined because they were in
// flight on an upstream that another request crashed.
func TestCrashDoesNotFailOtherRequestsInFlight(t *testing.T) {
	t.Parallel()
	fleet := newCrashingTestFleet(t, 1, 4)
	requests := map[string]testRequest{}
	for i := range 16 {
		q := generateRequest(fmt.Sprintf("neighbour %d", i), 100, i%2 == 0)
		q.deadline = time.Minute // They are retried exclusively, one after the other; each takes 0.5 s at the engine's speed.
		requests[fmt.Sprint("neighbour ", i)] = q
	}
	fleet.afterDelay(100*time.Millisecond, func() {
		fleet.send(context.Background(), 0, generateRequest(crashPrompt, 10, false))
	})
	outcomes := fleet.sendAll(requests)
	for name, o := range outcomes {
		assert.True(t, o.complete, "%s: %v", name, o)
	}
	fleet.checkOutcomes(outcomes, requests)
	assert.NotEmpty(t, fleet.crashedEngines())
	for name, q := range requests {
		fingerprint := fleet.fingerprintOf(q)
		fleet.entries[0].Loop.View(func(s *core.State) {
			assert.NotEqual(t, suspect.Quarantined, s.Suspects.Status(time.Now(), fingerprint), name)
		})
	}
}

// fingerprintOf returns the fingerprint that entries compute for a request to an engine.
func (f *testFleet) fingerprintOf(q testRequest) string {
	req := newRequest(context.Background(), "http://entry", q)
	return fingerprint(req, "karrakin/"+q.service, q.path, &body{buffered: []byte(q.body)})
}

// TestConnectionFailureIsNotCountedAsCrash guards against requests that are suspected because a connection to a
// running engine failed.
func TestConnectionFailureIsNotCountedAsCrash(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 1, 2)
	q := generateRequest("cut", 50, true)
	var once sync.Once
	q.onToken = func(tokens int) {
		if tokens >= 5 {
			once.Do(func() {
				for _, proxy := range fleet.engineProxies {
					proxy.resetAll()
				}
			})
		}
	}
	o := fleet.send(context.Background(), 0, q)
	assert.True(t, o.complete, "%v", o)
	for _, a := range fleet.agents {
		a.Loop.View(func(s *core.State) {
			assert.Equal(t, suspect.Clear, s.Suspects.Status(time.Now(), fleet.fingerprintOf(q)))
		})
	}
}

// quarantineMark returns the record that marks a request as crashing upstreams.
func quarantineMark(t *testing.T, fingerprint string) record.Record {
	t.Helper()
	suspects := suspect.NewState()
	first, ok := suspects.Crashed(time.Now(), fingerprint, false)
	require.True(t, ok)
	suspects.Apply(time.Now(), []record.Record{first})
	mark, ok := suspects.Crashed(time.Now(), fingerprint, true)
	require.True(t, ok)
	return mark
}

// isQuarantined reports whether an entry quarantines a request.
func (f *testFleet) isQuarantined(entry int, fingerprint string) bool {
	status := suspect.Clear
	f.entries[entry].Loop.View(func(s *core.State) { status = s.Suspects.Status(time.Now(), fingerprint) })
	return status == suspect.Quarantined
}

// TestAgentRefusesQuarantinedRequestInFlight has the agents receive a quarantine while the request is on its way to
// one of them. The agent's refusal must carry the mark to the entry, so that the request is not sent to another
// agent. The agents receive the mark only after the entry has sent the request: otherwise the mark could reach the
// entry first, in an exchange of records, and the entry would refuse the request without an attempt.
func TestAgentRefusesQuarantinedRequestInFlight(t *testing.T) {
	t.Parallel()
	fleet := newCrashingTestFleet(t, 1, 6)
	q := generateRequest(crashPrompt, 10, true)
	attempts := fleet.entries[0].Telemetry.Metrics.Attempts
	for _, proxy := range fleet.agentProxies {
		proxy.freeze(true)
	}
	outcomes := make(chan outcome, 1)
	go func() { outcomes <- fleet.send(context.Background(), 0, q) }()
	fleet.eventually("the entry sent the request", func() bool { return attempts.Value("karrakin", q.service, "first") == 1 })
	for _, a := range fleet.agents {
		a.Loop.Step(record.Received{Records: []record.Record{quarantineMark(t, fleet.fingerprintOf(q))}})
	}
	for _, proxy := range fleet.agentProxies {
		proxy.freeze(false)
	}
	o := <-outcomes
	assert.True(t, o.isRefusal(code.Quarantined, code.NotRun), "%v", o)
	assert.Empty(t, fleet.crashedEngines())
	assert.EqualValues(t, 1, attempts.Value("karrakin", q.service, "first"))
	assert.Zero(t, attempts.Value("karrakin", q.service, "retry"))
}

// TestEntryDoesNotSendQuarantinedRequest covers the opposite order: the entry receives the mark before the request.
func TestEntryDoesNotSendQuarantinedRequest(t *testing.T) {
	t.Parallel()
	fleet := newCrashingTestFleet(t, 1, 2)
	q := generateRequest(crashPrompt, 10, true)
	fleet.agents[0].Loop.Step(record.Received{Records: []record.Record{quarantineMark(t, fleet.fingerprintOf(q))}})
	fleet.eventually("the entry received the mark", func() bool { return fleet.isQuarantined(0, fleet.fingerprintOf(q)) })
	o := fleet.send(context.Background(), 0, q)
	assert.True(t, o.isRefusal(code.Quarantined, code.NotRun), "%v", o)
	assert.Zero(t, fleet.entries[0].Telemetry.Metrics.Attempts.Value("karrakin", q.service, "first"))
}

// TestAgentRefusalCarriesQuarantineMark checks that an agent's refusal contains the mark, and that an entry adopts a
// mark that it can't have received in any other way.
func TestAgentRefusalCarriesQuarantineMark(t *testing.T) {
	t.Parallel()
	fleet := newCrashingTestFleet(t, 1, 1)
	e, q := fleet.entries[0], generateRequest(crashPrompt, 10, true)
	fleet.agents[0].Loop.Step(record.Received{Records: []record.Record{quarantineMark(t, fleet.fingerprintOf(q))}})
	env := frame.Envelope{Request: "r", Attempt: 1, Upstream: "summary", Entry: e.instance, Sequence: 1, Fingerprint: fleet.fingerprintOf(q), DeadlineMS: 10000}
	fleet.agents[0].Loop.View(func(s *core.State) { env.Incarnation = s.Self.Incarnation })
	s, err := e.openStream(context.Background(), agentCall{address: fleet.agentProxies[0].address(), path: frame.RunPath, env: env, header: http.Header{}, unpooled: true})
	require.NoError(t, err)
	defer s.close()
	kind, payload, err := s.next()
	for err == nil && kind == frame.TypeHeartbeat {
		kind, payload, err = s.next()
	}
	require.NoError(t, err)
	var refusal frame.Fail
	require.Equal(t, frame.TypeFail, kind)
	require.NoError(t, json.Unmarshal(payload, &refusal))
	require.Equal(t, code.Quarantined, refusal.Code)
	require.NotNil(t, refusal.CrashRecord)

	const unknown = "a request that no agent knows"
	mark := quarantineMark(t, unknown)
	e.reportFailure(&call{id: "r"}, request.Attempt{ID: "r", Number: 1}, &frame.Fail{Code: code.Quarantined, Ran: code.NotRun, CrashRecord: &mark})
	require.True(t, fleet.isQuarantined(0, unknown))
}
