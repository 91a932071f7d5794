package forward_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/storerev"
)

// newPriorityRig returns a rig with a route for each of the ten priorities, or with ten routes of one priority, and accounts with the
// keys "0", "1" and so on. Its engines have 16 slots and take 0.5 s for a usual request.
func newPriorityRig(prioritized bool, accounts int) *rig {
	r := newRig()
	var routes []*catalog.Route
	for p := range 10 {
		route := &catalog.Route{
			Name: fmt.Sprint(p), Host: "h", Prefix: fmt.Sprintf("/%d/", p), Kind: catalog.Streaming, Resumable: true, MaxUpstreams: 2, Shares: share("model"),
			Timeout: 6 * time.Second, Objective: 500 * time.Millisecond,
		}
		if prioritized {
			route.Priority = p
		}
		routes = append(routes, route)
	}
	byKey := map[string]*catalog.ClientAccount{}
	for i := range accounts {
		byKey[fmt.Sprint(i)] = &catalog.ClientAccount{Name: fmt.Sprint(i)}
	}
	m := catalog.NewManifest(2, routes, byKey)
	m.Services["model"] = &catalog.Service{Name: "model", Engine: &catalog.Engine{
		Slots: 16, PromptTokensPerSecond: 20000, MeanAnswerTokens: 45, StepTime: 10 * time.Millisecond, Models: []string{"m"},
	}}
	r.applyCatalog(catalog.ManifestRead{Revision: storerev.Revision{Number: 2}, Manifest: m})
	return r
}

// arriveFrom has a request of a priority and an account arrive.
func (r *rig) arriveFrom(id uint64, priority, account, prompt int) []step.Effect {
	return r.step(forward.Arrived{ID: id, Host: "h", Path: fmt.Sprintf("/%d/x", priority), Key: fmt.Sprint(account), Model: "m", Budget: 6 * time.Second, PromptTokens: prompt})
}

// yielded returns the IDs of the requests that yielded.
func yielded(effects []step.Effect) (ids []uint64) {
	for _, e := range effects {
		if y, ok := e.(forward.Yielded); ok {
			ids = append(ids, y.ID)
		}
	}
	return ids
}

// addFull adds an engine at which all slots but the given number are taken by other entries.
func (r *rig) addFull(id, dataCentre string, free int) {
	r.add(id, "model", dataCentre, 16)
	r.report(id, free)
}

// report has an engine report that so many of its slots are free.
func (r *rig) report(id string, free int) []step.Effect {
	return r.step(forward.LoadReported{Address: id, RequestCount: 16 - free, Versions: map[string]int64{"m": 1}, Entries: 1, NearEntries: 1})
}

// TestSlotGoesToTheMostUrgent: requests of three priorities wait at a full engine. Guards against giving the slot to the newest one, or
// to one that arrives just then.
func TestSlotGoesToTheMostUrgent(t *testing.T) {
	r := newPriorityRig(true, 1)
	r.addFull("m1", "perth-a", 1)
	require.Equal(t, []uint64{1}, sentIDs(r.arriveFrom(1, 9, 0, 100)))
	for i, priority := range []int{5, 0, 9} {
		require.Empty(t, sentIDs(r.arriveFrom(uint64(i+2), priority, 0, 100)))
	}
	require.Equal(t, [10]int{0: 1, 5: 1, 9: 1}, r.state.Waiting())
	require.Equal(t, uint64(3), r.finish(t, 1))
	require.Equal(t, uint64(2), r.finish(t, 3))
}

// TestUrgentLongPromptIsNotOvertakenByShortOnes: an engine has free slots, but its pending prompts leave no room for the prompt of an
// urgent request. Guards against less urgent requests with short prompts that arrive and take that room over and over.
func TestUrgentLongPromptIsNotOvertakenByShortOnes(t *testing.T) {
	r := newPriorityRig(true, 1)
	r.addFull("m1", "perth-a", 16) // It processes 1,800 prompt tokens in 90 ms.
	require.Equal(t, []uint64{1}, sentIDs(r.arriveFrom(1, 9, 0, 1000)))
	require.Empty(t, sentIDs(r.arriveFrom(2, 0, 0, 1500)), "there is room for 800 tokens")
	effects := r.arriveFrom(3, 9, 0, 100)
	require.Empty(t, sentIDs(effects))
	require.Equal(t, []uint64{3}, yielded(effects))
	require.Equal(t, []uint64{4}, sentIDs(r.arriveFrom(4, 0, 0, 100)), "equally urgent")
	require.Equal(t, []uint64{2, 3}, sentIDs(append(r.step(forward.Started{ID: 1, Version: 1}), r.step(forward.Started{ID: 4, Version: 1})...)))
}

