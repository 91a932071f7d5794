package engine

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"samphireweir.example/samphireweir/internal/standin/serve"
)

// loadedEngine returns an engine with weights whose step loop doesn't run.
func loadedEngine(config Config) *engine {
	e := newEngine("e1", config, &serve.Log[any]{})
	e.digest = "d1"
	return e
}

func newRequest(id, prompt string, priority int) *request {
	return &request{id: id, prompt: prompt, priority: priority, maxTokens: 1, out: make(chan TokenEvent, 1)}
}

// TestQueueOrdersByPriorityThenArrival guards against requests that overtake others of a higher or the same priority in
// the queue.
func TestQueueOrdersByPriorityThenArrival(t *testing.T) {
	e := loadedEngine(Config{Batch: 1})
	for _, r := range []*request{newRequest("a", "", 5), newRequest("b", "", 0), newRequest("c", "", 5), newRequest("d", "", 0)} {
		assert.Empty(t, e.submit(r))
	}
	var order []string
	for range 4 {
		e.beginStep()
		order = append(order, e.running[0].id)
		e.endStep()
	}
	assert.Equal(t, []string{"b", "d", "a", "c"}, order)
}

// TestStepServesWholeBatch guards against a step that serves more requests than the batch size, or whose duration
// depends on the number of requests.
func TestStepServesWholeBatch(t *testing.T) {
	e := loadedEngine(Config{Batch: 2, Step: time.Second})
	for _, id := range []string{"a", "b", "c"} {
		e.submit(newRequest(id, "", 5))
	}
	assert.Equal(t, time.Second, e.beginStep())
	assert.Len(t, e.running, 2)
	e.endStep()
	assert.Empty(t, e.running)
	assert.Len(t, e.waiting, 1)
}

// TestPrefillIsSkippedForCachedPrefix guards against a prefill that is charged again for a prefix in the cache.
func TestPrefillIsSkippedForCachedPrefix(t *testing.T) {
	e := loadedEngine(Config{Batch: 9, PrefillUSPerChar: 10, CacheEntries: 9})
	prompt := strings.Repeat("x", prefixCharacters)
	assert.Equal(t, 2560*time.Microsecond, e.prefill(newRequest("a", prompt, 5)))
	assert.Zero(t, e.prefill(newRequest("b", prompt+"y", 5)))
}

// TestImportedKVSkipsPrefill guards against a prefill despite an imported KV cache, and against the use of a KV cache
// from other weights.
func TestImportedKVSkipsPrefill(t *testing.T) {
	e := loadedEngine(Config{Batch: 9, PrefillUSPerChar: 10, CacheEntries: 9})
	e.kv.put("a", kvBytes("d1", "prompt"))
	e.kv.put("b", kvBytes("d0", "other"))
	assert.Zero(t, e.prefill(newRequest("a", "prompt", 5)))
	assert.NotZero(t, e.prefill(newRequest("b", "other", 5)))
}

// TestSlowFactorMultipliesStepTime guards against a slow_factor fault that has no effect.
func TestSlowFactorMultipliesStepTime(t *testing.T) {
	e := loadedEngine(Config{Batch: 1, Step: time.Second})
	assert.NoError(t, e.faults.Merge([]byte(`{"slow_factor":3}`)))
	assert.Equal(t, 3*time.Second, e.beginStep())
}

// TestLoadIsReportedWithLag guards against a load report that is newer than the lag allows.
func TestLoadIsReportedWithLag(t *testing.T) {
	begin := time.Now()
	history := loadHistory{lag: time.Second}
	history.add(Load{Running: 1}, begin)
	history.add(Load{Running: 2}, begin.Add(time.Second))
	assert.Equal(t, 0, history.reportedAt(begin.Add(time.Second/2)).Running)
	assert.Equal(t, 1, history.reportedAt(begin.Add(time.Second)).Running)
	assert.Equal(t, 1, history.reportedAt(begin.Add(3*time.Second/2)).Running)
	late := history.reportedAt(begin.Add(2 * time.Second))
	assert.Equal(t, 2, late.Running)
	assert.Equal(t, begin.Add(time.Second).UnixMilli(), late.AsOfMS)
}

// TestEventsAreDelayedWithGaps guards against events that are reported before the lag or without the configured losses,
// and against an empty result for a sequence number from before a crash.
func TestEventsAreDelayedWithGaps(t *testing.T) {
	const added = 100
	begin := time.Now()
	log := newEventLog(time.Second, 0.5, 1)
	for range added {
		log.add(eventStored, "p", begin)
	}
	assert.Equal(t, Events{Events: []CacheEvent{}, Next: 0}, log.after(0, begin))
	seen := log.after(0, begin.Add(time.Second))
	assert.Equal(t, int64(added), seen.Next)
	assert.NotEmpty(t, seen.Events)
	assert.Less(t, len(seen.Events), added)
	assert.Equal(t, seen, log.after(added+1, begin.Add(time.Second)))
}

// TestPrefixHashCountsCharactersNotBytes guards against a prefix that is cut at a number of bytes.
func TestPrefixHashCountsCharactersNotBytes(t *testing.T) {
	long := strings.Repeat("é", prefixCharacters)
	assert.Equal(t, PrefixHash(long), PrefixHash(long+"x"))
	assert.NotEqual(t, PrefixHash("a"), PrefixHash("b"))
	assert.Len(t, PrefixHash("a"), prefixDigits)
}
