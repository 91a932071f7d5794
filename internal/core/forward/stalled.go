package forward

import "time"

const (
	// maxSilence is how long after its first stalled attempt a silent upstream is expected to go on. Together with the shortest timeout
	// after which an attempt counts as stalled, it covers a silence of 3 s. An upstream that is silent for longer is probably down.
	maxSilence = 2500 * time.Millisecond
	// nonRepeatableProbeDelay is how much later than any other request one that must not run twice may be the probe of a silent upstream
	// while another upstream is there: if the upstream is down, it is lost.
	nonRepeatableProbeDelay = 2 * time.Second
	// quietAnswers is the number of answers that an upstream must owe for it to seem silent. By chance, an upstream that works sends none of four
	// in 2 of 100 cases.
	quietAnswers = 4
)

// silence is a time in which an upstream sends nothing on any of this entry's attempts. A sound upstream goes on after a second or so, and
// one that is down does not, so the upstream gets only a probe from time to time. The zero value means that the upstream is not silent.
type silence struct {
	// since is when the first attempt stalled.
	since time.Time
	// probeAt is when the next probe may be sent at the earliest, and probeInterval the delay between the last one and that time.
	probeAt       time.Time
	probeInterval time.Duration
}

// active reports whether the upstream is silent.
func (s *silence) active() bool { return !s.since.IsZero() }

// lasting reports whether the upstream has been silent for so long that it is probably down.
func (s *silence) lasting(now time.Time) bool { return s.active() && now.Sub(s.since) >= maxSilence }

// attempted records that a request was sent. At a silent upstream that request was a probe, and the delay before the next one doubles.
func (s *silence) attempted(now time.Time) {
	if s.active() {
		s.probeInterval = min(2*max(s.probeInterval, avoidInitial), avoidMax)
		s.probeAt = now.Add(s.probeInterval)
	}
}

// noteStalled records that one of this entry's attempts at the upstream has got nothing for its timeout. If the upstream has just
// answered another one, it is slow and not silent.
func (l *loadState) noteStalled(now time.Time) {
	if l.silence.active() || l.answersNow(now) {
		return
	}
	l.silence = silence{since: now, probeAt: now}
}

// noteHeard records that something of an answer was received from the upstream. If it was silent, it may be used again at once.
func (l *loadState) noteHeard(now time.Time) {
	if l.silence.active() || l.quiet {
		l.silence, l.quiet = silence{}, false
		l.silentUntil = now
	}
	l.heardAt = now
}

// answersNow reports whether something of an answer was received from the upstream within aliveWindow.
func (l *loadState) answersNow(now time.Time) bool { return now.Sub(l.heardAt) < aliveWindow }

// silentSince reports whether the upstream is silent or was silent at any time since t. What is measured at an attempt that was in
// progress then says nothing about the upstream's speed.
func (l *loadState) silentSince(t time.Time) bool {
	return l.silence.active() || l.silentUntil.After(t)
}

// probeDue reports whether a silent upstream may get one request that shows whether it goes on. Within maxSilence, none is needed while an
// attempt is open there: its answer shows that.
func (l *loadState) probeDue(now time.Time) bool {
	due := !now.Before(l.silence.probeAt) && now.Sub(l.silence.since) >= avoidInitial
	return due && (l.inFlight == 0 || l.silence.lasting(now))
}

// silentFor reports whether the upstream is silent and the request is not to be its probe while another upstream is there. A request that
// was attempted before is none.
func (v *upstreamView) silentFor(now time.Time, r *request) bool {
	if !v.load.silence.active() {
		return false
	}
	if !r.route.Repeatable() {
		now = now.Add(-nonRepeatableProbeDelay)
	}
	return r.attempts > 0 || !v.load.probeDue(now)
}

// probedAsLastResort reports whether the upstream is silent and the request may be its probe without another upstream. One that may be
// repeated is sent at once: an upstream that is only slow on another request answers it soon. One that must not run twice and has waited
// until the upstream is probably down is not sent, so that its caller learns that it has not run.
func (v *upstreamView) probedAsLastResort(now time.Time, r *request) bool {
	l := v.load
	if !l.silence.active() || now.Before(l.avoidUntil) {
		return false
	}
	if r.route.Repeatable() {
		return !now.Before(l.silence.probeAt)
	}
	return l.probeDue(now) && !(r.hold.awaitsSilent && l.silence.lasting(now))
}

// mayGoOn reports whether the upstream is silent, may yet go on, and could then accept a request, disregarding its free capacity.
func (v *upstreamView) mayGoOn(now time.Time, r *request, required int64) bool {
	l := v.load
	return l.silence.active() && !l.silence.lasting(now) && !now.Before(l.avoidUntil) && v.accepts(now, r, required)
}

// seemsSilent reports whether an upstream with an overdue request is probably silent: nothing was heard from it for aliveWindow, in which
// several of its requests would have ended at the usual run time. An upstream that is only slow, or has few requests of this entry, does not seem
// so. After the longest silence, it is probably down.
func (l *loadState) seemsSilent(now time.Time, runTime time.Duration) bool {
	unheard := now.Sub(l.heardAt)
	expected := float64(l.inFlight) * float64(unheard) / float64(runTime)
	return unheard >= aliveWindow && unheard < aliveWindow+maxSilence && expected >= quietAnswers
}

// wentOn reports whether the upstream was silent until a moment ago. It is full of requests that waited for it, and completes the first ones
// within a run time.
func (l *loadState) wentOn(now time.Time, runTime time.Duration) bool {
	return now.Sub(l.silentUntil) < runTime
}
