package claims_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/claim"
	objects "samphireweir.example/samphireweir/internal/objectapi"
	"samphireweir.example/samphireweir/internal/standin/objectapi"
)

// newRateLimitedPlatform returns a client of a platform that accepts one write per second.
func newRateLimitedPlatform(t *testing.T) *objects.Client {
	s := httptest.NewServer(objectapi.NewServer(objectapi.Config{WritesPerSecond: 1, History: 10}))
	t.Cleanup(s.Close)
	return objects.NewClient(s.URL, s.Client())
}

// opKind is the kind of an operation in a history.
type opKind int

const (
	opClaim opKind = iota
	opRelease
	opRun
)

// input is an operation on one key.
type input struct {
	key     string
	kind    opKind
	request string
}

// output is the verdict and, for a replay, the request whose response was stored.
type output struct {
	verdict  claim.Verdict
	storedBy string
}

// keyState is the model's state of one key: free, held by a request, or run by its holder.
type keyState struct {
	holder string
	ran    bool
}

// historyModel returns the specification of a key: it is granted only while it is free, its call runs once and only for
// its holder, and a verdict that says that the call ran is true.
func historyModel() porcupine.Model {
	return porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			parts := map[string][]porcupine.Operation{}
			for _, op := range history {
				key := op.Input.(input).key
				parts[key] = append(parts[key], op)
			}
			var list [][]porcupine.Operation
			for _, part := range parts {
				list = append(list, part)
			}
			return list
		},
		Init: func() any { return keyState{} },
		Step: func(state, in, out any) (bool, any) {
			return stepKey(state.(keyState), in.(input), out.(output))
		},
	}
}

func stepKey(s keyState, in input, out output) (bool, any) {
	switch in.kind {
	case opRun:
		return s.holder == in.request && !s.ran, keyState{holder: in.request, ran: true}
	case opRelease:
		return s.holder == in.request && !s.ran, keyState{}
	}
	switch out.verdict {
	case claim.Granted:
		return s.holder == "", keyState{holder: in.request}
	case claim.Replayed:
		return s.ran && out.storedBy == s.holder, s
	case claim.AlreadyRan:
		return s.ran, s
	}
	return true, s // The other verdicts are possible in any state. The simulation in package claim checks them.
}

// history records the operations of all callers with their times.
type history struct {
	mu        sync.Mutex
	startedAt time.Time
	ops       []porcupine.Operation
}

func (h *history) now() int64 { return time.Since(h.startedAt).Nanoseconds() }

func (h *history) add(client int, in input, out output, call, done int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: call, Return: done})
}

// endOfHistory is later than any operation, in nanoseconds. It is the return time of an operation whose effect may
// occur at any time after its call.
const endOfHistory = int64(1) << 62

// TestRandomHistoriesUnderFaultsAreConsistent guards against any sequence of faults in which a key's call runs twice or
// a verdict is false. Callers share keys and resend through all entries, while entries are paused, killed and replaced
// and the platform has outages, delays and lost responses.
func TestRandomHistoriesUnderFaultsAreConsistent(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			runHistory(t, seed)
		})
	}
}

func runHistory(t *testing.T, seed uint64) {
	const callers, calls, keys = 8, 150, 500
	cl := newCluster(t, 3)
	h := &history{startedAt: time.Now()}
	names := make([]string, keys)
	for i := range names {
		names[i] = uuid.Must(uuid.NewV7()).String()
		if i%3 == 0 {
			names[i] = fmt.Sprintf("plain-%d-%d", seed, i)
		}
	}
	stop := make(chan struct{})
	var work, trouble sync.WaitGroup
	trouble.Go(func() { cl.injectFaults(rand.New(rand.NewPCG(seed, 1)), stop) })
	for c := range callers {
		work.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(c)+10))
			for range calls {
				cl.useKey(h, rng, c, names[rng.IntN(keys)])
			}
		})
	}
	work.Wait()
	close(stop)
	trouble.Wait()
	for key, n := range cl.runCounts() {
		require.LessOrEqual(t, n, 1, "key %s ran %d times", key, n)
	}
	result := porcupine.CheckOperationsTimeout(historyModel(), h.ops, 10*time.Second)
	require.Equal(t, porcupine.Ok, result)
	granted := 0
	for _, op := range h.ops {
		if op.Output.(output).verdict == claim.Granted {
			granted++
		}
	}
	t.Logf("%d operations, %d granted, %d keys ran", len(h.ops), granted, len(cl.runCounts()))
	require.Positive(t, granted)
}

