package forward_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/step"
)

// sentIDs returns the IDs of the requests that effects send.
func sentIDs(effects []step.Effect) []uint64 {
	var ids []uint64
	for _, e := range effects {
		if s, ok := e.(forward.Send); ok {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// arrivePrompt has a request arrive with a prompt of the given number of tokens.
func (r *rig) arrivePrompt(id uint64, tokens int) []step.Effect {
	return r.step(forward.Arrived{
		ID: id, Host: "h", Path: resumableStream + "x", Key: "key-1", Model: "m", Budget: 6 * time.Second, PromptTokens: tokens,
	})
}

// TestReturningEngineIsNotSentAllPromptsAtOnce guards against long waits for the first event at an engine that accepts requests
// again while many are queued. It processes prompts one after the other, 30 tokens per millisecond, so the tenth prompt of 1000
// tokens would wait a third of a second.
func TestReturningEngineIsNotSentAllPromptsAtOnce(t *testing.T) {
	r := newRig()
	r.add("m1", "model", "perth-a", 16)
	report := func(notAccepting bool) []uint64 {
		return sentIDs(r.step(forward.LoadReported{Address: "m1", NotAccepting: notAccepting, Versions: map[string]int64{"m": 1}}))
	}
	r.add("m2", "model", "perth-a", 1)
	report(true)
	r.step(forward.LoadReported{Address: "m2", RequestCount: 1, Versions: map[string]int64{"m": 1}})
	for id := uint64(1); id <= 10; id++ {
		require.Empty(t, sentIDs(r.arrivePrompt(id, 1000)))
	}
	first := report(false)
	require.Len(t, first, 2, "90 ms of prefill are 2,700 tokens")
	require.Empty(t, report(false))
	r.step(forward.Started{ID: first[0]})
	require.Len(t, sentIDs(r.step(step.Tick{})), 1, "there is capacity for the next prompt once one was processed")
}

// TestLongPromptIsSentToAnIdleEngine guards against a prompt that is never sent because it alone exceeds the prefill limit.
func TestLongPromptIsSentToAnIdleEngine(t *testing.T) {
	r := newRig()
	r.add("m1", "model", "perth-a", 16)
	require.Len(t, sentIDs(r.arrivePrompt(1, 9000)), 1)
	require.Empty(t, sentIDs(r.arrivePrompt(2, 10)))
}

// TestResumedStreamDoesNotWaitForPrefill guards against aborting a broken stream because the only other engine has many prompt
// tokens pending.
func TestResumedStreamDoesNotWaitForPrefill(t *testing.T) {
	r := newRig()
	r.add("m1", "model", "perth-a", 16)
	only[forward.Send](t, r.arrivePrompt(1, 100))
	r.add("m2", "model", "perth-a", 16)
	r.step(forward.LoadReported{Address: "m1", NotAccepting: true, Versions: map[string]int64{"m": 1}})
	only[forward.Send](t, r.arrivePrompt(2, 9000))
	again := only[forward.Send](t, r.step(forward.AttemptEnded{ID: 1, Outcome: forward.Broken, Partial: true}))
	require.Equal(t, "m2", again.Upstream.ID)
}

// TestLastSlotsOfAFarEngineAreReserved guards against overfilling an engine in another data centre when both data centres are at
// capacity: its load report is old, and its last slots are taken by the time a request arrives.
func TestLastSlotsOfAFarEngineAreReserved(t *testing.T) {
	for _, c := range []struct {
		dataCentre string
		occupied   int
		sent       bool
	}{{"perth-a", 15, true}, {"perth-a", 16, false}, {"bunbury-a", 13, true}, {"bunbury-a", 14, false}} {
		r := newRig()
		r.add("m1", "model", c.dataCentre, 16)
		r.step(forward.LoadReported{Address: "m1", RequestCount: c.occupied, Versions: map[string]int64{"m": 1}})
		require.Equal(t, c.sent, len(sentIDs(r.arrivePrompt(1, 100))) == 1, "%+v", c)
	}
}

// TestEntriesSharePrefillCapacity guards against several entries that each send an engine as many prompt tokens as it can process,
// when it accepts requests again.
func TestEntriesSharePrefillCapacity(t *testing.T) {
	for _, c := range []struct {
		dataCentre string
		near, sent int
	}{{"perth-a", 1, 5}, {"perth-a", 2, 2}, {"perth-a", 5, 1}, {"bunbury-a", 1, 1}} {
		r := newRig()
		r.add("m1", "model", c.dataCentre, 100)
		r.step(forward.LoadReported{Address: "m1", Versions: map[string]int64{"m": 1}, Entries: 6, NearEntries: c.near})
		sent := 0
		for id := uint64(1); id <= 10; id++ {
			sent += len(sentIDs(r.arrivePrompt(id, 500)))
		}
		require.Equal(t, c.sent, sent, "%+v", c)
	}
}
