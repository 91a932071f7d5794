package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"samphireweir.example/samphireweir/internal/control"
	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/storerev"
	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/platform"
)

const (
	// manifestMethod is the control method with which an entry that starts asks another for the manifest in force there.
	manifestMethod = "manifest.read"
	// manifestTimeout is how long an entry waits for the answer of one seed. A large manifest takes this long over a narrow link.
	manifestTimeout = 2 * time.Second
)

// manifestRequest asks for the manifest in force if its version is higher than Version, which the asking entry knows.
type manifestRequest struct {
	Version int64 `json:"version"`
}

// manifestResponse holds the manifest in force as the operator wrote it, and the revision at which it was read. Spec is empty if the asking
// entry knows as much.
type manifestResponse struct {
	Era      int64           `json:"era"`
	Revision int64           `json:"revision"`
	Spec     json.RawMessage `json:"spec,omitempty"`
}

// manifestHandlers returns the control handlers that tell other entries the manifest in force.
func (g *Gateway) manifestHandlers() control.Handlers {
	return control.Handlers{manifestMethod: func(_ context.Context, _ string, params json.RawMessage) (any, error) {
		var req manifestRequest
		if err := control.Decode(params, &req); err != nil {
			return nil, err
		}
		return g.newerManifest(req.Version), nil
	}}
}

// newerManifest returns the manifest in force if its version is higher than the given one.
func (g *Gateway) newerManifest(version int64) manifestResponse {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.catalog.Manifest == nil || g.catalog.Manifest.Version <= version {
		return manifestResponse{}
	}
	at := g.catalog.ManifestRevision()
	return manifestResponse{Era: at.Era, Revision: at.Number, Spec: g.catalog.Manifest.Encoded}
}

// askForNewerManifest asks the seeds, one after the other until one answers, whether they know a newer manifest than the first that this
// entry read. That is so when the store was restored from a copy and the operator's manifest is not written again yet. If no seed
// answers, the store's manifest stays in force until a newer one is read. Each entry asks the seeds in an order of its own and closes the
// connections afterwards, so that many that start together do not fill the connections of one seed.
func (g *Gateway) askForNewerManifest(ctx context.Context, version int64) {
	calls := control.NewPool(g.self, "", g.dialPeer)
	defer calls.Close()
	for _, i := range rand.Perm(len(g.host.Seeds)) {
		seed := g.host.Seeds[i]
		if seed == g.self || ctx.Err() != nil {
			continue
		}
		err := g.readManifestFrom(ctx, calls, seed, version)
		if err == nil {
			return
		}
		logevent.Info(g.log, logevent.PeerFailed).Str("peer", seed).Err(err).Msg("peer failed")
	}
}

// readManifestFrom asks one entry for its manifest and applies it if it is newer.
func (g *Gateway) readManifestFrom(ctx context.Context, calls *control.Pool, address string, version int64) error {
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	var resp manifestResponse
	if err := calls.Call(ctx, address, manifestMethod, manifestRequest{Version: version}, &resp); err != nil {
		return err
	}
	if len(resp.Spec) == 0 {
		return nil
	}
	m, err := platform.DecodeManifest(resp.Spec)
	if err != nil {
		return err
	}
	g.step(catalog.ManifestRead{Revision: storerev.Revision{Era: resp.Era, Number: resp.Revision}, Manifest: m})
	return nil
}
