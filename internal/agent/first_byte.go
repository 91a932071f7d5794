package agent

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// firstByteTimer measures how long an upstream takes for the first byte of its response. It counts from the end of the write of the
// request to the read of the first byte, so that waits of this process before and after count as little as possible.
type firstByteTimer struct {
	// wroteAt and readAt are in nanoseconds since 1970; 0 until then.
	wroteAt, readAt atomic.Int64
}

// trace returns a context with which an HTTP client records the times. A client may write the request while the response already
// arrives; the last write before the first byte counts.
func (t *firstByteTimer) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(httptrace.WroteRequestInfo) {
			if t.readAt.Load() == 0 {
				t.wroteAt.Store(time.Now().UnixNano())
			}
		},
		GotFirstResponseByte: func() { t.readAt.Store(time.Now().UnixNano()) },
	})
}

// took returns the time to the first byte; 0 if it is unknown.
func (t *firstByteTimer) took() time.Duration {
	wrote, read := t.wroteAt.Load(), t.readAt.Load()
	if wrote == 0 || read == 0 {
		return 0
	}
	return max(0, time.Duration(read-wrote))
}
