package forward

import (
	"maps"
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/speed"
	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// predictionTolerance and predictionMargin are the ratio and the difference up to which two predictions count as equal. The choice is
	// then by cost: predictions of equal engines differ by chance, and the less loaded engine is the better choice.
	predictionTolerance = 1.1
	predictionMargin    = 10 * time.Millisecond
	// limitLifetime is how long a limit below an engine's slots holds after the last observation. Without new ones, the engine has to be
	// tried again.
	limitLifetime = 2 * time.Second
	// recentStart is the maximum time since the start of an engine, by its own clock, for which it may have just started. It covers
	// the load of its weights and clocks that differ.
	recentStart = time.Minute
	// learningTime is the time after this entry's own start in which engines that it hears of for the first time don't count as just
	// started.
	learningTime = 3 * time.Second
)

// unevenEngines is what an entry knows about the speed of engines. It is nil unless the setting uneven-engines is on, and every decision
// is then made without it.
type unevenEngines struct {
	services map[string]*serviceSpeed
	// startedAt is when this entry handled its first input.
	startedAt time.Time
	// withdrawing counts the first attempts that are being withdrawn for a second one.
	withdrawing int
	// reports are the effects of the present input that report to the shell; see flushUneven.
	reports []step.Effect
}

// serviceSpeed holds the usual times of a service's engines: to the first event, and the longest gap of a stream.
type serviceSpeed struct {
	firstEvent, gap speed.Service
	// objective and gapObjective are the shortest ones of the requests that were sent since the last change of the manifest; 0 for none.
	manifest                *catalog.Manifest
	objective, gapObjective time.Duration
}

// engineSpeed is what an entry knows about the speed of one engine instance. The models are nil until they are observed.
type engineSpeed struct {
	firstEvent, gap *speed.Model
	// limit is the number of requests that the engine may have until limitUntil; 0 for no limit but its slots.
	limit      int
	limitUntil time.Time
	// accepted is set once a load report said that the engine accepts requests. startedAt is when the first one said so, if the engine
	// had just started.
	accepted  bool
	startedAt time.Time
}

// requestSpeed holds, for the present attempt of a request, the load of its engine when it was sent and the time to the first event that
// was predicted; 0 if it was unknown. observed is set if the attempt is observed.
type requestSpeed struct {
	observed         bool
	running, pending int
	predicted        time.Duration
	// timeout is the attempt's timeout for the first event; 0 for the request's deadline.
	timeout time.Duration
	second  secondAttempt
}

// LimitLowered reports to the shell that fewer requests than the engine has slots are sent to it from now on.
type LimitLowered struct {
	Upstream     string
	Limit, Slots int
	// Predicted is the predicted time to the first event with all slots in use, and Objective the one that it would miss. Predicted is 0
	// if it is unknown or if the gaps of streams led to the limit.
	Predicted, Objective time.Duration
	// Age is the time since the observation before the one that led to the limit.
	Age time.Duration
}

// Effect marks the type as an effect.
func (LimitLowered) Effect() {}

func newUnevenEngines(self Self) *unevenEngines {
	if !self.UnevenEngines {
		return nil
	}
	return &unevenEngines{services: map[string]*serviceSpeed{}}
}

// flushUneven adds the reports to the shell to the effects of an input.
func (s *State) flushUneven(effects []step.Effect) []step.Effect {
	if s.uneven == nil || len(s.uneven.reports) == 0 {
		return effects
	}
	effects = append(effects, s.uneven.reports...)
	s.uneven.reports = s.uneven.reports[:0]
	return effects
}

// serviceSpeedOf returns the usual times for the engines of a service; nil for a plain service and where the setting is off.
func (s *State) serviceSpeedOf(v *upstreamView) *serviceSpeed {
	if s.uneven == nil || v.engine == nil {
		return nil
	}
	known := s.uneven.services[v.Service]
	if known == nil {
		known = &serviceSpeed{}
		s.uneven.services[v.Service] = known
	}
	return known
}

// predict returns the predicted time from now to the first event of a request that is sent to the engine. It reports false if too little
// is known.
func (v *upstreamView) predict(now time.Time, r *request) (time.Duration, bool) {
	if v.speeds == nil || r.model == "" {
		return 0, false
	}
	running, pending := v.occupied(now, r), v.load.pendingPromptTokens+r.prompt
	if m := v.load.speed.firstEvent; m != nil {
		return m.Predict(now, running, pending)
	}
	return v.speeds.firstEvent.Predict(running, pending)
}

// compare reports whether c is predicted to send the first event sooner than o, and whether the predictions decide at all.
func (c candidate) compare(o candidate, now time.Time, r *request) (sooner, decides bool) {
	if c.speeds == nil {
		return false, false
	}
	own, known := c.predict(now, r)
	other, otherKnown := o.predict(now, r)
	if !known || !otherKnown {
		return false, false
	}
	sooner = clearlyShorter(own, other)
	return sooner, sooner || clearlyShorter(other, own)
}

func clearlyShorter(a, b time.Duration) bool {
	return float64(a)*predictionTolerance < float64(b) && b-a > predictionMargin
}

// beyondLimit reports whether one more request would exceed what the engine may have at present: it has just started, or one more would
// make the running ones miss their objective. It never does so for a request that was attempted before.
func (v *upstreamView) beyondLimit(now time.Time, r *request) bool {
	if v.speeds == nil || r.model == "" || r.attempts > 0 {
		return false
	}
	e := &v.load.speed
	if e.startedAt.IsZero() && e.limit == 0 {
		return false
	}
	limit := v.slots()
	if !e.startedAt.IsZero() {
		limit = speed.StartLimit(now.Sub(e.startedAt), limit)
	}
	if e.limit > 0 && now.Before(e.limitUntil) {
		limit = min(limit, e.limit)
	}
	return v.occupied(now, r) >= limit
}

