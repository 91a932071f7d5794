package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/assert"

	"samphireweir.example/samphireweir/internal/frame"
)

// rawFrame is one frame of an answer.
type rawFrame struct {
	kind    frame.Type
	payload []byte
}

// frameTamperer is a proxy between entries and one agent. It changes the frames of the first complete answer.
type frameTamperer struct {
	agentAddress string
	change       func([]rawFrame) []rawFrame
	done         atomic.Bool
}

// ServeHTTP forwards a call and its answer.
func (p *frameTamperer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+p.agentAddress+r.URL.Path, r.Body)
	if err != nil {
		return
	}
	req.Header, req.ContentLength = r.Header, r.ContentLength
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = resp.Body.Close() }()
	w.WriteHeader(resp.StatusCode)
	if r.URL.Path != frame.RunPath || p.done.Load() {
		_, _ = io.Copy(w, resp.Body)
		return
	}
	_ = http.NewResponseController(w).Flush()
	frames := readFrames(resp.Body, func() { _ = frame.Write(w, frame.TypeHeartbeat, nil); _ = http.NewResponseController(w).Flush() })
	if indexOfKind(frames, frame.TypeEnd) >= 0 {
		p.done.Store(true)
		frames = p.change(frames)
	}
	for _, f := range frames {
		_ = frame.Write(w, f.kind, f.payload)
	}
}

// readFrames reads an answer to its end. Heartbeats are forwarded as they arrive. Otherwise the entry would take the
// connection as dead during a slow run and reconnect before it received the changed answer.
func readFrames(r io.Reader, forwardHeartbeat func()) []rawFrame {
	var frames []rawFrame
	reader := frame.NewReader(r)
	for {
		kind, payload, err := reader.Next()
		if err != nil {
			return frames
		}
		if kind == frame.TypeHeartbeat {
			forwardHeartbeat()
			continue
		}
		frames = append(frames, rawFrame{kind, bytes.Clone(payload)})
	}
}

// indexOfKind returns the index of the first frame of a kind, or -1 if there is none.
func indexOfKind(frames []rawFrame, kind frame.Type) int {
	for i, p := range frames {
		if p.kind == kind {
			return i
		}
	}
	return -1
}

// editFrame changes the JSON payload of a frame.
func editFrame[T any](f rawFrame, change func(*T)) rawFrame {
	var v T
	_ = json.Unmarshal(f.payload, &v)
	change(&v)
	payload, _ := json.Marshal(v)
	return rawFrame{f.kind, payload}
}

// tamperings are the changes to the frames of an answer, by name.
var tamperings = map[string]func([]rawFrame) []rawFrame{
	"head of another request": func(p []rawFrame) []rawFrame {
		i := indexOfKind(p, frame.TypeHead)
		p[i] = editFrame(p[i], func(h *frame.Head) { h.Request = "another" })
		return p
	},
	"head of another try": func(p []rawFrame) []rawFrame {
		i := indexOfKind(p, frame.TypeHead)
		p[i] = editFrame(p[i], func(h *frame.Head) { h.Attempt = 99 })
		return p
	},
	"end of another request": func(p []rawFrame) []rawFrame {
		i := indexOfKind(p, frame.TypeEnd)
		p[i] = editFrame(p[i], func(e *frame.End) { e.Request = "another" })
		return p
	},
	"answer of another request": func(p []rawFrame) []rawFrame {
		sum := xxhash.New()
		for i, f := range p {
			switch f.kind {
			case frame.TypeHead:
				p[i] = editFrame(f, func(h *frame.Head) { h.Request = "another" })
			case frame.TypeData:
				p[i].payload = bytes.ReplaceAll(f.payload, []byte("a"), []byte("b"))
				_, _ = sum.Write(p[i].payload)
			case frame.TypeEnd:
				p[i] = editFrame(f, func(e *frame.End) { e.Request, e.Sum = "another", sum.Sum64() })
			}
		}
		return p
	},
	"no head": func(p []rawFrame) []rawFrame {
		i := indexOfKind(p, frame.TypeHead)
		return append(p[:i:i], p[i+1:]...)
	},
	"cut before the head": func(p []rawFrame) []rawFrame { return p[:indexOfKind(p, frame.TypeHead)] },
	"cut after the head":  func(p []rawFrame) []rawFrame { return p[:indexOfKind(p, frame.TypeHead)+1] },
	"cut before the end":  func(p []rawFrame) []rawFrame { return p[:indexOfKind(p, frame.TypeEnd)] },
	"data doubled": func(p []rawFrame) []rawFrame {
		i := indexOfKind(p, frame.TypeData)
		return append(p[:i+1:i+1], p[i:]...)
	},
	"data left out": func(p []rawFrame) []rawFrame {
		i := indexOfKind(p, frame.TypeData)
		return append(p[:i:i], p[i+1:]...)
	},
	"data garbled": func(p []rawFrame) []rawFrame {
		i := indexOfKind(p, frame.TypeData)
		data := p[i].payload
		data[len(data)/2] ^= 1
		return p
	},
	"failure of another request": func(p []rawFrame) []rawFrame {
		fail, _ := json.Marshal(frame.Fail{Request: "another", Attempt: 1, Ran: "not run"})
		return []rawFrame{{frame.TypeFail, fail}}
	},
	"nothing": func([]rawFrame) []rawFrame { return nil },
}

// corruptsAnswer reports whether a tampering corrupts an answer beyond recovery, so that it must not end cleanly. A
// stream with missing events has forwarded later events before the gap is detected; for other answers, the missing
// part is requested again.
func corruptsAnswer(tampering, kind string) bool {
	return tampering == "data doubled" || tampering == "data garbled" || (tampering == "data left out" && kind == "stream")
}

// TestTamperedAnswersAreDetected changes the frames of an answer between agent and entry. No data of another answer
// may be forwarded, and no incomplete answer may end cleanly. An answer that can be recovered must arrive complete.
func TestTamperedAnswersAreDetected(t *testing.T) {
	t.Parallel()
	b := newBatch(t)
	for name, change := range tamperings {
		for kind, q := range map[string]testRequest{"stream": generateRequest("matched", 12, true), "whole": generateRequest("matched", 12, false), "book": bookingRequest("k", "once")} {
			b.run(name+"/"+kind, func(t *testing.T) {
				fleet := newTestFleet(t, 1, 1)
				fleet.agentProxies[0].target.Store(trimScheme(serve(t, &frameTamperer{agentAddress: fleet.agents[0].Address(), change: change})))
				o := fleet.send(context.Background(), 0, q)
				if corruptsAnswer(name, kind) {
					assert.False(t, o.complete, "%v", o)
					assert.False(t, o.cleanEnd && o.problem == nil, "%v", o)
					assert.NotEqual(t, "not run", o.runStatus())
					return
				}
				assert.True(t, o.complete, "%v", o)
				fleet.checkOutcomes(map[string]outcome{"": o}, map[string]testRequest{"": q})
			})
		}
	}
	b.wait()
}

// runStatus returns the run status of a refusal, or "" if the request was not refused.
func (o outcome) runStatus() string {
	if o.problem == nil {
		return ""
	}
	return string(o.problem.Ran)
}
