package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/standin/serve"
)

// Limits and default values of request fields. The lowest priority has the highest number.
const (
	maxTokensLimit  = 100000
	defaultPriority = 5
	lowestPriority  = 9
)

// readRequest creates a request from a generate call. It returns an error if a header is malformed or a value is out of bounds.
func readRequest(r *http.Request, call GenerateRequest) (*request, error) {
	priority, err := headerNumber(r, headerPriority, defaultPriority)
	if err != nil {
		return nil, err
	}
	offset, err := headerNumber(r, headerResumeOffset, 0)
	if err != nil {
		return nil, err
	}
	if call.MaxTokens < 0 || call.MaxTokens > maxTokensLimit || offset < 0 || priority < 0 || priority > lowestPriority {
		return nil, errors.New("max_tokens, offset or priority out of bounds")
	}
	start := min(int(offset), call.MaxTokens)
	id := r.Header.Get(headerRequestID)
	if id == "" {
		id = uuid.NewString()
	}
	return &request{
		id:             id,
		attempt:        r.Header.Get(headerAttempt),
		idempotencyKey: r.Header.Get(headerIdempotencyKey),
		prompt:         call.Prompt,
		maxTokens:      call.MaxTokens,
		priority:       int(priority),
		out:            make(chan TokenEvent, call.MaxTokens-start),
		offset:         start,
		next:           start,
	}, nil
}

// generate handles POST /v1/generate.
func (e *engine) generate(w http.ResponseWriter, r *http.Request) {
	var call GenerateRequest
	if !serve.ReadJSON(w, r, &call) {
		return
	}
	run, err := readRequest(r, call)
	if err != nil {
		serve.Fail(w, http.StatusBadRequest, err.Error())
		return
	}
	if reason := e.submit(run); reason != "" {
		serve.Fail(w, http.StatusServiceUnavailable, reason)
		return
	}
	// Cancel the run however the handler returns, because nobody reads its tokens any more: a token and the caller's disconnect may arrive at
	// the same time. Cancelling a run that has ended has no effect.
	defer e.cancel(func(other *request) bool { return other == run })
	if call.Stream {
		e.stream(w, r, run)
		return
	}
	e.collect(w, r, run)
}

// receive returns the next token of a run. ok is false if the run has ended or the caller has disconnected.
func receive(r *http.Request, run *request) (token TokenEvent, ok bool) {
	select {
	case token, ok = <-run.out:
		return token, ok
	case <-r.Context().Done():
		return TokenEvent{}, false
	}
}

// setHeaders sets the headers that identify the request and the weights with which it started. It may be called only for a run that has
// generated a token or ended.
func (e *engine) setHeaders(w http.ResponseWriter, run *request) {
	header := w.Header()
	header.Set(headerRequestID, run.id)
	header.Set(headerWeightsDigest, run.digestStart)
	header.Set(headerLoadGeneration, strconv.FormatInt(run.genStart, 10))
	header.Set(headerBootID, e.process.BootID())
}

// collect responds with all tokens at once.
func (e *engine) collect(w http.ResponseWriter, r *http.Request, run *request) {
	var text strings.Builder
	for {
		token, ok := receive(r, run)
		if !ok {
			break
		}
		text.WriteString(token.Token)
	}
	if r.Context().Err() != nil || run.outcome == serve.OutcomeCrashed {
		return
	}
	e.setHeaders(w, run)
	if run.outcome == serve.OutcomeCancelled {
		serve.Fail(w, http.StatusConflict, "cancelled")
		return
	}
	serve.WriteJSON(w, http.StatusOK, GenerateResponse{
		RequestID:  run.id,
		Text:       text.String(),
		Tokens:     run.next,
		Digest:     run.digestEnd,
		Generation: run.genEnd,
	})
}

// stream responds token by token. The response headers are sent with the first token.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, run *request) {
	headersSent := false
	for {
		token, ok := receive(r, run)
		if r.Context().Err() != nil || (!ok && run.outcome == serve.OutcomeCrashed) {
			return
		}
		if !headersSent {
			e.beginStream(w, run)
			headersSent = true
		}
		if !ok {
			endStream(w, run)
			return
		}
		if err := writeEvent(w, fmt.Sprintf("id: %d", token.Index), token); err != nil {
			return
		}
	}
}

func (e *engine) beginStream(w http.ResponseWriter, run *request) {
	e.setHeaders(w, run)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
}

func endStream(w http.ResponseWriter, run *request) {
	_ = writeEvent(w, "event: "+run.outcome, EndEvent{
		Tokens:     run.next,
		Digest:     run.digestEnd,
		Generation: run.genEnd,
	})
}

// writeEvent writes one event of a stream and flushes it. head is the line before the data.
func writeEvent(w http.ResponseWriter, head string, data any) error {
	text, err := json.Marshal(data)
	if err != nil {
		return errors.Wrap(err, "write an event")
	}
	if _, err := io.WriteString(w, head+"\ndata: "+string(text)+"\n\n"); err != nil {
		return errors.Wrap(err, "write an event")
	}
	return errors.Wrap(http.NewResponseController(w).Flush(), "send an event")
}
