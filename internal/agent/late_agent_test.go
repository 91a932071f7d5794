package agent

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/frame"
	"samphireweir.example/samphireweir/internal/silence"
)

// TestAgentThatIsLateToReadDoesNotGiveUpUpstream guards against a request whose upstream answered at once and which fails as "unknown", or runs
// a second time, since the agent itself was late to read the answer.
func TestAgentThatIsLateToReadDoesNotGiveUpUpstream(t *testing.T) {
	t.Parallel()
	const deadline, lateness = 3 * time.Second, 2500 * time.Millisecond // The agent gives an upstream half of the deadline.
	var runs atomic.Int64
	a := servedAgent(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		_, _ = io.WriteString(w, "answer")
	}))
	dialLate := func(ctx context.Context, network, address string) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return silence.NewConn(&lateConn{Conn: c, lateness: lateness}), nil
	}
	transport := &http.Transport{DialContext: dialLate, DisableKeepAlives: true}
	a.pooledClient, a.singleUseClient = &http.Client{Transport: transport}, &http.Client{Transport: transport}
	env := runEnvelope(a, "late")
	env.DeadlineMS = deadline.Milliseconds()
	_, last, err := readFrames(frame.NewReader(callAgent(t, a, frame.RunPath, env).Body), 1<<30)
	require.NoError(t, err)
	assert.Equal(t, frame.TypeEnd, last, "the answer")
	assert.EqualValues(t, 1, runs.Load())
}
