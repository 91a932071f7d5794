package forward_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/step"
)

// sends returns the requests that effects send.
func sends(effects []step.Effect) []uint64 {
	var ids []uint64
	for _, e := range effects {
		if s, ok := e.(forward.Send); ok {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// prompt has a caller send a request with a prompt of some tokens.
func (r *rig) prompt(id uint64, tokens int) []step.Effect {
	return r.step(forward.Arrived{
		ID: id, Host: "h", Path: reports + "x", Key: "key-1", Model: "m", Budget: 6 * time.Second, Prompt: tokens,
	})
}

// TestAnEngineThatJoinsEmptyIsNotGivenAllPromptsAtOnce is the load of an engine that takes work again while many wait: it reads prompts one
// after the other, at 30 tokens a millisecond, so that the tenth of a thousand tokens would wait a third of a second for the nine before it.
func TestAnEngineThatJoinsEmptyIsNotGivenAllPromptsAtOnce(t *testing.T) {
	r := newRig()
	r.add("m1", "model", "perth-a", 16)
	told := func(closing bool) []uint64 {
		return sends(r.step(forward.LoadTold{Address: "m1", Closing: closing, Versions: map[string]int64{"m": 1}}))
	}
	r.add("m2", "model", "perth-a", 1)
	told(true)
	r.step(forward.LoadTold{Address: "m2", Occupied: 1, Versions: map[string]int64{"m": 1}})
	for id := uint64(1); id <= 10; id++ {
		require.Empty(t, sends(r.prompt(id, 1000)))
	}
	first := told(false)
	require.Len(t, first, 2, "90 ms of reading are 2,700 tokens")
	require.Empty(t, told(false))
	r.step(forward.Began{ID: first[0]})
	require.Len(t, sends(r.step(step.Tick{})), 1, "there is room for the next prompt once one was read")
}

// TestALongPromptIsSentToAnEngineThatReadsNothing has a prompt alone be more than an engine is given at once.
func TestALongPromptIsSentToAnEngineThatReadsNothing(t *testing.T) {
	r := newRig()
	r.add("m1", "model", "perth-a", 16)
	require.Len(t, sends(r.prompt(1, 9000)), 1)
	require.Empty(t, sends(r.prompt(2, 10)))
}

// TestAStreamThatGoesOnElsewhereDoesNotWaitForPrompts breaks a stream while the only other engine has much to read.
func TestAStreamThatGoesOnElsewhereDoesNotWaitForPrompts(t *testing.T) {
	r := newRig()
	r.add("m1", "model", "perth-a", 16)
	only[forward.Send](t, r.prompt(1, 100))
	r.add("m2", "model", "perth-a", 16)
	r.step(forward.LoadTold{Address: "m1", Closing: true, Versions: map[string]int64{"m": 1}})
	only[forward.Send](t, r.prompt(2, 9000))
	again := only[forward.Send](t, r.step(forward.SendEnded{ID: 1, Outcome: forward.Broken, Partial: true}))
	require.Equal(t, "m2", again.Upstream.ID)
}

// TestTheLastPlacesOfAFarEngineAreForItsNeighbours is the load of two data centres at their capacity: what an entry hears of a far engine is
// old, and its last places are taken by then.
func TestTheLastPlacesOfAFarEngineAreForItsNeighbours(t *testing.T) {
	for _, c := range []struct {
		dataCentre string
		occupied   int
		sent       bool
	}{{"perth-a", 15, true}, {"perth-a", 16, false}, {"bunbury-a", 13, true}, {"bunbury-a", 14, false}} {
		r := newRig()
		r.add("m1", "model", c.dataCentre, 16)
		r.step(forward.LoadTold{Address: "m1", Occupied: c.occupied, Versions: map[string]int64{"m": 1}})
		require.Equal(t, c.sent, len(sends(r.prompt(1, 100))) == 1, "%+v", c)
	}
}

// TestEntriesShareWhatAnEngineReads is the moment at which an engine takes work again before several entries, in each of which some wait.
func TestEntriesShareWhatAnEngineReads(t *testing.T) {
	for _, c := range []struct {
		dataCentre string
		near, sent int
	}{{"perth-a", 1, 5}, {"perth-a", 2, 2}, {"perth-a", 5, 1}, {"bunbury-a", 1, 1}} {
		r := newRig()
		r.add("m1", "model", c.dataCentre, 100)
		r.step(forward.LoadTold{Address: "m1", Versions: map[string]int64{"m": 1}, Entries: 6, Near: c.near})
		sent := 0
		for id := uint64(1); id <= 10; id++ {
			sent += len(sends(r.prompt(id, 500)))
		}
		require.Equal(t, c.sent, sent, "%+v", c)
	}
}
