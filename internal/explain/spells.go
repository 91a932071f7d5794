package explain

import (
	"fmt"
	"time"

	"samphireweir.example/samphireweir/internal/logevent"
)

// Spell is a time in which a process itself was late.
type Spell struct {
	// Process is the role of the process, Name its host.
	Process, Name string
	From          time.Time
	// Until is the end of the last late second; zero if the logs don't have it.
	Until time.Time
	// MaxDelay is the largest delay of a second of the spell, or of its first second if the logs don't have its end.
	MaxDelay time.Duration
	// OwnShare is the share of the processor time available to the process that it used itself in the late seconds.
	OwnShare float64
}

// overlaps reports whether any time of the spell is between from and until.
func (s Spell) overlaps(from, until time.Time) bool {
	return !s.From.After(until) && (s.Until.IsZero() || !s.Until.Before(from))
}

// text describes the spell for people.
func (s Spell) text() string {
	const layout = "15:04:05.000"
	until := "a time that these logs don't show"
	if !s.Until.IsZero() {
		until = s.Until.Format(layout)
	}
	return fmt.Sprintf("%s %s was late by up to %v from %s to %s, using %.0f%% of its processor time",
		s.Process, s.Name, s.MaxDelay.Round(time.Millisecond), s.From.Format(layout), until, 100*s.OwnShare)
}

// addSpells adds the spells that overlap the request, of the processes that logged a line of it; last is the request's last line.
func (l *Log) addSpells(v *Explanation, last Line) {
	from := last.Time.Add(-milliseconds(max(last.TookMS, last.HeldMS)))
	if first := v.Lines[0].Time; first.Before(from) {
		from = first
	}
	seen := map[string]bool{}
	for _, line := range v.Lines {
		if key := line.Process + " " + line.Name; !seen[key] {
			seen[key] = true
			for _, s := range l.spells(line.Process, line.Name) {
				if s.overlaps(from, last.Time) {
					v.Spells = append(v.Spells, s)
				}
			}
		}
	}
}

// spells returns the spells of a process, in the order in which they began. The line of a spell's start or end may be missing: the end has
// what the start has, and a spell without an end lasts until the process starts again.
func (l *Log) spells(process, name string) []Spell {
	var done []Spell
	var open *Spell
	end := func(s Spell) {
		done, open = append(done, s), nil
	}
	for _, line := range l.Lines {
		if line.Process != process || line.Name != name {
			continue
		}
		switch line.Event {
		case logevent.ProcessLate:
			if open != nil {
				open.Until = line.LateFrom // The line of its end was dropped.
				end(*open)
			}
			open = &Spell{Process: process, Name: name, From: line.LateFrom, MaxDelay: milliseconds(line.DelayMS), OwnShare: line.OwnShare}
		case logevent.ProcessOnTime:
			end(Spell{Process: process, Name: name, From: line.LateFrom, Until: line.LateUntil, MaxDelay: milliseconds(line.MaxDelayMS), OwnShare: line.OwnShare})
		case logevent.Listening:
			if open != nil {
				open.Until = line.Time
				end(*open)
			}
		}
	}
	if open != nil {
		end(*open)
	}
	return done
}

// milliseconds returns a duration that a log line gives in milliseconds.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
