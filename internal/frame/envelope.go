package frame

import (
	"encoding/json"
	"net/http"
	"time"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/record"
	"samphireweir.example/samphireweir/internal/core/routing"
)

const (
	// EnvelopeHeader is the HTTP header that carries an Envelope from an entry to an agent.
	EnvelopeHeader = "Samphireweir-Run"
	// RunPath is the agent's path for running a request.
	RunPath = "/run"
	// ResumePath is the agent's path for resuming an answer whose connection broke.
	ResumePath = "/resume"
	// FencePath is the agent's path for a report that the entry has abandoned an attempt. The agent then prevents the
	// attempt from starting, or cancels it.
	FencePath = "/fence"
	// GiveUpPath is the agent's path for ending an attempt whose silent upstream was reported with TypeSilent. The agent ends the run unless
	// the upstream has gone on, and reports the failure on the connection of the answer.
	GiveUpPath = "/give-up"
	// HeartbeatInterval is the time between heartbeats on a connection without data.
	HeartbeatInterval = time.Second
	// HeadTimeout is the least time for which an agent may be silent before its first byte. Then the entry considers the
	// connection dead and asks for the same attempt on a new one. The agent answers at once, independently of the upstream.
	// What counts as silence is defined in package silence.
	HeadTimeout = time.Second
	// FrameTimeout is how long an agent may be silent between two frames before the entry considers the connection dead.
	FrameTimeout = 3 * HeartbeatInterval
	// CallerIOTimeout bounds each read of an entry from a caller and each write to it.
	CallerIOTimeout = 30 * time.Second
	// ReaderTimeout is how long an agent waits for an entry to accept a frame. An entry that lives may spend
	// CallerIOTimeout on a write to a slow caller before it reads again. If its process dies, the connection is reset at once.
	ReaderTimeout = CallerIOTimeout + 5*time.Second
	// MaxEnvelopeBytes bounds an encoded envelope, in bytes.
	MaxEnvelopeBytes = 16 << 10
)

// Envelope describes to an agent the attempt that an entry asks it to run, resume or fence.
type Envelope struct {
	// Request is the ID of the request.
	Request string `json:"request"`
	// Attempt is the number of the attempt, from 1.
	Attempt int `json:"attempt"`
	// Upstream is the name of the upstream on the agent's host.
	Upstream string `json:"upstream"`
	// Target is the path and query of the request at the upstream. It does not identify the upstream.
	Target string `json:"target,omitempty"`
	// Offset is the position of the first byte of the answer that a resume requests.
	Offset int64 `json:"offset,omitempty"`
	// DeadlineMS is the time left until the caller's deadline, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// Incarnation is the start time of the agent's instance that the entry addresses, as the agent advertised it. It is not
	// the fencing number of core/incarnation.
	Incarnation uint64 `json:"incarnation"`
	// Entry identifies the instance of the entry.
	Entry string `json:"entry"`
	// Sequence counts the attempts that this instance of the entry has sent.
	Sequence uint64 `json:"sequence"`
	// Fingerprint identifies the content of the request, independently of the caller.
	Fingerprint string `json:"fingerprint,omitempty"`
	// Exclusive requires that no other request runs on the upstream at the same time.
	Exclusive bool `json:"alone,omitempty"`
	// CrashRecord is the entry's record of crashes for the fingerprint, which the agent may not have received yet.
	CrashRecord *record.Record `json:"mark,omitempty"`
	// Digest, when set, is the digest of the only version of weights on which the request may run.
	Digest string `json:"digest,omitempty"`
	// ResumeTokens, when set, is the index of the first token that the engine must generate. It is set for an attempt that
	// continues the answer of a lost run.
	ResumeTokens int `json:"resume_tokens,omitempty"`
	// Revision is the entry's revision of the service's setting. An agent with an older revision fetches the setting
	// from the entry before it serves the request.
	Revision uint64 `json:"revision,omitempty"`
	// From is the entry's address for peers.
	From string `json:"from,omitempty"`
	// AtMostOnce requires that the request runs at most once.
	AtMostOnce bool `json:"once,omitempty"`
	// ReportSilence requires that the agent reports a silent upstream with TypeSilent and keeps the run until the entry calls GiveUpPath.
	// Without it, as from an entry of an earlier release, the agent ends the run.
	ReportSilence bool `json:"report_silence,omitempty"`
	// CachePosition identifies the last change of the upstream's prefix cache that the entry has received.
	CachePosition routing.CachePosition `json:"cache,omitzero"`
}

// Set encodes e into EnvelopeHeader of h. It fails if the encoded envelope exceeds MaxEnvelopeBytes.
func (e Envelope) Set(h http.Header) error {
	raw, err := json.Marshal(e)
	if err != nil {
		return err
	}
	if len(raw) > MaxEnvelopeBytes {
		return code.Errorf(code.BadMessage, "envelope", "%d bytes, at most %d", len(raw), MaxEnvelopeBytes)
	}
	h.Set(EnvelopeHeader, string(raw))
	return nil
}

// ParseEnvelope decodes and validates the envelope in EnvelopeHeader of h.
func ParseEnvelope(h http.Header) (Envelope, error) {
	var e Envelope
	raw := h.Get(EnvelopeHeader)
	if len(raw) > MaxEnvelopeBytes {
		return e, code.Errorf(code.BadMessage, "envelope", "%d bytes, at most %d", len(raw), MaxEnvelopeBytes)
	}
	if err := json.Unmarshal([]byte(raw), &e); err != nil {
		return e, code.Errorf(code.BadMessage, "envelope", "not JSON: %v", err)
	}
	if e.Request == "" {
		return e, code.Errorf(code.BadMessage, "envelope.request", "empty, want the request's id")
	}
	if e.Attempt < 1 || e.Offset < 0 || e.DeadlineMS < 0 || e.ResumeTokens < 0 {
		return e, code.Errorf(code.BadMessage, "envelope.attempt", "attempt wants 1 or more, offset, deadline_ms and resume_tokens 0 or more")
	}
	return e, nil
}
