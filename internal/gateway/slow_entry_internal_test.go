package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/membudget"
	"samphireweir.example/samphireweir/internal/periodic"
	"samphireweir.example/samphireweir/internal/silence"
)

// fullFor fills a budget for a time and returns the reservation of another request, which can't grow meanwhile. The request that holds the
// memory makes progress, so that it is not evicted.
func fullFor(ctx context.Context, d time.Duration) *membudget.Reservation {
	const limit = 1 << 20
	budget := membudget.New(limit, time.Now)
	var holders []*membudget.Reservation
	for _, owner := range []string{"a", "b"} { // An owner has half of the budget at most.
		r := budget.Open(owner, func() {})
		if err := r.Grow(limit / 2); err != nil {
			panic(err) // The budget is empty.
		}
		holders = append(holders, r)
	}
	go func() {
		for end := time.Now().Add(d); time.Now().Before(end) && ctx.Err() == nil; periodic.Sleep(ctx, 100*time.Millisecond) {
			for _, r := range holders {
				r.AwaitCaller()
			}
		}
		for _, r := range holders {
			r.Close()
		}
	}()
	return budget.Open("c", func() {})
}

// newWaitingAttempt returns an attempt with timeouts of 1.5 s and 1.2 s whose memory is full for a time, and the events that it reports.
func newWaitingAttempt(ctx context.Context, full time.Duration) (*attempt, context.Context, *[]step.Event) {
	reported := new([]step.Event)
	a := &attempt{
		x: &exchange{reservation: fullFor(ctx, full)}, queue: newAnswerQueue(make(chan struct{}, 1)), heard: &heardTime{},
		report: func(ev step.Event) { *reported = append(*reported, ev) },
	}
	ctx, a.cancel = context.WithCancelCause(ctx)
	a.decision = forward.Send{FirstEventTimeout: 1500 * time.Millisecond, GapTimeout: 1200 * time.Millisecond, GiveUpAfter: 1850 * time.Millisecond}
	a.silence = silence.NewWatch(a.decision.GiveUpAfter, func() { a.cancel(errUpstreamTimeout) })
	a.silence.Notify(a.decision.FirstEventTimeout, a.reportStalled)
	a.stage.Store(stageStarted)
	return a, ctx, reported
}

// TestWaitForMemoryIsNoGapOfStream guards against a stream that is given up as silent while this process waits for memory, with all events of
// the stream unread.
func TestWaitForMemoryIsNoGapOfStream(t *testing.T) {
	for _, full := range []time.Duration{time.Second, 2 * time.Second} {
		t.Run(full.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, ctx, reported := newWaitingAttempt(t.Context(), full)
				const events = 5
				err := a.readEvents(ctx, strings.NewReader(streamOf(events)))
				require.ErrorIs(t, err, io.EOF, "%d of %d events read; ended by: %v", a.eventCount, events, context.Cause(ctx))
				require.Equal(t, events, a.eventCount)
				for range events {
					_, found, _ := a.queue.pop()
					require.True(t, found)
				}
				require.Empty(t, *reported, "the upstream is not silent")
				a.silence.Stop()
			})
		})
	}
}

// streamOf returns a stream of n events.
func streamOf(n int) string {
	var b strings.Builder
	for i := range n {
		_, _ = fmt.Fprintf(&b, "id: %d\ndata: token\n\n", i+1)
	}
	return b.String()
}

// TestWaitForMemoryIsNoSilenceOfAnswer guards against a buffered answer that is given up as silent while this process waits for memory, with
// all of the answer unread.
func TestWaitForMemoryIsNoSilenceOfAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, ctx, reported := newWaitingAttempt(t.Context(), 2*time.Second)
		const size = 100 << 10
		resp := &http.Response{Body: io.NopCloser(bytes.NewReader(make([]byte, size)))}
		body, err := a.readAll(ctx, resp)
		require.NoError(t, err, "%d of %d bytes read; ended by: %v", len(body), size, context.Cause(ctx))
		require.Len(t, body, size)
		require.Empty(t, *reported, "the upstream is not silent")
		a.silence.Stop()
	})
}

// TestSilentUpstreamIsReportedInTime guards against an upstream that is never replaced: it sends one event and then nothing. It also guards
// against one that is given up as long as it may go on.
func TestSilentUpstreamIsReportedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, ctx, reported := newWaitingAttempt(t.Context(), 0)
		near, far := net.Pipe()
		conn := silence.NewConn(near)
		a.silence.Attach(conn)
		go func() { _, _ = io.WriteString(conn, "request") }()
		_, _ = io.ReadFull(far, make([]byte, len("request")))
		ended := make(chan error, 1)
		go func() { ended <- a.readEvents(ctx, conn) }()
		_, _ = io.WriteString(far, streamOf(1))
		time.Sleep(a.decision.GapTimeout + 500*time.Millisecond)
		synctest.Wait()
		require.Len(t, *reported, 1)
		stalled, ok := (*reported)[0].(forward.Stalled)
		require.True(t, ok && stalled.Partial)
		require.InDelta(t, a.decision.GapTimeout, stalled.SinceLastPart, float64(2*capacityRetryInterval), "the memory may be full at first")
		time.Sleep(5 * time.Second)
		synctest.Wait()
		require.Len(t, *reported, 1, "a silence is reported once")
		_, _ = io.WriteString(far, streamOf(1))
		synctest.Wait()
		progressed, ok := (*reported)[1].(forward.Progressed)
		require.True(t, ok)
		require.Greater(t, progressed.Pause, 5*time.Second)
		require.NoError(t, context.Cause(ctx))
		_ = far.Close()
		require.ErrorIs(t, <-ended, io.EOF)
		require.Equal(t, 2, a.eventCount)
	})
}

// TestUpstreamWithoutAnyEventIsGivenUpInTime guards against a caller that leaves without an answer while its upstream sends nothing at all.
func TestUpstreamWithoutAnyEventIsGivenUpInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, ctx, reported := newWaitingAttempt(t.Context(), 0)
		near, far := net.Pipe()
		defer func() { _ = far.Close() }()
		conn := silence.NewConn(near)
		a.silence.Attach(conn)
		go func() { _, _ = io.WriteString(conn, "request") }()
		_, _ = io.ReadFull(far, make([]byte, len("request")))
		sentAt := time.Now()
		require.ErrorIs(t, a.readEvents(ctx, conn), silence.ErrSilent)
		require.ErrorIs(t, context.Cause(ctx), errUpstreamTimeout)
		require.LessOrEqual(t, time.Since(sentAt), a.decision.GiveUpAfter+100*time.Millisecond)
		require.Equal(t, []step.Event{forward.Stalled{}}, *reported)
	})
}
