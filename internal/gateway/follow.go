package gateway

import (
	"context"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/storewatch"
	"samphireweir.example/samphireweir/platform"
)

// follow follows the manifest, the upstreams, the versions and the evacuations in the store.
func (g *Gateway) follow(ctx context.Context) {
	beliefs := storewatch.Beliefs{Step: g.believe, Log: g.log}
	kinds := []string{platform.ConfigKind, platform.ServerKind, platform.VersionKind}
	if g.catalog.FollowsEvacuations {
		kinds = append(kinds, platform.EvacuationKind)
	}
	for _, kind := range kinds {
		f := beliefs.Follower(g.store, kind)
		f.Shared = g.store.Shared
		go f.Run(ctx)
	}
}

// believe takes news of the store; a version is passed on to the agents at once.
func (g *Gateway) believe(ev step.Event) {
	g.step(ev)
	if _, named := ev.(catalog.VersionNamed); named {
		g.greetAll()
	}
}
