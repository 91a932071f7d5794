package agent

import (
	"bytes"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"strconv"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/engine"
	"samphireweir.example/samphireweir/internal/frame"
	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/internal/setting"
)

const (
	// maxBufferedResponse is the largest response, in bytes, that is buffered until its end has been checked.
	maxBufferedResponse = 64 << 10
	// eventStreamType is the media type of event streams.
	eventStreamType = "text/event-stream"
	// doneEvent is the name of the last event of an engine's stream.
	doneEvent = "done"
)

// notRunErrors are the error texts with which an engine reports that it did not execute a request.
var notRunErrors = map[string]bool{"no weights": true, "loading": true}

// receiveResponse reads the response of the upstream, checks it, and writes it to the output of the run.
func (a *Agent) receiveResponse(x *execution, method string, resp *http.Response) *failure {
	if f := a.checkResponseHead(x, method, resp); f != nil {
		return f
	}
	header := frame.EndToEnd(resp.Header)
	if isStream(resp) {
		// Content-Length is left out: an error event may be appended to the stream.
		x.out.setHead(resp.StatusCode, header)
		return a.receiveStream(x, resp)
	}
	if resp.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	return a.receiveBody(x, resp, header)
}

func isStream(resp *http.Response) bool {
	kind, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && kind == eventStreamType
}

// checkResponseHead rejects a response whose end cannot be detected, or that an engine produced with other weights
// than those of the run.
func (a *Agent) checkResponseHead(x *execution, method string, resp *http.Response) *failure {
	if x.start.Kind != setting.Engine {
		return checkDelimited(method, resp)
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		return a.serviceUnavailable(x, resp)
	}
	digest := resp.Header.Get(engine.HeaderDigest)
	if digest != "" && digest != x.start.Digest {
		return a.weightsChanged(x)
	}
	if isStream(resp) {
		return nil // The last event marks the end.
	}
	return checkDelimited(method, resp)
}

// checkDelimited rejects a response whose body ends only when the connection closes, because a truncated one would look
// complete.
func checkDelimited(method string, resp *http.Response) *failure {
	chunked := len(resp.TransferEncoding) > 0
	noBody := method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	if resp.ContentLength >= 0 || chunked || noBody {
		return nil
	}
	return &failure{code: code.UnterminatedAnswer, ran: code.DidRun}
}

// serviceUnavailable returns the failure for a 503 response of an engine. Only the two errors in notRunErrors mean that
// the request was not executed; after any other 503 it may have been.
func (a *Agent) serviceUnavailable(x *execution, resp *http.Response) *failure {
	var body struct {
		Error string `json:"error"`
	}
	err := json.NewDecoder(io.LimitReader(resp.Body, maxBufferedResponse)).Decode(&body)
	if err == nil && notRunErrors[body.Error] {
		return &failure{code: code.UpstreamNotServing, ran: code.NotRun}
	}
	return &failure{code: code.UpstreamNotServing, ran: code.Unknown}
}

// weightsChanged logs and returns the failure of a run whose response names other weights than those of the run.
func (a *Agent) weightsChanged(x *execution) *failure {
	logevent.Warn(a.Log, logevent.AnswerWithheld).Str("request", x.env.Request).Str("upstream", x.start.Upstream).Msg("answer withheld")
	return &failure{code: code.WeightsChanged, ran: code.DidRun}
}

// receiveBody reads a response that is no event stream. A response of at most maxBufferedResponse bytes is buffered until
// its end was received and checked. A larger one, or one of a plain service without Content-Length, is forwarded while
// it is read.
func (a *Agent) receiveBody(x *execution, resp *http.Response, header http.Header) *failure {
	buffering := x.start.Kind == setting.Engine || (resp.ContentLength >= 0 && resp.ContentLength <= maxBufferedResponse)
	var buffered []byte
	buf := make([]byte, readBufferSize)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			a.recordActivity(x)
		}
		if buffering {
			buffered = append(buffered, buf[:n]...)
		} else if n > 0 && !x.out.write(buf[:n], x.ctx.Done()) {
			return a.connectionLost(x)
		}
		if err == io.EOF {
			return a.finishBody(x, resp, header, buffered, buffering)
		}
		if err != nil {
			return a.connectionLost(x)
		}
		if !buffering && !x.out.headSet() {
			x.out.setHead(resp.StatusCode, header)
		}
		if buffering && len(buffered) > maxBufferedResponse {
			buffering = false
			x.out.setHead(resp.StatusCode, header)
			if !x.out.write(buffered, x.ctx.Done()) {
				return a.connectionLost(x)
			}
		}
	}
}

