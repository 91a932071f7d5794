package forward

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
)

// BegunLate tells the shell that an upstream began a request on a version of weights whose time was over.
type BegunLate struct {
	ID       uint64
	Upstream string
	// Version is the one on which the request began, and Successor the one whose naming ended its time.
	Version   int64
	Successor int64
	// Late is how long after that time it began, and Waited how long it had been with the upstream.
	Late   time.Duration
	Waited time.Duration
	// Insisted is the version that the send insisted on; 0 for none.
	Insisted int64
}

// Effect marks the type as an effect.
func (BegunLate) Effect() {}

// requiredVersion is the version that a request for a model must begin on from now on; 0 for any.
func (s *State) requiredVersion(now time.Time, model string) int64 {
	if s.Self.VersionTime <= 0 {
		return 0
	}
	return s.Catalog.RequiredVersion(model, now, s.Self.VersionTime-catalog.VersionMargin)
}

// hasBegun takes the first event of an answer.
func (s *State) hasBegun(in step.Input, ev Began) []step.Effect {
	s.began(ev.ID)
	r := s.requests[ev.ID]
	if r == nil || r.model == "" || ev.Version == 0 || s.Self.VersionTime <= 0 {
		return nil
	}
	successor, ok := s.Catalog.Successor(r.model, ev.Version)
	late := in.Now.Sub(successor.Since) - s.Self.VersionTime
	if !ok || late <= 0 {
		return nil
	}
	return []step.Effect{BegunLate{
		ID: r.id, Upstream: r.at.ID, Version: ev.Version, Successor: successor.Version, Late: late, Waited: in.Now.Sub(r.sentAt),
		Insisted: r.version,
	}}
}
