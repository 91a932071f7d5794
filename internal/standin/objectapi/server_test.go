package objectapi

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// longWait is the wait of a watch, in milliseconds, that is longer than any test runs.
const longWait = "60000"

// frozenCallTimeout is the time that a test waits for a call that must not be answered.
const frozenCallTimeout = 50 * time.Millisecond

func start(t *testing.T, config Config) (*Server, string) {
	t.Helper()
	if config.History == 0 {
		config.History = defaultHistory
	}
	server := NewServer(config)
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	return server, listener.URL
}

// call makes one call, decodes the response into target unless target is nil, and returns the status.
func call(t *testing.T, method, url, version, body string, target any) int {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	require.NoError(t, err)
	if version != "" {
		request.Header.Set(versionHeader, version)
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	if target != nil {
		require.NoError(t, json.Unmarshal(text, target), string(text))
	}
	return response.StatusCode
}

// TestConditionalWrites guards against writes that ignore If-Version, and against wrong versions in responses.
func TestConditionalWrites(t *testing.T) {
	_, url := start(t, Config{})
	object := url + "/v1/objects/a/b"
	var done WriteResult
	var current Object
	assert.Equal(t, 404, call(t, "GET", object, "", "", nil))
	assert.Equal(t, 404, call(t, "DELETE", object, "", "", nil))
	assert.Equal(t, 409, call(t, "PUT", object, "4", `1`, &current))
	assert.Equal(t, int64(0), current.Version)
	assert.Equal(t, 200, call(t, "PUT", object, "0", `{"x":"<1>"}`, &done))
	assert.Equal(t, WriteResult{Key: "a/b", Version: 1}, done)
	assert.Equal(t, 409, call(t, "PUT", object, "0", `2`, &current))
	assert.Equal(t, int64(1), current.Version)
	assert.JSONEq(t, `{"x":"<1>"}`, string(current.Value))
	assert.Equal(t, 200, call(t, "PUT", object, "", `3`, &done))
	assert.Equal(t, int64(2), done.Version)
	assert.Equal(t, 409, call(t, "DELETE", object, "1", "", &current))
	assert.Equal(t, 200, call(t, "DELETE", object, "2", "", &done))
	assert.Equal(t, int64(3), done.Version)
	assert.Equal(t, 404, call(t, "GET", object, "", "", nil))
}

// TestBadWrites guards against invalid values, versions or keys that are stored, and against values above 1 MiB.
func TestBadWrites(t *testing.T) {
	_, url := start(t, Config{})
	assert.Equal(t, 400, call(t, "PUT", url+"/v1/objects/a", "", `{`, nil))
	assert.Equal(t, 400, call(t, "PUT", url+"/v1/objects/a", "x", `1`, nil))
	assert.Equal(t, 400, call(t, "PUT", url+"/v1/objects/", "", `1`, nil))
	large := `"` + strings.Repeat("a", 1<<20) + `"`
	assert.Equal(t, 413, call(t, "PUT", url+"/v1/objects/a", "", large, nil))
}

// TestConcurrentConditionalWritesLoseNoUpdate guards against conditional writes that overwrite a concurrent write.
func TestConcurrentConditionalWritesLoseNoUpdate(t *testing.T) {
	const writers, each = 8, 20
	server, url := start(t, Config{})
	server.store.put("n", json.RawMessage("0"), unconditional)
	var all sync.WaitGroup
	for range writers {
		all.Go(func() {
			for range each {
				addOne(server.store)
			}
		})
	}
	all.Wait()
	var object Object
	call(t, "GET", url+"/v1/objects/n", "", "", &object)
	assert.Equal(t, strconv.Itoa(writers*each), string(object.Value))
}

func addOne(s *store) {
	for {
		object, _ := s.get("n")
		n, _ := strconv.Atoi(string(object.Value))
		if _, result := s.put("n", json.RawMessage(strconv.Itoa(n+1)), object.Version); result == written {
			return
		}
	}
}

// TestListIsSortedAndFilteredByPrefix guards against lists that are unsorted or contain other keys.
func TestListIsSortedAndFilteredByPrefix(t *testing.T) {
	_, url := start(t, Config{})
	for _, key := range []string{"b/2", "a/1", "b/1"} {
		call(t, "PUT", url+"/v1/objects/"+key, "", `"`+key+`"`, nil)
	}
	var list List
	assert.Equal(t, 200, call(t, "GET", url+"/v1/list?prefix=b/", "", "", &list))
	assert.Equal(t, int64(3), list.Revision)
	require.Len(t, list.Items, 2)
	assert.Equal(t, "b/1", list.Items[0].Key)
	assert.Equal(t, "b/2", list.Items[1].Key)
}

// TestWatchReturnsLastChangeOfEachKey guards against a watch that misses deletions, or that returns superseded changes.
func TestWatchReturnsLastChangeOfEachKey(t *testing.T) {
	_, url := start(t, Config{})
	call(t, "PUT", url+"/v1/objects/a", "", `1`, nil)
	call(t, "PUT", url+"/v1/objects/b", "", `1`, nil)
	call(t, "PUT", url+"/v1/objects/a", "", `2`, nil)
	call(t, "DELETE", url+"/v1/objects/b", "", "", nil)
	var changes Changes
	assert.Equal(t, 200, call(t, "GET", url+"/v1/watch?after=1&wait_ms="+longWait, "", "", &changes))
	assert.Equal(t, int64(4), changes.Revision)
	require.Len(t, changes.Items, 2)
	assert.Equal(t, "2", string(changes.Items[0].Value))
	assert.True(t, changes.Items[1].Deleted)
	assert.Equal(t, 200, call(t, "GET", url+"/v1/watch?after=4&wait_ms=1", "", "", &changes))
	assert.Empty(t, changes.Items)
}

// waitForWatchers waits until n watches are waiting.
func waitForWatchers(t *testing.T, s *store, n int) {
	t.Helper()
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.watchers) == n
	}, 10*time.Second, time.Millisecond)
}

