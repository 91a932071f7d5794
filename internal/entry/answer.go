package entry

import (
	"bytes"
	"encoding/json"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/request"
	"samphireweir.example/samphireweir/internal/engine"
	"samphireweir.example/samphireweir/internal/frame"
)

const (
	// eventStreamType is the media type of event streams.
	eventStreamType = "text/event-stream"
	// keepaliveInterval is how long an event stream may be silent before a comment is sent to keep it alive.
	keepaliveInterval = 3 * time.Second
	// maxBufferedEventBytes bounds how much of an incomplete event is buffered. A larger event is forwarded in parts.
	maxBufferedEventBytes = 64 << 10
	// headerResumeOffset is the header with the number of tokens that the caller wants to skip.
	headerResumeOffset = "Resume-Offset"
)

// answer is the state of the answer that is forwarded to the caller. A new run of the request on another engine may
// continue it.
type answer struct {
	started bool
	// headMatched is set once the head of the current run's answer was checked against the request and attempt.
	headMatched bool
	status      int
	// isEventStream is set for an event stream, of which only complete events are forwarded.
	isEventStream bool
	header        http.Header
	// receivedBytes is the number of bytes received of the current run's answer; checksum is their hash.
	receivedBytes int64
	checksum      *xxhash.Digest
	// contentLength is the length of the body in bytes according to the head, or -1 if the head has none.
	contentLength int64
	// buffered holds the start of an incomplete event, or the last bytes of an answer with a known length. A caller that
	// has all bytes of such an answer takes it as complete. The last bytes are therefore forwarded only after the checksum
	// was compared.
	buffered []byte
	// tokens is the number of forwarded events that carry a token.
	tokens int
	// endEventForwarded is set once the named event that ends an engine's stream was forwarded.
	endEventForwarded bool
	// partialEventForwarded is set once a part of an event was forwarded, because the event was too large to buffer.
	partialEventForwarded bool
	// resuming is set from the reconnect of a resumed answer until the first data arrives.
	resuming bool
	// lastWrite is when the head, or the last part of the body, was written to the caller.
	lastWrite time.Time
}

// startRun prepares for the answer of the next run. It discards what was received of the current run and not forwarded.
func (a *answer) startRun() {
	a.receivedBytes = 0
	a.checksum = xxhash.New()
	a.buffered = nil
}

// continuable reports whether another engine can continue the answer.
func (a *answer) continuable() bool {
	return a.isEventStream && a.header.Get(engine.HeaderDigest) != ""
}

// nextToken returns the index of the first token that another engine has to generate.
func (a *answer) nextToken(r *http.Request) int {
	requested, err := strconv.Atoi(r.Header.Get(headerResumeOffset))
	if err != nil || requested < 0 {
		requested = 0
	}
	return requested + a.tokens
}

// receive adds p to the answer's checksum and returns the bytes that may be forwarded now.
func (a *answer) receive(p []byte) []byte {
	a.receivedBytes += int64(len(p))
	_, _ = a.checksum.Write(p)
	if !a.isEventStream {
		return a.receivePlain(p)
	}
	a.buffered = append(a.buffered, p...)
	complete := a.completeEventBytes()
	if complete == 0 && len(a.buffered) > maxBufferedEventBytes {
		a.partialEventForwarded = true
		complete = len(a.buffered)
	}
	ready := a.buffered[:complete:complete]
	a.buffered = append([]byte(nil), a.buffered[complete:]...)
	return ready
}

// receivePlain returns p, or buffers it if it contains the last byte of an answer with a known length.
func (a *answer) receivePlain(p []byte) []byte {
	if a.contentLength < 0 || a.receivedBytes < a.contentLength {
		return p
	}
	a.buffered = append(a.buffered, p...)
	return nil
}

// completeEventBytes counts the complete events in the buffer and returns their total length in bytes.
func (a *answer) completeEventBytes() int {
	at := 0
	for {
		end := bytes.Index(a.buffered[at:], []byte("\n\n"))
		if end < 0 {
			return at
		}
		a.countEvent(a.buffered[at : at+end])
		at += end + 2
	}
}

