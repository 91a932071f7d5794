package storewatch

import (
	"github.com/rs/zerolog"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/internal/telemetry"
	"samphireweir.example/samphireweir/platform"
)

// Report logs and counts an effect of package catalog that only informs operators. It reports whether e is one.
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
	default:
		return false
	}
	return true
}
