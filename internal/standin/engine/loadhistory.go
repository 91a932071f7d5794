package engine

import "time"

// loadHistory keeps recent values of an engine's load, so that they can be reported with a lag.
type loadHistory struct {
	lag     time.Duration
	samples []loadSample
}

type loadSample struct {
	at   time.Time
	load Load
}

// add records the load from now on.
func (h *loadHistory) add(load Load, now time.Time) {
	h.samples = append(h.samples, loadSample{at: now, load: load})
	h.trim(now.Add(-h.lag))
}

// trim drops the samples that are followed by another sample at or before cutoff.
func (h *loadHistory) trim(cutoff time.Time) {
	for len(h.samples) > 1 && !h.samples[1].at.After(cutoff) {
		h.samples = h.samples[1:]
	}
}

// reportedAt returns the load that is reported at now: the load at now minus the lag.
func (h *loadHistory) reportedAt(now time.Time) Load {
	asOf := now.Add(-h.lag)
	h.trim(asOf)
	var load Load
	if len(h.samples) > 0 && !h.samples[0].at.After(asOf) {
		load = h.samples[0].load
	}
	load.AsOfMS = asOf.UnixMilli()
	return load
}
