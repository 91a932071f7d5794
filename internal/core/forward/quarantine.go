package forward

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// crashesToSuspect is how many upstreams must go down under a request, with no answer to it in between, for it to be suspected of
	// bringing them down. A request that is only near such a one can meet two of its crashes.
	crashesToSuspect = 3
	// downAfter is how long after a request broke its upstream may be found to be down for the request to count as there when it
	// went down. A request whose connection broke at an upstream that is well is no suspect.
	downAfter = 1500 * time.Millisecond
	// quarantineFor is how long a suspected request is refused. Upstreams are back some seconds after a crash, and callers give up within
	// a few tries.
	quarantineFor = 30 * time.Second
	// rememberBreaks is how long a break counts.
	rememberBreaks = 20 * time.Second
	// maxBreaks bounds the requests that are remembered.
	maxBreaks = 4096
)

// Quarantined says that another entry suspects a request, named by its fingerprint.
type Quarantined struct{ Fingerprint uint64 }

// Event marks the type as an event.
func (Quarantined) Event() {}

// Suspected tells the shell that a request is suspected from now on, so that other entries hear of it.
type Suspected struct{ Fingerprint uint64 }

// Effect marks the type as an effect.
func (Suspected) Effect() {}

// breaks are the upstreams that went down under a request. One that started again and went down once more counts twice.
type breaks struct {
	upstreams map[catalog.Life]bool
	last      time.Time
	// until ends the quarantine; zero while there is none.
	until time.Time
}

// quarantine finds requests that bring down the upstreams that run them. A request is known by its fingerprint: its path, caller and
// body, whatever id it comes under.
type quarantine map[uint64]*breaks

func (q quarantine) holds(now time.Time, fingerprint uint64) bool {
	b := q[fingerprint]
	return b != nil && now.Before(b.until)
}

// broke notes that an upstream went down under a request, before any of an answer came. It reports whether the request is suspected now
// and was not before.
func (q quarantine) broke(now time.Time, fingerprint uint64, upstream catalog.Life) bool {
	b := q[fingerprint]
	if b == nil {
		if len(q) >= maxBreaks {
			return false
		}
		b = &breaks{upstreams: map[catalog.Life]bool{}}
		q[fingerprint] = b
	}
	b.last = now
	b.upstreams[upstream] = true
	if len(b.upstreams) < crashesToSuspect || now.Before(b.until) {
		return false
	}
	b.until = now.Add(quarantineFor)
	return true
}

// told takes another entry's word.
func (q quarantine) told(now time.Time, fingerprint uint64) {
	if q.holds(now, fingerprint) {
		return
	}
	q[fingerprint] = &breaks{upstreams: map[catalog.Life]bool{}, last: now, until: now.Add(quarantineFor)}
}

// answered clears a request that was answered.
func (q quarantine) answered(fingerprint uint64) { delete(q, fingerprint) }

// forget drops what is too old to count.
func (q quarantine) forget(now time.Time) {
	for fingerprint, b := range q {
		if now.Sub(b.last) > rememberBreaks && !now.Before(b.until) {
			delete(q, fingerprint)
		}
	}
}

// broken is a request that broke at an upstream.
type broken struct {
	fingerprint uint64
	at          time.Time
}

// learn notes what the end of a send says of its request and of its upstream.
func (s *State) learn(in step.Input, r *request, upstream catalog.Life, ev SendEnded) []step.Effect {
	switch {
	case ev.Outcome == Answered || ev.Partial:
		s.quarantine.answered(r.fingerprint)
	case ev.Outcome == NotSent:
		return s.wentDown(in.Now, upstream)
	case ev.Outcome == Broken && r.route.Repeatable():
		l := s.load(upstream)
		l.broken = append(recent(l.broken, in.Now), broken{fingerprint: r.fingerprint, at: in.Now})
	}
	return nil
}

// recent leaves out what broke too long ago.
func recent(list []broken, now time.Time) []broken {
	for len(list) > 0 && now.Sub(list[0].at) > downAfter {
		list = list[1:]
	}
	return list
}

// wentDown counts an upstream that is found to be down against the requests that broke there just before.
func (s *State) wentDown(now time.Time, upstream catalog.Life) []step.Effect {
	l := s.load(upstream)
	var effects []step.Effect
	for _, b := range recent(l.broken, now) {
		if s.quarantine.broke(now, b.fingerprint, upstream) {
			effects = append(effects, Suspected{Fingerprint: b.fingerprint})
		}
	}
	l.broken = nil
	return effects
}

// empties tells whether an engine that held weights now holds none, as after a crash.
func empties(before, now LoadTold) bool { return holds(before) && !holds(now) }

func holds(l LoadTold) bool {
	for _, version := range l.Versions {
		if version > 0 {
			return true
		}
	}
	return false
}