// TestWatchWakesOnlyForItsPrefix guards against a watch that returns for other keys, or misses its own.
func TestWatchWakesOnlyForItsPrefix(t *testing.T) {
	server, url := start(t, Config{})
	found := make(chan Changes, 1)
	go func() {
		var changes Changes
		call(t, "GET", url+"/v1/watch?prefix=a/&after=0&wait_ms="+longWait, "", "", &changes)
		found <- changes
	}()
	waitForWatchers(t, server.store, 1)
	call(t, "PUT", url+"/v1/objects/b/1", "", `1`, nil)
	waitForWatchers(t, server.store, 1)
	call(t, "PUT", url+"/v1/objects/a/1", "", `1`, nil)
	changes := <-found
	require.Len(t, changes.Items, 1)
	assert.Equal(t, "a/1", changes.Items[0].Key)
	waitForWatchers(t, server.store, 0)
}

// TestWatchOfDroppedHistoryIsGone guards against a watch that silently skips changes which are no longer kept.
func TestWatchOfDroppedHistoryIsGone(t *testing.T) {
	_, url := start(t, Config{History: 2})
	for range 8 {
		call(t, "PUT", url+"/v1/objects/a", "", `1`, nil)
	}
	assert.Equal(t, 410, call(t, "GET", url+"/v1/watch?after=5", "", "", nil))
	assert.Equal(t, 200, call(t, "GET", url+"/v1/watch?after=6", "", "", nil))
	assert.Equal(t, 410, call(t, "GET", url+"/v1/watch?after=9", "", "", nil))
}

// TestOutageEndsWaitingWatches guards against watches that survive the start of an outage.
func TestOutageEndsWaitingWatches(t *testing.T) {
	server, url := start(t, Config{})
	status := make(chan int, 1)
	go func() {
		status <- call(t, "GET", url+"/v1/watch?after=0&wait_ms="+longWait, "", "", nil)
	}()
	waitForWatchers(t, server.store, 1)
	assert.Equal(t, 200, call(t, "POST", url+"/admin/faults", "", `{"outage":true}`, nil))
	assert.Equal(t, 503, <-status)
	assert.Equal(t, 503, call(t, "GET", url+"/v1/list", "", "", nil))
}

// TestHangBlocksCallsUntilCleared guards against calls that take effect during a hang, and against a server that
// doesn't recover.
func TestHangBlocksCallsUntilCleared(t *testing.T) {
	server, url := start(t, Config{})
	call(t, "POST", url+"/admin/faults", "", `{"hang":true}`, nil)
	ctx, stop := context.WithTimeout(t.Context(), frozenCallTimeout)
	defer stop()
	request, err := http.NewRequestWithContext(ctx, "PUT", url+"/v1/objects/a", strings.NewReader(`1`))
	require.NoError(t, err)
	_, err = http.DefaultClient.Do(request)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	assert.Equal(t, int64(0), server.store.currentRevision())
	call(t, "POST", url+"/admin/faults", "", `{"hang":false}`, nil)
	assert.Equal(t, 200, call(t, "PUT", url+"/v1/objects/a", "", `1`, nil))
}

// TestWritesWithLostAnswersTakeEffect guards against a lose_next_answers fault that also loses the write, or affects
// other keys.
func TestWritesWithLostAnswersTakeEffect(t *testing.T) {
	server, url := start(t, Config{})
	call(t, "POST", url+"/admin/faults", "", `{"lose_next_answers":1,"lose_next_key_prefix":"b"}`, nil)
	assert.Equal(t, 200, call(t, "PUT", url+"/v1/objects/a", "", `1`, nil))
	request, err := http.NewRequest("PUT", url+"/v1/objects/b", strings.NewReader(`1`))
	require.NoError(t, err)
	_, err = http.DefaultClient.Do(request)
	require.Error(t, err)
	object, ok := server.store.get("b")
	assert.True(t, ok)
	assert.Equal(t, int64(2), object.Version)
	assert.Equal(t, 200, call(t, "PUT", url+"/v1/objects/b", "2", `2`, nil))
}

// TestWritesOverTheRateAreRefused guards against writes above the rate limit that are executed, or that are missing in
// the counters.
func TestWritesOverTheRateAreRefused(t *testing.T) {
	_, url := start(t, Config{WritesPerSecond: 1, ReadsPerSecond: 1})
	refused := 0
	for range 20 {
		if call(t, "PUT", url+"/v1/objects/a", "", `1`, nil) == 429 {
			refused++
		}
	}
	assert.Positive(t, refused)
	var stats Stats
	call(t, "GET", url+"/admin/stats", "", "", &stats)
	assert.Equal(t, int64(refused), stats.Refused)
	assert.Equal(t, int64(20-refused), stats.Writes)
	assert.Equal(t, int64(20-refused), stats.Revision)
}
