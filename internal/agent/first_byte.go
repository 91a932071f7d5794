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
	// wroteAt and readAt are in nanoseconds since the start of the process, so that a step of the clock does not count; 0 until then.
	wroteAt, readAt atomic.Int64
}

// trace returns a context with which an HTTP client records the times. A client may write the request while the response already
// arrives; the last write before the first byte counts.
func (t *firstByteTimer) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(httptrace.WroteRequestInfo) {
			if t.readAt.Load() == 0 {
				t.wroteAt.Store(monotonic())
			}
		},
		GotFirstResponseByte: func() { t.readAt.Store(monotonic()) },
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

var processStart = time.Now()

// monotonic returns the time since the start of the process in nanoseconds.
func monotonic() int64 { return int64(time.Since(processStart)) }
