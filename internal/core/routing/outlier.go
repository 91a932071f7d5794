package routing

import (
	"slices"
	"time"
)

const (
	// SlowFactor and SlowMargin define when an upstream is too slow. Its first-byte time must be more than SlowFactor times
	// its peers' median, and also more than SlowMargin above it.
	SlowFactor = 2.5
	SlowMargin = 10 * time.Millisecond
	// FailuresToEject is the number of consecutive answers reporting that an upstream can't serve after which it is
	// ejected.
	FailuresToEject = 3
	// MinSamples is the minimum number of answers of an upstream, and of each peer, for a comparison.
	MinSamples = 8
	// MinPeers is the minimum number of peers for a comparison.
	MinPeers = 3
	// MaxEjectedShare is the maximum share of a service's upstreams that are ejected or on probation at once.
	MaxEjectedShare = 0.4
	// InitialEjectTime is how long an upstream is ejected the first time. The time doubles with each further ejection, up
	// to MaxEjectTime.
	InitialEjectTime = 2 * time.Second
	MaxEjectTime     = 30 * time.Second
	// MinProbeInterval is the minimum time between two probes of an upstream on probation.
	MinProbeInterval = 250 * time.Millisecond
	// ProbesToReturn is the number of consecutive probes that must be answered fast enough before an upstream is back in
	// service.
	ProbesToReturn = 3
	// maxEjectDoublings bounds how often InitialEjectTime is doubled.
	maxEjectDoublings = 10
	// medianMaxAge is how long the peers' median is used before it is computed again.
	medianMaxAge = 100 * time.Millisecond
	// latencyWeight is the minimum weight of a new sample in the average first-byte time of an upstream.
	latencyWeight = 0.15
)

// health is the state of an upstream in outlier ejection.
type health int

const (
	// inService is the state of an upstream that gets its share of the requests.
	inService health = iota
	// ejected is the state of an upstream that gets no requests until its eject time is over.
	ejected
	// onProbation is the state of an upstream that gets one probe request at a time until it has proved healthy.
	onProbation
)

// latency is the moving average of the first-byte time, in nanoseconds.
type latency struct {
	average float64
	samples int
}

func (l *latency) add(took time.Duration) {
	l.samples++
	if l.samples == 1 {
		l.average = float64(took)
		return
	}
	// The first samples have equal weight, so that a single outlier does not dominate the average.
	weight := max(latencyWeight, 1/float64(l.samples))
	l.average += weight * (float64(took) - l.average)
}

func (l *latency) mean() time.Duration { return time.Duration(l.average) }

// peerLatency is the median of the usual first-byte times of the upstreams in service. count is the number of upstreams
// in it.
type peerLatency struct {
	median     time.Duration
	count      int
	computedAt time.Time
}

// firstByte is one first-byte time of an upstream. own is the time that this entry measured, which includes the network and the delay of
// this process. run is the time that the upstream took by the measurement of its agent; 0 if the agent reports none. inVain is set for a wait that
// ended without a first byte.
type firstByte struct {
	own, run time.Duration
	inVain   bool
}

// addSample adds a first-byte time of an upstream. It ejects the upstream if it is too slow, or counts a probe.
func (svc *service) addSample(now time.Time, u *upstream, took firstByte) {
	if u.health == ejected {
		return // The request was sent before the upstream was ejected.
	}
	svc.refreshMedian(now)
	if u.health == onProbation {
		svc.probeAnswered(now, u, took)
		return
	}
	u.latency.add(took.own)
	if took.run > 0 {
		u.runTime.add(took.run)
	}
	if svc.tooSlow(u.usual()) && svc.mayEject() {
		svc.eject(now, u)
		u.ejectedWaiting = took.inVain
	}
}

// addFailure counts an answer with which the upstream reports that it can't serve. It ejects the upstream after
// FailuresToEject of them, or after the first one on probation. Such answers are fast, so an upstream that is down would
// otherwise attract more requests.
func (svc *service) addFailure(now time.Time, u *upstream) {
	if u.health == ejected {
		return
	}
	u.failures++
	if u.health == onProbation || u.failures >= FailuresToEject && svc.mayEject() {
		svc.eject(now, u)
	}
}

// usual returns the upstream's mean first-byte times. Each is 0 while it has fewer than MinSamples.
// Run times are averaged, too: prompts differ, and the median of few run times would change with each long one.
func (u *upstream) usual() firstByte {
	var t firstByte
	if u.latency.samples >= MinSamples {
		t.own = u.latency.mean()
	}
	if u.runTime.samples >= MinSamples {
		t.run = u.runTime.mean()
	}
	return t
}

