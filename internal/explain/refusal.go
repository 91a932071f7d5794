package explain

import (
	"cmp"
	"fmt"
	"regexp"
	"strings"
	"time"

	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/logevent"
)

const (
	// sentWindow is how long before a refusal other requests are shown that were sent. Engines complete most requests within it.
	sentWindow = time.Second
	// maxSentShown is the number of these requests that are shown by their id.
	maxSentShown = 5
)

// Refusal says why a request got no capacity, as far as its line tells. Texts are empty if it does not.
type Refusal struct {
	Account  string
	Priority int
	// PredictedWait is the predicted time until room, and WaitLimit how long the request could have waited.
	PredictedWait, WaitLimit string
	// WorkAhead is the predicted work of the requests that would have been served before it, and RequestsAhead their number.
	WorkAhead, RequestsAhead string
	// Held is how long it waited, and RetryAfter when its caller was told to return.
	Held, RetryAfter time.Duration
	// Sent are the requests of its service that its entry sent to upstreams in sentWindow before, oldest first.
	Sent []SentRequest
}

// SentRequest is a request that was sent to an upstream.
type SentRequest struct {
	Line
	// ClassKnown is set if the end of the request is in the logs; only that line has its account and priority.
	ClassKnown bool
}

// The parts of a refusal's reason, as package forward writes them.
var (
	predictedWaitPattern = regexp.MustCompile(`room expected in (\S+);`)
	waitLimitPattern     = regexp.MustCompile(`(?:a wait could last|its turn no longer comes within) (\S+)`)
	workAheadPattern     = regexp.MustCompile(`(\S+) of work ahead`)
	requestsAheadPattern = regexp.MustCompile(`(\d+) requests with \S+ of work ahead`)
)

// match returns the group of a pattern in s; empty if s does not match.
func match(pattern *regexp.Regexp, s string) string {
	if m := pattern.FindStringSubmatch(s); m != nil {
		return m[1]
	}
	return ""
}

// refusal explains a refusal that depends on the state of the upstreams, given by its line.
func (l *Log) refusal(line Line) *Refusal {
	return &Refusal{
		Account: line.Account, Priority: line.Priority,
		PredictedWait: match(predictedWaitPattern, line.Why), WaitLimit: match(waitLimitPattern, line.Why),
		WorkAhead: match(workAheadPattern, line.Why), RequestsAhead: match(requestsAheadPattern, line.Why),
		Held: milliseconds(line.HeldMS), RetryAfter: milliseconds(line.RetryAfterMS), Sent: l.sentBefore(line),
	}
}

// sentBefore returns the requests that the entry of a refused request sent in sentWindow before the refusal, to upstreams of its service.
// No line names the service: routes count as of one service if their requests were sent to the same upstream.
func (l *Log) sentBefore(refused Line) []SentRequest {
	upstreams, routes := map[string]bool{}, map[string]bool{refused.Route: true}
	ends := map[string]Line{}
	for _, line := range l.Lines {
		switch {
		case line.Event == logevent.RequestSent && line.Route == refused.Route:
			upstreams[line.Upstream] = true
		case line.Route != "" && (line.Event == logevent.RequestEnded || line.Event == logevent.RequestRefused):
			ends[line.Request] = line
		}
	}
	for _, line := range l.Lines {
		if line.Event == logevent.RequestSent && upstreams[line.Upstream] {
			routes[line.Route] = true
		}
	}
	var sent []SentRequest
	for _, line := range l.Lines {
		if line.Event != logevent.RequestSent || line.Name != refused.Name || !routes[line.Route] ||
			line.Time.Before(refused.Time.Add(-sentWindow)) || line.Time.After(refused.Time) {
			continue
		}
		end, known := ends[line.Request]
		line.Account, line.Priority = end.Account, end.Priority
		sent = append(sent, SentRequest{Line: line, ClassKnown: known})
	}
	return sent
}

// class names the priority and the account of a request that was sent.
func (r SentRequest) class() string {
	if !r.ClassKnown {
		return "priority and account unknown: the end is not in these logs"
	}
	return fmt.Sprintf("priority %d, account %s", r.Priority, cmp.Or(r.Account, "none"))
}

// print appends the reasons of a refusal to b.
func (r *Refusal) print(b *strings.Builder) {
	fmt.Fprintf(b, "\nwhy there was no capacity for it:\n  priority %d, account %s, held for %v", r.Priority, cmp.Or(r.Account, "none"), r.Held.Round(time.Millisecond))
	if r.RetryAfter > 0 {
		fmt.Fprintf(b, ", Retry-After %v", r.RetryAfter.Round(time.Millisecond))
	}
	b.WriteString("\n")
	for _, part := range []struct{ name, value string }{
		{"predicted wait", r.PredictedWait}, {"it could wait for", r.WaitLimit}, {"work ahead of it", r.WorkAhead}, {"requests ahead of it", r.RequestsAhead},
	} {
		if part.value != "" {
			fmt.Fprintf(b, "  %s: %s\n", part.name, part.value)
		}
	}
	fmt.Fprintf(b, "  its entry sent %d requests to upstreams of its service in the %v before:\n", len(r.Sent), sentWindow)
	counts := map[string]int{}
	for _, s := range r.Sent {
		counts[s.class()]++
	}
	for _, class := range sortedKeys(counts) {
		fmt.Fprintf(b, "  %7d  %s\n", counts[class], class)
	}
	for _, s := range r.Sent[max(0, len(r.Sent)-maxSentShown):] {
		fmt.Fprintf(b, "  %s %s to %s: %s\n", s.Time.Format("15:04:05.000"), s.Request, s.Upstream, s.class())
	}
}

// refusedOnArrival reports whether a refusal was due to a predicted wait when the request arrived.
func (l Line) refusedOnArrival() bool {
	return strings.HasPrefix(l.Why, string(forward.RefusedOnArrival)+": ")
}

// waitEnded reports whether a refusal ended a wait early: its predicted end moved out of reach, or more urgent requests needed the memory.
func (l Line) waitEnded() bool {
	return strings.HasPrefix(l.Why, string(forward.WaitEnded)+": ") || strings.HasPrefix(l.Why, string(forward.WaitShed)+": ")
}
