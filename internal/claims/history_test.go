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

// limitedPlatform is a platform that takes one write a second.
func limitedPlatform(t *testing.T) *objects.Client {
	s := httptest.NewServer(objectapi.NewServer(objectapi.Config{WritesPerSecond: 1, History: 10}))
	t.Cleanup(s.Close)
	return objects.NewClient(s.URL, s.Client())
}

// act is an operation of a history on one key.
type act int

const (
	actClaim act = iota
	actRelease
	actRun
)

// input is an operation; output is the verdict and, of a replay, the request that made the kept answer.
type input struct {
	key     string
	act     act
	request string
}

type output struct {
	verdict claim.Verdict
	by      string
}

// keyState is the model's state of one key: free, held by a request, or run by it.
type keyState struct {
	holder string
	ran    bool
}

// model says what any history of one key must look like: it is granted only while it is free, run only by its holder and
// once, and what is said to have run has run.
func model() porcupine.Model {
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
	switch in.act {
	case actRun:
		return s.holder == in.request && !s.ran, keyState{holder: in.request, ran: true}
	case actRelease:
		return s.holder == in.request && !s.ran, keyState{}
	}
	switch out.verdict {
	case claim.Granted:
		return s.holder == "", keyState{holder: in.request}
	case claim.Replayed:
		return s.ran && out.by == s.holder, s
	case claim.AlreadyRan:
		return s.ran, s
	}
	return true, s // The other verdicts may come at any time; their truth is checked by invariants.
}

// history collects operations.
type history struct {
	mu    sync.Mutex
	begin time.Time
	ops   []porcupine.Operation
}

func (h *history) now() int64 { return time.Since(h.begin).Nanoseconds() }

func (h *history) add(client int, in input, out output, call, done int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: call, Return: done})
}

// never is later than any operation: an effect that may come at any time.
const never = int64(1) << 62

// TestHistoriesUnderFaults runs callers that share keys and resend through all entries, while entries are paused, killed and
// replaced and the platform has outages, delays and lost answers. The history must fit the model, and no key may have
// run twice by the plain service's own log.
func TestHistoriesUnderFaults(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			runHistory(t, seed)
		})
	}
}

func runHistory(t *testing.T, seed uint64) {
	const callers, calls, keys = 8, 150, 500
	b := newBench(t, 3)
	h := &history{begin: time.Now()}
	names := make([]string, keys)
	for i := range names {
		names[i] = uuid.Must(uuid.NewV7()).String()
		if i%3 == 0 {
			names[i] = fmt.Sprintf("plain-%d-%d", seed, i)
		}
	}
	stop := make(chan struct{})
	var work, trouble sync.WaitGroup
	trouble.Go(func() { b.trouble(rand.New(rand.NewPCG(seed, 1)), stop) })
	for c := range callers {
		work.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(c)+10))
			for range calls {
				b.useKey(h, rng, c, names[rng.IntN(keys)])
			}
		})
	}
	work.Wait()
	close(stop)
	trouble.Wait()
	for key, n := range b.runs() {
		require.LessOrEqual(t, n, 1, "key %s ran %d times", key, n)
	}
	result := porcupine.CheckOperationsTimeout(model(), h.ops, 10*time.Second)
	require.Equal(t, porcupine.Ok, result)
	granted := 0
	for _, op := range h.ops {
		if op.Output.(output).verdict == claim.Granted {
			granted++
		}
	}
	t.Logf("%d operations, %d granted, %d keys ran", len(h.ops), granted, len(b.runs()))
	require.Positive(t, granted)
}

// node returns one of the processes.
func (b *bench) node(i int) *node {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.nodes[i%len(b.nodes)]
}

// useKey sends one call with the key, and sends it again elsewhere, as another request, when it was refused as not run.
func (b *bench) useKey(h *history, rng *rand.Rand, caller int, key string) {
	for range 3 {
		n := b.node(rng.IntN(64))
		if n.isDead() {
			continue
		}
		c := newClaim(key, uuid.NewString())
		begin := h.now()
		a := n.Make(context.Background(), c)
		out := output{verdict: a.Verdict}
		if a.Kept != nil {
			out.by = string(a.Kept.Body)
		}
		h.add(caller, input{key: key, act: actClaim, request: c.Request}, out, begin, h.now())
		if a.Verdict == claim.Granted {
			b.granted(h, rng, caller, n, key, c)
			return
		}
		if a.Verdict != claim.NotRecorded && a.Verdict != claim.Unsure {
			return
		}
	}
}

// granted plays what an entry does with a granted claim: it runs the call, or learns that it was not run, or dies.
func (b *bench) granted(h *history, rng *rand.Rand, caller int, n *node, key string, c claim.Claim) {
	begin := h.now()
	switch fate := rng.IntN(10); {
	case fate < 3:
		n.Settle(settlement(c, claim.Released))
		h.add(caller, input{key: key, act: actRelease, request: c.Request}, output{}, begin, never)
		return
	case fate < 4:
		return // The entry died before it sent the call.
	case fate < 5:
		b.call(key, c.Request) // The entry died before it could tell how the call ended.
	default:
		b.call(key, c.Request)
		n.Settle(settlement(c, claim.Ran))
	}
	h.add(caller, input{key: key, act: actRun, request: c.Request}, output{}, begin, h.now())
}

// trouble makes faults until stop.
func (b *bench) trouble(rng *rand.Rand, stop chan struct{}) {
	for {
		select {
		case <-stop:
			b.faults(`{"outage":false,"hang":false,"delay_ms":0,"lose_next_answers":0}`)
			b.resumeAll()
			return
		case <-time.After(time.Duration(20+rng.IntN(60)) * time.Millisecond):
			b.oneFault(rng)
		}
	}
}

func (b *bench) resumeAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range b.nodes {
		n.resume()
	}
}

func (b *bench) oneFault(rng *rand.Rand) {
	hold := time.Duration(10+rng.IntN(350)) * time.Millisecond
	switch rng.IntN(8) {
	case 0:
		b.faults(`{"outage":true}`)
		time.Sleep(hold)
		b.faults(`{"outage":false}`)
	case 1:
		b.faults(`{"hang":true}`)
		time.Sleep(hold)
		b.faults(`{"hang":false}`)
	case 2:
		b.faults(`{"delay_ms":60}`)
		time.Sleep(hold)
		b.faults(`{"delay_ms":0}`)
	case 3, 4:
		b.faults(`{"lose_next_answers":2}`)
	case 5, 6:
		n := b.node(rng.IntN(64))
		n.pause()
		time.Sleep(hold)
		n.resume()
	case 7:
		b.node(rng.IntN(64)).kill()
		fresh := b.start()
		b.mu.Lock()
		b.nodes = append([]*node{fresh}, living(b.nodes[:len(b.nodes)-1])...)
		b.mu.Unlock()
	}
}

func living(nodes []*node) []*node {
	var list []*node
	for _, n := range nodes {
		if !n.isDead() {
			list = append(list, n)
		}
	}
	return list
}
