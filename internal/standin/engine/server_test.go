package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/standin/serve"
)

const (
	// waitTimeout bounds the wait for effects in the background.
	waitTimeout = 10 * time.Second
	// frozenCallTimeout is the time that a test waits for a call that must not be answered.
	frozenCallTimeout = 50 * time.Millisecond
	// endlessTokens is a number of tokens that takes longer to generate than any test runs.
	endlessTokens = maxTokensLimit
)

func testConfig() Config {
	return Config{Step: time.Millisecond, Batch: 4, CacheEntries: 2}
}

func start(t *testing.T, config Config) string {
	t.Helper()
	server := httptest.NewServer(NewServer(t.Context(), []string{"e1", "e2"}, config))
	t.Cleanup(server.Close)
	return server.URL
}

func do(t *testing.T, method, url, body string, header map[string]string) (*http.Response, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	require.NoError(t, err)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		t.Cleanup(func() { _ = response.Body.Close() })
	}
	return response, err
}

// call makes one call, requires the status, and decodes the response into target unless target is nil.
func call(t *testing.T, status int, method, url, body string, header map[string]string, target any) {
	t.Helper()
	response, err := do(t, method, url, body, header)
	require.NoError(t, err)
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, status, response.StatusCode, string(text))
	if target != nil {
		require.NoError(t, json.Unmarshal(text, target), string(text))
	}
}

func loadHeader(digest string, generation, fencing int) map[string]string {
	return map[string]string{
		headerWeightsDigest:  digest,
		headerLoadGeneration: strconv.Itoa(generation),
		headerFencingNumber:  strconv.Itoa(fencing),
	}
}

func load(t *testing.T, url, digest string, generation, fencing int) {
	t.Helper()
	call(t, 200, "PUT", url+"/e1/orders/load", "the weights", loadHeader(digest, generation, fencing), nil)
}

func stateOf(t *testing.T, url string) State {
	t.Helper()
	var state State
	call(t, 200, "GET", url+"/e1/state", "", nil, &state)
	return state
}

func setFaults(t *testing.T, url, faults string) {
	t.Helper()
	call(t, 200, "POST", url+"/admin/faults", faults, nil, nil)
}

func generateBody(prompt string, tokens int, stream bool) string {
	text, _ := json.Marshal(GenerateRequest{Prompt: prompt, MaxTokens: tokens, Stream: stream})
	return string(text)
}

// readLog returns the entries of one kind.
func readLog[T any](t *testing.T, url, kind string) []T {
	t.Helper()
	response, err := do(t, "GET", url+"/admin/log", "", nil)
	require.NoError(t, err)
	var entries []T
	for decoder := json.NewDecoder(response.Body); decoder.More(); {
		var raw json.RawMessage
		require.NoError(t, decoder.Decode(&raw))
		if strings.Contains(string(raw), `"kind":"`+kind+`"`) {
			var entry T
			require.NoError(t, json.Unmarshal(raw, &entry))
			entries = append(entries, entry)
		}
	}
	return entries
}

func waitForRuns(t *testing.T, url string, n int) []RunEntry {
	t.Helper()
	var runs []RunEntry
	require.Eventually(t, func() bool {
		runs = readLog[RunEntry](t, url, "run")
		return len(runs) == n
	}, waitTimeout, time.Millisecond)
	return runs
}

// event is one event of a stream: its first line and its data.
type event struct{ head, data string }

type eventReader struct{ lines *bufio.Scanner }

func startStream(t *testing.T, url, body string, header map[string]string) (*http.Response, *eventReader) {
	t.Helper()
	response, err := do(t, "POST", url+"/e1/v1/generate", body, header)
	require.NoError(t, err)
	require.Equal(t, 200, response.StatusCode)
	return response, &eventReader{lines: bufio.NewScanner(response.Body)}
}

// next returns the next event, or an empty one if the stream was truncated.
func (r *eventReader) next() event {
	var e event
	for r.lines.Scan() && r.lines.Text() != "" {
		if data, ok := strings.CutPrefix(r.lines.Text(), "data: "); ok {
			e.data = data
			continue
		}
		e.head = r.lines.Text()
	}
	return e
}

