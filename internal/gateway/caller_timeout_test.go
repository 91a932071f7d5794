package gateway_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/platform/standin"
)

// TestCallerGetsResponseBeforeItsTimeout guards against callers that leave without a response while their request is queued at engines on
// frozen hosts. The first engine is given up after 1.5 s and the request goes to a second engine on a frozen host. If that last attempt
// has no timeout for its first event, callers leave 2.4 s after their request, and the engines start it when the hosts resume.
// The entry knows how long the caller waits, and must respond before that.
func TestCallerGetsResponseBeforeItsTimeout(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/stream/1", "/single/1"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			fleet := standin.NewFleet(t)
			fleet.AddStream("/single/", false)
			for _, id := range []string{"i-1", "i-2"} {
				t.Cleanup(fleet.AddEngine(id, standin.NextIP(), 1).Hold())
			}
			e := start(t, fleet)
			r := e.Post(path)
			require.NoError(t, r.Err)
			require.Equal(t, http.StatusBadGateway, r.Status, "the deadline of the request itself has not passed: %s", r.Body)
			require.Contains(t, r.Body, `"ran":"unknown"`)
		})
	}
}
