package intake_test

import (
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/intake"
	"samphireweir.example/samphireweir/internal/setting"
)

// header returns a header with a number of fields whose values have the given length.
func header(fields, bytes int) http.Header {
	h := http.Header{}
	for range fields {
		h.Add("X-Field", strings.Repeat("v", bytes))
	}
	return h
}

// Requests over a limit, or with a path that an upstream may resolve to another one, must be refused with the right code.
// Names that merely contain dots, and escaped slashes, must pass.
func TestCheckRefusesOversizedOrMalformedRequests(t *testing.T) {
	for _, c := range []struct {
		target string
		header http.Header
		want   code.Code
	}{
		{"/karrakin/buyer-portal/a%2Fb?q=1", header(3, 10), 0},
		{"/karrakin/buyer-portal/" + strings.Repeat("a", intake.MaxTargetBytes), nil, code.TargetTooLong},
		{"/karrakin/buyer-portal/?" + strings.Repeat("a", intake.MaxTargetBytes), nil, code.TargetTooLong},
		{"/karrakin/buyer-portal/../x", nil, code.BadPath},
		{"/karrakin/buyer-portal/%2e%2e/x", nil, code.BadPath},
		{"/karrakin/buyer-portal/./x", nil, code.BadPath},
		{"/karrakin/buyer-portal/..x", nil, 0},
		{"/", header(1, intake.MaxFieldBytes), code.BadHeader},
		{"/", header(intake.MaxFields+1, 1), code.BadHeader},
		{"/", header(5, 7<<10), code.BadHeader},
	} {
		u, err := url.Parse(c.target)
		require.NoError(t, err)
		refusal := intake.Check(u, c.header)
		if c.want == 0 {
			require.Nil(t, refusal, c.target)
			continue
		}
		require.NotNil(t, refusal, c.target)
		require.Equal(t, c.want, refusal.Code)
	}
}

// A caller that could set the system's headers could impersonate a process of the system or forge an order. Strip
// must remove them, as well as hop-by-hop fields, and keep the caller's own fields.
func TestStripRemovesSystemAndHopByHopHeaders(t *testing.T) {
	h := http.Header{}
	for _, name := range []string{
		"samphireweir-run", "Samphireweir-Authorization", "Samphireweir-From", "Weights-Digest", "Fencing-Number",
		"Load-Generation", "Order-Id", "Boot-Id", "Attempt", "Request-Id", "X-Hop",
	} {
		h.Set(name, "x")
	}
	h.Set("Connection", "keep-alive, x-hop")
	for _, name := range []string{"Idempotency-Key", "Deadline-Ms", "Priority", "Authorization", "Traceparent", "X-Own"} {
		h.Set(name, "own")
	}
	intake.Strip(h)
	require.Len(t, h, 7)
	require.Equal(t, "own", h.Get("X-Own"))
}

// A caller must not reach an engine's orders through another spelling of the path. Plain services have no such paths, so
// all their paths are open to callers.
func TestForSystemRecognizesAllSpellingsOfAPath(t *testing.T) {
	for _, p := range []string{"/orders/load", "//orders//role", "/Orders/load", "/orders", "/state", "/events", "/v1/kv", "/v1/cancel", "/admin/faults", "/\\orders/load", "/x/../state"} {
		require.True(t, intake.IsSystemPath(setting.Engine, p), p)
		require.False(t, intake.IsSystemPath(setting.Plain, p), p)
	}
	for _, p := range []string{"/v1/generate", "/", "/ordersheet", "/v1/state"} {
		require.False(t, intake.IsSystemPath(setting.Engine, p), p)
	}
}

// A body that sends single bytes at long intervals would hold a request open without end. A long body that keeps up the
// minimum rate must not be cut.
func TestPaceRefusesSlowBodiesOnly(t *testing.T) {
	drip := intake.BodyRate{Bytes: 10, Waited: 20 * time.Second}
	require.False(t, drip.TooSlow())
	drip.Waited = 31 * time.Second
	require.True(t, drip.TooSlow())
	steady := intake.BodyRate{Bytes: 3600 * 1000, Waited: time.Hour}
	require.Equal(t, intake.MaxBodyGap, steady.Timeout(), "a steady body is bounded only by Silence")
}
