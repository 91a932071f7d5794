package entry

import (
	"net/http"
	"time"

	"samphireweir.example/samphireweir/internal/claims"
	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/claim"
	"samphireweir.example/samphireweir/internal/core/request"
)

// HeaderIdempotentReplay is the header that marks a stored answer of an earlier run with the same idempotency key.
const HeaderIdempotentReplay = "Idempotent-Replay"

// grantedClaim is the granted claim of one call. Its methods do nothing on a nil receiver, so that callers need not
// handle calls without a claim separately.
type grantedClaim struct {
	claim    claim.Claim
	recorder *responseRecorder
	// sent is set once the call was handed to an agent.
	sent bool
	// complete is set once the complete answer was forwarded.
	complete bool
	// ran is the run status that the caller was given with a refusal. It is empty if the call was not refused.
	ran code.Ran
}

func (g *grantedClaim) markSent() {
	if g != nil {
		g.sent = true
	}
}

func (g *grantedClaim) markComplete() {
	if g != nil {
		g.complete = true
	}
}

func (g *grantedClaim) recordRefusal(ran code.Ran) {
	if g != nil {
		g.ran = ran
	}
}

// claimKey carries out request.Claim. It reports whether the request is finished, either because a stored answer was
// replayed or because the caller disconnected.
func (e *Entry) claimKey(c *call) bool {
	key := c.r.Header.Get(HeaderIdempotencyKey)
	if key == "" {
		// A call without a key can't be repeated by its caller and is not retried by this entry, so it needs no
		// record.
		e.Loop.Step(request.ClaimSettled{ID: c.id, Outcome: request.ClaimGranted})
		return false
	}
	proposed := e.newClaim(c, key)
	a := e.claims.Claim(c.r.Context(), proposed)
	switch {
	case a.Verdict == claim.Granted:
		c.startRecording(proposed)
		if c.r.Context().Err() != nil {
			return true // The caller disconnected and nothing was sent: the claim is released.
		}
		e.Loop.Step(request.ClaimSettled{ID: c.id, Outcome: request.ClaimGranted})
	case a.Verdict == claim.Replayed && a.StoredResponse != nil:
		replayAnswer(c, a.StoredResponse)
		return true
	default:
		e.rejectClaim(c, a)
	}
	return false
}

// newClaim returns the claim of the call with the given idempotency key.
func (e *Entry) newClaim(c *call, key string) claim.Claim {
	team, service, _, _ := splitPath(c.r.URL.Path)
	return claim.Claim{
		Key:          claim.HashKey(team, service, key),
		RequestID:    c.id,
		Fingerprint:  claim.Fingerprint(c.r.Method, c.requestTarget, c.r.ContentLength, c.body.buffered),
		KeyTime:      claim.KeyTimestamp(key),
		RunTimeoutMS: time.Until(c.deadline).Milliseconds(),
	}
}

// rejectClaim reports a refused claim to the core.
func (e *Entry) rejectClaim(c *call, a claims.Result) {
	refusal, ok := a.Verdict.Refusal()
	if !ok {
		refusal, _ = claim.MaybeRecorded.Refusal()
	}
	e.Loop.Step(request.ClaimSettled{
		ID: c.id, Outcome: request.ClaimRefused, Code: refusal.Code, Ran: refusal.Ran,
		RetryAfter: time.Duration(a.RetryAfterMS) * time.Millisecond,
	})
}

// startRecording stores the granted claim and records from now on what the caller receives.
func (c *call) startRecording(granted claim.Claim) {
	recorder := &responseRecorder{ResponseWriter: c.w}
	c.w = recorder
	c.claim = &grantedClaim{claim: granted, recorder: recorder}
}

// recordSettlement records how a call with a claim ended. It is deferred, so it also runs if the answer is aborted by
// a panic.
func (e *Entry) recordSettlement(c *call) {
	granted := c.claim
	if granted == nil {
		return
	}
	settlement := claim.Settlement{
		Key: granted.claim.Key, RequestID: granted.claim.RequestID, KeyTime: granted.claim.KeyTime,
		Status: claim.SettlementStatus(granted.sent, granted.complete, granted.ran),
	}
	if granted.complete {
		settlement.Answer = granted.recorder.storedResponse()
	}
	e.claims.Settle(settlement)
}

// replayAnswer sends a stored answer to the caller.
func replayAnswer(c *call, stored *claim.StoredResponse) {
	header := c.w.Header()
	for name, values := range stored.Header {
		header[name] = values
	}
	header.Set(HeaderIdempotentReplay, "true")
	header.Set(HeaderRequestID, c.id)
	c.w.WriteHeader(stored.Status)
	_, _ = c.w.Write(stored.Body)
}

// responseRecorder copies a response that is forwarded to the caller, unless it is too large to be stored.
type responseRecorder struct {
	http.ResponseWriter
	status   int
	header   http.Header
	body     []byte
	tooLarge bool
}

// WriteHeader records the status and header and forwards them.
func (r *responseRecorder) WriteHeader(status int) {
	r.status = status
	r.header = r.Header().Clone()
	r.ResponseWriter.WriteHeader(status)
}

// Write forwards p, and records it unless the body exceeds claim.MaxResponseBodyBytes.
func (r *responseRecorder) Write(p []byte) (int, error) {
	r.tooLarge = r.tooLarge || len(r.body)+len(p) > claim.MaxResponseBodyBytes
	if r.tooLarge {
		r.body = nil
	} else {
		r.body = append(r.body, p...)
	}
	return r.ResponseWriter.Write(p)
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (r *responseRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// storedResponse returns the response to be stored, or nil if it is too large.
func (r *responseRecorder) storedResponse() *claim.StoredResponse {
	stored := &claim.StoredResponse{Status: r.status, Header: r.header, Body: r.body}
	if r.tooLarge || r.status == 0 || !stored.FitsLimit() {
		return nil
	}
	return stored
}
