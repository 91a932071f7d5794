package agent

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/node"
	"samphireweir.example/samphireweir/internal/standin/serve"
)

// TestTransportDoesNotRetryRequests guards against a request that is executed twice: net/http retries a request without
// a body by itself if it has an Idempotency-Key header and its reused connection breaks. The upstream may have executed
// it by then.
func TestTransportDoesNotRetryRequests(t *testing.T) {
	var runs atomic.Int64
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/warm" {
			return
		}
		runs.Add(1)
		serve.Reset(w)
	}))
	defer upstream.Close()
	client := node.NewHTTPClient()
	warm, err := client.Get(upstream.URL + "/warm")
	require.NoError(t, err)
	require.NoError(t, warm.Body.Close())

	// The body is the one that a server gets for a request without a body.
	incoming := httptest.NewRequest(http.MethodPost, "/run", http.NoBody)
	req, err := http.NewRequest(http.MethodPost, upstream.URL+"/book", nonReplayable(incoming.Body))
	require.NoError(t, err)
	req.Header.Set("Idempotency-Key", "k")
	resp, err := client.Do(req)
	if err == nil {
		_ = resp.Body.Close()
	}
	require.Error(t, err)
	require.Equal(t, int64(1), runs.Load())
}
