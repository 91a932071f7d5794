package entry

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/standin/engine"
	"samphireweir.example/samphireweir/internal/standin/plain"
)

// outcome is what a caller received for one request.
type outcome struct {
	id     string
	status int
	// complete is set if the answer ended cleanly and is the correct answer to the request.
	complete bool
	// unexpected holds received data that is not part of the correct answer.
	unexpected string
	// cleanEnd is set if the answer ended without a connection error.
	cleanEnd bool
	problem  *Problem
	err      error
	duration time.Duration
	tokens   int
}

func (o outcome) String() string {
	return fmt.Sprintf("id %s status %d complete %v clean end %v tokens %d unexpected %q problem %+v err %v duration %v", o.id, o.status, o.complete, o.cleanEnd, o.tokens, o.unexpected, o.problem, o.err, o.duration)
}

// testRequest is one request of a caller.
type testRequest struct {
	service string
	method  string
	path    string
	body    string
	key     string
	// prompt and tokens are the parameters of a request to an engine.
	prompt string
	tokens int
	stream bool
	// deadline is sent as Deadline-Ms; zero means the entry's default.
	deadline time.Duration
	// onToken, if set, is called with the number of tokens received so far.
	onToken func(tokens int)
}

func generateRequest(prompt string, tokens int, stream bool) testRequest {
	body, _ := json.Marshal(engine.GenerateRequest{Prompt: prompt, MaxTokens: tokens, Stream: stream})
	return testRequest{service: "summary", method: http.MethodPost, path: "/v1/generate", body: string(body), prompt: prompt, tokens: tokens, stream: stream}
}

func bookingRequest(key, body string) testRequest {
	return testRequest{service: "portal", method: http.MethodPost, path: "/bookings", body: body, key: key, deadline: 6 * time.Second}
}

func lookupRequest(path string) testRequest {
	return testRequest{service: "portal", method: http.MethodGet, path: path, deadline: 12 * time.Second}
}

// send sends a request to an entry and reads the answer to its end.
func (f *testFleet) send(ctx context.Context, entry int, q testRequest) outcome {
	return sendTo(ctx, "http://"+f.entries[entry].callerListener.Addr().String(), f.weightsDigest, q)
}

func sendTo(ctx context.Context, base, digest string, q testRequest) outcome {
	start := time.Now()
	req := newRequest(ctx, base, q)
	if q.key != "" {
		req.Header.Set(HeaderIdempotencyKey, q.key)
	}
	if q.deadline > 0 {
		req.Header.Set(HeaderDeadline, fmt.Sprint(q.deadline.Milliseconds()))
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return outcome{err: err, duration: time.Since(start)}
	}
	defer func() { _ = resp.Body.Close() }()
	o := outcome{id: resp.Header.Get(HeaderRequestID), status: resp.StatusCode}
	o.read(resp, q, digest)
	o.duration = time.Since(start)
	return o
}

func newRequest(ctx context.Context, base string, q testRequest) *http.Request {
	req, err := http.NewRequestWithContext(ctx, q.method, base+"/karrakin/"+q.service+q.path, strings.NewReader(q.body))
	if err != nil {
		panic(err) // Only a malformed test request fails.
	}
	return req
}

func (o *outcome) read(resp *http.Response, q testRequest, digest string) {
	if resp.Header.Get("Content-Type") == eventStreamType {
		o.readStream(resp.Body, q, digest)
		return
	}
	data, err := io.ReadAll(resp.Body)
	o.err, o.cleanEnd = err, err == nil
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "application/problem+json") {
		o.problem = &Problem{}
		if json.Unmarshal(data, o.problem) != nil {
			o.problem = nil
		}
		return
	}
	if !o.cleanEnd || o.status != http.StatusOK {
		return
	}
	if q.service == "portal" {
		o.checkPlain(data, q)
		return
	}
	var a engine.GenerateResponse
	if json.Unmarshal(data, &a) != nil || a.Text != expectedText(digest, q.prompt, q.tokens) || a.RequestID != o.id {
		o.unexpected = string(data)
		return
	}
	o.complete = true
}

func (o *outcome) checkPlain(data []byte, q testRequest) {
	var a plain.Response
	sum := sha256.Sum256([]byte(q.body))
	if json.Unmarshal(data, &a) != nil || a.RequestID != o.id || a.BodySHA256 != hex.EncodeToString(sum[:]) || a.Method != q.method {
		o.unexpected = string(data)
		return
	}
	o.complete = true
}

// expectedText returns the text that an engine with these weights generates for a prompt.
func expectedText(digest, prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(engine.Token(digest, prompt, i))
	}
	return b.String()
}

// readStream reads an event stream. Each token must be the next one of the correct answer.
func (o *outcome) readStream(body io.Reader, q testRequest, digest string) {
	lines := bufio.NewScanner(body)
	name, done := "", false
	for lines.Scan() {
		line := lines.Text()
		switch {
		case line == "":
			name = ""
		case strings.HasPrefix(line, "event: "):
			name = strings.TrimPrefix(line, "event: ")
		case strings.HasPrefix(line, "data: "):
			o.readEvent(name, strings.TrimPrefix(line, "data: "), q, digest)
			done = done || name == "done"
			if q.onToken != nil {
				q.onToken(o.tokens)
			}
		}
	}
	o.err, o.cleanEnd = lines.Err(), lines.Err() == nil
	o.complete = done && o.cleanEnd && o.tokens == q.tokens && o.unexpected == ""
}

func (o *outcome) readEvent(name, data string, q testRequest, digest string) {
	switch name {
	case "error":
		o.problem = &Problem{}
		if json.Unmarshal([]byte(data), o.problem) != nil {
			o.unexpected = data
		}
	case "":
		var t engine.TokenEvent
		if json.Unmarshal([]byte(data), &t) != nil || t.Index != o.tokens || t.Token != engine.Token(digest, q.prompt, t.Index) {
			o.unexpected = data
		}
		o.tokens++
	case "done":
		if !bytes.Contains([]byte(data), []byte(digest)) {
			o.unexpected = data
		}
	}
}

// refusedByUpstream reports whether a restarting plain service answered 503 itself. The entry forwards such an answer
// unchanged.
func (o outcome) refusedByUpstream() bool {
	return o.status == http.StatusServiceUnavailable && o.cleanEnd && o.problem == nil
}

// isRefusal reports whether the caller was refused with this code and run status.
func (o outcome) isRefusal(c code.Code, ran code.Ran) bool {
	return o.problem != nil && o.problem.Code == c && o.problem.Ran == ran
}
