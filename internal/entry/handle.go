package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core"
	"samphireweir.example/samphireweir/internal/core/request"
	"samphireweir.example/samphireweir/internal/core/routing"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/internal/node"
	"samphireweir.example/samphireweir/internal/setting"
)

const (
	// HeaderRequestID is the header with the request's id. Every answer has it.
	HeaderRequestID = "Request-Id"
	// HeaderIdempotencyKey is the header with a caller's idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderDeadline is the header with the caller's deadline, in milliseconds from now.
	HeaderDeadline = "Deadline-Ms"
	// maxKeyBytes is the maximum length of an idempotency key in bytes.
	maxKeyBytes = 255
)

// Problem is the body of a refusal (application/problem+json).
type Problem struct {
	Title     string    `json:"title"`
	Status    int       `json:"status"`
	Code      code.Code `json:"code"`
	Detail    string    `json:"detail"`
	Ran       code.Ran  `json:"ran"`
	RequestID string    `json:"request_id"`
}

// call is one caller's request at this entry.
type call struct {
	id string
	w  http.ResponseWriter
	r  *http.Request
	// requestTarget is the path at the upstream and the query. It does not identify the upstream.
	requestTarget string
	body          *body
	effects       chan step.Effect
	deadline      time.Time
	answer        answer
	// agentSilence is how long the agent of the current attempt was silent since it last sent a frame, on all connections.
	agentSilence time.Duration
	// irreplaceable is set while the agent is silent and no other upstream can take the attempt's place.
	irreplaceable bool
	setting       *setting.Setting
	// fingerprint identifies the request by its content, independent of the caller; see the function fingerprint.
	fingerprint string
	// loadReport is the upstream's load report from the end of the answer.
	loadReport *routing.Report
	// claim is the granted claim of an at-most-once call. It is nil for other calls and for calls without an
	// idempotency key.
	claim *grantedClaim
}

// handle serves one request, from reading its head to the end of its answer.
func (e *Entry) handle(w http.ResponseWriter, r *http.Request) {
	c := &call{id: uuid.NewString(), w: w, r: r, effects: make(chan step.Effect, effectBuffer)}
	w.Header().Set(HeaderRequestID, c.id)
	if e.ShuttingDown() {
		// Close this connection after the answer. Idle connections stay open: closing one would lose a request that
		// is already on its way.
		w.Header().Set("Connection", "close")
	}
	received, refusal := e.readHead(c)
	if refusal != nil {
		e.refuse(c, request.NewRefusal(c.id, refusal.Code, code.NotRun, 0), refusal.Error())
		return
	}
	_ = http.NewResponseController(w).EnableFullDuplex()
	defer node.DrainBody(w, r)
	if refusal := e.readBody(c, &received); refusal != nil {
		e.refuse(c, request.NewRefusal(c.id, refusal.Code, code.NotRun, 0), refusal.Error())
		return
	}
	if received.Terms, refusal = e.requestTerms(c, c.setting); refusal != nil {
		e.refuse(c, request.NewRefusal(c.id, refusal.Code, code.NotRun, 0), refusal.Error())
		return
	}
	e.effectChannels.Store(c.id, c.effects)
	defer e.effectChannels.Delete(c.id)
	defer func() { e.Loop.Step(request.Ended{ID: c.id, Report: c.loadReport}) }()
	defer e.recordSettlement(c)
	e.Loop.Step(received)
	e.processEffects(c)
}

// readHead validates the head of a request.
func (e *Entry) readHead(c *call) (request.Received, *code.Error) {
	ev := request.Received{ID: c.id}
	team, service, rest, ok := splitPath(c.r.URL.Path)
	if !ok {
		return ev, code.Errorf(code.BadPath, "path", "want /TEAM/SERVICE/...")
	}
	ev.Team, ev.Service = team, service
	_, _, c.requestTarget, _ = splitPath(c.r.URL.EscapedPath())
	if c.r.URL.RawQuery != "" {
		c.requestTarget += "?" + c.r.URL.RawQuery
	}
	timeout, refusal := e.requestTimeout(c.r)
	if refusal != nil {
		return ev, refusal
	}
	ev.Deadline = time.Now().Add(timeout)
	c.deadline = ev.Deadline
	ev.Key = c.r.Header.Get(HeaderIdempotencyKey)
	if len(ev.Key) > maxKeyBytes {
		return ev, code.Errorf(code.BadHeader, HeaderIdempotencyKey, "%d bytes, at most %d", len(ev.Key), maxKeyBytes)
	}
	if c.r.ContentLength > e.config.MaxBodyBytes {
		return ev, code.Errorf(code.BodyTooLarge, "body", "%d bytes, at most %d", c.r.ContentLength, e.config.MaxBodyBytes)
	}
	return e.readSetting(c, ev, rest)
}

