package claim_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"

	"samphireweir.example/samphireweir/internal/core/claim"
	"samphireweir.example/samphireweir/internal/core/step"
)

// BenchmarkRecordsInMemory measures the owner's memory for one sealed record of a call that ran, in bytes.
func BenchmarkRecordsInMemory(b *testing.B) {
	const segments, perSegment = 100, 2000
	for b.Loop() {
		before := heapBytes()
		s := claim.NewState(0, "w", claim.Config{})
		now := time.Now()
		k := claim.HashKey("t", "s", "first")
		s.Reduce(step.Input{Now: now, Event: claim.SettlementRequested{Settlement: claim.Settlement{Key: k}, Deadline: now.Add(time.Hour)}})
		loaded := claim.Loaded{Version: 1, Segments: map[string][]claim.Record{}}
		for g := range segments {
			name := fmt.Sprint("segment-", g)
			loaded.Head.Segments = append(loaded.Head.Segments, claim.Segment{Name: name, Timed: true, Newest: now.UnixMilli()})
			for i := range perSegment {
				loaded.Segments[name] = append(loaded.Segments[name], claim.Record{
					Key: claim.HashKey("t", name, fmt.Sprint(i)), RequestID: uuid.NewString(), Status: claim.Ran,
					Fingerprint: 1, KeyTime: now.UnixMilli(), ClaimedAt: now.UnixMilli(), AnswersName: name,
				})
			}
		}
		s.Reduce(step.Input{Now: now, Event: loaded})
		loaded = claim.Loaded{}
		b.ReportMetric(float64(heapBytes()-before)/(segments*perSegment), "B/record")
		runtime.KeepAlive(s)
	}
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