// noteStart records whether an engine has just started, when a load report first says that it accepts requests. Engines that this entry
// hears of for the first time after its own start don't count.
func (s *State) noteStart(now time.Time, l *loadState, ev LoadReported) {
	if s.uneven == nil || ev.NotAccepting || l.speed.accepted {
		return
	}
	l.speed.accepted = true
	recent := ev.StartedAt <= 0 || now.Sub(time.UnixMilli(ev.StartedAt)) < recentStart
	if recent && !s.uneven.startedAt.IsZero() && now.Sub(s.uneven.startedAt) > learningTime {
		l.speed.startedAt = now
	}
}

// noteSending records the load of the engine that a request is about to be sent to, and the predicted time to its first event.
func (s *State) noteSending(now time.Time, r *request, v *upstreamView) {
	second := r.speed.second
	r.speed = requestSpeed{second: second}
	if v.speeds == nil || r.model == "" {
		return
	}
	r.speed.observed = true
	r.speed.running, r.speed.pending = v.occupied(now, r), v.load.pendingPromptTokens+r.prompt
	r.speed.predicted, _ = v.predict(now, r)
	if p := v.speeds; p.manifest != r.manifest {
		p.manifest, p.objective, p.gapObjective = r.manifest, 0, 0
	}
	v.speeds.objective = shorter(v.speeds.objective, r.route.Objective)
	v.speeds.gapObjective = shorter(v.speeds.gapObjective, r.route.GapObjective)
}

// shorter returns the shorter of two objectives, where 0 means none.
func shorter(a, b time.Duration) time.Duration {
	if a <= 0 || b > 0 && b < a {
		return b
	}
	return a
}

// observe learns from the time that a request's engine took for the first event, or has let pass without one. It learns nothing from an
// engine that was silent meanwhile.
func (s *State) observe(now time.Time, r *request, took time.Duration) {
	u := s.Catalog.Upstreams[r.instance.ID]
	if s.uneven == nil || !r.speed.observed || u == nil || u.Instance() != r.instance {
		return
	}
	v := s.view(u)
	if v.speeds == nil || v.load.silentSince(r.sentAt) {
		return
	}
	e := &v.load.speed
	if e.firstEvent == nil {
		e.firstEvent = speed.NewModel(&v.speeds.firstEvent)
	}
	age := e.firstEvent.Age(now)
	e.firstEvent.Observe(now, r.speed.running, r.speed.pending, took)
	s.refreshLimit(now, v, age)
}

// observeGap learns from the longest gap between two events of a complete stream during which its engine was not silent.
func (s *State) observeGap(now time.Time, r *request, ev AttemptEnded) {
	s.observePause(now, r, ev)
	u := s.Catalog.Upstreams[r.instance.ID]
	if s.uneven == nil || !r.speed.observed || ev.Outcome != Answered || ev.MaxGap <= 0 || u == nil || u.Instance() != r.instance {
		return
	}
	v := s.view(u)
	if v.speeds == nil || v.speeds.gapObjective <= 0 || v.load.silentSince(r.sentAt) {
		return
	}
	if v.load.speed.gap == nil {
		v.load.speed.gap = speed.NewModel(&v.speeds.gap)
	}
	age := v.load.speed.gap.Age(now)
	v.load.speed.gap.Observe(now, r.speed.running, 0, ev.MaxGap)
	s.refreshLimit(now, v, age)
}

// refreshLimit computes an engine's limit after an observation; age is that of the one before. Decisions use the stored limit, since each examines all engines.
func (s *State) refreshLimit(now time.Time, v *upstreamView, age time.Duration) {
	e, slots := &v.load.speed, v.slots()
	before := e.limit
	if !now.Before(e.limitUntil) {
		before = 0
	}
	limit := slots
	if e.firstEvent != nil {
		limit = min(limit, e.firstEvent.Limit(now, slots, v.speeds.objective))
	}
	lowered := LimitLowered{Upstream: v.ID, Slots: slots, Objective: v.speeds.objective, Age: age}
	if limit < slots {
		lowered.Predicted, _ = e.firstEvent.PredictUsual(now, slots-1)
	}
	if e.gap != nil {
		if byGap := e.gap.Limit(now, slots, v.speeds.gapObjective); byGap < limit {
			limit, lowered.Predicted, lowered.Objective = byGap, 0, v.speeds.gapObjective
		}
	}
	if limit >= slots {
		e.limit = 0
		return
	}
	e.limit, e.limitUntil = limit, now.Add(limitLifetime)
	if before == 0 {
		lowered.Limit = limit
		s.uneven.reports = append(s.uneven.reports, lowered)
	}
}

// forgetSpeeds drops what has no weight any more, so that memory grows with the engines in use and not with all.
func (s *State) forgetSpeeds(now time.Time) {
	if s.uneven == nil {
		return
	}
	if s.uneven.startedAt.IsZero() {
		s.uneven.startedAt = now
	}
	if m := s.Catalog.Manifest; m != nil {
		maps.DeleteFunc(s.uneven.services, func(name string, _ *serviceSpeed) bool { return m.Services[name] == nil })
	}
	for _, l := range s.loadStates {
		if m := l.speed.firstEvent; m != nil && m.Expired(now) {
			l.speed.firstEvent = nil
		}
		if m := l.speed.gap; m != nil && m.Expired(now) {
			l.speed.gap = nil
		}
	}
}
