package hostagent_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rs/zerolog"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/hostagent"
	"samphireweir.example/samphireweir/internal/hostconfig"
	"samphireweir.example/samphireweir/internal/telemetry"
	"samphireweir.example/samphireweir/platform/standin"
)

// TestWeightsAreOnTheirWayWhileTheEngineStarts is the pattern of empty engines that join under load: the agent runs a second before its engine
// answers. It names the models' first version as soon as it knows that the operator has named none, and not before.
func TestWeightsAreOnTheirWayWhileTheEngineStarts(t *testing.T) {
	t.Parallel()
	var log standin.Log
	a := hostagent.New(hostconfig.Host{
		Name: "a", IP: "127.0.0.1", PeerPort: 7700, DataCentre: "perth-a", EngineService: "model", VersionTime: longVersionTime, Memory: 64 << 20, Link: 1 << 20,
	}, zerolog.New(&log), telemetry.NewMetrics(), nil)
	m := catalog.NewManifest(1, nil, nil)
	m.Services["model"] = &catalog.Service{Name: "model", Engine: &catalog.Engine{Models: []string{"m"}}}
	a.Step(catalog.ManifestRead{Revision: 1, Manifest: m})
	a.Step(catalog.TopicListed{Topic: catalog.UpstreamTopic})
	a.Tick()
	require.Zero(t, log.Count(`"resolving"`), "the operator may have named a version")
	a.Step(catalog.TopicListed{Topic: catalog.VersionTopic})
	a.Tick()
	require.Equal(t, 1, log.Count(`"resolving"`))
}
