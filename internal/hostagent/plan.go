package hostagent

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/install"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/versionplan"
	"samphireweir.example/samphireweir/internal/logevent"
)

// transfersRead returns what remains to be transferred to this host, for the plan of versions. The link's rate is
// the configured one: chunks from peers often arrive more slowly because few hosts have them yet. The caller holds the lock.
func (a *Agent) transfersRead(now time.Time) install.TransfersRead {
	ev := install.TransfersRead{
		Transfers: map[string]install.Transfer{}, OriginRate: a.weights.OriginRate(now), LinkRate: float64(a.host.LinkBytesPerSecond) * a.install.LinkShare(),
		OriginAway: a.weights.OriginAway(now),
	}
	for digest, t := range a.weights.Transfers(now) {
		ev.OriginAway = ev.OriginAway || t.Stalled
		ev.Transfers[digest] = install.Transfer{
			Size: t.Size, HostLacks: t.HostLacks, FleetLacks: t.FleetLacks, Chunks: t.Chunks, Held: t.Held, Known: t.Known, Gone: t.Gone,
		}
	}
	return ev
}

// logPlan logs a changed plan or a dropped version.
func (a *Agent) logPlan(e step.Effect) {
	switch e := e.(type) {
	case install.PlanChanged:
		in := e.Inputs
		line := logevent.Info(a.log, logevent.VersionPlanChanged).Str("model", e.Model).Ints64("order", e.Plan.FetchOrder).Int64("load", e.Plan.Load).Bool("half", e.Plan.Half).
			Str("why", e.Plan.Reason).Int64("held", in.Held).Bool("origin_away", in.OriginAway).Float64("origin_rate", in.OriginRate).Float64("link_rate", in.LinkRate).
			Int64("ready_version", e.Plan.ReadyVersion)
		if !in.HeldUntil.IsZero() {
			line.Dur("held_for_ms", time.Until(in.HeldUntil))
		}
		var versions []plannedVersion
		for _, v := range in.Versions {
			versions = append(versions, newPlannedVersion(v))
		}
		line.Interface("versions", versions).Msg("version plan changed")
	case install.VersionDropped:
		a.metrics.Versions.Add(1, "dropped")
		logevent.Info(a.log, logevent.VersionDropped).Str("model", e.Model).Int64("version", e.Version).Int("chunks", e.Transfer.Chunks).Int("held", e.Transfer.Held).
			Int("known", e.Transfer.Known).Str("why", e.Reason).Msg("version dropped")
	}
}

// plannedVersion is a version among the logged inputs of a plan.
type plannedVersion struct {
	Version    int64 `json:"version"`
	Complete   bool  `json:"complete"`
	FleetLacks int64 `json:"fleet_lacks"`
	HostLacks  int64 `json:"host_lacks"`
	Resolved   bool  `json:"resolved"`
	Gone       bool  `json:"gone"`
	// UsableMS is the remaining time of use in milliseconds; 0 if no end is known.
	UsableMS int64 `json:"usable_ms"`
}

func newPlannedVersion(v versionplan.Version) plannedVersion {
	p := plannedVersion{Version: v.Number, Complete: v.Complete, FleetLacks: v.FleetLacks, HostLacks: v.HostLacks, Resolved: v.Resolved, Gone: v.Gone}
	if !v.UsableUntil.IsZero() {
		p.UsableMS = time.Until(v.UsableUntil).Milliseconds()
	}
	return p
}

// countCompleted counts a version that became complete after a newer one was activated. The caller holds the lock.
func (a *Agent) countCompleted(digest string) {
	for _, w := range a.install.Wanted() {
		if w.Digest == digest && w.Version < a.install.NewestVersion(w.Model) {
			a.metrics.Versions.Add(1, "completed")
		}
	}
}