// TestGenerateWithoutWeightsIsRejected guards against a run before weights are loaded.
func TestGenerateWithoutWeightsIsRejected(t *testing.T) {
	url := start(t, testConfig())
	call(t, 503, "POST", url+"/e1/v1/generate", generateBody("p", 1, false), nil, nil)
	assert.Empty(t, readLog[RunEntry](t, url, "run"))
}

// TestGenerateAfterLoad guards against a response, headers or log entries that don't match the loaded weights and the
// request.
func TestGenerateAfterLoad(t *testing.T) {
	url := start(t, testConfig())
	load(t, url, "d1", 3, 1)
	state := stateOf(t, url)
	assert.Equal(t, "d1", state.Digest)
	assert.Equal(t, int64(3), state.Generation)
	header := map[string]string{headerRequestID: "r1", headerAttempt: "2", headerIdempotencyKey: "k"}
	response, err := do(t, "POST", url+"/e1/v1/generate", generateBody("p", 3, false), header)
	require.NoError(t, err)
	var got GenerateResponse
	require.NoError(t, json.NewDecoder(response.Body).Decode(&got))
	text := Token("d1", "p", 0) + Token("d1", "p", 1) + Token("d1", "p", 2)
	assert.Equal(t, GenerateResponse{RequestID: "r1", Text: text, Tokens: 3, Digest: "d1", Generation: 3}, got)
	assert.Equal(t, "d1", response.Header.Get(headerWeightsDigest))
	assert.Equal(t, "3", response.Header.Get(headerLoadGeneration))
	assert.Equal(t, state.BootID, response.Header.Get(headerBootID))

	run := waitForRuns(t, url, 1)[0]
	run.StartMS, run.EndMS = 0, 0
	assert.Equal(t, RunEntry{Engine: "e1", Kind: "run", RequestID: "r1", Attempt: "2", IdempotencyKey: "k",
		Outcome: "done", Tokens: 3, DigestStart: "d1", DigestEnd: "d1", Generation: 3}, run)
	loaded := readLog[LoadEntry](t, url, "load")
	require.Len(t, loaded, 1)
	assert.Equal(t, "f38329d231164082b94f28edf29bff349b44403e09fc4057d65b31051f4ae6b5", loaded[0].ContentSHA256)
}

// TestTokenIsDeterministic guards against tokens that differ between calls for the same weights, prompt and index.
func TestTokenIsDeterministic(t *testing.T) {
	assert.Equal(t, Token("d", "p", 1), Token("d", "p", 1))
	assert.Regexp(t, "^[0-9a-f]{8} $", Token("d", "p", 1))
	assert.NotEqual(t, Token("d", "p", 1), Token("d", "p", 2))
}

// TestStreamResumes guards against a resumed stream that repeats or skips tokens.
func TestStreamResumes(t *testing.T) {
	url := start(t, testConfig())
	load(t, url, "d1", 1, 1)
	_, events := startStream(t, url, generateBody("p", 4, true), map[string]string{headerResumeOffset: "2"})
	assert.Equal(t, event{"id: 2", `{"index":2,"token":"` + Token("d1", "p", 2) + `"}`}, events.next())
	assert.Equal(t, event{"id: 3", `{"index":3,"token":"` + Token("d1", "p", 3) + `"}`}, events.next())
	assert.Equal(t, event{"event: done", `{"tokens":4,"digest":"d1","generation":1}`}, events.next())
	assert.Equal(t, 2, waitForRuns(t, url, 1)[0].Tokens)
}

// TestRunningRequestContinuesWithNewWeights guards against a request that keeps the old weights, or is aborted, when
// new weights are loaded during its run.
func TestRunningRequestContinuesWithNewWeights(t *testing.T) {
	const tokensAfter = 20
	url := start(t, testConfig())
	load(t, url, "d1", 1, 1)
	response, events := startStream(t, url, generateBody("p", endlessTokens, true), nil)
	assert.Equal(t, "d1", response.Header.Get(headerWeightsDigest))
	assert.Equal(t, "d1", digestOf(t, events.next().data))
	load(t, url, "d2", 2, 2)
	digest := "d1"
	for digest == "d1" {
		digest = digestOf(t, events.next().data)
	}
	for range tokensAfter {
		assert.Equal(t, "d2", digest)
		digest = digestOf(t, events.next().data)
	}
	require.NoError(t, response.Body.Close())
	run := waitForRuns(t, url, 1)[0]
	assert.Equal(t, "d1", run.DigestStart)
	assert.Equal(t, "d2", run.DigestEnd)
}