// countEvent records whether an event carries a token or, as every named event does, ends the stream.
func (a *answer) countEvent(event []byte) {
	hasName := bytes.HasPrefix(event, []byte("event:")) || bytes.Contains(event, []byte("\nevent:"))
	if hasName {
		a.endEventForwarded = true
		return
	}
	if bytes.HasPrefix(event, []byte("data:")) || bytes.Contains(event, []byte("\ndata:")) {
		a.tokens++
	}
}

// writeHead starts the answer to the caller.
func (c *call) writeHead(h frame.Head) {
	a := &c.answer
	a.started = true
	a.header = h.Header
	a.status = h.Status
	a.contentLength = contentLength(h.Header)
	a.startRun()
	kind, _, err := mime.ParseMediaType(h.Header.Get("Content-Type"))
	a.isEventStream = err == nil && kind == eventStreamType
	for k, v := range h.Header {
		c.w.Header()[k] = v
	}
	c.w.Header().Set(HeaderRequestID, c.id)
	c.w.WriteHeader(h.Status)
	a.lastWrite = time.Now()
}

// contentLength returns the value of the Content-Length header, or -1 if it is missing or invalid.
func contentLength(h http.Header) int64 {
	n, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64)
	if err != nil {
		return -1
	}
	return n
}

// matchesHead reports whether the head of another run equals that of the answer that was started in status, version and
// content type.
func (a *answer) matchesHead(h frame.Head) bool {
	return h.Status == a.status && h.Header.Get(engine.HeaderDigest) == a.header.Get(engine.HeaderDigest) &&
		h.Header.Get("Content-Type") == a.header.Get("Content-Type")
}

// write sends bytes to the caller. It fails if the caller does not accept them within frame.CallerIOTimeout.
func (c *call) write(p []byte) error {
	control := http.NewResponseController(c.w)
	_ = control.SetWriteDeadline(time.Now().Add(frame.CallerIOTimeout))
	if len(p) > 0 {
		if _, err := c.w.Write(p); err != nil {
			return err
		}
		c.answer.lastWrite = time.Now()
	}
	return control.Flush()
}

// writeKeepalive sends a comment on an event stream that was silent for keepaliveInterval, so that the caller does
// not time out.
func (c *call) writeKeepalive() error {
	a := &c.answer
	if !a.isEventStream || a.partialEventForwarded || time.Since(a.lastWrite) < keepaliveInterval {
		return nil
	}
	return c.write([]byte(": waiting\n\n"))
}

// abortAnswer ends an incomplete answer in a way that the caller can't mistake for a complete one. An event stream
// gets an error event, and the connection never ends cleanly.
func (e *Entry) abortAnswer(c *call, eff request.Abort) {
	if c.answer.isEventStream && !c.answer.partialEventForwarded {
		_ = c.write(errorEvent(c.newProblem(eff.Code, eff.Ran, eff.Code.Describe().Help)))
	}
	if !c.r.ProtoAtLeast(1, 1) {
		resetConnection(c.w)
	}
	panic(http.ErrAbortHandler)
}

// errorEvent returns an event that carries a problem.
func errorEvent(p Problem) []byte {
	data, err := json.Marshal(p)
	if err != nil {
		return nil
	}
	return append(append([]byte("event: error\ndata: "), data...), '\n', '\n')
}

// resetConnection resets the connection of an HTTP/1.0 caller. An orderly close would mark the end of a complete
// answer.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// newProblem returns the problem document of a code.
func (c *call) newProblem(reason code.Code, ran code.Ran, detail string) Problem {
	description := reason.Describe()
	status := description.Status
	if status == 0 {
		status = http.StatusInternalServerError
	}
	return Problem{Title: description.Name, Status: status, Code: reason, Detail: detail, Ran: ran, RequestID: c.id}
}
