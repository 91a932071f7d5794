package agent

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core"
	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/rollout"
	"samphireweir.example/samphireweir/internal/core/run"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/frame"
	"samphireweir.example/samphireweir/internal/setting"
	"samphireweir.example/samphireweir/internal/standin/engine"
)

// superseded reports whether the agent knows that another agent has taken its incarnation.
func (r *testAgent) superseded() bool {
	lost := false
	r.Loop.View(func(s *core.State) { lost = s.Rollout.Incarnation.Superseded })
	return lost
}

// generate sends a request through the agent and returns the digest that the response states, or the failure.
func (r *testAgent) generate(name, id string, tokens int) (string, *failure) {
	env := frame.Envelope{Request: id, Attempt: 1, Upstream: name, Target: "/v1/generate", Incarnation: r.selfIncarnation}
	decision := r.CallCore(func(call uint64) step.Event {
		return run.StartRequested{Call: call, Message: message(env), Upstream: name}
	})
	start, ok := decision.(run.Start)
	if !ok {
		return "", &failure{code: decision.(run.Refuse).Code, ran: code.NotRun}
	}
	body, err := json.Marshal(engine.GenerateRequest{Prompt: id, MaxTokens: tokens})
	require.NoError(r.b.t, err)
	req := httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(body))
	req.Header.Set(frame.MethodHeader, http.MethodPost)
	requestBody, err := readBody(httptest.NewRecorder(), req)
	require.NoError(r.b.t, err)
	x := r.startExecution(start, env, req, requestBody)
	return r.collect(x)
}

// collect reads a response to its end and checks that its text was produced with the version that it states.
func (r *testAgent) collect(x *execution) (string, *failure) {
	reader, _ := x.out.attach(0)
	var raw []byte
	for {
		s := x.out.next(reader, readBufferSize)
		raw = append(raw, s.data...)
		if s.ended {
			return r.checkAnswer(raw, s.fail)
		}
		if len(s.data) == 0 {
			<-s.changed
		}
	}
}

// mixedAnswer is the code for a response that ended without an error but was not produced with a single version.
const mixedAnswer code.Code = -1

func (r *testAgent) checkAnswer(raw []byte, f *failure) (string, *failure) {
	if f != nil {
		return "", f
	}
	var a engine.GenerateResponse
	if json.Unmarshal(raw, &a) != nil {
		return "", &failure{code: mixedAnswer, ran: code.DidRun}
	}
	text := ""
	for i := range a.Tokens {
		text += engine.Token(a.Digest, a.RequestID, i)
	}
	if text != a.Text {
		return "", &failure{code: mixedAnswer, ran: code.DidRun}
	}
	return a.Digest, nil
}

// TestReplacedAgentSendsNoOrders guards against an agent that resumes after a pause and still acts on its engine, although
// a replacement has changed the version meanwhile. It must send no orders and accept no requests.
func TestReplacedAgentSendsNoOrders(t *testing.T) {
	forEachFencing(t, func(t *testing.T, f setting.Fencing) {
		b := newTestEnv(t, f, "e1")
		v1 := b.apply("v1")
		old := b.agent("host-1", []string{"e1"})
		old.awaitServing("e1", v1)
		resume := old.pause()
		v2 := b.apply("v2")
		next := b.agent("host-1", []string{"e1"})
		next.awaitServing("e1", v2)
		resume()
		b.await(old.superseded, "the old agent knows that it was replaced")
		require.Equal(t, member.Down, old.upstream("e1").Phase)
		next.awaitServing("e1", v2)
		require.Equal(t, 2, b.completedLoads("e1"))
		b.checkEngineLog("v1", "v2")
	})
}

// replaceAgentPausedInOrder pauses an agent within its first order, has another one load a newer version in its place, and lets the first one go
// on. before is the engine's state with the newer version.
func (b *testEnv) replaceAgentPausedInOrder(handle func(*interceptedTransport, *http.Request) (*http.Response, error)) (old, next *testAgent, before rollout.Upstream) {
	b.t.Helper()
	b.apply("v1")
	g := newInterceptor(b.t, handle)
	old = b.agent("host-1", []string{"e1"}, g.install)
	<-g.reached
	resume := old.pause()
	v2 := b.apply("v2")
	next = b.agent("host-1", []string{"e1"})
	before = next.awaitServing("e1", v2)
	g.release()
	resume()
	<-g.passed
	b.await(old.superseded, "the old agent knows that it was replaced")
	return old, next, before
}

// TestOrderOfReplacedAgentHasNoEffect guards against an order that a paused agent sends after its replacement serves. The
// engine refuses it, or the former agent aborts it because its lease has expired. The engine keeps the weights that the
// replacement ordered.
func TestOrderOfReplacedAgentHasNoEffect(t *testing.T) {
	forEachFencing(t, func(t *testing.T, f setting.Fencing) {
		b := newTestEnv(t, f, "e1")
		old, next, before := b.replaceAgentPausedInOrder(delayBeforeSend)
		after := next.awaitServing("e1", before.Digest)
		require.Equal(t, before.Generation, after.Generation)
		require.Equal(t, 1, b.completedLoads("e1"))
		for _, e := range b.loads() {
			if uint64(e.FencingNumber) == old.incarnationNumber() {
				require.Equal(t, "refused", e.Outcome, "an engine accepted an order of a former agent")
			}
		}
		b.checkEngineLog("v2")
	})
}

