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

// frameTamperer is a proxy between entries and one agent. It changes the frames of complete answers, whichever call
// they arrive on: an entry that got no answer from one call makes another for it. An answer that arrives incomplete is not
// forwarded, so that no part of it escapes the change.
type frameTamperer struct {
	agentAddress string
	change       func([]rawFrame) []rawFrame
	// everyAnswer is set if all complete answers are changed. Otherwise only the first one is.
	everyAnswer bool
	// cutsFirst is set if the first call of frame.RunPath that the agent accepts is cut before anything of its answer is forwarded.
	cutsFirst bool
	cut       atomic.Bool
	changed   atomic.Bool
}

// newFrameTamperer routes the calls to the fleet's first agent through a proxy that applies the tampering with this name.
func (f *testFleet) newFrameTamperer(name, kind string) *frameTamperer {
	p := &frameTamperer{agentAddress: f.agents[0].Address(), change: tamperings[name], everyAnswer: corruptsAnswer(name, kind)}
	f.agentProxies[0].target.Store(trimScheme(serve(f.t, p)))
	return p
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
	if p.cutsFirst && r.URL.Path == frame.RunPath && p.cut.CompareAndSwap(false, true) {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(resp.StatusCode)
	_ = http.NewResponseController(w).Flush()
	frames := readFrames(resp.Body, func() { _ = frame.Write(w, frame.TypeHeartbeat, nil); _ = http.NewResponseController(w).Flush() })
	complete := indexOfKind(frames, frame.TypeEnd) >= 0
	if !complete && indexOfKind(frames, frame.TypeFail) < 0 {
		panic(http.ErrAbortHandler)
	}
	if complete && (!p.changed.Swap(true) || p.everyAnswer) {
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

// tamperedRequests returns the requests whose answers are tampered with, by kind.
func tamperedRequests() map[string]testRequest {
	return map[string]testRequest{"stream": generateRequest("matched", 12, true), "whole": generateRequest("matched", 12, false), "book": bookingRequest("k", "once")}
}

// TestTamperedAnswersAreDetected changes the frames of an answer between agent and entry. No data of another answer
// may be forwarded, and no incomplete answer may end cleanly. An answer that can be recovered must arrive complete.
func TestTamperedAnswersAreDetected(t *testing.T) {
	t.Parallel()
	b := newBatch(t)
	for name := range tamperings {
		for kind, q := range tamperedRequests() {
			b.run(name+"/"+kind, func(t *testing.T) {
				fleet := newTestFleet(t, 1, 1)
				tamperer := fleet.newFrameTamperer(name, kind)
				o := fleet.send(context.Background(), 0, q)
				if corruptsAnswer(name, kind) {
					assertCorruptionDetected(t, o)
					return
				}
				assert.True(t, o.complete, "%v", o)
				assert.True(t, tamperer.changed.Load(), "no answer was changed")
				fleet.checkOutcomes(map[string]outcome{"": o}, map[string]testRequest{"": q})
			})
		}
	}
	b.wait()
}

// TestTamperedAnswerOfAnotherCallIsDetected guards against a corrupt answer that is taken for right because it arrived on the call that an
// entry makes after its first one was cut.
func TestTamperedAnswerOfAnotherCallIsDetected(t *testing.T) {
	t.Parallel()
	b := newBatch(t)
	for name := range tamperings {
		for kind, q := range tamperedRequests() {
			if !corruptsAnswer(name, kind) {
				continue
			}
			b.run(name+"/"+kind, func(t *testing.T) {
				fleet := newTestFleet(t, 1, 1)
				tamperer := fleet.newFrameTamperer(name, kind)
				tamperer.cutsFirst = true
				o := fleet.send(context.Background(), 0, q)
				assert.True(t, tamperer.cut.Load() && tamperer.changed.Load(), "no answer of another call was changed: %v", o)
				assertCorruptionDetected(t, o)
			})
		}
	}
	b.wait()
}

// assertCorruptionDetected checks that an answer that was corrupted beyond recovery did not end cleanly.
func assertCorruptionDetected(t *testing.T, o outcome) {
	t.Helper()
	assert.False(t, o.complete, "%v", o)
	assert.False(t, o.cleanEnd && o.problem == nil, "%v", o)
	assert.NotEqual(t, "not run", o.runStatus())
}

// runStatus returns the run status of a refusal, or "" if the request was not refused.
func (o outcome) runStatus() string {
	if o.problem == nil {
		return ""
	}
	return string(o.problem.Ran)
}
