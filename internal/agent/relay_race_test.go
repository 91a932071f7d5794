package agent

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/node"
)

// writerFunc is an io.Writer that calls a function.
type writerFunc func(p []byte) (int, error)

// Write implements io.Writer.
func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

// TestRunResumedWhileFormerConnectionEndsIsNotCancelled guards against an answer that is cut after it was resumed: the new connection takes
// over after the former one has failed and before its failure is dealt with.
func TestRunResumedWhileFormerConnectionEndsIsNotCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x, a := newTestExecution(t, "data"), &Agent{}
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan struct{})
		resume := func([]byte) (int, error) { // Called when the failure of the former connection is logged.
			reader, ok := x.out.attach(0)
			require.True(t, ok)
			go func() {
				defer close(ended)
				a.relay(httptest.NewRecorder(), httptest.NewRequestWithContext(ctx, http.MethodPost, "/", nil), x, reader, false)
			}()
			synctest.Wait()
			return 0, nil
		}
		a.Process = &node.Process{Log: zerolog.New(writerFunc(resume))}
		reader, ok := x.out.attach(0)
		require.True(t, ok)
		a.relay(newStuckConn(), httptest.NewRequest(http.MethodPost, "/", nil), x, reader, false)
		time.Sleep(2 * resumeWindow)
		assert.NoError(t, x.ctx.Err(), "the run is relayed")
		stop()
		<-ended
		time.Sleep(resumeWindow + time.Second)
		require.ErrorIs(t, context.Cause(x.ctx), errAbandoned, "no connection has replaced the last one")
	})
}