// nodeByIndex returns the process at index i modulo the number of processes.
func (cl *cluster) nodeByIndex(i int) *node {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.nodes[i%len(cl.nodes)]
}

// useKey sends one call with the key. If it is refused as not run, useKey resends it as another request through another
// entry.
func (cl *cluster) useKey(h *history, rng *rand.Rand, caller int, key string) {
	for range 3 {
		n := cl.nodeByIndex(rng.IntN(64))
		if n.isKilled() {
			continue
		}
		c := newClaim(key, uuid.NewString())
		begin := h.now()
		a := n.Claim(context.Background(), c)
		out := output{verdict: a.Verdict}
		if a.StoredResponse != nil {
			out.storedBy = string(a.StoredResponse.Body)
		}
		h.add(caller, input{key: key, kind: opClaim, request: c.RequestID}, out, begin, h.now())
		if a.Verdict == claim.Granted {
			cl.useGrant(h, rng, caller, n, key, c)
			return
		}
		if a.Verdict != claim.NotRecorded && a.Verdict != claim.MaybeRecorded {
			return
		}
	}
}

// useGrant simulates an entry whose claim was granted: it runs the call, or learns that the call did not run, or
// crashes.
func (cl *cluster) useGrant(h *history, rng *rand.Rand, caller int, n *node, key string, c claim.Claim) {
	begin := h.now()
	switch fate := rng.IntN(10); {
	case fate < 3:
		n.Settle(settlement(c, claim.Released))
		h.add(caller, input{key: key, kind: opRelease, request: c.RequestID}, output{}, begin, endOfHistory)
		return
	case fate < 4:
		return // The entry crashed before it sent the call.
	case fate < 5:
		cl.runCall(key, c.RequestID) // The entry crashed before it could report how the call ended.
	default:
		cl.runCall(key, c.RequestID)
		n.Settle(settlement(c, claim.Ran))
	}
	h.add(caller, input{key: key, kind: opRun, request: c.RequestID}, output{}, begin, h.now())
}

// injectFaults injects one fault after another until stop is closed, then ends all faults.
func (cl *cluster) injectFaults(rng *rand.Rand, stop chan struct{}) {
	for {
		select {
		case <-stop:
			cl.setFaults(`{"outage":false,"hang":false,"delay_ms":0,"lose_next_answers":0}`)
			cl.resumeAll()
			return
		case <-time.After(time.Duration(20+rng.IntN(60)) * time.Millisecond):
			cl.injectFault(rng)
		}
	}
}

func (cl *cluster) resumeAll() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, n := range cl.nodes {
		n.resume()
	}
}

// injectFault injects one random fault. Faults with a duration last 10 to 359 ms.
func (cl *cluster) injectFault(rng *rand.Rand) {
	hold := time.Duration(10+rng.IntN(350)) * time.Millisecond
	switch rng.IntN(8) {
	case 0:
		cl.setFaults(`{"outage":true}`)
		time.Sleep(hold)
		cl.setFaults(`{"outage":false}`)
	case 1:
		cl.setFaults(`{"hang":true}`)
		time.Sleep(hold)
		cl.setFaults(`{"hang":false}`)
	case 2:
		cl.setFaults(`{"delay_ms":60}`)
		time.Sleep(hold)
		cl.setFaults(`{"delay_ms":0}`)
	case 3, 4:
		cl.setFaults(`{"lose_next_answers":2}`)
	case 5, 6:
		n := cl.nodeByIndex(rng.IntN(64))
		n.pause()
		time.Sleep(hold)
		n.resume()
	case 7:
		cl.nodeByIndex(rng.IntN(64)).kill()
		fresh := cl.startNode()
		cl.mu.Lock()
		cl.nodes = append([]*node{fresh}, notKilled(cl.nodes[:len(cl.nodes)-1])...)
		cl.mu.Unlock()
	}
}

func notKilled(nodes []*node) []*node {
	var list []*node
	for _, n := range nodes {
		if !n.isKilled() {
			list = append(list, n)
		}
	}
	return list
}
