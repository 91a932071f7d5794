package entry

import (
	"context"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestAnswerSurvivesConnectionsThatBreak guards against a refusal with an unknown outcome, within milliseconds, of a request that runs at a
// living agent: the connection of the call breaks, and so does the first one that is made to resume it.
func TestAnswerSurvivesConnectionsThatBreak(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 1, 1)
	agent, err := url.Parse("http://" + fleet.agents[0].Address())
	require.NoError(t, err)
	proxy := httputil.NewSingleHostReverseProxy(agent)
	proxy.FlushInterval = -1
	const broken = 2
	var calls atomic.Int64
	proxy.ModifyResponse = func(*http.Response) error {
		if calls.Add(1) <= broken {
			panic(http.ErrAbortHandler) // The agent has the call, and the entry gets nothing of its response.
		}
		return nil
	}
	fleet.agentProxies[0].target.Store(trimScheme(serve(t, proxy)))
	o := fleet.send(context.Background(), 0, generateRequest("breaks", 100, true))
	assert.True(t, o.complete, "%v", o)
	assert.Len(t, fleet.engineRuns()[o.id], 1)
	assert.Greater(t, calls.Load(), int64(broken))
}
