package forward

import (
	"math"
	"slices"
	"time"

	"samphireweir.example/samphireweir/internal/core/forecast"
	"samphireweir.example/samphireweir/internal/core/schedule"
	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// outlookLifetime is how long an outlook is valid: one tick of the entry. Each update examines all upstreams of the service.
	outlookLifetime = 20 * time.Millisecond
	// outlookIdle is how long an outlook is kept without a request.
	outlookIdle = time.Minute
	// recoveryTime is how long after an outage its rules still hold: callers that were refused in its last moment return until then.
	recoveryTime = 3 * time.Second
	// maxReadyIn limits predictions, which come from other hosts.
	maxReadyIn = time.Minute
	// changeLogInterval limits the log lines on changed forecasts, and readyChange is by how much the end must move for one.
	changeLogInterval = time.Second
	readyChange       = 300 * time.Millisecond
)

// outlookKey identifies the requests that the same engines can serve.
type outlookKey struct{ service, model, homes string }

// outlook is what an entry expects of the engines of a service for requests with the same model and homes.
type outlook struct {
	key      outlookKey
	capacity forecast.Capacity
	// probe is a request without any special demands, engines the list that was last passed to capacity.
	probe   *request
	engines []forecast.Engine
	// updatedAt is when the fields below were computed, and usedAt when a request last arrived.
	updatedAt, usedAt time.Time
	usable, total     int
	// outage is set while fewer than half of the engines are usable, and outageAt is when it last was and its end was predicted.
	outage   bool
	outageAt time.Time
	// freeSlots is this entry's share of the free slots, whatever the engines' reading rate allows it to send at once.
	freeSlots float64
	// slots is this entry's share of all slots of the usable engines.
	slots float64
	// oldestReport is the age of the oldest report of which a prediction was used.
	oldestReport time.Duration
	// held are the requests that wait until the end of the outage, in their order as of the last tick.
	held []*request
	// servedAt is when the requests that wait last had their turn.
	servedAt time.Time
	// shortestRetry is the shortest Retry-After delay given recently.
	shortestRetry recentMin
	logged        ForecastChanged
	loggedAt      time.Time
	loggedReady   time.Time
}

// outlookOf returns the outlook for a request. It returns nil for a request to a model that the service does not have, since callers name
// the model and their choice must not add state; for one that fits into no engine's memory, since it would wait in vain; and for one to a
// plain service without priorities.
func (s *State) outlookOf(now time.Time, r *request) *outlook {
	key := outlookKey{service: r.service}
	service := r.manifest.Services[r.service]
	switch {
	case service != nil && service.Engine != nil:
		if !slices.Contains(service.Engine.Models, r.model) || !fitsMemory(service.Engine, r.tokens) {
			return nil
		}
		key.model = r.model
	case !s.prioritized(r.service):
		return nil
	}
	if !r.homes.Unrestricted() {
		key.homes = r.homes.String()
	}
	o := s.outlooks[key]
	if o == nil {
		o = &outlook{key: key}
		s.outlooks[key] = o
	}
	o.usedAt = now
	if o.probe == nil || o.probe.manifest != r.manifest {
		o.probe = &request{manifest: r.manifest, route: r.route, service: r.service, model: r.model, homes: r.homes}
	}
	return o
}

// noteFirstTry records the arrival of a first try.
func (s *State) noteFirstTry(now time.Time, r *request) {
	if o := s.outlookOf(now, r); o != nil {
		o.capacity.Arrived(now, s.urgency(r))
	}
}

// noteSent records that a request is sent to an engine.
func (s *State) noteSent(now time.Time, r *request) {
	if o := s.outlookOf(now, r); o != nil {
		o.capacity.Sent(now)
	}
}

// noteFreed records that an engine completed a request.
func (s *State) noteFreed(now time.Time, r *request, o Outcome) {
	if o != Answered {
		return
	}
	if l := s.outlookOf(now, r); l != nil {
		l.capacity.Completed(now.Sub(r.sentAt))
		l.capacity.Observe(now, s.work(r))
	}
}

// outlookInEffect returns the outlook for a request while its decisions follow from it, else nil.
func (s *State) outlookInEffect(in step.Input, r *request) *outlook {
	o := s.outlookOf(in.Now, r)
	if o == nil || o.key.model == "" {
		return nil
	}
	s.updateOutlook(in.Now, o)
	if o.recovering(in.Now) {
		return o
	}
	return nil
}

// recovering reports whether the service is in an outage whose end is predicted, or was a moment ago, or requests wait for its end.
func (o *outlook) recovering(now time.Time) bool {
	return len(o.held) > 0 || !o.outageAt.IsZero() && now.Sub(o.outageAt) < recoveryTime
}

// endKnown reports whether anything is known of how the engines return.
func (o *outlook) endKnown() bool { return o.capacity.Predicted() > 0 || !o.outage }

