package hostagent

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/core/install"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/internal/manifest"
	"samphireweir.example/samphireweir/internal/periodic"
)

const (
	// versionsPath begins the path at which peers tell what a version consists of.
	versionsPath = "/versions/"
	// fanOut is how many hosts ask the same one what a version consists of: the hosts form a tree in the version's rendezvous order.
	fanOut = 8
	// originAskers is how many hosts of that order ask the origin at the first try, and how many more at each of the next quickSteps tries: the
	// first ones may be gone. After that so many more join at each slowStep tries only. An origin that comes back after seconds would
	// otherwise send the list to everybody before the first chunk.
	originAskers = 3
	quickSteps   = 3
	slowStep     = 8
	// peerTimeout bounds such a question, and originTimeout one to the origin; see waits.
	peerTimeout   = 500 * time.Millisecond
	originTimeout = 2 * time.Second
	// peerAgain is the wait before peers are asked again that did not know.
	peerAgain = 100 * time.Millisecond
	// questionHeld is how long a host that does not know the answer yet keeps such a question, and lookInterval how often it looks: the
	// answer goes down the tree as it comes, and no level waits for the next to ask again.
	questionHeld = 350 * time.Millisecond
	lookInterval = 10 * time.Millisecond
	// startWait is how long a host that has just started waits to know the other hosts and the origin: without them it would take itself for
	// the first, and a fleet that starts at once would ask the origin all together.
	startWait = time.Second
)

// waits bound how long the question what a version consists of waits for others.
type waits struct {
	// start is for the other hosts and the origin to become known.
	start time.Duration
	// origin is for the origin's answer.
	origin time.Duration
}

func defaultWaits() waits { return waits{start: startWait, origin: originTimeout} }

// resolve finds out what a version consists of, and takes over what of it lies at the engine already.
func (a *Agent) resolve(e install.Resolve) {
	raw, err := a.versionManifest(e)
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
		logevent.Warn(a.log, logevent.BurstStuck).Str("model", e.Model).Int64("version", e.Version).Err(err).Msg("manifest not known")
		a.Step(install.Resolved{Model: e.Model, Version: e.Version})
		return
	}
	_, err = a.takeOver(e.Model, m)
	a.Step(install.Resolved{Model: e.Model, Version: e.Version, Digest: digest})
	if err != nil {
		a.takeOverLater(e.Model, digest, m)
	}
}

// errNotMyTurn says that no peer asked knows a version, and that others ask the origin.
var errNotMyTurn = errors.New("the peers asked do not know the version yet")

// versionManifest asks peers, and the origin when it is this host's turn.
func (a *Agent) versionManifest(e install.Resolve) ([]byte, error) {
	a.awaitOthers()
	position, peers := a.place(e.Model, e.Version)
	if raw := a.askPeers(peers, e.Model, e.Version); raw != nil {
		return raw, nil
	}
	if position >= askersAt(e.Try) {
		return nil, errNotMyTurn
	}
	return a.askOrigin(e, peers)
}

// askersAt is how many hosts ask the origin at a try, counted from 0.
func askersAt(try int) int {
	return originAskers * (1 + min(try, quickSteps) + max(0, try-quickSteps)/slowStep)
}

// askOrigin asks the origin, and meanwhile the peers again: an origin that is away or busy answers nobody for seconds, and these may know first.
func (a *Agent) askOrigin(e install.Resolve, peers []string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), a.waits.origin)
	defer cancel()
	told := make(chan []byte, 1)
	go func() {
		for ctx.Err() == nil {
			if raw := a.askPeers(peers, e.Model, e.Version); raw != nil {
				told <- raw
				cancel()
				return
			}
			periodic.Sleep(ctx, peerAgain)
		}
	}()
	raw, err := a.origin.Manifest(ctx, ref(e.Model, e.Version))
	select {
	case raw := <-told:
		return raw, nil
	default:
		return raw, err
	}
}

// awaitOthers waits until the other hosts and the origin are known, for a bounded time.
func (a *Agent) awaitOthers() {
	for began := time.Now(); !a.knows() && time.Since(began) < a.waits.start; {
		time.Sleep(lookInterval)
	}
}

// askPeers asks some hosts at once and returns the first answer, nil for none. One of them may be gone without a word.
func (a *Agent) askPeers(peers []string, model string, version int64) []byte {
	answers := make(chan []byte, len(peers))
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	for _, peer := range peers {
		go func() {
			raw, err := a.askPeer(ctx, peer, model, version)
			if err != nil {
				logevent.Debug(a.log, logevent.PeerFailed).Str("peer", peer).Err(err).Msg("peer failed")
			}
			answers <- raw
		}()
	}
	for range peers {
		if raw := <-answers; raw != nil {
			return raw
		}
	}
	return nil
}

// place returns this host's position in a version's rendezvous order, and the hosts that it asks: the one above it in the tree, and
// the one next to that.
func (a *Agent) place(model string, version int64) (position int, ask []string) {
	a.mu.Lock()
	ranked := step.Rank(model+"/"+strconv.FormatInt(version, 10), a.peerAddresses())
	a.mu.Unlock()
	position = slices.Index(ranked, a.self)
	if position <= 0 {
		return position, nil
	}
	parent := (position - 1) / fanOut
	return position, ranked[parent:min(parent+2, position)]
}

func (a *Agent) askPeer(ctx context.Context, peer, model string, version int64) ([]byte, error) {
	target := "http://" + peer + versionsPath + model + "/" + strconv.FormatInt(version, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, errors.Wrap(err, "ask a peer")
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "ask a peer")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("ask a peer: status %d", resp.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, manifest.MaxBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "ask a peer")
	}
	return raw, nil
}

// serveVersion tells a peer what a version consists of, once this host knows.
func (a *Agent) serveVersion(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), questionHeld)
	defer cancel()
	for {
		if raw := a.versionHere(r.PathValue("model"), r.PathValue("version")); raw != nil {
			_, _ = w.Write(raw) // A peer that left asks another.
			return
		}
		select {
		case <-time.After(lookInterval):
		case <-ctx.Done():
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
}

// versionHere is what a version consists of, nil as long as this host does not know.
func (a *Agent) versionHere(model, version string) []byte {
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
