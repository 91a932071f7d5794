package engine

import (
	"math/rand/v2"
	"time"
)

// maxEvents is the number of events that an engine keeps.
const maxEvents = 10000

// Kinds of events.
const (
	eventStored  = "stored"
	eventEvicted = "evicted"
)

// storedEvent is an event and the time when it happened. A lost event has a sequence number but isn't reported.
type storedEvent struct {
	CacheEvent
	at   time.Time
	lost bool
}

// eventLog keeps the events of the prefix cache and reports them with a lag and with gaps.
type eventLog struct {
	lag    time.Duration
	gap    float64
	random *rand.Rand
	seq    int64
	events []storedEvent
}

func newEventLog(lag time.Duration, gap float64, seed uint64) *eventLog {
	return &eventLog{lag: lag, gap: gap, random: rand.New(rand.NewPCG(seed, 0))}
}

func (l *eventLog) add(kind, prefix string, now time.Time) {
	l.seq++
	event := CacheEvent{Seq: l.seq, Kind: kind, Prefix: prefix}
	l.events = append(l.events, storedEvent{CacheEvent: event, at: now, lost: l.random.Float64() < l.gap})
	if len(l.events) > 2*maxEvents {
		l.events = append([]storedEvent(nil), l.events[len(l.events)-maxEvents:]...)
	}
}

// after returns the events with a sequence number above seq that are older than the lag at now. If seq is higher than the last number, it
// is from before a crash, and all events are returned.
func (l *eventLog) after(seq int64, now time.Time) Events {
	if seq > l.seq {
		seq = 0
	}
	response := Events{Events: []CacheEvent{}, Next: seq}
	for _, event := range l.events {
		if now.Sub(event.at) < l.lag {
			break
		}
		if event.Seq <= seq {
			continue
		}
		response.Next = event.Seq
		if !event.lost {
			response.Events = append(response.Events, event.CacheEvent)
		}
	}
	return response
}
