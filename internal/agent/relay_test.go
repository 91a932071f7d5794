package agent

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/frame"
	"samphireweir.example/samphireweir/internal/node"
)

// stuckConn is a connection to an entry that accepts nothing. A write waits for its deadline.
type stuckConn struct {
	*httptest.ResponseRecorder
	mu       sync.Mutex
	deadline time.Time
	changed  chan struct{}
}

func newStuckConn() *stuckConn {
	return &stuckConn{ResponseRecorder: httptest.NewRecorder(), changed: make(chan struct{})}
}

func (c *stuckConn) SetWriteDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = at
	close(c.changed)
	c.changed = make(chan struct{})
	return nil
}

// Write waits until the deadline and fails.
func (c *stuckConn) Write([]byte) (int, error) {
	for {
		c.mu.Lock()
		left, changed := time.Until(c.deadline), c.changed
		c.mu.Unlock()
		if left <= 0 {
			return 0, os.ErrDeadlineExceeded
		}
		select {
		case <-time.After(left):
		case <-changed:
		}
	}
}

// newTestExecution returns a run whose response has begun with data.
func newTestExecution(t *testing.T, data string) *execution {
	t.Helper()
	ctx, cancel := context.WithCancelCause(context.Background())
	x := &execution{out: newOutput(), ctx: ctx, cancel: cancel}
	x.out.setHead(http.StatusOK, http.Header{})
	require.True(t, x.out.write([]byte(data), ctx.Done()))
	return x
}

// TestResumedRunIsNotCancelledForItsFormerConnection guards against an answer that is cut after it was resumed: the write on the connection
// that was replaced fails later, and that must not count as the loss of the connection that has replaced it.
func TestResumedRunIsNotCancelledForItsFormerConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x, a := newTestExecution(t, "data"), &Agent{}
		relay := func(w http.ResponseWriter) (ended chan struct{}, stop context.CancelFunc) {
			ctx, stop := context.WithCancel(context.Background())
			reader, ok := x.out.attach(0)
			require.True(t, ok)
			ended = make(chan struct{})
			go func() {
				defer close(ended)
				a.relay(w, httptest.NewRequestWithContext(ctx, http.MethodPost, "/", nil), x, reader, false)
			}()
			synctest.Wait()
			return ended, stop
		}
		formerEnded, stopFormer := relay(newStuckConn())
		defer stopFormer()
		resumedAt := time.Now()
		ended, stop := relay(httptest.NewRecorder())
		<-formerEnded
		require.Zero(t, time.Since(resumedAt), "the write on the former connection must end at once")
		time.Sleep(2 * resumeWindow)
		require.NoError(t, x.ctx.Err(), "the run is relayed")
		stop()
		<-ended
		time.Sleep(resumeWindow + time.Second)
		require.ErrorIs(t, context.Cause(x.ctx), errAbandoned, "no connection has replaced the last one")
	})
}

// TestSlowEntryIsNotTakenForDead guards against an answer that is cut because the entry spends the time that it promises its caller on one
// write, and against a run that goes on for an entry that never reads again.
func TestSlowEntryIsNotTakenForDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newTestExecution(t, "data")
		a := &Agent{Process: &node.Process{Log: zerolog.Nop()}}
		reader, ok := x.out.attach(0)
		require.True(t, ok)
		startedAt := time.Now()
		a.relay(newStuckConn(), httptest.NewRequest(http.MethodPost, "/", nil), x, reader, false)
		require.Greater(t, time.Since(startedAt), frame.CallerIOTimeout)
		time.Sleep(resumeWindow + time.Second)
		require.ErrorIs(t, context.Cause(x.ctx), errAbandoned)
	})
}