// digestOf returns the digest of the weights that generated the token of an event, for the prompt "p".
func digestOf(t *testing.T, data string) string {
	t.Helper()
	var token TokenEvent
	require.NoError(t, json.Unmarshal([]byte(data), &token), data)
	for _, digest := range []string{"d1", "d2"} {
		if Token(digest, "p", token.Index) == token.Token {
			return digest
		}
	}
	return "none"
}

// TestOldFencingNumbersAreRefused guards against stale orders that are accepted.
func TestOldFencingNumbersAreRefused(t *testing.T) {
	url := start(t, testConfig())
	load(t, url, "d2", 2, 2)
	var refused FencingResponse
	call(t, 409, "PUT", url+"/e1/orders/load", "old", loadHeader("d1", 1, 1), &refused)
	assert.Equal(t, int64(2), refused.Fencing)
	call(t, 409, "POST", url+"/e1/orders/role", `{"role":"decode","fencing_number":1}`, nil, nil)
	assert.Equal(t, "both", stateOf(t, url).Role)
	call(t, 200, "POST", url+"/e1/orders/role", `{"role":"decode","fencing_number":2}`, nil, nil)
	state := stateOf(t, url)
	assert.Equal(t, "decode", state.Role)
	assert.Equal(t, "d2", state.Digest)
	assert.Equal(t, outcomeRefused, readLog[LoadEntry](t, url, "load")[1].Outcome)
}

// TestIgnoreFencingAcceptsOldNumbers guards against an option IgnoreFencing that has no effect.
func TestIgnoreFencingAcceptsOldNumbers(t *testing.T) {
	config := testConfig()
	config.IgnoreFencing = true
	url := start(t, config)
	load(t, url, "d2", 2, 2)
	load(t, url, "d1", 1, 1)
	assert.Equal(t, "d1", stateOf(t, url).Digest)
}

// TestTruncatedLoadLeavesNoWeights guards against an engine that serves the old or partial weights after the body of a
// load was truncated.
func TestTruncatedLoadLeavesNoWeights(t *testing.T) {
	url := start(t, testConfig())
	load(t, url, "d1", 1, 1)
	body, feed := io.Pipe()
	request, err := http.NewRequestWithContext(t.Context(), "PUT", url+"/e1/orders/load", body)
	require.NoError(t, err)
	request.ContentLength = 1000
	request.Header.Set(headerWeightsDigest, "d2")
	request.Header.Set(headerFencingNumber, "2")
	failed := make(chan error, 1)
	go func() {
		_, err := http.DefaultClient.Do(request)
		failed <- err
	}()
	_, err = feed.Write([]byte("some of it"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return stateOf(t, url).Loading }, waitTimeout, time.Millisecond)
	call(t, 503, "POST", url+"/e1/v1/generate", generateBody("p", 1, false), nil, nil)
	require.NoError(t, feed.CloseWithError(errors.New("cut")))
	require.Error(t, <-failed)
	require.Eventually(t, func() bool { return !stateOf(t, url).Loading }, waitTimeout, time.Millisecond)
	assert.Empty(t, stateOf(t, url).Digest)
	require.Eventually(t, func() bool {
		loads := readLog[LoadEntry](t, url, "load")
		return len(loads) == 2 && loads[1].Outcome == outcomeTruncated
	}, waitTimeout, time.Millisecond)
}