// updateOutlook computes an outlook anew if it is older than outlookLifetime.
func (s *State) updateOutlook(now time.Time, o *outlook) {
	if age := now.Sub(o.updatedAt); age >= 0 && age < outlookLifetime {
		return
	}
	o.updatedAt, o.freeSlots, o.slots, o.oldestReport = now, 0, 0, 0
	var all, reported usableCount
	required := s.requiredVersion(now, o.key.model)
	o.engines = o.engines[:0]
	nearest := math.MaxInt
	for _, v := range s.viewsFor(now, o.probe) {
		usable := v.usable(now, o.probe, required)
		goesOn := usable || v.mayGoOn(now, o.probe, required) // A silence of a second is no outage.
		all.add(goesOn)
		if v.load.hasReport(now) {
			reported.add(goesOn)
		}
		readyAt, predicted := s.predictedReady(now, o, v)
		if !usable && !predicted {
			continue
		}
		share := 1 / float64(s.sharers(v))
		slots, occupied := float64(v.maxRequests(o.probe)), 0.0
		if usable {
			readyAt, occupied = time.Time{}, math.Min(slots, float64(v.occupied(now, o.probe)))
			o.freeSlots += share * (slots - occupied)
			o.slots += share * slots
		} else {
			o.oldestReport = max(o.oldestReport, now.Sub(v.load.reportedAt))
		}
		// Entries nearer to the engines fill them first, so only the nearest engines count.
		if nearest = min(nearest, v.distance); v.distance == nearest {
			o.engines = append(o.engines, forecast.Engine{ReadyAt: readyAt, Slots: share * slots, Occupied: share * occupied, PerSecond: share * v.promptsPerSecond()})
		}
	}
	counted := all
	if reported.total >= minReports {
		counted = reported
	}
	o.usable, o.total, o.outage = counted.usable, counted.total, counted.mostlyDown()
	o.capacity.Update(now, o.engines)
	if o.outage && o.capacity.Predicted() > 0 {
		o.outageAt = now
	}
	s.noteForecastChange(now, o)
}

// predictedReady returns when an engine's agent predicts that it accepts the requests of an outlook. The prediction ages with its report,
// and ends with it.
func (s *State) predictedReady(now time.Time, o *outlook, v *upstreamView) (time.Time, bool) {
	l := v.load
	if l.report.ReadyIn <= 0 || !l.hasReport(now) || v.inactive(now) || now.Before(l.avoidUntil) {
		return time.Time{}, false
	}
	at := l.reportedAt.Add(min(l.report.ReadyIn, maxReadyIn))
	held := l.report.ReadyVersion
	return at, held == 0 || held >= s.requiredVersion(step.Later(at, now), o.key.model)
}

// sharers returns how many entries use an engine at the same time as this one.
func (s *State) sharers(v *upstreamView) int {
	if v.distance == 0 {
		return max(1, v.load.nearEntries.value(), v.load.report.NearEntries)
	}
	return max(1, v.load.report.Entries, s.recentEntries.value())
}

// promptsPerSecond returns how many prompts of the usual length the engine reads per second.
func (v *upstreamView) promptsPerSecond() float64 {
	if v.engine == nil || v.engine.MeanPromptTokens <= 0 {
		return math.MaxInt
	}
	return v.prefillRate() / v.engine.MeanPromptTokens
}

// forgetOutlooks drops the outlooks that no request has used for a while.
func (s *State) forgetOutlooks(now time.Time) {
	for key, o := range s.outlooks {
		if len(o.held) == 0 && now.Sub(o.usedAt) > outlookIdle {
			delete(s.outlooks, key)
		}
	}
}

// ForecastChanged reports to the shell that what an entry expects of a service's engines has changed.
type ForecastChanged struct {
	Service, Model, Homes string
	// Outage is set while fewer than half of the engines are usable; Usable and Total are the numbers.
	Outage        bool
	Usable, Total int
	// Predicted is the number of engines whose return is predicted, ReadyIn the time until the first of these or of the usable ones
	// accepts requests, and OldestReport the age of the oldest report that a prediction comes from.
	Predicted    int
	ReadyIn      time.Duration
	OldestReport time.Duration
	// FirstTries is how many first tries arrive per second, and Waiting how many requests wait for the end.
	FirstTries float64
	Waiting    int
}

// Effect marks the type as an effect.
func (ForecastChanged) Effect() {}

// noteForecastChange queues a ForecastChanged for the next tick if the outlook differs from the one last reported.
func (s *State) noteForecastChange(now time.Time, o *outlook) {
	if now.Sub(o.loggedAt) < changeLogInterval || o.capacity.Predicted() == 0 && o.logged.Predicted == 0 || !o.outage && !o.logged.Outage {
		return
	}
	ready, known := o.capacity.FirstReady(now)
	e := ForecastChanged{
		Service: o.key.service, Model: o.key.model, Homes: o.key.homes, Outage: o.outage, Usable: o.usable, Total: o.total, Predicted: o.capacity.Predicted(),
		OldestReport: o.oldestReport, FirstTries: o.capacity.FirstTries(now, schedule.Priorities-1), Waiting: len(o.held),
	}
	if known {
		e.ReadyIn = ready.Sub(now)
	}
	moved := ready.Sub(o.loggedReady).Abs() > readyChange
	if o.outage == o.logged.Outage && (e.Predicted > 0) == (o.logged.Predicted > 0) && !moved {
		return
	}
	o.logged, o.loggedAt, o.loggedReady = e, now, ready
	s.forecastChanges = append(s.forecastChanges, e)
}

// recentMin is the minimum of the durations received within the last countWindow or two.
type recentMin struct {
	current, previous time.Duration
	windowStart       time.Time
}

// add records a duration.
func (m *recentMin) add(now time.Time, d time.Duration) {
	if now.Sub(m.windowStart) >= countWindow {
		m.previous, m.current, m.windowStart = m.current, 0, now
	}
	if m.current == 0 || d < m.current {
		m.current = d
	}
}

// value returns the minimum; false if none is recent.
func (m *recentMin) value(now time.Time) (time.Duration, bool) {
	if now.Sub(m.windowStart) >= 2*countWindow {
		return 0, false
	}
	if m.current > 0 && m.previous > 0 {
		return min(m.current, m.previous), true
	}
	return max(m.current, m.previous), m.current > 0 || m.previous > 0
}
