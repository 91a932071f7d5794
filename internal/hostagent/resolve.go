package hostagent

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/boundedread"
	"samphireweir.example/samphireweir/internal/core/install"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/internal/manifest"
	"samphireweir.example/samphireweir/internal/periodic"
	"samphireweir.example/samphireweir/internal/source"
)

const (
	// versionsPath is the path prefix under which peers serve the chunk manifest of a version.
	versionsPath = "/versions/"
	// treeFanOut is how many hosts ask the same host for a chunk manifest. The hosts form a tree in the version's rendezvous order.
	treeFanOut = 8
	// originRequesters is how many hosts, in rendezvous order, may ask the origin at the first try. At each of the next fastTries tries,
	// as many more hosts may ask it, because the first hosts may be down. After that, as many more may ask it only at every slowTries-th
	// try. Without this limit, an origin that recovers after seconds would send the chunk manifest to every host before the first chunk.
	originRequesters = 3
	fastTries        = 3
	slowTries        = 8
	// peerTimeout limits a request to a peer, and originTimeout one to the origin; see timeouts.
	peerTimeout   = 500 * time.Millisecond
	originTimeout = 2 * time.Second
	// peerRetryInterval is the delay before peers that did not know a version are asked again.
	peerRetryInterval = 100 * time.Millisecond
	// requestHoldTime is how long a host without a chunk manifest holds a peer's request for it. manifestPollInterval is how often it
	// checks meanwhile whether the manifest has arrived. It then passes the manifest down the tree at once, and the next level needn't ask
	// again.
	requestHoldTime      = 350 * time.Millisecond
	manifestPollInterval = 10 * time.Millisecond
	// discoveryTimeout is how long a host that has just started waits until the other hosts and the origin are known. Without this wait, it
	// would consider itself the first in rendezvous order. In a simultaneous restart, all hosts of a fleet would then ask the origin.
	discoveryTimeout = time.Second
)

// timeouts limit how long resolving a version waits for other processes.
type timeouts struct {
	// discovery limits the wait until the other hosts and the origin are known.
	discovery time.Duration
	// origin limits the wait for the origin's response.
	origin time.Duration
}

func defaultTimeouts() timeouts { return timeouts{discovery: discoveryTimeout, origin: originTimeout} }

// resolve gets the chunk manifest of a version and reuses those of its chunks that are already staged at the engine.
func (a *Agent) resolve(e install.Resolve) {
	raw, err := a.fetchManifest(e)
	var m *manifest.Manifest
	if err == nil {
		m, err = manifest.Parse(raw)
	}
	digest := ""
	if err == nil {
		digest = manifest.Digest(raw)
		_, err = a.fetcher.Memory.AddVersion(digest, raw, m)
	}
	if err != nil {
		logevent.Warn(a.log, logevent.BurstBlocked).Str("model", e.Model).Int64("version", e.Version).Err(err).Msg("resolving the version's manifest failed")
		a.Step(install.Resolved{Model: e.Model, Version: e.Version})
		return
	}
	_, err = a.reuseStaged(e.Model, m)
	a.Step(install.Resolved{Model: e.Model, Version: e.Version, Digest: digest})
	if err != nil {
		a.reuseStagedLater(e.Model, digest, m)
	}
}

// errOriginNotPermitted means that no queried peer knows a version and that it is not this host's turn to ask the origin.
var errOriginNotPermitted = errors.New("no queried peer knows the version yet")

// fetchManifest asks peers for a version's chunk manifest, and then the origin if it is this host's turn.
func (a *Agent) fetchManifest(e install.Resolve) ([]byte, error) {
	a.awaitPeers()
	position, peers := a.treePosition(e.Model, e.Version)
	if raw := a.queryPeers(peers, e.Model, e.Version); raw != nil {
		return raw, nil
	}
	if position >= originRequestersAt(e.EarlierAttempts) {
		return nil, errOriginNotPermitted
	}
	raw, err := a.queryOrigin(e, peers)
	if errors.Is(err, source.ErrGone) {
		// Peers that have the version since before still have the list. Those before this host in the order may have lost it with it.
		if raw := a.queryPeers(a.firstPeers(e.Model, e.Version), e.Model, e.Version); raw != nil {
			return raw, nil
		}
	}
	return raw, err
}

