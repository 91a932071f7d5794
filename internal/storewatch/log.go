package storewatch

import (
	"strconv"

	"github.com/rs/zerolog"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/internal/telemetry"
	"samphireweir.example/samphireweir/platform"
)

// Report logs and counts an effect of package catalog that informs operators. It reports whether nothing else is to be done for e.
func Report(log zerolog.Logger, metrics *telemetry.Metrics, e step.Effect) bool {
	switch e := e.(type) {
	case catalog.StateChanged:
		logevent.Info(log, logevent.StateChanged).Str("what", string(e.Topic)).Str("of", e.Name).Str("value", e.Value).
			Int64("era", e.Revision.Era).Int64("revision", e.Revision.Number).Msg("known state changed")
	case catalog.ManifestIgnored:
		logevent.Warn(log, logevent.ManifestIgnored).Int64("version", e.Version).
			Int64("era", e.Revision.Era).Int64("revision", e.Revision.Number).Int64("in_force", e.InForce).
			Int64("in_force_era", e.InForceRevision.Era).Int64("in_force_revision", e.InForceRevision.Number).Msg("manifest ignored")
	case catalog.FieldKept:
		logevent.Warn(log, logevent.ManifestFieldKept).Int64("version", e.Version).Str("field", platform.FieldName(e)).Str("invalid", e.Invalid).
			Str("value", e.Value).Msg("manifest field kept")
	case catalog.StoreRestored:
		metrics.StoreRestores.Add(1)
		logevent.Warn(log, logevent.StoreRestored).Int64("era", e.Era).Int64("known_era", e.Before.Era).
			Int64("known_revision", e.Before.Number).Msg("store restored")
	case catalog.ActivationChanged:
		reportActivation(log, metrics, e.Activation)
		return false // An agent acts on it as well.
	default:
		return false
	}
	return true
}

// reportActivation logs how an activation was received, from when its age is counted and what is known of the time before.
func reportActivation(log zerolog.Logger, metrics *telemetry.Metrics, a catalog.Activation) {
	age := a.Receipt.At.Sub(a.ActivatedAt)
	way := a.Receipt.Way
	if way == catalog.Reported {
		way = "report"
	}
	metrics.VersionAge.Observe(age, string(way), strconv.FormatBool(a.Assumed))
	line := logevent.Info(log, logevent.VersionReceived).Str("of", a.Model).Int64("version", a.Version).Str("way", string(way)).
		Int64("era", a.Revision.Era).Int64("revision", a.Revision.Number).Int64("age_ms", age.Milliseconds()).Bool("assumed", a.Assumed)
	if !a.Receipt.ProvenAt.IsZero() {
		line.Int64("proven_ms", a.Receipt.At.Sub(a.Receipt.ProvenAt).Milliseconds())
	}
	if !a.Receipt.LostAt.IsZero() {
		line.Int64("lost_ms", a.Receipt.At.Sub(a.Receipt.LostAt).Milliseconds())
	}
	line.Msg("version received")
}
