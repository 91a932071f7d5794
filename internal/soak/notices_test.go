package soak_test

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"samphireweir.example/samphireweir/platform/standin"
)

// The users' rules on what upstreams report about themselves.
const (
	// All entries together keep an upstream's limit from limitEffectDelay after the upstream first sent it. A single entry keeps it from
	// limitEntryDelay after it has passed on a response with the limit. In any limitWindow, the upstream may get limitOvershoot times
	// the limit, and limitSlack requests more.
	limitEffectDelay = 3 * time.Second
	limitEntryDelay  = 500 * time.Millisecond
	limitWindow      = 4 * time.Second
	limitOvershoot   = 1.5
	limitSlack       = 5
	// drainDelay is the time after which an entry that has passed on a response of a draining upstream sends it no more requests.
	drainDelay = 2 * time.Second
	// From backoffGrace after an upstream has requested a backoff from an entry until its end, the entry sends it at most
	// backoffMaxRequests requests.
	backoffGrace       = 500 * time.Millisecond
	backoffMaxRequests = 2
	// contactGrace is the time after a disruption of an entry or of its connections in which the entry is not held to a rule.
	contactGrace = 3 * time.Second
)

// span is the time of a disruption.
type span struct{ from, to time.Time }

// overlaps reports whether any span of a list overlaps the time from a to b.
func overlaps(list []span, a, b time.Time) bool {
	return slices.ContainsFunc(list, func(s span) bool { return s.from.Before(b) && s.to.After(a) })
}

// noticePeriod is a time in which an upstream sends a notice.
type noticePeriod struct {
	span
	upstream int
	notice   standin.Notice
	// limit is the rate limit in the notice, in requests per second.
	limit float64
}

// noticeReceipt records that an entry passed on a response that contains an upstream's notice.
type noticeReceipt struct {
	entry, upstream int
	at              time.Time
}

// notices records what upstreams reported and which entries passed it on.
type notices struct {
	noticePeriods                []noticePeriod
	limitReceipts, drainReceipts []noticeReceipt
}

// entryHeader holds the index of the entry that a request was sent to. sentHeader holds the time of sending, in nanoseconds since the Unix
// epoch. Entries forward both headers to upstreams.
const (
	entryHeader = "Soak-Entry"
	sentHeader  = "Soak-Sent"
)

func requestHeader(entry int, sent time.Time) http.Header {
	return http.Header{entryHeader: {strconv.Itoa(entry)}, sentHeader: {strconv.FormatInt(sent.UnixNano(), 10)}}
}

// entryIndex returns the index of the entry that is reached at an address, or -1.
func (s *soak) entryIndex(address string) int {
	if i := slices.Index(s.proxiedEntries, address); i >= 0 {
		return i
	}
	for i, host := range s.hosts {
		if host.CallersListen == address {
			return i
		}
	}
	return -1
}

// recordNotices records what a response reports about its upstream. The caller holds the lock.
func (s *soak) recordNotices(entry int, r standin.Reply) {
	upstream := slices.IndexFunc(s.upstreams, func(u *standin.Upstream) bool { return r.Seal == "seal-of-"+u.ID })
	t := noticeReceipt{entry: entry, upstream: upstream, at: time.Now()}
	if r.Limited {
		s.limitReceipts = append(s.limitReceipts, t)
	}
	if r.Leaving {
		s.drainReceipts = append(s.drainReceipts, t)
	}
}

// malformedLimits are values of the limit header that are not valid limits; entries must ignore them.
var malformedLimits = []string{"many", "-1", "NaN", "1e999", ""}

// announceUntil makes upstreams send notices, one after the other, until a time. It draws from every step-th upstream, starting at the
// index first. A limit lasts for limitEffectDelay and one limitWindow, so that it can be checked.
func (s *injector) announceUntil(end time.Time, first, step int) {
	for time.Now().Before(end) {
		i := first + step*s.random.IntN((len(s.upstreams)-first+step-1)/step)
		switch s.random.IntN(4) {
		case 0:
			limit := float64(s.random.IntN(40)) / 4
			text := strconv.FormatFloat(limit, 'f', -1, 64)
			s.announce(i, limit, standin.Notice{Limit: text}, min(time.Until(end), limitEffectDelay+limitWindow))
		case 1:
			if s.upstreams[i].Weights != nil {
				s.drainAndRestart(i, min(time.Until(end), 2*drainDelay))
			}
		case 2:
			backoff := time.Duration(500+s.random.IntN(3000)) * time.Millisecond
			s.announce(i, 0, standin.Notice{Backoff: backoff}, 200*time.Millisecond)
		default:
			s.announce(i, 0, standin.Notice{Limit: pick(s, malformedLimits)}, time.Second)
		}
		s.pause()
	}
}

// announce makes an upstream send a notice for the duration d.
func (s *injector) announce(upstream int, limit float64, n standin.Notice, d time.Duration) {
	from := time.Now()
	s.upstreams[upstream].SetNotice(n)
	time.Sleep(max(0, d))
	s.upstreams[upstream].SetNotice(standin.Notice{})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noticePeriods = append(s.noticePeriods, noticePeriod{span: span{from: from, to: time.Now()}, upstream: upstream, notice: n, limit: limit})
}

// drainAndRestart makes an engine report that it is draining, and restarts it under the same id after the duration d.
func (s *injector) drainAndRestart(upstream int, d time.Duration) {
	u, from := s.upstreams[upstream], time.Now()
	u.SetNotice(standin.Notice{Leaving: true})
	time.Sleep(max(0, d))
	to := time.Now()
	u.Weights.Crash(true)
	u.SetNotice(standin.Notice{})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noticePeriods = append(s.noticePeriods, noticePeriod{span: span{from: from, to: to}, upstream: upstream, notice: standin.Notice{Leaving: true}})
}

