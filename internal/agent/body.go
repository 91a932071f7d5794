package agent

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// maxBufferedBody is how many bytes of a request body are read before the request starts. A request with a smaller body
// therefore does not start if its entry crashes while it sends the body.
const maxBufferedBody = 256 << 10

// errBodyReleased is returned by reads of a body after its connection's handler returned.
var errBodyReleased = errors.New("reading request body: connection from the entry has ended")

// body is a request's body. The first maxBufferedBody bytes are buffered; the rest is read from the entry's connection
// while it is forwarded. net/http does not allow reads after the connection's handler returns, so the handler calls
// release before.
type body struct {
	buffered *bytes.Reader
	control  *http.ResponseController

	// waiting is set while a read waits for the entry. lastReadAt is when the last one ended, in Unix nanoseconds; 0 before.
	waiting    atomic.Bool
	lastReadAt atomic.Int64

	mu       sync.Mutex
	rest     io.Reader
	released bool
}

// readBody reads and buffers the first maxBufferedBody bytes of a request's body.
func readBody(w http.ResponseWriter, r *http.Request) (*body, error) {
	buffered, err := io.ReadAll(io.LimitReader(r.Body, maxBufferedBody))
	if err != nil {
		return nil, errors.Wrap(err, "reading request body")
	}
	b := &body{buffered: bytes.NewReader(buffered), control: http.NewResponseController(w)}
	if len(buffered) == maxBufferedBody {
		b.rest = r.Body
	}
	return b, nil
}

// Read reads the buffered bytes, then the rest from the connection.
func (b *body) Read(p []byte) (int, error) {
	if b.buffered.Len() > 0 {
		return b.buffered.Read(p)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.released {
		return 0, errBodyReleased
	}
	if b.rest == nil {
		return 0, io.EOF
	}
	b.waiting.Store(true)
	n, err := b.rest.Read(p)
	b.lastReadAt.Store(time.Now().UnixNano())
	b.waiting.Store(false)
	return n, err
}

// suppliedAt returns until when the upstream had to wait for the body: now while a read waits for the entry. It returns the zero time for a
// body that was buffered.
func (b *body) suppliedAt() time.Time {
	if b.waiting.Load() {
		return time.Now()
	}
	if at := b.lastReadAt.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// Close does nothing: the handler of the connection owns the body.
func (b *body) Close() error { return nil }

// release makes further reads from the connection fail, interrupts a read in progress, and waits for it to return.
func (b *body) release() {
	if b.rest == nil {
		return
	}
	_ = b.control.SetReadDeadline(time.Now())
	b.mu.Lock()
	defer b.mu.Unlock()
	b.released = true
}
