package load

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"samphireweir.example/samphireweir/internal/demo/answer"
	"samphireweir.example/samphireweir/internal/demo/ledger"
)

const testDigest = "d1"

// sent sends one request to a server with the given handler and returns its record.
func sent(t *testing.T, planned request, handler http.HandlerFunc) ledger.Record {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	book := &ledger.Book{}
	generator := &Generator{
		entries: []string{strings.TrimPrefix(server.URL, "http://")},
		digests: []string{testDigest},
		book:    book,
		http:    server.Client(),
	}
	planned.entry = 0
	generator.send(planned)
	return book.Records()[0]
}

func lookup() request     { return plan(ledger.Lookup, 1, 1)[0] }
func submission() request { return plan(ledger.Submission, 1, 1)[0] }
func generation() request { return plan(ledger.Generation, 1, 1)[0] }

func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	sum := sha256.Sum256(body)
	w.Header().Set("Request-Id", "inner")
	_, _ = fmt.Fprintf(w, `{"method":%q,"body_sha256":%q}`, r.Method, hex.EncodeToString(sum[:]))
}

// TestCompletePlainAnswers guards against a correct response that is not counted as complete, or that is recorded without
// the request id of the server.
func TestCompletePlainAnswers(t *testing.T) {
	for _, planned := range []request{lookup(), submission()} {
		record := sent(t, planned, echo)
		assert.Equal(t, ledger.Complete, record.Outcome, record.Note)
		assert.Equal(t, "inner", record.RequestID)
		assert.Equal(t, planned.key, record.Key)
	}
}

// TestResponseToAnotherRequestIsDetected guards against a response with another body's digest that counts as complete.
func TestResponseToAnotherRequestIsDetected(t *testing.T) {
	record := sent(t, submission(), func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, `{"method":"POST","body_sha256":"other"}`)
	})
	assert.Equal(t, ledger.Incorrect, record.Outcome)
}

// TestRefusalIsRecordedWithItsCode guards against a refusal whose code, or whose statement about execution, gets lost.
func TestRefusalIsRecordedWithItsCode(t *testing.T) {
	record := sent(t, lookup(), func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/problem+json")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = fmt.Fprint(w, `{"code":12,"ran":"not run"}`)
	})
	assert.Equal(t, ledger.Refused, record.Outcome)
	assert.Equal(t, 12, record.Code)
	assert.Equal(t, ledger.NotRun, record.Ran)
}

// TestErrorWithoutProblemDocumentIsRefusalWithUnknownOutcome guards against an error of another server, such as a proxy,
// that counts as a statement of the product that the request did not run.
func TestErrorWithoutProblemDocumentIsRefusalWithUnknownOutcome(t *testing.T) {
	record := sent(t, lookup(), func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "oops", http.StatusBadGateway)
	})
	assert.Equal(t, ledger.Refused, record.Outcome)
	assert.Equal(t, ledger.Unknown, record.Ran)
}

// TestRequestOnBrokenConnectionIsLostAndNotRetried guards against a retry by the generator, which would hide that a
// request got no response.
func TestRequestOnBrokenConnectionIsLostAndNotRetried(t *testing.T) {
	for _, planned := range []request{lookup(), submission(), generation()} {
		var calls atomic.Int64
		record := sent(t, planned, func(http.ResponseWriter, *http.Request) {
			calls.Add(1)
			panic(http.ErrAbortHandler)
		})
		assert.Equal(t, ledger.Lost, record.Outcome)
		assert.Equal(t, int64(1), calls.Load())
	}
}

// TestBrokenReusedConnectionIsNotRetried guards against a retry by the HTTP transport, which by default repeats a request
// when a reused connection breaks.
func TestBrokenReusedConnectionIsNotRetried(t *testing.T) {
	for _, planned := range []request{lookup(), submission()} {
		var calls atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if calls.Add(1) > 1 {
				panic(http.ErrAbortHandler)
			}
			echo(w, r)
		}))
		book := &ledger.Book{}
		generator := &Generator{entries: []string{strings.TrimPrefix(server.URL, "http://")}, book: book, http: server.Client()}
		planned.entry = 0
		generator.send(planned)
		generator.send(planned)
		server.Close()
		assert.Equal(t, ledger.Lost, book.Records()[1].Outcome)
		assert.Equal(t, int64(2), calls.Load())
	}
}

// TestTruncatedResponseIsLost guards against a response shorter than its Content-Length that counts as complete.
func TestTruncatedResponseIsLost(t *testing.T) {
	record := sent(t, lookup(), func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = fmt.Fprint(w, `{"method"`)
	})
	assert.Equal(t, ledger.Lost, record.Outcome)
}

// TestModelAnswersAreChecked guards against model answers that count as complete although they are too short or come
// from a version that is not part of the run.
func TestModelAnswersAreChecked(t *testing.T) {
	planned := generation()
	cases := map[string]struct {
		digest string
		tokens int
		want   ledger.Outcome
	}{
		"whole":           {testDigest, planned.generate.MaxTokens, ledger.Complete},
		"short":           {testDigest, planned.generate.MaxTokens - 1, ledger.Lost},
		"unknown version": {"d9", planned.generate.MaxTokens, ledger.Incorrect},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			record := sent(t, planned, func(w http.ResponseWriter, _ *http.Request) {
				text := answer.Text(test.digest, planned.generate.Prompt, test.tokens)
				_, _ = fmt.Fprintf(w, `{"text":%q,"digest":%q}`, text, test.digest)
			})
			assert.Equal(t, test.want, record.Outcome, record.Note)
		})
	}
}

// TestStreamWithoutDoneEventIsLost guards against a stream that ends early and counts as complete.
func TestStreamWithoutDoneEventIsLost(t *testing.T) {
	record := sent(t, generation(), func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprintf(w, "id: 0\ndata: {\"index\":0,\"token\":\"x \"}\n\n")
	})
	assert.Equal(t, ledger.Lost, record.Outcome)
}

// TestUnavailableEntryIsSkipped guards against requests to an entry that a load balancer would not use, unless no entry
// is available.
func TestUnavailableEntryIsSkipped(t *testing.T) {
	up := map[int]bool{1: true}
	generator := &Generator{entries: []string{"a", "b", "c"}, available: func(entry int) bool { return up[entry] }}
	assert.Equal(t, []int{1, 1, 1}, []int{generator.chooseEntry(0), generator.chooseEntry(1), generator.chooseEntry(2)})
	up[1] = false
	assert.Equal(t, 2, generator.chooseEntry(2), "none is available")
}

// TestTruncatedResponseWithCleanEndIsMarked guards against a truncated response that its caller can't tell from a complete
// one: the connection ended without an error. A response with a broken connection must not be marked.
func TestTruncatedResponseWithCleanEndIsMarked(t *testing.T) {
	record := sent(t, submission(), func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, `{"method":"PO`) })
	assert.Equal(t, ledger.Lost, record.Outcome)
	assert.True(t, record.CleanEnd)
	record = sent(t, submission(), func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, `{"method":"PO`)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	assert.Equal(t, ledger.Lost, record.Outcome)
	assert.False(t, record.CleanEnd)
}

// TestResponseForAnotherPathIsCrossed guards against a response to another request that counts as complete because
// method and body are the same and only the path differs.
func TestResponseForAnotherPathIsCrossed(t *testing.T) {
	planned := lookup()
	planned.path = vendorsPath + "/17"
	record := sent(t, planned, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"method":"GET","path":"/vendors/18","body_sha256":%q}`, sha256Hex(nil))
	})
	assert.Equal(t, ledger.Incorrect, record.Outcome)
	assert.True(t, record.Crossed)
}
