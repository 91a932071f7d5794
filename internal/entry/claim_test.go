package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/claims"
	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/claim"
	"samphireweir.example/samphireweir/internal/standin/plain"
)

// bookingAnswer is the answer that a caller of an at-most-once call received.
type bookingAnswer struct {
	status  int
	header  http.Header
	body    string
	problem Problem
}

// sendBooking sends a non-idempotent call through an entry. The key may be empty.
func (f *testFleet) sendBooking(entry int, key, path, body string) bookingAnswer {
	url := "http://" + f.entries[entry].callerListener.Addr().String() + "/karrakin/portal" + path
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	require.NoError(f.t, err)
	if key != "" {
		req.Header.Set(HeaderIdempotencyKey, key)
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	require.NoError(f.t, err)
	t := bookingAnswer{status: resp.StatusCode, header: resp.Header, body: string(raw)}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "application/problem") {
		require.NoError(f.t, json.Unmarshal(raw, &t.problem))
	}
	return t
}

// runsByKey returns the number of runs of each key in the plain services' log.
func (f *testFleet) runsByKey() map[string]int {
	counts := map[string]int{}
	for _, runs := range f.plainRuns() {
		for _, run := range runs {
			counts[run.IdempotencyKey]++
		}
	}
	return counts
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// keyWithTime returns a UUIDv7 key with the timestamp t.
func keyWithTime(t time.Time) string {
	id := uuid.Must(uuid.NewV7())
	ms := t.UnixMilli()
	for b := range 6 {
		id[b] = byte(ms >> (40 - 8*b))
	}
	return id.String()
}

func requireRefusal(t *testing.T, got bookingAnswer, want code.Code, ran code.Ran) {
	t.Helper()
	require.Equal(t, want, got.problem.Code, "%+v", got)
	require.Equal(t, ran, got.problem.Ran)
	require.Equal(t, want.Describe().Status, got.status)
}

func requireRetryAfter(t *testing.T, got bookingAnswer) {
	t.Helper()
	seconds, err := strconv.Atoi(got.header.Get("Retry-After"))
	require.NoError(t, err)
	require.Positive(t, seconds)
}

// TestRepeatedKeyReplaysStoredAnswer guards against a second run, or another answer, when a key is repeated through
// any entry. The caller must receive the first run's answer.
func TestRepeatedKeyReplaysStoredAnswer(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 3, 2)
	for _, key := range []string{newKey(), "a-key-without-a-time"} {
		first := fleet.sendBooking(0, key, "/book?n=1", "panel 7")
		require.Equal(t, http.StatusOK, first.status)
		require.Empty(t, first.header.Get(HeaderIdempotentReplay))
		for entry := range fleet.entries {
			var again bookingAnswer
			fleet.eventually("the answer is stored", func() bool {
				again = fleet.sendBooking(entry, key, "/book?n=1", "panel 7")
				return again.problem.Code != code.StillRunning
			})
			require.Equal(t, first.status, again.status)
			require.Equal(t, first.body, again.body)
			require.Equal(t, "true", again.header.Get(HeaderIdempotentReplay))
			require.Equal(t, first.header.Get("Content-Type"), again.header.Get("Content-Type"))
		}
		require.Equal(t, 1, fleet.runsByKey()[key])
	}
}

// TestKeyReuseForAnotherRequestIsRefused guards against replaying an answer to a different request. A key that was
// used with another path, query or body is refused as not run.
func TestKeyReuseForAnotherRequestIsRefused(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 2, 1)
	key := newKey()
	require.Equal(t, http.StatusOK, fleet.sendBooking(0, key, "/book", "panel 7").status)
	requireRefusal(t, fleet.sendBooking(1, key, "/book", "panel 8"), code.KeyReused, code.NotRun)
	requireRefusal(t, fleet.sendBooking(0, key, "/cancel", "panel 7"), code.KeyReused, code.NotRun)
	requireRefusal(t, fleet.sendBooking(1, key, "/book?n=2", "panel 7"), code.KeyReused, code.NotRun)
	require.Equal(t, 1, fleet.runsByKey()[key])
}

// TestRepeatDuringRunIsRefusedThenReplayed repeats a key while its first run is in progress. The repeat must not wait
// or run: it is refused immediately with Retry-After, and receives the stored answer later.
func TestRepeatDuringRunIsRefusedThenReplayed(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 2, 1)
	fleet.setFaults(fleet.plainServer, `{"*":{"slow_factor":500}}`)
	key := newKey()
	done := make(chan bookingAnswer, 1)
	go func() { done <- fleet.sendBooking(0, key, "/book", "panel 7") }()
	var again bookingAnswer
	fleet.eventually("the repeat is refused as still running, or answered", func() bool {
		again = fleet.sendBooking(1, key, "/book", "panel 7")
		return again.problem.Code != code.ClaimUnavailable
	})
	if again.status != http.StatusOK {
		requireRefusal(t, again, code.StillRunning, code.Unknown)
		requireRetryAfter(t, again)
	}
	first := <-done
	fleet.eventually("the stored answer is replayed", func() bool {
		again = fleet.sendBooking(1, key, "/book", "panel 7")
		return again.status == http.StatusOK
	})
	if first.status == http.StatusOK {
		require.Equal(t, first.body, again.body)
	}
	require.Equal(t, 1, fleet.runsByKey()[key])
}