// TestYieldingLeavesNoSlotIdle: an urgent request waits that must not or can't use the free slot, or more slots are free than are needed
// for it. Guards against less urgent requests that wait for nothing.
func TestYieldingLeavesNoSlotIdle(t *testing.T) {
	r := newPriorityRig(true, 1)
	r.state.Catalog.Manifest.Route("h", "/0/x").HomeRegions = []string{"southwest"}
	r.addFull("near", "perth-a", 16)
	r.addFull("home", "bunbury-a", 0)
	require.Empty(t, sentIDs(r.arriveFrom(1, 0, 0, 100)), "its home is full")
	effects := r.arriveFrom(2, 9, 0, 100)
	require.Equal(t, []uint64{2}, sentIDs(effects))
	require.Empty(t, yielded(effects))
	r = newPriorityRig(true, 1)
	r.addFull("m1", "perth-a", 16)
	r.addFull("m2", "perth-a", 16)
	require.Len(t, sentIDs(append(r.arriveFrom(1, 9, 0, 1000), r.arriveFrom(2, 9, 0, 1000)...)), 2)
	require.Empty(t, sentIDs(r.arriveFrom(3, 0, 0, 1500)))
	require.Equal(t, []uint64{4}, sentIDs(r.arriveFrom(4, 9, 0, 100)), "one of the two engines is enough for the urgent one")
}

// TestYieldingRequestIsRefusedAfterItsWait guards against holding a request that yields beyond its wait limit, 0.2 s here, and against a
// refusal from which nobody sees why.
func TestYieldingRequestIsRefusedAfterItsWait(t *testing.T) {
	r := newPriorityRig(true, 1)
	r.addFull("m1", "perth-a", 16)
	r.arriveFrom(1, 9, 0, 1000)
	r.arriveFrom(2, 0, 0, 1500)
	r.now += 50 * time.Millisecond
	require.Empty(t, sentIDs(r.arriveFrom(3, 9, 0, 100)))
	r.now += 149 * time.Millisecond
	require.Empty(t, refusals(r.step(step.Tick{})))
	r.now += 49 * time.Millisecond
	r.arriveFrom(4, 0, 0, 1500)
	r.now += 2 * time.Millisecond
	refused := refusals(r.step(step.Tick{}))
	require.Equal(t, []uint64{2, 3}, []uint64{refused[0].ID, refused[1].ID})
	require.Equal(t, code.NotRun, refused[1].Ran)
	require.GreaterOrEqual(t, refused[1].RetryAfter, 950*time.Millisecond)
	require.Contains(t, refused[1].Reason, "(priority 9, 1 requests with 525ms of work ahead)")
}

// TestRefusedCallersCanFollowTheirDelays guards against delays that are longer than callers wait, a third of the time that they have left,
// and against callers who return at the same moment because their waits ended with the same tick.
func TestRefusedCallersCanFollowTheirDelays(t *testing.T) {
	r := newPriorityRig(true, 1)
	r.addFull("m1", "perth-a", 0)
	for id := uint64(1); id <= 20; id++ {
		r.step(forward.Arrived{ID: id, Host: "h", Path: "/0/x", Key: "0", Model: "m", Budget: 4 * time.Second})
	}
	r.now += 201 * time.Millisecond
	refused := refusals(r.step(step.Tick{}))
	require.Len(t, refused, 20)
	delays := map[time.Duration]bool{}
	for _, refuse := range refused {
		require.GreaterOrEqual(t, refuse.RetryAfter, 950*time.Millisecond)
		require.LessOrEqual(t, refuse.RetryAfter, (4*time.Second-r.now)/3)
		delays[refuse.RetryAfter] = true
	}
	require.Greater(t, len(delays), 15)
}