// TestLaterLoadSupersedesPendingLoad guards against an earlier load that completes after a later one and replaces its
// weights.
func TestLaterLoadSupersedesPendingLoad(t *testing.T) {
	url := start(t, testConfig())
	body, feed := io.Pipe()
	request, err := http.NewRequestWithContext(t.Context(), "PUT", url+"/e1/orders/load", body)
	require.NoError(t, err)
	request.Header.Set(headerWeightsDigest, "d1")
	request.Header.Set(headerFencingNumber, "1")
	status := make(chan int, 1)
	go func() {
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			status <- 0
			return
		}
		_ = response.Body.Close()
		status <- response.StatusCode
	}()
	require.Eventually(t, func() bool { return stateOf(t, url).Loading }, waitTimeout, time.Millisecond)
	load(t, url, "d2", 2, 2)
	_, err = feed.Write([]byte("late"))
	require.NoError(t, err)
	require.NoError(t, feed.Close())
	assert.Equal(t, 409, <-status)
	assert.Equal(t, "d2", stateOf(t, url).Digest)
}

// TestLoadWithDroppedAnswerTakesEffect guards against a drop_load_answer fault that also drops the load.
func TestLoadWithDroppedAnswerTakesEffect(t *testing.T) {
	url := start(t, testConfig())
	setFaults(t, url, `{"e1":{"drop_load_answer":1}}`)
	_, err := do(t, "PUT", url+"/e1/orders/load", "weights", loadHeader("d1", 1, 1))
	require.Error(t, err)
	assert.Equal(t, "d1", stateOf(t, url).Digest)
}

// TestClientDisconnectCancelsRun guards against a run that continues after its caller has disconnected.
func TestClientDisconnectCancelsRun(t *testing.T) {
	url := start(t, testConfig())
	load(t, url, "d1", 1, 1)
	response, events := startStream(t, url, generateBody("p", endlessTokens, true), nil)
	assert.Equal(t, "id: 0", events.next().head)
	require.NoError(t, response.Body.Close())
	assert.Equal(t, serve.OutcomeCancelled, waitForRuns(t, url, 1)[0].Outcome)
}

// TestCancelCall guards against a run that continues after a cancel call, and against a stream without the final event.
func TestCancelCall(t *testing.T) {
	url := start(t, testConfig())
	load(t, url, "d1", 1, 1)
	_, events := startStream(t, url, generateBody("p", endlessTokens, true), map[string]string{headerRequestID: "r1"})
	var response CancelResponse
	call(t, 200, "POST", url+"/e1/v1/cancel", `{"request_id":"r1"}`, nil, &response)
	assert.True(t, response.Cancelled)
	last := events.next()
	for strings.HasPrefix(last.head, "id: ") {
		last = events.next()
	}
	assert.Equal(t, "event: cancelled", last.head)
	assert.Equal(t, serve.OutcomeCancelled, waitForRuns(t, url, 1)[0].Outcome)
	call(t, 200, "POST", url+"/e1/v1/cancel", `{"request_id":"r1"}`, nil, &response)
	assert.False(t, response.Cancelled)
}

// TestCrashPromptCrashesEngine guards against a crash_on fault that spares other running requests, or keeps the boot id
// or the weights.
func TestCrashPromptCrashesEngine(t *testing.T) {
	url := start(t, testConfig())
	load(t, url, "d1", 1, 1)
	boot := stateOf(t, url).BootID
	setFaults(t, url, `{"e1":{"crash_on":"poison","restart_ms":0}}`)
	_, events := startStream(t, url, generateBody("p", endlessTokens, true), nil)
	_, err := do(t, "POST", url+"/e1/v1/generate", generateBody("some poison", 1, false), nil)
	require.Error(t, err)
	last := events.next()
	for strings.HasPrefix(last.head, "id: ") && last.data != "" {
		last = events.next()
	}
	assert.Empty(t, last.data)
	for _, run := range waitForRuns(t, url, 2) {
		assert.Equal(t, serve.OutcomeCrashed, run.Outcome)
	}
	state := stateOf(t, url)
	assert.NotEqual(t, boot, state.BootID)
	assert.Empty(t, state.Digest)
}