// TestDelayedOrderOfReplacedAgent guards against an order of a former agent that had passed all checks before the pause,
// so that nothing can abort it. An engine that checks fencing numbers refuses it. One that ignores them executes it: the
// replacement detects that, fails the run in flight, and loads its version again.
func TestDelayedOrderOfReplacedAgent(t *testing.T) {
	forEachFencing(t, func(t *testing.T, f setting.Fencing) {
		b := newTestEnv(t, f, "e1")
		v1 := b.apply("v1")
		g := newInterceptor(t, delayAfterChecks)
		old := b.agent("host-1", []string{"e1"}, g.install)
		<-g.reached
		old.pause()
		v2 := b.apply("v2")
		next := b.agent("host-1", []string{"e1"})
		before := next.awaitServing("e1", v2)
		answers := make(chan string, 1)
		go func() {
			digest, failed := next.generate("e1", "across", 400)
			if failed != nil {
				digest = fmt.Sprint(failed.code)
			}
			answers <- digest
		}()
		b.await(func() bool { return b.hasRunning("e1") }, "e1 runs a request")
		g.release()
		<-g.passed
		if f == setting.FencingChecked {
			require.Equal(t, v2, <-answers)
			require.Equal(t, before.Generation, next.awaitServing("e1", v2).Generation)
			require.Equal(t, 1, b.completedLoads("e1"))
			return
		}
		require.Equal(t, fmt.Sprint(code.WeightsChanged), <-answers)
		b.await(func() bool { return next.upstream("e1").Generation > before.Generation }, "e1 was loaded again")
		next.awaitServing("e1", v2)
		require.NotEqual(t, v1, b.state("e1").Digest)
		digest, failed := next.generate("e1", "after", 3)
		require.Nil(t, failed)
		require.Equal(t, v2, digest)
	})
}

// hasRunning reports whether an engine runs a request.
func (b *testEnv) hasRunning(name string) bool {
	var all map[string]engine.Stats
	require.NoError(b.t, json.Unmarshal(b.call(http.MethodGet, b.engines.URL+"/admin/stats", ""), &all))
	return all[name].Running > 0
}

// TestReplacementRepeatsUnfinishedLoad guards against an engine that stays without weights, or with a part of them, when
// its agent stops in the middle of a load order. The replacement must load the complete version.
func TestReplacementRepeatsUnfinishedLoad(t *testing.T) {
	forEachFencing(t, func(t *testing.T, f setting.Fencing) {
		b := newTestEnv(t, f, "e1")
		v1 := b.apply("v1")
		g := newInterceptor(t, delayMidBody)
		old := b.agent("host-1", []string{"e1"}, g.install)
		<-g.reached
		old.pause()
		next := b.agent("host-1", []string{"e1"})
		next.awaitServing("e1", v1)
		require.Equal(t, 1, b.completedLoads("e1"))
		b.checkEngineLog("v1")
	})
}

// TestAgentPausedMidOrderChangesNothing guards against an agent that was paused while it sent the body of an order, and
// sends the rest after its replacement has loaded another version.
func TestAgentPausedMidOrderChangesNothing(t *testing.T) {
	forEachFencing(t, func(t *testing.T, f setting.Fencing) {
		b := newTestEnv(t, f, "e1")
		_, next, before := b.replaceAgentPausedInOrder(delayMidBody)
		require.Equal(t, before.Generation, next.awaitServing("e1", before.Digest).Generation)
		require.Equal(t, before.Digest, b.state("e1").Digest)
		b.checkEngineLog("v2")
	})
}

// TestWeightsAreVerifiedAfterRun guards against a response from mixed weights: another sender loads the engine during the
// run, and no regular read of the state falls in between. The state must be read again when the run ends.
func TestWeightsAreVerifiedAfterRun(t *testing.T) {
	b := newTestEnv(t, setting.FencingIgnored, "e1")
	v1 := b.apply("v1")
	a := b.agent("host-1", []string{"e1"}, func(a *Agent) { a.config.Orders.Poll = time.Hour })
	a.awaitServing("e1", v1)
	failures := make(chan *failure, 1)
	go func() {
		_, failed := a.generate("e1", "across", 400)
		failures <- failed
	}()
	b.await(func() bool { return b.hasRunning("e1") }, "e1 runs a request")
	req, err := http.NewRequest(http.MethodPut, b.engines.URL+"/e1/orders/load", strings.NewReader("other weights"))
	require.NoError(t, err)
	req.Header.Set("Weights-Digest", "other")
	req.Header.Set("Load-Generation", "1")
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	failed := <-failures
	require.NotNil(t, failed, "a response from mixed weights")
	require.Equal(t, code.WeightsChanged, failed.code)
}
