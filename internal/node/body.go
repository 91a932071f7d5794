package node

import (
	"io"
	"net/http"
	"time"
)

const (
	// maxDrainBytes bounds how much of an unread request body is discarded so that its connection can be reused.
	maxDrainBytes = 256 << 10
	// drainTimeout bounds the time spent on discarding the body.
	drainTimeout = time.Second
)

// DrainBody discards the unread rest of a request's body, up to 256 KiB and 1 s. A handler that enabled full duplex
// must call it before it returns. Otherwise net/http reads the rest after the handler has returned, mistakes the next
// request on the connection for a concurrent read, and drops the connection.
func DrainBody(w http.ResponseWriter, r *http.Request) {
	if r.Body == nil || r.Body == http.NoBody {
		return
	}
	var buf [1]byte
	if n, err := r.Body.Read(buf[:0]); n == 0 && err == io.EOF {
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(drainTimeout))
	_, err := io.CopyN(io.Discard, r.Body, maxDrainBytes)
	if err == io.EOF {
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
}
