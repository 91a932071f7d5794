package serve

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

type testFaults struct {
	Outage bool     `json:"outage"`
	Count  int      `json:"count"`
	Names  []string `json:"names"`
}

// TestRunPrintsListenAddress guards against a start without the line from which the parent process reads the address.
func TestRunPrintsListenAddress(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	out, in := io.Pipe()
	ended := make(chan error, 1)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, Error{Error: "none"})
	})
	go func() { ended <- Run(ctx, "127.0.0.1:0", handler, in) }()

	line, err := bufio.NewReader(out).ReadString('\n')
	require.NoError(t, err)
	address, found := strings.CutPrefix(strings.TrimSpace(line), "listening ")
	require.True(t, found, line)
	response, err := http.Get("http://" + address)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	assert.Equal(t, http.StatusOK, response.StatusCode)

	stop()
	assert.NoError(t, <-ended)
}

// TestMergeKeepsUnnamedFaults guards against a merge that resets other faults, or that modifies values returned
// earlier.
func TestMergeKeepsUnnamedFaults(t *testing.T) {
	faults := NewFaults(testFaults{Count: 2, Names: []string{"a", "b"}})
	before := faults.Get()
	require.NoError(t, faults.Merge([]byte(`{"outage":true,"names":["c"]}`)))
	assert.Equal(t, testFaults{Outage: true, Count: 2, Names: []string{"c"}}, faults.Get())
	assert.Equal(t, []string{"a", "b"}, before.Names)
}

// TestMergeRejectsUnknownFaults guards against a misspelled fault that is ignored, and against a rejected patch that is
// partly applied.
func TestMergeRejectsUnknownFaults(t *testing.T) {
	faults := NewFaults(testFaults{Count: 2})
	assert.Error(t, faults.Merge([]byte(`{"count":3,"no_such":true}`)))
	assert.Equal(t, 2, faults.Get().Count)
}

// TestTakeCountsDown guards against a counted fault that is applied more often than its count.
func TestTakeCountsDown(t *testing.T) {
	faults := NewFaults(testFaults{Count: 1})
	counter := func(f *testFaults) *int { return &f.Count }
	assert.True(t, faults.Take(counter))
	assert.False(t, faults.Take(counter))
}

// TestWaitWhileReturnsAfterMerge guards against calls that stay blocked after the fault is cleared.
func TestWaitWhileReturnsAfterMerge(t *testing.T) {
	faults := NewFaults(testFaults{Outage: true})
	waited := make(chan error, 1)
	go func() {
		waited <- faults.WaitWhile(t.Context(), func(f testFaults) bool { return f.Outage })
	}()
	require.NoError(t, faults.Merge([]byte(`{"outage":false}`)))
	assert.NoError(t, <-waited)
}

// TestNamedFaultsMergeWildcardFirst guards against "*" overwriting the faults of a single name, and against unknown
// names.
func TestNamedFaultsMergeWildcardFirst(t *testing.T) {
	named := NamedFaults[testFaults]{"e1": NewFaults(testFaults{}), "e2": NewFaults(testFaults{})}
	server := httptest.NewServer(named)
	defer server.Close()
	response, err := http.Post(server.URL, "application/json", strings.NewReader(`{"e2":{"count":7},"*":{"count":1}}`))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.Equal(t, 1, named["e1"].Get().Count)
	assert.Equal(t, 7, named["e2"].Get().Count)

	response, err = http.Post(server.URL, "application/json", strings.NewReader(`{"e3":{"count":7}}`))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	assert.Equal(t, http.StatusBadRequest, response.StatusCode)
}

// TestGuardResetsCallsOnCrash guards against calls that complete despite a crash, and against responses while the
// process restarts.
func TestGuardResetsCallsOnCrash(t *testing.T) {
	process := NewProcess()
	entered := make(chan struct{})
	crashed := make(chan bool, 1)
	server := httptest.NewServer(process.Guard(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(entered)
		<-r.Context().Done()
		crashed <- Crashed(r.Context())
	})))
	defer server.Close()
	before := process.BootID()
	failed := make(chan error, 1)
	go func() {
		_, err := http.Post(server.URL, "text/plain", nil)
		failed <- err
	}()
	<-entered
	process.Crash(time.Hour)
	assert.Error(t, <-failed)
	assert.True(t, <-crashed)
	assert.NotEqual(t, before, process.BootID())

	response, err := http.Get(server.URL)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
}

// TestSplitNames guards against malformed or repeated names.
func TestSplitNames(t *testing.T) {
	names, err := SplitNames("e1,e2")
	require.NoError(t, err)
	assert.Equal(t, []string{"e1", "e2"}, names)
	for _, bad := range []string{"", "e1,", "e1,e1", "admin", "a/b"} {
		_, err := SplitNames(bad)
		assert.Error(t, err, bad)
	}
}
