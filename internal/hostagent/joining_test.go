package hostagent_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rs/zerolog"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/install"
	"samphireweir.example/samphireweir/internal/core/storerev"
	"samphireweir.example/samphireweir/internal/hostagent"
	"samphireweir.example/samphireweir/internal/hostconfig"
	"samphireweir.example/samphireweir/internal/loadreport"
	"samphireweir.example/samphireweir/internal/telemetry"
	"samphireweir.example/samphireweir/platform/standin"
)

// TestWeightsAreFetchedWhileTheEngineStarts guards against empty engines that join under load and get their weights late: the agent runs a
// second before its engine responds. In a running fleet the agent activates the models' first version as soon as it knows that the
// operator has activated none. In a fleet that starts all at once it waits for the engine, where chunks may be staged.
func TestWeightsAreFetchedWhileTheEngineStarts(t *testing.T) {
	t.Parallel()
	for _, running := range []time.Duration{time.Second, time.Minute} {
		var log standin.Log
		a := hostagent.New(hostconfig.Host{
			Name: "a", IP: "127.0.0.1", PeerPort: 7700, DataCentre: "perth-a", Engine: "127.0.0.1:1", EngineService: "model", VersionLifetime: longVersionLifetime,
			MemoryBytes: 64 << 20, LinkBytesPerSecond: 1 << 20,
		}, zerolog.New(&log), telemetry.NewMetrics(), nil)
		m := catalog.NewManifest(1, nil, nil)
		m.Services["model"] = &catalog.Service{Name: "model", Engine: &catalog.Engine{Models: []string{"m"}}}
		a.Receive(entryAddress, loadreport.Message{EntryCount: 7, UptimeMS: running.Milliseconds()})
		a.Step(catalog.ManifestRead{Revision: storerev.Revision{Number: 1}, Manifest: m})
		a.Step(catalog.TopicListed{Topic: catalog.UpstreamTopic})
		a.Tick()
		require.Zero(t, log.Count(`"resolving"`), "the operator may have activated a version")
		a.Step(catalog.TopicListed{Topic: catalog.VersionTopic})
		a.Tick()
		if running == time.Second {
			require.Zero(t, log.Count(`"resolving"`))
			a.Step(install.EngineRead{StartedAt: 1})
			a.Tick()
		}
		require.Equal(t, 1, log.Count(`"resolving"`))
	}
}
