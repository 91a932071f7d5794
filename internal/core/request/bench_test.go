package request_test

import (
	"fmt"
	"testing"
	"time"

	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/request"
	"samphireweir.example/samphireweir/internal/core/routing"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/suspect"
)

// fixedDirectory is a Directory whose upstreams do not change.
type fixedDirectory []member.Candidate

// Candidates returns the upstreams.
func (d fixedDirectory) Candidates(time.Time, string, string) []member.Candidate { return d }

// BenchmarkDecisions measures the work of an entry's reducer for one request, from receipt to end.
func BenchmarkDecisions(b *testing.B) {
	for _, n := range []int{12, 128} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			var dir fixedDirectory
			for i := range n {
				dir = append(dir, member.Candidate{Address: fmt.Sprint("host-", i), Upstream: member.Upstream{Name: "e"}})
			}
			s := request.NewState()
			statuses := suspect.NewState()
			now := time.Unix(1000, 0)
			reduce := func(ev step.Event) []step.Effect {
				return s.Reduce(step.Input{Now: now, Rand: uint64(now.UnixNano()), Event: ev}, dir, statuses)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				id := fmt.Sprint(i)
				reduce(request.Received{
					ID: id, Team: "karrakin", Service: "summary-model", Deadline: now.Add(time.Minute),
					Terms: request.Terms{Account: "a", Weight: 1, Prefix: uint64(i%50 + 1)},
				})
				reduce(request.AnswerStarted{ID: id, Attempt: 1, Report: &routing.Report{Running: 1, Limit: 32}})
				reduce(request.Ended{ID: id, Report: &routing.Report{Limit: 32}})
			}
		})
	}
}
