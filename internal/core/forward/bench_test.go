package forward_test

import (
	"fmt"
	"testing"
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/storerev"
)

// BenchmarkDispatch measures all decisions on one request, from its arrival to the end of its answer, with engines that are half
// full.
func BenchmarkDispatch(b *testing.B) {
	for _, n := range []int{20, 100, 1000} {
		b.Run(fmt.Sprintf("%d upstreams", n), func(b *testing.B) {
			r := newRig()
			for i := range n {
				r.add(fmt.Sprintf("m%d", i), "model", []string{"perth-a", "bunbury-a"}[i%2], 16)
				r.step(forward.LoadReported{Address: fmt.Sprintf("m%d", i), RequestCount: 8, Versions: map[string]int64{"m": 1}, Entries: 1, NearEntries: 1})
			}
			id := uint64(0)
			for b.Loop() {
				id++
				r.now += time.Nanosecond
				r.arriveWithTimeout(id, 6*time.Second)
				r.step(forward.Started{ID: id})
				r.step(forward.AttemptEnded{ID: id, Outcome: forward.Answered})
			}
		})
	}
}

// BenchmarkTick measures the scan of the requests in flight, none of them started, while an activated version is about to make
// theirs expire.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{100, 2000} {
		b.Run(fmt.Sprintf("%d requests", n), func(b *testing.B) {
			r := newRig()
			r.add("m1", "model", "perth-a", 10*n)
			r.applyCatalog(catalog.VersionActivated{Model: "m", Version: 1, Revision: storerev.Revision{Number: 50}})
			r.now = 20 * time.Second
			for id := range uint64(n) {
				r.arrive(id+1, resumableStream)
			}
			for b.Loop() {
				r.step(step.Tick{})
			}
		})
	}
}

// BenchmarkWaiting measures the decisions at the end of a request while 2,000 requests of 50 accounts and 4 priorities wait for 1,000
// full engines: one of them gets the slot, and a new one arrives.
func BenchmarkWaiting(b *testing.B) {
	for _, prioritized := range []bool{false, true} {
		b.Run(fmt.Sprintf("prioritized=%v", prioritized), func(b *testing.B) {
			r := newPriorityRig(prioritized, 50)
			for i := range 1000 {
				r.add(fmt.Sprintf("m%d", i), "model", []string{"perth-a", "bunbury-a"}[i%2], 16)
				r.step(forward.LoadReported{Address: fmt.Sprintf("m%d", i), RequestCount: 16, Versions: map[string]int64{"m": 1}, Entries: 1, NearEntries: 1})
			}
			r.step(forward.LoadReported{Address: "m0", RequestCount: 15, Versions: map[string]int64{"m": 1}, Entries: 1, NearEntries: 1})
			id := uint64(0)
			arrive := func() {
				id++
				r.now += time.Microsecond
				r.arriveFrom(id, int(id%4), int(id*7%50), int(id*7919%2000))
			}
			arrive()
			running := id
			for range 2000 {
				arrive()
			}
			for b.Loop() {
				sent := sentIDs(r.step(forward.AttemptEnded{ID: running, Outcome: forward.Answered}))
				if len(sent) != 1 {
					b.Fatal("the slot is not used")
				}
				running = sent[0]
				arrive()
			}
		})
	}
}
