package gateway_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/platform/standin"
)

// lateTransport delays the first request to an upstream, before it is sent and after the head of its response has arrived, as a process does
// that has no processor time for it.
type lateTransport struct {
	base          http.RoundTripper
	before, after time.Duration
	calls         atomic.Int64
}

// RoundTrip implements http.RoundTripper.
func (l *lateTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if l.calls.Add(1) > 1 {
		return l.base.RoundTrip(r)
	}
	time.Sleep(l.before)
	resp, err := l.base.RoundTrip(r)
	time.Sleep(l.after)
	return resp, err
}

// TestLateEntryDoesNotCauseSecondRun guards against a request that runs at two upstreams because the entry was late to send it, or to read a
// response that had arrived in time.
func TestLateEntryDoesNotCauseSecondRun(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, path    string
		before, after time.Duration
	}{
		{"stream, late to read", "/stream/1", 0, 1700 * time.Millisecond},
		{"answer, late to read", "/again/1", 0, time.Second},
		{"stream, late to send", "/stream/1", 1700 * time.Millisecond, 0},
		{"answer, late to send", "/again/1", time.Second, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			fleet := standin.NewFleet(t)
			upstreams := []*standin.Upstream{fleet.AddService("i-1"), fleet.AddService("i-2")}
			for _, id := range []string{"i-3", "i-4"} {
				upstreams = append(upstreams, fleet.AddEngine(id, standin.NextIP(), 1))
			}
			e := start(t, fleet)
			late := &lateTransport{base: e.gateway.UpstreamTransport(), before: c.before, after: c.after}
			e.gateway.SetUpstreamTransport(late)
			sentAt := time.Now()
			r := e.Post(c.path)
			runs := 0
			for _, u := range upstreams {
				runs += u.Runs(r.ID)
			}
			require.NoError(t, r.Err)
			require.Equal(t, http.StatusOK, r.Status, r.Body)
			require.Equal(t, 1, runs, "after %v: %d calls, %d bytes: %s", time.Since(sentAt), late.calls.Load(), len(r.Body), r.Body)
			require.EqualValues(t, 1, late.calls.Load(), "one call after %v, since the upstream was not silent", time.Since(sentAt))
		})
	}
}
