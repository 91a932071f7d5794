package weights_test

import (
	"fmt"
	"testing"
	"time"

	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/weights"
)

// BenchmarkBurst reduces the events of a whole burst on one host: each of ten peers announces every
// chunk, every chunk is stored, and ticks come in between. It reports the time per chunk.
func BenchmarkBurst(b *testing.B) {
	for _, size := range []struct{ hosts, chunks int }{{64, 128}, {200, 128}, {920, 128}, {920, 1024}, {920, 4096}} {
		b.Run(fmt.Sprintf("%d hosts, %d chunks", size.hosts, size.chunks), func(b *testing.B) {
			v := newVersion("v1", size.chunks, 0)
			w := wantOf(v)
			for i := 1; i < size.hosts; i++ {
				w.Peers = append(w.Peers, weights.Peer{Address: fmt.Sprint("10.0.0.", i), Place: fmt.Sprint("place-", i%12), Region: fmt.Sprint("region-", i%4)})
			}
			for range b.N {
				reduceBurst(v, w)
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*size.chunks), "us/chunk")
		})
	}
}

func reduceBurst(v *version, w weights.Want) {
	s := weights.NewState(weights.Peer{Address: "10.0.0.0", Place: "place-0", Region: "region-0"})
	s.SetWants(at(0, nil), []weights.Want{w})
	now := time.Duration(0)
	reduce := func(ev step.Event) []step.Effect { return s.Reduce(at(now, ev)) }
	pending := reduce(weights.ManifestRead{Digest: v.digest, Manifest: v.manifest, From: weights.Origin})
	for c := range v.manifest.Chunks {
		now += 30 * time.Millisecond
		for k := 1; k <= 10; k++ {
			from := w.Peers[(12*k-1)%len(w.Peers)].Address
			pending = append(pending, reduce(weights.PeerHas{Digest: v.digest, From: from, New: []int{c}})...)
		}
		if c%3 == 0 {
			pending = append(pending, reduce(step.Tick{})...)
		}
		pending = storeAll(pending, reduce)
	}
}

// storeAll answers each fetch with its chunk and returns the fetches that follow.
func storeAll(pending []step.Effect, reduce func(step.Event) []step.Effect) []step.Effect {
	var next []step.Effect
	for _, e := range pending {
		if f, ok := e.(weights.FetchChunk); ok {
			next = append(next, reduce(weights.ChunkStored{Digest: f.Digest, Index: f.Index, Fetch: f.ID, From: f.From, Took: time.Millisecond})...)
		}
	}
	return next
}