// TestKeysOutsideRetentionAreRefused guards against a second run of a key whose record may already be deleted. A key
// with a time before the retention period, or in the future, is refused and not run.
func TestKeysOutsideRetentionAreRefused(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 1, 1)
	tooOld := keyWithTime(time.Now().Add(-claim.DefaultRetention - time.Hour))
	inFuture := keyWithTime(time.Now().Add(claim.MaxKeyAhead + time.Hour))
	first := fleet.sendBooking(0, newKey(), "/book", "")
	require.Equal(t, http.StatusOK, first.status, "%+v", first)
	var got bookingAnswer
	fleet.eventually("the retention horizon is known", func() bool {
		got = fleet.sendBooking(0, tooOld, "/book", "")
		return got.problem.Code == code.KeyTooOld
	})
	requireRefusal(t, got, code.KeyTooOld, code.Unknown)
	requireRefusal(t, fleet.sendBooking(0, inFuture, "/book", ""), code.KeyInFuture, code.NotRun)
	require.Zero(t, fleet.runsByKey()[inFuture])
	require.Zero(t, fleet.runsByKey()[tooOld])
}

// TestPlatformOutageRefusesOnlyKeyedCalls guards against a platform outage that affects more than keyed calls. Keyed
// calls are refused immediately as not run, all other requests are served, and the same key runs after the outage.
func TestPlatformOutageRefusesOnlyKeyedCalls(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 2, 1)
	fleet.setFaults(fleet.objectAPI, `{"outage":true}`)
	key := newKey()
	for entry := range fleet.entries {
		got := fleet.sendBooking(entry, key, "/book", "panel 7")
		requireRefusal(t, got, code.ClaimUnavailable, code.NotRun)
		requireRetryAfter(t, got)
	}
	require.Zero(t, fleet.runsByKey()[key])
	require.Equal(t, http.StatusOK, fleet.sendBooking(0, "", "/book", "without a key").status)
	require.Equal(t, http.StatusOK, fleet.send(t.Context(), 1, lookupRequest("/vendor")).status)
	fleet.setFaults(fleet.objectAPI, `{"outage":false}`)
	fleet.eventually("the key runs after the outage", func() bool { return fleet.sendBooking(1, key, "/book", "panel 7").status == http.StatusOK })
	require.Equal(t, 1, fleet.runsByKey()[key])
}

// TestSlowPlatformRefusalsSayWhenToReturn guards against a refusal without a Retry-After header when the platform answers too late for a
// claim. The claims of half of the keys are made by the other entry, whose own time limit for the platform ends before the caller's entry
// gives up.
func TestSlowPlatformRefusalsSayWhenToReturn(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 2, 1)
	fleet.setFaults(fleet.objectAPI, `{"delay_ms":5000}`)
	var senders sync.WaitGroup
	answers := make([]bookingAnswer, 16)
	for i := range answers {
		senders.Go(func() { answers[i] = fleet.sendBooking(0, newKey(), "/book", "panel 7") })
	}
	senders.Wait()
	fleet.setFaults(fleet.objectAPI, `{"delay_ms":0}`)
	for _, got := range answers {
		requireRefusal(t, got, code.ClaimUnavailable, code.NotRun)
		requireRetryAfter(t, got)
	}
}

// TestShortPlatformStallIsWaitedOut guards against a keyed call that is refused because the platform did not answer for a moment, although
// its caller waits long enough for another try.
func TestShortPlatformStallIsWaitedOut(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 1, 1)
	key := newKey()
	fleet.setFaults(fleet.objectAPI, `{"hang":true}`)
	fleet.afterDelay(claims.DefaultClaimTimeout+claim.MinRetryAfter/2, func() { fleet.setFaults(fleet.objectAPI, `{"hang":false}`) })
	got := fleet.sendBooking(0, key, "/book", "panel 7")
	require.Equal(t, http.StatusOK, got.status, "%+v", got)
	require.Equal(t, 1, fleet.runsByKey()[key])
}

// TestUnpreparedEntrySaysWhenToReturn guards against a refusal without a Retry-After header by an entry that has not read the settings yet.
func TestUnpreparedEntrySaysWhenToReturn(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 1, 1)
	fleet.startEntry(1)
	w := httptest.NewRecorder()
	fleet.entries[1].handle(w, httptest.NewRequest(http.MethodGet, "/karrakin/portal/x", nil))
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.NotEmpty(t, w.Header().Get("Retry-After"))
}