// TestCrashedEngineIsUnavailable guards against a crashed engine that still responds, and against a crash of the other
// engines.
func TestCrashedEngineIsUnavailable(t *testing.T) {
	url := start(t, testConfig())
	setFaults(t, url, `{"e1":{"crash":true,"restart_ms":3600000}}`)
	call(t, 503, "GET", url+"/e1/state", "", nil, nil)
	call(t, 200, "GET", url+"/e2/state", "", nil, nil)
}

// TestCrashAbortsLoad guards against a load that stays blocked in reading its body after a crash.
func TestCrashAbortsLoad(t *testing.T) {
	url := start(t, testConfig())
	body, feed := io.Pipe()
	request, err := http.NewRequestWithContext(t.Context(), "PUT", url+"/e1/orders/load", body)
	require.NoError(t, err)
	request.Header.Set(headerWeightsDigest, "d1")
	failed := make(chan error, 1)
	go func() {
		_, err := http.DefaultClient.Do(request)
		failed <- err
	}()
	require.Eventually(t, func() bool { return stateOf(t, url).Loading }, waitTimeout, time.Millisecond)
	setFaults(t, url, `{"e1":{"crash":true,"restart_ms":0}}`)
	require.Eventually(t, func() bool {
		loads := readLog[LoadEntry](t, url, "load")
		return len(loads) == 1 && loads[0].Outcome == serve.OutcomeCrashed
	}, waitTimeout, time.Millisecond)
	// The net/http client returns only after reading its request body has returned, so the body is ended first, without an error.
	require.NoError(t, feed.Close())
	require.Error(t, <-failed)
}

// TestFrozenEngineSendsNoBytes guards against a frozen engine that responds, and against one that doesn't recover.
func TestFrozenEngineSendsNoBytes(t *testing.T) {
	url := start(t, testConfig())
	load(t, url, "d1", 1, 1)
	setFaults(t, url, `{"*":{"freeze":true}}`)
	ctx, stop := context.WithTimeout(t.Context(), frozenCallTimeout)
	defer stop()
	request, err := http.NewRequestWithContext(ctx, "GET", url+"/e1/state", nil)
	require.NoError(t, err)
	_, err = http.DefaultClient.Do(request)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	setFaults(t, url, `{"*":{"freeze":false}}`)
	assert.Equal(t, "d1", stateOf(t, url).Digest)
	call(t, 200, "POST", url+"/e1/v1/generate", generateBody("p", 1, false), nil, nil)
}

// TestCacheEvents guards against events that don't match the contents of the prefix cache.
func TestCacheEvents(t *testing.T) {
	url := start(t, testConfig())
	load(t, url, "d1", 1, 1)
	for _, prompt := range []string{"a", "b", "a", "c"} {
		call(t, 200, "POST", url+"/e1/v1/generate", generateBody(prompt, 1, false), nil, nil)
	}
	var events Events
	call(t, 200, "GET", url+"/e1/events?after=1", "", nil, &events)
	expected := []CacheEvent{
		{Seq: 2, Kind: eventStored, Prefix: PrefixHash("b")},
		{Seq: 3, Kind: eventStored, Prefix: PrefixHash("c")},
		{Seq: 4, Kind: eventEvicted, Prefix: PrefixHash("b")},
	}
	assert.Equal(t, Events{Events: expected, Next: 4}, events)
}

// TestKVCacheExportAndImport guards against a KV cache that changes when it is moved between engines.
func TestKVCacheExportAndImport(t *testing.T) {
	url := start(t, testConfig())
	load(t, url, "d1", 1, 1)
	header := map[string]string{headerRequestID: "r1"}
	call(t, 200, "POST", url+"/e1/v1/generate", generateBody("p", 0, false), header, nil)
	response, err := do(t, "GET", url+"/e1/v1/kv?request_id=r1", "", nil)
	require.NoError(t, err)
	kv, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	assert.Equal(t, kvBytes("d1", "p"), kv)
	call(t, 404, "GET", url+"/e2/v1/kv?request_id=r1", "", nil, nil)
	call(t, 204, "PUT", url+"/e2/v1/kv?request_id=r1", string(kv), nil, nil)
	call(t, 200, "GET", url+"/e2/v1/kv?request_id=r1", "", nil, nil)
}
