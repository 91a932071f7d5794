package claims_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/claims"
	"samphireweir.example/samphireweir/internal/core/claim"
)

// moment is a step of a claim at which a fault strikes its owner.
type moment struct {
	name   string
	method string
	stage  stage
}

var moments = []moment{
	{"before the head is read", http.MethodGet, beforeCall},
	{"after the head is read", http.MethodGet, afterCall},
	{"before the head is written", http.MethodPut, beforeCall},
	{"after the head is written", http.MethodPut, afterCall},
}

// strike is a fault that strikes at a moment; it returns the error of the call to the platform, if that gets one.
type strike struct {
	name string
	hit  func(f *faultCase) error
	// heal ends the fault.
	heal func(f *faultCase)
}

// faultCase is one fault at one step.
type faultCase struct {
	b     *bench
	owner *node
	other *node
	third *node
	key   string
}

var errCut = fmt.Errorf("connection cut")

var strikes = []strike{
	{
		name: "connection cut",
		hit:  func(*faultCase) error { return errCut },
		heal: func(*faultCase) {},
	}, {
		name: "outage",
		hit:  func(f *faultCase) error { f.b.faults(`{"outage":true}`); return nil },
		heal: func(f *faultCase) { f.b.faults(`{"outage":false}`) },
	}, {
		name: "platform hangs",
		hit:  func(f *faultCase) error { f.b.faults(`{"hang":true}`); return nil },
		heal: func(f *faultCase) { f.b.faults(`{"hang":false}`) },
	}, {
		name: "platform slow",
		hit:  func(f *faultCase) error { f.b.faults(`{"delay_ms":400}`); return nil },
		heal: func(f *faultCase) { f.b.faults(`{"delay_ms":0}`) },
	}, {
		name: "answer lost after the effect",
		hit:  func(f *faultCase) error { f.b.faults(`{"lose_next_answers":1}`); return nil },
		heal: func(f *faultCase) { f.b.faults(`{"lose_next_answers":0}`) },
	}, {
		name: "another owner writes",
		hit: func(f *faultCase) error {
			f.own(f.other, samePartition(f.key))
			return nil
		},
		heal: func(*faultCase) {},
	}, {
		name: "another owner is asked the same",
		hit: func(f *faultCase) error {
			f.own(f.other, f.key)
			return nil
		},
		heal: func(*faultCase) {},
	}, {
		name: "owner paused",
		hit:  func(f *faultCase) error { f.owner.pause(); return nil },
		heal: func(f *faultCase) { f.owner.resume() },
	}, {
		name: "owner killed",
		hit:  func(f *faultCase) error { f.owner.kill(); return nil },
		heal: func(f *faultCase) {},
	},
}

// own lets n claim a key for a request of its own and give it back, as a process does that takes itself for the owner.
func (f *faultCase) own(n *node, key string) {
	c := newClaim(key, uuid.NewString())
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if n.Own(ctx, c).Verdict == claim.Granted {
		n.Settle(settlement(c, claim.Released))
	}
}

// samePartition returns another key of the key's partition.
func samePartition(key string) string {
	want := claim.HashKey("team", "service", key).Partition()
	for {
		other := uuid.Must(uuid.NewV7()).String()
		if claim.HashKey("team", "service", other).Partition() == want {
			return other
		}
	}
}

// newFaultCase takes a key, its owner and the next in line for it.
func newFaultCase(b *bench) *faultCase {
	key := uuid.Must(uuid.NewV7()).String()
	ranked := claim.RankOwners(claim.HashKey("team", "service", key).Partition(), b.nodes[0].Entries())
	return &faultCase{b: b, key: key, owner: b.at(ranked[0]), other: b.at(ranked[1]), third: b.at(ranked[2])}
}

func (b *bench) at(address string) *node {
	for _, n := range b.nodes {
		if n.address == address {
			return n
		}
	}
	return nil
}

// TestFaultAtEachStep lets each fault strike the owner of a partition at each step of a claim, while the caller
// resends through other entries. The call runs at most once, and a key that was refused as not run can be used.
func TestFaultAtEachStep(t *testing.T) {
	for _, s := range strikes {
		for _, m := range moments {
			t.Run(s.name+"/"+m.name, func(t *testing.T) {
				t.Parallel()
				strikeAt(t, s, m)
			})
		}
	}
}

