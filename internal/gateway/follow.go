package gateway

import (
	"context"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/storewatch"
	"samphireweir.example/samphireweir/platform"
)

// followStore watches the manifest, the upstreams, the versions and the evacuations in the store.
func (g *Gateway) followStore(ctx context.Context) {
	watch := storewatch.NewDecoder(func(ev step.Event) { g.handleStoreEvent(ctx, ev) }, g.log)
	kinds := []string{platform.ConfigKind, platform.ServerKind, platform.VersionKind}
	if g.catalog.FollowsEvacuations {
		kinds = append(kinds, platform.EvacuationKind)
	}
	for _, kind := range kinds {
		follower := watch.Follower(g.store, kind)
		follower.ReadsFromPeer, follower.LastRead = g.store.ReadsFromPeer, g.store.LastRead
		go follower.Run(ctx)
	}
}

// handleStoreEvent applies a change in the store. An activation is passed on to the agents at once, with heartbeats. After the first manifest
// that this process reads, the seeds are asked for a newer one.
func (g *Gateway) handleStoreEvent(ctx context.Context, ev step.Event) {
	g.step(ev)
	switch ev := ev.(type) {
	case catalog.VersionActivated:
		g.sendHeartbeats()
	case catalog.ManifestRead:
		g.askOnce.Do(func() { go g.askForNewerManifest(ctx, ev.Manifest.Version) })
	}
}