// TestCallWithLostAnswerIsNotRepeated has the upstream run a call and drop its answer. The call must not run again,
// with or without a body or key. A repeat of the key is refused with an unknown outcome.
func TestCallWithLostAnswerIsNotRepeated(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 2, 2)
	for _, body := range []string{"panel 7", ""} {
		for _, key := range []string{newKey(), ""} {
			// Open a connection to each upstream: net/http repeats calls by itself only on a reused connection.
			for range 4 {
				require.Equal(t, http.StatusOK, fleet.sendBooking(0, "", "/warm", "").status)
			}
			before := fleet.runsByPath("/lost")
			fleet.setFaults(fleet.plainServer, `{"*":{"drop_answer":1}}`)
			got := fleet.sendBooking(0, key, "/lost", body)
			fleet.setFaults(fleet.plainServer, `{"*":{"drop_answer":0}}`)
			require.Equal(t, code.Unknown, got.problem.Ran, "%+v", got)
			require.Equal(t, before+1, fleet.runsByPath("/lost"))
			if key == "" {
				continue
			}
			var again bookingAnswer
			fleet.eventually("the outcome is recorded", func() bool {
				again = fleet.sendBooking(1, key, "/lost", body)
				return again.problem.Code != code.StillRunning
			})
			requireRefusal(t, again, code.OutcomeUnknown, code.Unknown)
			require.Equal(t, before+1, fleet.runsByPath("/lost"))
		}
	}
}

// runsByPath returns the number of runs of calls whose path ends with path.
func (f *testFleet) runsByPath(path string) int {
	n := 0
	for line := range bytes.Lines(f.get(f.plainServer + "/admin/log")) {
		var e plain.RunEntry
		require.NoError(f.t, json.Unmarshal(line, &e))
		if strings.HasSuffix(e.Path, path) {
			n++
		}
	}
	return n
}

// TestCallsWithoutKeyLeaveNoRecord guards against writing claims to the platform for calls that can't be repeated.
func TestCallsWithoutKeyLeaveNoRecord(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 1, 1)
	for range 5 {
		require.Equal(t, http.StatusOK, fleet.sendBooking(0, "", "/book", "x").status)
	}
	require.Equal(t, 5, fleet.runsByPath("/book"))
	require.NotContains(t, string(fleet.get(fleet.objectAPI+"/v1/list?prefix=claims/")), `"key":"claims/`)
}

// TestConcurrentUseOfOneKeyRunsOnce has callers send each key through all entries at once and repeat it until it is
// answered. Each key must run once, and all its callers must receive the same answer.
func TestConcurrentUseOfOneKeyRunsOnce(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 3, 2)
	const keys = 40
	answers := make([][]string, keys)
	var mu sync.Mutex
	var senders sync.WaitGroup
	for k := range keys {
		key := newKey()
		for entry := range fleet.entries {
			senders.Go(func() {
				for range 100 {
					got := fleet.sendBooking(entry, key, "/book", fmt.Sprint(k))
					if got.status == http.StatusOK {
						mu.Lock()
						answers[k] = append(answers[k], got.body)
						mu.Unlock()
						return
					}
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
	senders.Wait()
	for k, got := range answers {
		require.Len(t, got, len(fleet.entries), "key %d", k)
		for _, body := range got {
			require.Equal(t, got[0], body)
		}
	}
	for key, n := range fleet.runsByKey() {
		require.Equal(t, 1, n, key)
	}
}

// TestDisconnectDuringClaimReleasesKey guards against a key that stays claimed although its call was never sent. The
// caller disconnects during the claim; a later request with the key must run.
func TestDisconnectDuringClaimReleasesKey(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 2, 1)
	fleet.setFaults(fleet.objectAPI, `{"delay_ms":300}`)
	key := newKey()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	disconnected := fleet.send(ctx, 0, testRequest{service: "portal", method: http.MethodPost, path: "/book", body: "panel 7", key: key})
	require.Error(t, disconnected.err)
	fleet.setFaults(fleet.objectAPI, `{"delay_ms":0}`)
	var resent bookingAnswer
	fleet.eventually("the key is released", func() bool {
		resent = fleet.sendBooking(1, key, "/book", "panel 7")
		return resent.status == http.StatusOK
	})
	require.Empty(t, resent.header.Get(HeaderIdempotentReplay))
	require.Equal(t, 1, fleet.runsByKey()[key])
}

// TestOversizedAnswerIsNotStored guards against storing an answer above claim.MaxResponseBodyBytes. It is forwarded only.
func TestOversizedAnswerIsNotStored(t *testing.T) {
	t.Parallel()
	recorder := &responseRecorder{ResponseWriter: &discardWriter{header: http.Header{}}}
	recorder.WriteHeader(http.StatusOK)
	_, err := recorder.Write(make([]byte, claim.MaxResponseBodyBytes))
	require.NoError(t, err)
	require.NotNil(t, recorder.storedResponse())
	_, err = recorder.Write([]byte{1})
	require.NoError(t, err)
	require.Nil(t, recorder.storedResponse())
}

type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d *discardWriter) WriteHeader(int)             {}
