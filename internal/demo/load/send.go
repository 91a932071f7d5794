package load

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"samphireweir.example/samphireweir/internal/demo/answer"
	"samphireweir.example/samphireweir/internal/demo/ledger"
)

const (
	headerRequestID = "Request-Id"
	headerKey       = "Idempotency-Key"
	headerDeadline  = "Deadline-Ms"
	headerContent   = "Content-Type"
	typeJSON        = "application/json"
	typeProblem     = "application/problem+json"
	typeStream      = "text/event-stream"
	maxNoteBytes    = 200 // bytes of an unexpected response that a note quotes
)

// send sends one request, reads the complete response and records the outcome.
func (g *Generator) send(planned request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	planned.entry = g.chooseEntry(planned.entry)
	record := ledger.Record{
		Kind: planned.kind, RequestID: planned.id, Key: planned.key, Entry: planned.entry, Start: time.Now(),
	}
	if err := g.roundTrip(planned, &record); err != nil {
		record.Outcome = ledger.Lost
		record.Note = err.Error()
	}
	record.Took = time.Since(record.Start)
	g.book.Add(record)
}

// chooseEntry returns the index of the entry that a request is sent to: the planned one, or the next one that is available.
func (g *Generator) chooseEntry(planned int) int {
	for offset := range g.entries {
		entry := (planned + offset) % len(g.entries)
		if g.available == nil || g.available(entry) {
			return entry
		}
	}
	return planned
}

// roundTrip sends a request and checks its response. An error means that the request is lost: it got no final and complete
// response.
func (g *Generator) roundTrip(planned request, record *ledger.Record) error {
	message, err := g.newHTTPRequest(planned)
	if err != nil {
		return err
	}
	response, err := g.http.Do(message)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	record.Status = response.StatusCode
	if id := response.Header.Get(headerRequestID); id != "" {
		record.RequestID = id
	}
	switch {
	case response.StatusCode >= http.StatusMultipleChoices:
		return readRefusal(response, record)
	case planned.kind == ledger.Generation, planned.kind == ledger.Poison:
		return g.checkModelResponse(planned, response, record)
	default:
		return checkPlainResponse(planned, response, record)
	}
}

func (g *Generator) newHTTPRequest(planned request) (*http.Request, error) {
	url := "http://" + g.entries[planned.entry] + planned.path
	message, err := http.NewRequest(planned.method, url, bytes.NewReader(planned.body))
	if err != nil {
		return nil, errors.Wrap(err, "creating a request")
	}
	disableTransportRetry(message)
	message.Header.Set(headerRequestID, planned.id)
	if planned.key != "" {
		message.Header.Set(headerKey, planned.key)
	}
	if g.deadline > 0 {
		message.Header.Set(headerDeadline, strconv.FormatInt(g.deadline.Milliseconds(), 10))
	}
	if len(planned.body) > 0 {
		message.Header.Set(headerContent, typeJSON)
	}
	return message, nil
}

// disableTransportRetry keeps the HTTP transport from retrying a request by itself when a reused connection breaks. The
// transport retries only requests without a body or with one that it can read again.
func disableTransportRetry(message *http.Request) {
	message.GetBody = nil
	if message.Body == http.NoBody {
		message.Body = io.NopCloser(bytes.NewReader(nil))
	}
}

// readRefusal records a final response that refuses the request.
func readRefusal(response *http.Response, record *ledger.Record) error {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(err, "reading a refusal")
	}
	record.Outcome = ledger.Refused
	record.Ran = ledger.Unknown
	if contentType(response) != typeProblem {
		record.Note = "response without a problem document: " + string(body[:min(len(body), maxNoteBytes)])
		return nil
	}
	var problem answer.Problem
	if err := json.Unmarshal(body, &problem); err != nil {
		return errors.Wrap(err, "decoding a refusal")
	}
	recordProblem(problem, record)
	return nil
}

func recordProblem(problem answer.Problem, record *ledger.Record) {
	record.Outcome = ledger.Refused
	record.Code = problem.Code
	record.Ran = problem.Ran
	record.Note = problem.Title
}

// plainResponse is the part of a plain service's response that is checked.
type plainResponse struct {
	Method     string `json:"method"`
	Path       string `json:"path"` // without team and service
	BodySHA256 string `json:"body_sha256"`
}

// checkPlainResponse reads a plain service's response and checks that it belongs to the request.
func checkPlainResponse(planned request, response *http.Response, record *ledger.Record) error {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(err, "reading a response")
	}
	var message plainResponse
	if err := json.Unmarshal(body, &message); err != nil {
		record.CleanEnd = true
		return errors.Wrap(err, "decoding a response")
	}
	record.Outcome = ledger.Complete
	if !message.matches(planned) {
		record.Outcome = ledger.Incorrect
		record.Crossed = true
		record.Note = "response to another request: " + string(body[:min(len(body), maxNoteBytes)])
	}
	return nil
}

// matches reports whether the response belongs to a request.
func (m plainResponse) matches(planned request) bool {
	sameContent := m.Method == planned.method && m.BodySHA256 == sha256Hex(planned.body)
	return sameContent && strings.HasSuffix(planned.path, m.Path)
}

func sha256Hex(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// checkModelResponse reads a model's answer and checks all of its tokens.
func (g *Generator) checkModelResponse(planned request, response *http.Response, record *ledger.Record) error {
	got, err := readModelResponse(response)
	if err != nil {
		var malformed *json.SyntaxError
		record.CleanEnd = errors.As(err, &malformed)
		return err
	}
	verdict := answer.Check(got, planned.generate.Prompt, planned.generate.MaxTokens, g.digests)
	switch verdict {
	case answer.Complete:
		record.Outcome = ledger.Complete
	case answer.Failed:
		recordProblem(*got.Problem, record)
	case answer.Truncated:
		record.CleanEnd = true
		return errors.Errorf("truncated: %d of %d tokens", got.Tokens, planned.generate.MaxTokens)
	case answer.Incorrect:
		record.Outcome = ledger.Incorrect
		record.Crossed = !answer.BelongsTo(got, planned.generate.Prompt, g.digests)
		record.Note = "incorrect answer: digest " + got.Digest + ", text " + got.Text[:min(len(got.Text), maxNoteBytes)]
	}
	return nil
}

func readModelResponse(response *http.Response) (answer.Answer, error) {
	if contentType(response) == typeStream {
		return answer.ReadStream(response.Body)
	}
	return answer.ReadJSON(response.Body)
}

func contentType(response *http.Response) string {
	kind, _, err := mime.ParseMediaType(response.Header.Get(headerContent))
	if err != nil {
		return ""
	}
	return kind
}
