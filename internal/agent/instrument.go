package agent

import (
	"net/http"
	"strings"

	"samphireweir.example/samphireweir/internal/core/rollout"
	"samphireweir.example/samphireweir/internal/telemetry"
)

// instrument adds metrics and traces to the calls to the host's upstreams, to peers and to the sources of weights.
func (a *Agent) instrument(upstreams []rollout.Upstream) {
	a.upstreamsByURL = map[string]telemetry.Upstream{}
	for _, u := range upstreams {
		a.upstreamsByURL[strings.TrimSuffix(u.URL, "/")] = telemetry.Upstream{Team: u.Team, Service: u.Service, Name: u.Name}
	}
	for _, client := range []*http.Client{a.stateClient, a.pooledClient, a.singleUseClient} {
		a.instrumentUpstream(client)
	}
	a.Telemetry.Traces.Client(a.PeerClient, telemetry.PeerSpanName)
	a.Telemetry.CountChunks(a.ExternalClient, a.config.WeightStore, a.config.Origin)
}

// instrumentUpstream adds metrics and traces to the calls that a client makes to the host's upstreams.
func (a *Agent) instrumentUpstream(c *http.Client) {
	a.Telemetry.ObserveUpstreamCalls(c, a.upstreamsByURL)
	a.Telemetry.Traces.Client(c, telemetry.UpstreamSpanName)
}