// firstPeers returns the first other hosts in a version's rendezvous order.
func (a *Agent) firstPeers(model string, version int64) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	ranked := step.Rank(model+"/"+strconv.FormatInt(version, 10), a.peerAddresses())
	ranked = slices.DeleteFunc(ranked, func(peer string) bool { return peer == a.self })
	return ranked[:min(treeFanOut, len(ranked))]
}

// originRequestersAt returns how many hosts may ask the origin at a try. The first try has number 0.
func originRequestersAt(try int) int {
	return originRequesters * (1 + min(try, fastTries) + max(0, try-fastTries)/slowTries)
}

// queryOrigin asks the origin and meanwhile keeps asking the peers. An origin that is down or overloaded may not respond for seconds, and a
// peer may have the chunk manifest sooner.
func (a *Agent) queryOrigin(e install.Resolve, peers []string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), a.timeouts.origin)
	defer cancel()
	peerResponse := make(chan []byte, 1)
	go func() {
		for ctx.Err() == nil {
			if raw := a.queryPeers(peers, e.Model, e.Version); raw != nil {
				peerResponse <- raw
				cancel()
				return
			}
			periodic.Sleep(ctx, peerRetryInterval)
		}
	}()
	raw, err := a.origin.Manifest(ctx, ref(e.Model, e.Version))
	select {
	case raw := <-peerResponse:
		return raw, nil
	default:
		return raw, err
	}
}

// awaitPeers waits until the other hosts and the origin are known, but no longer than the discovery timeout.
func (a *Agent) awaitPeers() {
	for start := time.Now(); !a.initialized() && time.Since(start) < a.timeouts.discovery; {
		time.Sleep(manifestPollInterval)
	}
}

// queryPeers asks the given hosts concurrently and returns the first chunk manifest, nil if there is none. It doesn't ask them in turn,
// because a host may be down and not respond at all.
func (a *Agent) queryPeers(peers []string, model string, version int64) []byte {
	responses := make(chan []byte, len(peers))
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	for _, peer := range peers {
		go func() {
			raw, err := a.queryPeer(ctx, peer, model, version)
			if err != nil {
				logevent.Debug(a.log, logevent.PeerFailed).Str("peer", peer).Err(err).Msg("peer failed")
			}
			responses <- raw
		}()
	}
	for range peers {
		if raw := <-responses; raw != nil {
			return raw
		}
	}
	return nil
}

// treePosition returns this host's position in a version's rendezvous order and the hosts that it asks. These are its parent in the tree
// and, if it comes before this host, the host after the parent.
func (a *Agent) treePosition(model string, version int64) (position int, parents []string) {
	a.mu.Lock()
	ranked := step.Rank(model+"/"+strconv.FormatInt(version, 10), a.peerAddresses())
	a.mu.Unlock()
	position = slices.Index(ranked, a.self)
	if position <= 0 {
		return position, nil
	}
	parent := (position - 1) / treeFanOut
	return position, ranked[parent:min(parent+2, position)]
}

func (a *Agent) queryPeer(ctx context.Context, peer, model string, version int64) ([]byte, error) {
	url := "http://" + peer + versionsPath + model + "/" + strconv.FormatInt(version, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "asking a peer for a manifest")
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "asking a peer for a manifest")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("asking a peer for a manifest: status %d", resp.StatusCode)
	}
	raw, err := boundedread.All(resp.Body, manifest.MaxBytes)
	if err != nil {
		return nil, errors.Wrap(err, "asking a peer for a manifest")
	}
	return raw, nil
}

// serveManifest sends a peer the chunk manifest of a version as soon as this host has it, within requestHoldTime.
func (a *Agent) serveManifest(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), requestHoldTime)
	defer cancel()
	for {
		if raw := a.localManifest(r.PathValue("model"), r.PathValue("version")); raw != nil {
			_, _ = w.Write(raw) // If the peer is gone, it asks another host.
			return
		}
		select {
		case <-time.After(manifestPollInterval):
		case <-ctx.Done():
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
}

// localManifest returns the chunk manifest of a version, nil while this host does not have it.
func (a *Agent) localManifest(model, version string) []byte {
	a.mu.Lock()
	wanted := a.install.Wanted()
	a.mu.Unlock()
	for _, v := range wanted {
		if v.Model == model && strconv.FormatInt(v.Version, 10) == version {
			raw, _ := a.fetcher.Memory.Manifest(v.Digest)
			return raw
		}
	}
	return nil
}