// arrival is a request that reached an upstream.
type arrival struct {
	standin.Arrival
	entry int
	// sent is when the caller sent the request.
	sent time.Time
}

func arrivalsAt(u *standin.Upstream) []arrival {
	var list []arrival
	for _, a := range u.Arrivals() {
		entry, errEntry := strconv.Atoi(a.Header.Get(entryHeader))
		sent, errSent := strconv.ParseInt(a.Header.Get(sentHeader), 10, 64)
		if errEntry == nil && errSent == nil {
			list = append(list, arrival{Arrival: a, entry: entry, sent: time.Unix(0, sent)})
		}
	}
	return list
}

// verifyNotices checks that entries complied with the notices of upstreams.
func (s *soak) verifyNotices() {
	s.mu.Lock()
	defer s.mu.Unlock()
	checked := map[string]int{}
	for i, u := range s.upstreams {
		arrivals := arrivalsAt(u)
		checked["rest"] += s.checkBackoffs(i, arrivals)
		for _, e := range s.noticePeriods {
			switch {
			case e.upstream != i:
			case e.notice.Leaving:
				checked["leaving"] += s.checkDraining(e, arrivals)
			case e.notice.Limit != "" && !slices.Contains(malformedLimits, e.notice.Limit):
				checked["limit"] += s.checkLimit(e, arrivals)
			}
		}
	}
	s.t.Logf("%d notice periods; requests checked: %v", len(s.noticePeriods), checked)
}

// checkDraining reports an error for each request that was sent through an entry more than drainDelay after the entry had passed on that
// the upstream is draining. The only excuse is that the entry was restarted or stopped since then. It returns the number of requests
// that it checked.
func (s *soak) checkDraining(e noticePeriod, arrivals []arrival) int {
	looked := 0
	for _, a := range arrivals {
		if a.At.Before(e.from) || a.At.After(e.to) {
			continue
		}
		looked++
		for _, t := range s.drainReceipts {
			if t.upstream == e.upstream && t.entry == a.entry && t.at.After(e.from) && t.at.Before(a.sent.Add(-drainDelay)) &&
				!overlaps(s.entries[a.entry].disruptions, t.at, a.At) {
				s.t.Errorf("DRAIN: a request reached %s %v after entry %d had received a response that reported draining", s.upstreams[e.upstream].ID, a.At.Sub(t.at), a.entry)
				break
			}
		}
	}
	return looked
}

// checkBackoffs bounds the requests that an entry sends to an upstream instance which has requested a backoff from this entry. It counts
// from backoffGrace after the request for the backoff until the end of the backoff. It returns the number of backoffs that it checked.
func (s *soak) checkBackoffs(upstream int, arrivals []arrival) int {
	looked := 0
	for _, trigger := range arrivals {
		end := trigger.At.Add(trigger.Backoff)
		if trigger.Backoff == 0 || overlaps(s.entries[trigger.entry].disruptions, trigger.At, end) || overlaps(s.upstreamProxies[upstream].disruptions, trigger.At.Add(-contactGrace), end) {
			continue
		}
		n := 0
		for _, a := range arrivals {
			if a.entry == trigger.entry && a.Instance == trigger.Instance && a.At.After(trigger.At.Add(backoffGrace)) && a.At.Before(end) {
				n++
			}
		}
		looked++
		if n > backoffMaxRequests {
			s.t.Errorf("BUDGET: %s requested a backoff from entry %d for %v but received %d requests from it", s.upstreams[upstream].ID, trigger.entry, trigger.Backoff, n)
		}
	}
	return looked
}

// checkLimit bounds the requests that reach an upstream while it sends a limit. It counts only requests for which mustKeepLimit holds, and
// returns their number.
func (s *soak) checkLimit(e noticePeriod, arrivals []arrival) int {
	var counted []time.Time
	for _, a := range arrivals {
		if !a.At.Before(e.from) && !a.At.After(e.to) && s.mustKeepLimit(e, a) {
			counted = append(counted, a.At)
		}
	}
	first := 0
	for i, at := range counted {
		for counted[first].Before(at.Add(-limitWindow)) {
			first++
		}
		if n := i - first + 1; at.After(e.from.Add(limitEffectDelay)) && float64(n) > limitOvershoot*e.limit*limitWindow.Seconds()+limitSlack {
			s.t.Errorf("LIMIT: %s reported a limit of %v requests per second but received %d requests in %v", s.upstreams[e.upstream].ID, e.limit, n, limitWindow)
			return len(counted)
		}
	}
	return len(counted)
}

// mustKeepLimit reports whether the entry that sent a request knew the limit and was not disrupted recently.
func (s *soak) mustKeepLimit(e noticePeriod, a arrival) bool {
	disruptions := s.entries[a.entry].disruptions
	if overlaps(disruptions, a.At.Add(-contactGrace), a.At) || overlaps(s.upstreamProxies[e.upstream].disruptions, a.At.Add(-contactGrace), a.At) {
		return false
	}
	return slices.ContainsFunc(s.limitReceipts, func(t noticeReceipt) bool {
		return t.upstream == e.upstream && t.entry == a.entry && t.at.After(e.from) && t.at.Before(a.At.Add(-limitEntryDelay)) &&
			!overlaps(disruptions, t.at, a.At)
	})
}