// readSetting completes ev from the service's setting.
func (e *Entry) readSetting(c *call, ev request.Received, path string) (request.Received, *code.Error) {
	var inForce core.InForce
	known, ready := false, false
	e.Loop.View(func(s *core.State) {
		inForce, known = s.Settings[setting.Key(ev.Team, ev.Service)]
		ready = s.Ready
	})
	if !ready {
		return ev, code.Errorf(code.NotReady, "", "the settings are not read yet")
	}
	if !known {
		return ev, code.Errorf(code.NoSuchService, "path", "no setting for %s/%s", ev.Team, ev.Service)
	}
	ev.AtMostOnce = inForce.Setting.RunsAtMostOnce(c.r.Method, path)
	if ev.AtMostOnce && ev.Key == "" {
		ev.Key = c.id // Without a caller's key, only this request is limited to one run.
	}
	ev.Key = ev.Team + "/" + ev.Service + "/" + ev.Key
	c.setting = inForce.Setting
	return ev, nil
}

// requestTimeout returns how long the caller waits: the value of its Deadline-Ms header, or the configured default.
func (e *Entry) requestTimeout(r *http.Request) (time.Duration, *code.Error) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return e.config.DefaultDeadline, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > int64(time.Hour/time.Millisecond) {
		return 0, code.Errorf(code.BadHeader, HeaderDeadline, "%q, want milliseconds from 1 to 3600000", text)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// splitPath splits a path of the form /TEAM/SERVICE/REST. The returned rest begins with a slash.
func splitPath(path string) (team, service, rest string, ok bool) {
	parts := strings.SplitN(path, "/", 4)
	if len(parts) < 3 || parts[0] != "" || !setting.ValidName(parts[1]) || !setting.ValidName(parts[2]) {
		return "", "", "", false
	}
	rest = "/"
	if len(parts) == 4 {
		rest += parts[3]
	}
	return parts[1], parts[2], rest, true
}

// processEffects carries out the request's effects until the request is finished or its caller disconnects.
func (e *Entry) processEffects(c *call) {
	for {
		select {
		case <-c.r.Context().Done():
			return
		case eff := <-c.effects:
			if e.processEffect(c, eff) {
				return
			}
		}
	}
}

// processEffect carries out one effect. It reports whether the request is finished.
func (e *Entry) processEffect(c *call, eff step.Effect) bool {
	switch eff := eff.(type) {
	case request.Claim:
		return e.claimKey(c)
	case request.Send:
		c.claim.markSent()
		return e.runAttempt(c, eff)
	case request.Resume:
		return e.resumeAnswer(c, eff)
	case request.Refuse:
		e.refuse(c, eff, eff.Code.Describe().Help)
		return true
	case request.Abort:
		e.abortAnswer(c, eff)
	}
	return false
}

// refuse answers the request with a problem document.
func (e *Entry) refuse(c *call, refusal request.Refuse, detail string) {
	c.claim.recordRefusal(refusal.Ran)
	p := c.newProblem(refusal.Code, refusal.Ran, detail)
	logevent.Info(e.Log, logevent.RequestRefused).Str("request", c.id).Int("code", int(refusal.Code)).Str("ran", string(refusal.Ran)).Msg("request refused")
	h := c.w.Header()
	h.Set("Content-Type", "application/problem+json")
	if refusal.RetryAfter > 0 {
		seconds := int((refusal.RetryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.Itoa(seconds))
	}
	c.w.WriteHeader(p.Status)
	_ = json.NewEncoder(c.w).Encode(p)
}
