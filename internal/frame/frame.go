// Package frame is the format in which an agent sends an answer to an entry. Framing lets the entry distinguish a
// complete answer from a truncated one, a dead connection from a slow upstream, and its own answer from that of another
// request.
//
// A frame is one byte of type, four bytes of payload length (big endian), and the payload.
package frame

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/record"
	"samphireweir.example/samphireweir/internal/core/routing"
)

// Type is the type of a frame.
type Type byte

// The types of frame.
const (
	// TypeHead carries a Head, once, before any data.
	TypeHead Type = 1
	// TypeData carries bytes of the answer's body.
	TypeData Type = 2
	// TypeHeartbeat is a heartbeat without payload: the agent is alive and the upstream has sent nothing. In this package
	// and in internal/entry, a heartbeat is such a frame. On the users' platform, a heartbeat is a datagram that an entry
	// sends to an agent.
	TypeHeartbeat Type = 3
	// TypeEnd carries an End: the answer is complete.
	TypeEnd Type = 4
	// TypeFail carries a Fail: the answer will not be completed.
	TypeFail Type = 5
	// TypeSilent carries a Silent: the upstream has been silent for so long that another one should run the request. The run goes on.
	TypeSilent Type = 6
)

// MaxPayloadBytes bounds the payload of one frame, in bytes.
const MaxPayloadBytes = 256 << 10

// headerSize is the size of a frame's type and length, in bytes.
const headerSize = 5

// ContentType is the media type of a framed answer.
const ContentType = "application/x-samphireweir-frames"

// Head is the payload of the first frame of an answer: its status and header.
type Head struct {
	Request string      `json:"request"`
	Attempt int         `json:"attempt"`
	Status  int         `json:"status"`
	Header  http.Header `json:"header"`
	// Load is the load of the upstream as the agent reports it.
	Load *routing.Report `json:"load,omitempty"`
}

// End is the payload of the frame that ends a complete answer, with the size and hash of the body for verification.
type End struct {
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
	// Bytes is the size of the body.
	Bytes int64 `json:"bytes"`
	// Sum is the 64-bit xxhash of the body.
	Sum uint64 `json:"sum"`
	// Load is the load of the upstream as the agent reports it.
	Load *routing.Report `json:"load,omitempty"`
}

// Fail is the payload of the frame that ends an answer early, with the reason.
type Fail struct {
	Request string    `json:"request"`
	Attempt int       `json:"attempt"`
	Code    code.Code `json:"code"`
	Ran     code.Ran  `json:"ran"`
	// Crashed reports whether the upstream crashed while it ran the request.
	Crashed bool `json:"crashed,omitempty"`
	// CrashRecord is set with Crashed: the record of crashes for the request's fingerprint.
	CrashRecord *record.Record `json:"mark,omitempty"`
	// Load is the load of the upstream as the agent reports it.
	Load *routing.Report `json:"load,omitempty"`
}

// Silent is the payload of the frame that reports a silent upstream. It is repeated while the silence lasts.
type Silent struct {
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
	// Ran is the run status if the entry gave up the attempt now: not run if nothing was sent to the upstream.
	Ran code.Ran `json:"ran"`
}

// Write writes one frame. It fails for a payload of more than MaxPayloadBytes.
func Write(w io.Writer, t Type, payload []byte) error {
	if len(payload) > MaxPayloadBytes {
		return code.Errorf(code.BadMessage, "frame.length", "%d bytes, at most %d", len(payload), MaxPayloadBytes)
	}
	buf := make([]byte, headerSize+len(payload))
	buf[0] = byte(t)
	binary.BigEndian.PutUint32(buf[1:headerSize], uint32(len(payload)))
	copy(buf[headerSize:], payload)
	_, err := w.Write(buf)
	return err
}

// WriteJSON writes one frame with v, encoded as JSON, as its payload.
func WriteJSON(w io.Writer, t Type, v any) error {
	payload, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return Write(w, t, payload)
}

// Reader reads frames.
type Reader struct {
	r   io.Reader
	buf []byte
}

// NewReader returns a Reader of the frames in r.
func NewReader(r io.Reader) *Reader { return &Reader{r: r} }

// Next returns the next frame. The payload is valid until the next call. If the stream ends between or within frames,
// Next returns io.ErrUnexpectedEOF, because only TypeEnd and TypeFail end an answer.
func (r *Reader) Next() (Type, []byte, error) {
	var head [headerSize]byte
	if _, err := io.ReadFull(r.r, head[:]); err != nil {
		return 0, nil, unexpectedEOF(err)
	}
	t := Type(head[0])
	if t < TypeHead || t > TypeSilent {
		return 0, nil, code.Errorf(code.BadMessage, "frame.type", "%d, want 1 to 6", head[0])
	}
	n := binary.BigEndian.Uint32(head[1:])
	if n > MaxPayloadBytes {
		return 0, nil, code.Errorf(code.BadMessage, "frame.length", "%d bytes, at most %d", n, MaxPayloadBytes)
	}
	if int(n) > cap(r.buf) {
		r.buf = make([]byte, n)
	}
	payload := r.buf[:n]
	if _, err := io.ReadFull(r.r, payload); err != nil {
		return 0, nil, unexpectedEOF(err)
	}
	return t, payload, nil
}

// unexpectedEOF returns io.ErrUnexpectedEOF for io.EOF, and err otherwise.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
