package agent

import (
	"net/http"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxRetainedBytes is how many bytes of a response are retained so that it can be resumed, before and after the
	// reader's position together.
	maxRetainedBytes = 1 << 20
	// maxSendBufferBytes is the size requested for the send buffer of a connection to the entry. What it holds is lost when the connection
	// breaks, so it must be within what is retained.
	maxSendBufferBytes = 128 << 10
	// maxUnreadBytes is how many bytes the upstream may be ahead of the connection to the entry.
	maxUnreadBytes = 256 << 10
)

// output buffers the response of one run between the upstream, which writes it, and the connections of the entry, which
// read it. One connection reads at a time; a later one replaces it.
type output struct {
	mu      sync.Mutex
	changed chan struct{}
	status  int
	header  http.Header
	// base is the offset of buf's first byte in the response.
	base  int64
	buf   []byte
	ended bool
	fail  *failure
	// silences counts the reports that the upstream is silent.
	silences int
	// sum is the hash of all bytes of the response so far.
	sum *xxhash.Digest
	// reader is the number of the current connection; readOffset is its position in the response.
	reader     int
	readOffset int64
}

func newOutput() *output { return &output{changed: make(chan struct{}), sum: xxhash.New()} }

// notify wakes all waiters; the caller holds mu.
func (o *output) notify() {
	close(o.changed)
	o.changed = make(chan struct{})
}

func (o *output) setHead(status int, header http.Header) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.status = status
	o.header = header
	o.notify()
}

// reportSilence lets the current connection report that the upstream is silent.
func (o *output) reportSilence() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.silences++
	o.notify()
}

// silenceCount returns the number of reports that the upstream is silent.
func (o *output) silenceCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.silences
}

// headSet reports whether setHead was called.
func (o *output) headSet() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.status != 0
}

// write appends bytes of the response. It blocks while maxUnreadBytes or more are unread, and reports false if stop is
// closed before it could append.
func (o *output) write(p []byte, stop <-chan struct{}) bool {
	for {
		o.mu.Lock()
		ahead := o.base + int64(len(o.buf)) - o.readOffset
		wait := o.changed
		if ahead < maxUnreadBytes {
			o.append(p)
			o.mu.Unlock()
			return true
		}
		o.mu.Unlock()
		select {
		case <-stop:
			return false
		case <-wait:
		}
	}
}

// append adds p and drops the oldest bytes beyond maxRetainedBytes; the caller holds mu.
func (o *output) append(p []byte) {
	_, _ = o.sum.Write(p)
	o.buf = append(o.buf, p...)
	if over := len(o.buf) - maxRetainedBytes; over > 0 {
		o.buf = append([]byte(nil), o.buf[over:]...)
		o.base += int64(over)
	}
	o.notify()
}

// end marks the end of the response; f is nil if it is complete. Only the first call counts.
func (o *output) end(f *failure) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended {
		return
	}
	o.ended = true
	o.fail = f
	o.notify()
}

// attach makes the caller the current reader, starting at offset. It reports false if the bytes at offset are no longer
// retained or not yet written.
func (o *output) attach(offset int64) (reader int, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if offset < o.base || offset > o.base+int64(len(o.buf)) {
		return 0, false
	}
	o.reader++
	o.readOffset = offset
	o.notify()
	return o.reader, true
}

// replaced reports whether another connection has replaced the reader.
func (o *output) replaced(reader int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return reader != o.reader
}

// snapshot is the state of an output as one call of next returns it.
type snapshot struct {
	// replaced is set when another connection has replaced the reader.
	replaced bool
	status   int
	header   http.Header
	data     []byte
	// silences is the number of reports so far that the upstream is silent.
	silences int
	// ended is set when the response has ended and data is its last part; fail, total and sum then describe its end.
	ended bool
	fail  *failure
	// total is the size of the response so far, in bytes.
	total int64
	sum   uint64
	// changed is closed at the next change of the output.
	changed <-chan struct{}
}

// next returns at most limit bytes after the reader's position and advances it.
func (o *output) next(reader, limit int) snapshot {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := snapshot{replaced: reader != o.reader, status: o.status, header: o.header, changed: o.changed, silences: o.silences, total: o.base + int64(len(o.buf))}
	if s.replaced {
		return s
	}
	from := int(o.readOffset - o.base)
	n := min(limit, len(o.buf)-from)
	s.data = append([]byte(nil), o.buf[from:from+n]...)
	o.readOffset += int64(n)
	if n > 0 {
		o.notify()
		s.changed = o.changed
	}
	s.ended = o.ended && o.readOffset == s.total
	s.fail = o.fail
	s.sum = o.sum.Sum64()
	return s
}
