package entry

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/request"
	"samphireweir.example/samphireweir/internal/frame"
)

const (
	// maxReplayBytes is how much of a body is buffered. A request whose body fits can be sent again. The buffered
	// part is included in the fingerprint.
	maxReplayBytes = 256 << 10
	// fingerprintBytes is the length of a fingerprint in bytes, before hex encoding.
	fingerprintBytes = 16
)

// errBodyTooLarge is returned when a body exceeds the entry's limit.
var errBodyTooLarge = errors.New("reading the body: it exceeds the limit")

// body is a caller's body. Its first maxReplayBytes are buffered; the rest is read while it is sent.
type body struct {
	buffered []byte
	// complete is set if the entire body is buffered.
	complete     bool
	rest         io.Reader
	restConsumed bool
}

// readBody buffers the start of the body. It sets the request's fingerprint, and Replayable if the entire body is buffered.
func (e *Entry) readBody(c *call, ev *request.Received) *code.Error {
	source := &callerReader{call: c, remaining: e.config.MaxBodyBytes}
	defer source.clearDeadline()
	buffered, err := io.ReadAll(io.LimitReader(source, maxReplayBytes+1))
	if errors.Is(err, errBodyTooLarge) {
		return code.Errorf(code.BodyTooLarge, "body", "more than %d bytes", e.config.MaxBodyBytes)
	}
	var refusal *code.Error
	if errors.As(err, &refusal) {
		return refusal
	}
	if err != nil {
		return code.Errorf(code.CallerGone, "body", "it did not come whole: %v", err)
	}
	c.body = &body{buffered: buffered, complete: len(buffered) <= maxReplayBytes, rest: source}
	c.fingerprint = fingerprint(c.r, ev.Team+"/"+ev.Service, c.requestTarget, c.body)
	ev.Fingerprint = c.fingerprint
	ev.Replayable = c.body.complete
	return nil
}

// fingerprint returns an identifier of the request's content, independent of its caller. Requests with equal fingerprints
// are assumed to have the same effect on an upstream. Of a body beyond maxReplayBytes it covers only the buffered part and
// the Content-Length. On the users' platform, the fingerprint of package gateway includes the caller.
func fingerprint(r *http.Request, service, requestTarget string, b *body) string {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%s\n%s\n%s\n%d\n", service, r.Method, requestTarget, r.ContentLength)
	_, _ = h.Write(b.buffered)
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}

// reader returns the body from its start. ok is false if the unbuffered part was already read for an earlier attempt.
func (b *body) reader() (r io.Reader, ok bool) {
	if b.complete {
		return bytes.NewReader(b.buffered), true
	}
	if b.restConsumed {
		return nil, false
	}
	b.restConsumed = true
	return io.MultiReader(bytes.NewReader(b.buffered), b.rest), true
}

// callerReader reads a caller's body up to a limit. A read that takes longer than frame.CallerIOTimeout fails.
type callerReader struct {
	call      *call
	remaining int64
}

// Read reads from the caller's body. It returns errBodyTooLarge beyond the limit.
func (c *callerReader) Read(p []byte) (int, error) {
	control := http.NewResponseController(c.call.w)
	_ = control.SetReadDeadline(time.Now().Add(frame.CallerIOTimeout))
	n, err := c.call.r.Body.Read(p)
	if err != nil {
		c.clearDeadline()
	}
	c.remaining -= int64(n)
	if c.remaining < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}

// clearDeadline removes the read deadline, because the server keeps reading in the background to detect a caller that
// disconnects.
func (c *callerReader) clearDeadline() {
	_ = http.NewResponseController(c.call.w).SetReadDeadline(time.Time{})
}
