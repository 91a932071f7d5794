package hostagent_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rs/zerolog"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/install"
	"samphireweir.example/samphireweir/internal/hostagent"
	"samphireweir.example/samphireweir/internal/hostconfig"
	"samphireweir.example/samphireweir/internal/loadreport"
	"samphireweir.example/samphireweir/internal/telemetry"
	"samphireweir.example/samphireweir/platform/standin"
)

// TestWeightsAreOnTheirWayWhileTheEngineStarts is the pattern of empty engines that join under load: the agent runs a second before its engine
// answers. In a fleet that runs it names the models' first version as soon as it knows that the operator has named none; in one that starts
// at once, where the pieces may lie beside the engine, it waits for that.
func TestWeightsAreOnTheirWayWhileTheEngineStarts(t *testing.T) {
	t.Parallel()
	for _, running := range []time.Duration{time.Second, time.Minute} {
		var log standin.Log
		a := hostagent.New(hostconfig.Host{
			Name: "a", IP: "127.0.0.1", PeerPort: 7700, DataCentre: "perth-a", Engine: "127.0.0.1:1", EngineService: "model", VersionTime: longVersionTime,
			Memory: 64 << 20, Link: 1 << 20,
		}, zerolog.New(&log), telemetry.NewMetrics(), nil)
		m := catalog.NewManifest(1, nil, nil)
		m.Services["model"] = &catalog.Service{Name: "model", Engine: &catalog.Engine{Models: []string{"m"}}}
		a.Hear(entryAddress, loadreport.Message{EntryCount: 7, RunningMS: running.Milliseconds()})
		a.Step(catalog.ManifestRead{Revision: 1, Manifest: m})
		a.Step(catalog.TopicListed{Topic: catalog.UpstreamTopic})
		a.Tick()
		require.Zero(t, log.Count(`"resolving"`), "the operator may have named a version")
		a.Step(catalog.TopicListed{Topic: catalog.VersionTopic})
		a.Tick()
		if running == time.Second {
			require.Zero(t, log.Count(`"resolving"`))
			a.Step(install.EngineRead{Born: 1})
			a.Tick()
		}
		require.Equal(t, 1, log.Count(`"resolving"`))
	}
}
