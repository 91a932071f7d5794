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

// BenchmarkOutage measures the decision on a request in an outage, with a tick after every hundred requests, and with or without
// predictions of its end.
func BenchmarkOutage(b *testing.B) {
	for _, ready := range []time.Duration{0, 2 * time.Second} {
		for _, n := range []int{20, 1000} {
			b.Run(fmt.Sprintf("%d upstreams, end in %v", n, ready), func(b *testing.B) {
				r := newOutageRig()
				for i := range n {
					r.add(fmt.Sprint(i), "model", []string{"perth-a", "bunbury-a"}[i%2], 12)
				}
				id := uint64(0)
				for b.Loop() {
					if id%1000 == 0 {
						b.StopTimer()
						for i := range n {
							r.step(forward.LoadReported{Address: fmt.Sprint(i), Entries: 10, NearEntries: 5, ReadyIn: ready, ReadyVersion: 1})
						}
						b.StartTimer()
					}
					if id++; id%100 == 0 {
						r.now += 20 * time.Millisecond
						r.step(step.Tick{})
					}
					r.arriveWithTimeout(id, 6*time.Second-time.Duration(id%2)*1500*time.Millisecond)
				}
			})
		}
	}
}