// TestMaximumAnswerSaysLittleAboutWork guards against charging an account for the highest answer length that its callers allow, instead
// of the usual one: it would get a fraction of its share.
func TestMaximumAnswerSaysLittleAboutWork(t *testing.T) {
	r := newPriorityRig(true, 2)
	r.addFull("m1", "perth-a", 2)
	arrive := func(id uint64, account string, maxTokens int) []uint64 {
		return sentIDs(r.step(forward.Arrived{ID: id, Host: "h", Path: "/3/x", Key: account, Model: "m", Budget: 6 * time.Second, PromptTokens: 100, MaxAnswerTokens: maxTokens}))
	}
	require.Len(t, append(arrive(1, "0", 4000), arrive(2, "1", 45)...), 2)
	require.Empty(t, append(arrive(3, "0", 4000), arrive(4, "1", 45)...))
	require.Equal(t, uint64(3), r.finish(t, 1), "both accounts have received the same, and it is the older one")
}

// TestNoSlotIsLeftIdle: a service that is full for 16 s, with four priorities, two accounts, prompts of all sizes, and manifests by which
// priorities end and return. Guards against requests that wait while an upstream has room for them, are lost from the queue, or wait
// beyond their limit: a tick right after any event sends nothing more, and none waits for over 0.2 s. With attempts that end as silent, they
// wait for the silent upstreams, but not beyond their deadline.
func TestNoSlotIsLeftIdle(t *testing.T) {
	t.Run("no upstream is silent", func(t *testing.T) { checkNoIdleSlot(t, false, 200*time.Millisecond) })
	t.Run("upstreams are silent", func(t *testing.T) { checkNoIdleSlot(t, true, 6*time.Second) })
}

// checkNoIdleSlot fails if a request waits while an upstream has room for it, or for as long as the limit. Attempts end as silent only if
// silent is set.
func checkNoIdleSlot(t *testing.T, silent bool, limit time.Duration) {
	r := newPriorityRig(true, 2)
	manifests := []*catalog.Manifest{r.state.Catalog.Manifest, newPriorityRig(false, 2).state.Catalog.Manifest}
	manifests[0].Route("h", "/1/x").HomeRegions = []string{"southwest"}
	for i := range 6 {
		r.add(fmt.Sprintf("m%d", i), "model", []string{"perth-a", "bunbury-a"}[i%2], 8)
	}
	random, with, waitingSince, sends := rand.New(rand.NewPCG(3, 4)), []uint64(nil), map[uint64]time.Duration{}, 0
	note := func(effects []step.Effect) (sent int) {
		for _, e := range effects {
			switch e := e.(type) {
			case forward.Accepted:
				waitingSince[e.ID] = r.now
			case forward.Send:
				delete(waitingSince, e.ID)
				with, sent = append(with, e.ID), sent+1
			case forward.Refuse:
				delete(waitingSince, e.ID)
			}
		}
		return sent
	}
	for id := uint64(1); id <= 8000; id++ {
		r.now += 2 * time.Millisecond
		if id%1000 == 0 {
			r.applyCatalog(catalog.ManifestRead{Revision: storerev.Revision{Number: int64(id)}, Manifest: manifests[id/1000%2]})
		}
		note(r.step(step.Tick{})) // Some limits end by time alone.
		ev := overloadEvent(random, with, id)
		switch e := ev.(type) {
		case forward.Arrived:
			e.Path, e.Key, e.BodyReadTime = fmt.Sprintf("/%d/x", random.IntN(4)), fmt.Sprint(random.IntN(2)), 0
			ev = e
		case forward.AttemptEnded:
			with = slices.DeleteFunc(with, func(id uint64) bool { return id == e.ID })
			if e.Outcome == forward.Silent && !silent {
				e.Outcome = forward.Declined
				ev = e
			}
		case forward.CallerGone:
			delete(waitingSince, e.ID)
		}
		sends += note(r.step(ev))
		if idle := note(r.step(step.Tick{})); r.state.Catalog.Manifest == manifests[0] { // Else a first event makes room only with a tick.
			require.Zero(t, idle, "after event %d: %T", id, ev)
		}
		waiting := 0
		for _, n := range r.state.Waiting() {
			waiting += n
		}
		require.Len(t, waitingSince, waiting)
		for id, since := range waitingSince {
			require.Less(t, r.now-since, limit, "request %d", id)
		}
	}
	require.Greater(t, sends, 100)
}
