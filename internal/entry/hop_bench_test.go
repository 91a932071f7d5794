package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core"
	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/request"
	"samphireweir.example/samphireweir/internal/frame"
)

// BenchmarkHop measures one small call to an upstream that answers immediately: directly, through the agent, and
// through entry and agent. The three alternate within one run, so that they are measured under the same load.
func BenchmarkHop(b *testing.B) {
	upstream := serve(b, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(w, "done")
	}))
	fleet := newTestFleetForUpstream(b, trimScheme(upstream))
	target := fleet.onlyCandidate(b)
	paths := []struct {
		name string
		call func(i int)
	}{
		{"direct", func(int) { getOK(b, upstream+"/p0/x") }},
		{"agent", func(i int) { fleet.callAgent(b, target, i) }},
		{"entry+agent", func(int) { getOK(b, "http://"+fleet.entries[0].callerListener.Addr().String()+"/karrakin/portal/x") }},
	}
	durations := make([][]time.Duration, len(paths))
	for b.Loop() {
		for i, p := range paths {
			start := time.Now()
			p.call(len(durations[i]))
			durations[i] = append(durations[i], time.Since(start))
		}
	}
	for i, p := range paths {
		slices.Sort(durations[i])
		b.ReportMetric(micros(durations[i][len(durations[i])/2]), p.name+"-median-us")
		b.ReportMetric(micros(durations[i][len(durations[i])*99/100]), p.name+"-p99-us")
	}
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

func getOK(b *testing.B, url string) {
	resp, err := http.Get(url)
	require.NoError(b, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(b, err)
	require.Equal(b, http.StatusOK, resp.StatusCode)
	_ = resp.Body.Close()
}

// onlyCandidate returns the fleet's only upstream of the plain service.
func (f *testFleet) onlyCandidate(b *testing.B) member.Candidate {
	var all []member.Candidate
	f.entries[0].Loop.View(func(s *core.State) { all = s.Members.Candidates(time.Now(), "karrakin", "portal") })
	require.Len(b, all, 1)
	return all[0]
}

// callAgent calls an agent as an entry does and reads the answer to its end.
func (f *testFleet) callAgent(b *testing.B, target member.Candidate, i int) {
	e := f.entries[0]
	c := &call{id: fmt.Sprint("bench-", i), deadline: time.Now().Add(time.Minute)}
	env := e.envelope(c, request.Attempt{Number: 1, Target: target, Sequence: uint64(1<<40 + i)})
	env.Target = "/x"
	header := http.Header{frame.MethodHeader: {http.MethodGet}}
	s, err := e.openStream(context.Background(), agentCall{address: target.Address, path: frame.RunPath, env: env, header: header})
	require.NoError(b, err)
	for {
		kind, _, err := s.next()
		require.NoError(b, err)
		require.NotEqual(b, frame.TypeFail, kind)
		if kind == frame.TypeEnd {
			s.drain()
			return
		}
	}
}