// strikeOnce lets the fault strike the owner once, at a moment of its calls. struck tells whether that is done: a fault
// that is still on its way could strike after it was healed, or after the test.
func (f *faultCase) strikeOnce(s strike, m moment) (struck func() bool) {
	var begun, done atomic.Bool
	f.owner.setHook(func(at stage, r *http.Request) error {
		if at != m.stage || r.Method != m.method || !strings.HasSuffix(r.URL.Path, "/head") || !begun.CompareAndSwap(false, true) {
			return nil
		}
		defer done.Store(true)
		return s.hit(f)
	})
	return done.Load
}

func strikeAt(t *testing.T, s strike, m moment) {
	b := newBench(t, 3)
	f := newFaultCase(b)
	struck := f.strikeOnce(s, m)
	resender := f.third
	first := f.attempt(resender)
	require.Eventually(t, struck, 20*time.Second, 5*time.Millisecond, "the fault did not strike")
	second := f.attempt(f.other)
	s.heal(f)
	f.owner.setHook(nil)
	requireTrue(t, first, second)
	// With the fault over, the key is as good as its state: it runs, or its answer is kept.
	require.Eventually(t, func() bool {
		a := f.attempt(resender)
		return a.verdict == claim.Granted || a.verdict == claim.Replayed
	}, 8*time.Second, 50*time.Millisecond)
	require.Equal(t, 1, b.runs()[f.key])
}

// attempted is what a resend of the call met.
type attempted struct {
	verdict claim.Verdict
	took    time.Duration
}

// attempt sends the call through an entry, and runs it when the claim is granted.
func (f *faultCase) attempt(n *node) attempted {
	c := newClaim(f.key, uuid.NewString())
	begin := time.Now()
	a := n.Make(context.Background(), c)
	if a.Verdict == claim.Granted {
		f.b.call(f.key, c.Request)
		n.Settle(settlement(c, claim.Ran))
	}
	return attempted{verdict: a.Verdict, took: time.Since(begin)}
}

// requireTrue checks that what two attempts met can both be true.
func requireTrue(t *testing.T, first, second attempted) {
	granted := 0
	for _, a := range []attempted{first, second} {
		if a.verdict == claim.Granted {
			granted++
		}
		require.Less(t, a.took, 10*testTiming().Claim, "an answer that was not bounded")
	}
	require.LessOrEqual(t, granted, 1)
}

// TestOutageRefusesAtOnce: in an outage a claim is refused as not made, with Retry-After, without waiting; afterwards the
// same key can be used.
func TestOutageRefusesAtOnce(t *testing.T) {
	b := newBench(t, 3)
	warm := newClaim("warm", "w")
	require.Equal(t, claim.Granted, b.nodes[0].Make(context.Background(), warm).Verdict)
	b.faults(`{"outage":true}`)
	key := uuid.Must(uuid.NewV7()).String()
	for _, n := range b.nodes {
		a := n.Make(context.Background(), newClaim(key, uuid.NewString()))
		require.Equal(t, claim.NotRecorded, a.Verdict)
		require.GreaterOrEqual(t, a.RetryAfterMS, claim.MinRetryAfter.Milliseconds())
	}
	b.faults(`{"outage":false}`)
	require.Eventually(t, func() bool {
		return b.nodes[1].Make(context.Background(), newClaim(key, uuid.NewString())).Verdict == claim.Granted
	}, 5*time.Second, 50*time.Millisecond)
}

// TestRateLimitRefusesAtOnce: 429 is like an outage: nothing was made.
func TestRateLimitRefusesAtOnce(t *testing.T) {
	b := newBench(t, 1)
	n := b.nodes[0]
	n.setHook(nil)
	limited := claims.New(claims.Config{Self: n.address, Objects: limitedPlatform(t), Peers: n, Claims: testBounds(), Timing: testTiming()})
	first := limited.Make(context.Background(), newClaim("a", "r1"))
	require.Equal(t, claim.Granted, first.Verdict)
	second := limited.Make(context.Background(), newClaim("a2", "r2"))
	for i := 0; second.Verdict == claim.Granted && i < 10; i++ {
		second = limited.Make(context.Background(), newClaim(fmt.Sprintf("b%d", i), "r"))
	}
	require.Equal(t, claim.NotRecorded, second.Verdict)
	require.Positive(t, second.RetryAfterMS)
}