// tooSlow compares a first-byte time with the peers' median: the run time where the agents report it, else the time that this entry
// measured. While this process is late in all its calls, its own time hides a slow upstream. The two kinds are never compared with each
// other, since some agents may not report run times yet.
func (svc *service) tooSlow(took firstByte) bool {
	if took.run > 0 && svc.runPeers.count >= MinPeers {
		return svc.runPeers.exceeded(took.run)
	}
	return took.own > 0 && svc.peers.count >= MinPeers && svc.peers.exceeded(took.own)
}

// exceeded reports whether a time is too far above the median.
func (p peerLatency) exceeded(took time.Duration) bool {
	return float64(took) > SlowFactor*float64(p.median) && took-p.median > SlowMargin
}

// refreshMedian computes the peers' medians again if they are older than medianMaxAge.
func (svc *service) refreshMedian(now time.Time) {
	if now.Sub(svc.peers.computedAt) < medianMaxAge {
		return
	}
	svc.peers.computedAt = now
	var own, runs []time.Duration
	for _, u := range svc.byKey {
		if u.health != inService {
			continue
		}
		t := u.usual()
		if t.own > 0 {
			own = append(own, t.own)
		}
		if t.run > 0 {
			runs = append(runs, t.run)
		}
	}
	svc.peers.setMedian(own)
	svc.runPeers.setMedian(runs)
}

// setMedian sets the median of the usual times of the upstreams in service. It keeps the last one if there are none.
func (p *peerLatency) setMedian(times []time.Duration) {
	p.count = len(times)
	if len(times) == 0 {
		return
	}
	slices.Sort(times)
	p.median = times[(len(times)-1)/2]
}

// mayEject reports whether one more upstream may be ejected under MaxEjectedShare.
func (svc *service) mayEject() bool {
	count := 0
	for _, u := range svc.byKey {
		if u.health != inService {
			count++
		}
	}
	return float64(count+1) <= MaxEjectedShare*float64(len(svc.list))
}

func (svc *service) eject(now time.Time, u *upstream) {
	u.health = ejected
	duration := InitialEjectTime << min(u.ejections, maxEjectDoublings)
	u.ejectedUntil = now.Add(min(duration, MaxEjectTime))
	u.ejections++
	u.goodProbes = 0
	u.failures = 0
	u.ejectedWaiting = false
	u.latency, u.runTime = latency{}, latency{}
}

// probeAnswered ejects the upstream again if the answer to a probe was too slow. Otherwise it counts the probe, and
// returns the upstream to service after ProbesToReturn of them.
func (svc *service) probeAnswered(now time.Time, u *upstream, took firstByte) {
	if svc.tooSlow(took) {
		svc.eject(now, u)
		u.ejectedWaiting = took.inVain
		return
	}
	u.goodProbes++
	if u.goodProbes < ProbesToReturn {
		return
	}
	u.health = inService
	u.ejections = max(0, u.ejections-1)
}

// eligible reports whether an upstream may get a request, including a probe. It puts an ejected upstream on probation
// once its eject time is over.
func (svc *service) eligible(now time.Time, u *upstream) bool {
	if u.health == ejected && !now.Before(u.ejectedUntil) {
		u.health = onProbation
	}
	return u.health != ejected
}

// slowness returns the ratio of an upstream's usual first-byte time to the peers' median; 1 if they can't be compared.
func (svc *service) slowness(now time.Time, u *upstream) float64 {
	svc.refreshMedian(now)
	t := u.usual()
	if t.run > 0 && svc.runPeers.count >= MinPeers && svc.runPeers.median > 0 {
		return float64(t.run) / float64(svc.runPeers.median)
	}
	if t.own <= 0 || svc.peers.count < MinPeers || svc.peers.median <= 0 {
		return 1
	}
	return float64(t.own) / float64(svc.peers.median)
}

// probeDue returns an upstream on probation whose next probe is due; nil for none.
func probeDue(now time.Time, usable []*upstream) *upstream {
	for _, u := range usable {
		if u.health == onProbation && u.inFlight == 0 && now.Sub(u.lastProbe) >= MinProbeInterval {
			return u
		}
	}
	return nil
}

func allOnProbation(list []*upstream) bool {
	for _, u := range list {
		if u.health != onProbation {
			return false
		}
	}
	return true
}

// withoutProbation removes the upstreams on probation, unless there are no others.
func withoutProbation(usable []*upstream) []*upstream {
	if allOnProbation(usable) {
		return usable
	}
	kept := usable[:0]
	for _, u := range usable {
		if u.health != onProbation {
			kept = append(kept, u)
		}
	}
	return kept
}
