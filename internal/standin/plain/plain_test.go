package plain

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const testWork = time.Millisecond

func start(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(NewServer([]string{"p1", "p2"}, testWork))
	t.Cleanup(server.Close)
	return server.URL
}

func setFaults(t *testing.T, url, faults string) {
	t.Helper()
	response, err := http.Post(url+"/admin/faults", "application/json", strings.NewReader(faults))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode)
}

func post(t *testing.T, url string) (*http.Response, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), "POST", url, strings.NewReader("hello"))
	require.NoError(t, err)
	request.Header.Set("Request-Id", "r1")
	request.Header.Set("Attempt", "2")
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		t.Cleanup(func() { _ = response.Body.Close() })
	}
	return response, err
}

func readLog(t *testing.T, url string) []RunEntry {
	t.Helper()
	response, err := http.Get(url + "/admin/log")
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	var entries []RunEntry
	for decoder := json.NewDecoder(response.Body); decoder.More(); {
		var entry RunEntry
		require.NoError(t, decoder.Decode(&entry))
		entries = append(entries, entry)
	}
	return entries
}

// TestAnswerDescribesCall guards against a response or log entry that doesn't match the call.
func TestAnswerDescribesCall(t *testing.T) {
	url := start(t)
	response, err := post(t, url+"/p1/a/b?c=d")
	require.NoError(t, err)
	var body Response
	require.NoError(t, json.NewDecoder(response.Body).Decode(&body))
	const helloSHA256 = "2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824"
	expected := Response{RequestID: "r1", Method: "POST", Path: "/a/b", Query: "c=d", BodySHA256: helloSHA256, BodyLen: 5, Run: 1}
	assert.Equal(t, expected, body)
	entries := readLog(t, url)
	require.Len(t, entries, 1)
	assert.Equal(t, "p1", entries[0].Service)
	assert.Equal(t, "2", entries[0].Attempt)
	assert.Equal(t, "done", entries[0].Outcome)
}

// TestCallWithDroppedAnswerStillRuns guards against a drop_answer fault that also drops the call, or affects more calls
// than its count.
func TestCallWithDroppedAnswerStillRuns(t *testing.T) {
	url := start(t)
	setFaults(t, url, `{"p1":{"drop_answer":1}}`)
	_, err := post(t, url+"/p1/")
	require.Error(t, err)
	entries := readLog(t, url)
	require.Len(t, entries, 1)
	assert.Equal(t, "done", entries[0].Outcome)
	response, err := post(t, url+"/p1/")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode)
}

// TestCrashResetsRunningCalls guards against calls that complete despite a crash, and against a crash of the other
// services.
func TestCrashResetsRunningCalls(t *testing.T) {
	url := start(t)
	setFaults(t, url, `{"p1":{"slow_factor":1e9,"restart_ms":3600000}}`)
	failed := make(chan error, 1)
	go func() {
		_, err := http.Post(url+"/p1/", "text/plain", strings.NewReader("x"))
		failed <- err
	}()
	require.Eventually(t, func() bool { return runs(t, url) == 1 }, 10*time.Second, time.Millisecond)
	setFaults(t, url, `{"p1":{"crash":true}}`)
	require.Error(t, <-failed)
	entries := readLog(t, url)
	require.Len(t, entries, 1)
	assert.Equal(t, "crashed", entries[0].Outcome)
	response, err := post(t, url+"/p1/")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	response, err = post(t, url+"/p2/")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode)
}

func runs(t *testing.T, url string) int64 {
	response, err := http.Get(url + "/admin/stats")
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	var stats map[string]Stats
	require.NoError(t, json.NewDecoder(response.Body).Decode(&stats))
	return stats["p1"].Runs
}
