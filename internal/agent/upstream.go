package agent

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/boundedread"
	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/run"
	"samphireweir.example/samphireweir/internal/core/weights"
	"samphireweir.example/samphireweir/internal/engine"
	"samphireweir.example/samphireweir/internal/frame"
	"samphireweir.example/samphireweir/internal/setting"
	"samphireweir.example/samphireweir/internal/silence"
)

// maxIdleConnsPerUpstream is the number of idle connections that are kept per upstream. It equals the maximum number of
// concurrent requests of an upstream, so that every connection can be reused.
const maxIdleConnsPerUpstream = 512

const (
	// upstreamIdleTimeout is how long an idle connection to an upstream is kept. It is short, since a request on a stale
	// connection costs an attempt.
	upstreamIdleTimeout = 2 * time.Second
	// cancelTimeout bounds the call that cancels a request at its engine.
	cancelTimeout = time.Second
	// headerResumeOffset is the request header with the number of tokens that an engine skips.
	headerResumeOffset = "Resume-Offset"
)

// The causes for which a run is cancelled.
var (
	errDeadline       = errors.New("run exceeded its deadline")
	errShuttingDown   = errors.New("agent is shutting down")
	errAbandoned      = errors.New("entry fenced the run or did not resume it")
	errFrozen         = errors.New("upstream did not answer liveness probes")
	errStalled        = errors.New("connection to the upstream delivered no data")
	errCrashed        = errors.New("upstream crashed")
	errWeightsChanged = errors.New("weights of the engine changed during the run")
)

// connectLimitKey is the key of a context's limit for connecting to an upstream, a time.Duration.
type connectLimitKey struct{}

// dialUpstream connects to an upstream, within the limit of ctx if it has one.
func dialUpstream(ctx context.Context, network, address string) (net.Conn, error) {
	limit, _ := ctx.Value(connectLimitKey{}).(time.Duration)
	return silence.Dialer(&net.Dialer{}, limit)(ctx, network, address)
}

// newUpstreamClient returns a client that returns every response unchanged, redirects included. If pooled is set, the
// client reuses connections. Otherwise it opens one for each request. Requests that must not run twice are sent that way,
// because net/http may retry a request on a reused connection.
//
// Connecting has no time limit but that of the request, unless its context has one under connectLimitKey. An upstream on this host
// refuses the connection if it is down. If it is only busy, the kernel drops the attempt and repeats it after a second.
func newUpstreamClient(pooled bool) *http.Client {
	return &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			DialContext:         dialUpstream,
			MaxIdleConnsPerHost: maxIdleConnsPerUpstream,
			IdleConnTimeout:     upstreamIdleTimeout,
			DisableCompression:  true,
			DisableKeepAlives:   !pooled,

			MaxResponseHeaderBytes: boundedread.MaxHeadBytes,
		},
	}
}

// methodsUsuallyWithoutBody are the methods for which net/http checks whether a body of unknown length is empty before it
// sends the headers. For other methods it announces a body in any case.
var methodsUsuallyWithoutBody = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodOptions: true, http.MethodDelete: true, "PROPFIND": true, "SEARCH": true,
}

// callUpstream sends the request to the upstream and reads its response.
func (a *Agent) callUpstream(x *execution, r *http.Request) *failure {
	req, err := a.upstreamRequest(x, r)
	if err != nil {
		return &failure{code: code.BadMessage, ran: code.NotRun}
	}
	defer x.watch.Stop()
	startedAt := time.Now()
	resp, err := a.clientFor(x, req).Do(req.WithContext(x.firstByte.trace(silence.WithWatch(x.ctx, x.watch))))
	if err != nil {
		if sent := x.watch.Abandon(); !sent {
			return a.notSent(x)
		}
		return a.connectionLost(x)
	}
	defer func() { _ = resp.Body.Close() }()
	a.recordActivity(x)
	a.Loop.Step(run.FirstByte{ID: x.start.ID})
	a.Loop.Step(weights.FirstByte{Upstream: x.start.Upstream, Latency: time.Since(startedAt)})
	return a.receiveResponse(x, req.Method, resp)
}

// clientFor returns a client whose transport can't send the request twice.
func (a *Agent) clientFor(x *execution, req *http.Request) *http.Client {
	if x.env.AtMostOnce || req.Body == http.NoBody {
		return a.singleUseClient
	}
	return a.pooledClient
}

// upstreamRequest builds the request to the upstream from the call of the entry.
func (a *Agent) upstreamRequest(x *execution, r *http.Request) (*http.Request, error) {
	req, err := http.NewRequestWithContext(x.ctx, r.Header.Get(frame.MethodHeader), x.start.URL+x.env.Target, nonReplayable(x.body))
	if err != nil {
		return nil, errors.Wrapf(err, "building request to upstream %s", x.start.URL)
	}
	req.ContentLength = r.ContentLength
	if r.ContentLength == 0 && !methodsUsuallyWithoutBody[req.Method] {
		req.Body = http.NoBody // Else net/http would send the empty body with unknown length.
	}
	req.Header = frame.EndToEnd(r.Header)
	req.Header.Set(engine.HeaderRequestID, x.env.Request)
	req.Header.Set(engine.HeaderAttempt, strconv.Itoa(x.env.Attempt))
	if x.start.Kind == setting.Engine {
		req.Header.Del("Accept-Encoding") // The agent parses the end of an engine's response.
	}
	if x.env.ResumeTokens > 0 {
		req.Header.Set(headerResumeOffset, strconv.Itoa(x.env.ResumeTokens))
	}
	return req, nil
}

// recordActivity records that the upstream has just sent something.
func (a *Agent) recordActivity(x *execution) {
	now := time.Now()
	x.lastActivity.Store(now.UnixNano())
	if x.start.Kind == setting.Engine {
		a.heard(x.start.Upstream).record(now)
	}
	x.watch.Progress(0)
}

// notSent returns the failure of a run of which nothing was sent to the upstream, so that it was not executed.
func (a *Agent) notSent(x *execution) *failure {
	if cause := context.Cause(x.ctx); cause != nil {
		return &failure{code: codeOf(cause), ran: code.NotRun}
	}
	a.recheck(x.start)
	return &failure{code: code.UpstreamDied, ran: code.NotRun}
}

// connectionLost returns the failure of a run whose connection failed or whose context was cancelled after the request
// may have been sent. Whether it was executed is unknown.
func (a *Agent) connectionLost(x *execution) *failure {
	cause := context.Cause(x.ctx)
	if cause == nil {
		f := &failure{code: code.UpstreamDied, ran: code.Unknown}
		f.crashed = a.diagnose(x) != run.Alive
		return f
	}
	a.cancelAtUpstream(x)
	return &failure{code: codeOf(cause), ran: code.Unknown, crashed: errors.Is(cause, errCrashed)}
}

// codeOf returns the result code for the cause of a cancellation.
func codeOf(cause error) code.Code {
	switch {
	case errors.Is(cause, errShuttingDown):
		return code.Stopping
	case errors.Is(cause, errDeadline):
		return code.DeadlinePassed
	case errors.Is(cause, errFrozen), errors.Is(cause, errStalled):
		return code.UpstreamSilent
	case errors.Is(cause, errCrashed):
		return code.UpstreamDied
	}
	return code.CallerGone
}