// finishBody checks a body after its last byte and forwards it if it was buffered.
func (a *Agent) finishBody(x *execution, resp *http.Response, header http.Header, buffered []byte, buffering bool) *failure {
	if x.start.Kind == setting.Engine && resp.StatusCode == http.StatusOK {
		if f := a.checkFinalDigest(x, buffered); f != nil {
			return f
		}
	}
	if !x.out.headSet() {
		x.out.setHead(resp.StatusCode, header)
	}
	if buffering && len(buffered) > 0 && !x.out.write(buffered, x.ctx.Done()) {
		return a.connectionLost(x)
	}
	return nil
}

// finalDigest is the part of a response body or of its last event in which an engine states its weights.
type finalDigest struct {
	Digest string `json:"digest"`
}

// checkFinalDigest rejects a response whose end states other weights than those that the run is pinned to, or after
// which the engine reports other weights. end may be empty.
func (a *Agent) checkFinalDigest(x *execution, end []byte) *failure {
	var final finalDigest
	if json.Unmarshal(end, &final) == nil && final.Digest != "" && final.Digest != x.start.Digest {
		return a.weightsChanged(x)
	}
	return a.confirmWeights(x)
}

// receiveStream forwards an event stream while it is read. The last event of an engine's stream is forwarded only after
// the stream ended and the event was checked, so that a response from mixed weights never looks complete.
func (a *Agent) receiveStream(x *execution, resp *http.Response) *failure {
	var tail []byte
	buf := make([]byte, readBufferSize)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			a.recordActivity(x)
			tail = append(tail, buf[:n]...)
		}
		if x.start.Kind != setting.Engine {
			if len(tail) > 0 && !x.out.write(tail, x.ctx.Done()) {
				return a.connectionLost(x)
			}
			tail = tail[:0]
		} else {
			n := forwardableLen(tail)
			if n > 0 && !x.out.write(tail[:n], x.ctx.Done()) {
				return a.connectionLost(x)
			}
			tail = append(tail[:0], tail[n:]...)
		}
		if err == io.EOF {
			return a.finishStream(x, resp, tail)
		}
		if err != nil {
			return a.connectionLost(x)
		}
	}
}

// forwardableLen returns how many bytes of p can be forwarded at once: the complete events before the first named event.
// A named event may be the last one and an incomplete event may turn out to be named, so both are retained.
func forwardableLen(p []byte) int {
	at := 0
	for {
		end := bytes.Index(p[at:], []byte("\n\n"))
		if end < 0 || bytes.HasPrefix(p[at:], []byte("event:")) {
			return at
		}
		at += end + 2
	}
}

func (a *Agent) finishStream(x *execution, resp *http.Response, tail []byte) *failure {
	if x.start.Kind != setting.Engine {
		return checkDelimited("", resp)
	}
	name, data, ok := parseNamedEvent(tail)
	if !ok || name != doneEvent {
		return a.connectionLost(x) // The stream was truncated, or another caller cancelled the request.
	}
	if f := a.checkFinalDigest(x, data); f != nil {
		return f
	}
	if !x.out.write(tail, x.ctx.Done()) {
		return a.connectionLost(x)
	}
	return nil
}

// parseNamedEvent parses the single event in p. It reports false if the event is incomplete or has no name.
func parseNamedEvent(p []byte) (name string, data []byte, ok bool) {
	if !bytes.HasSuffix(p, []byte("\n\n")) {
		return "", nil, false
	}
	for _, line := range bytes.Split(p, []byte("\n")) {
		if rest, found := bytes.CutPrefix(line, []byte("event:")); found {
			name = string(bytes.TrimSpace(rest))
		}
		if rest, found := bytes.CutPrefix(line, []byte("data:")); found {
			data = bytes.TrimSpace(rest)
		}
	}
	return name, data, name != ""
}
