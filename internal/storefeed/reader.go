package storefeed

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/control"
	"samphireweir.example/samphireweir/internal/core/storerev"
	"samphireweir.example/samphireweir/internal/storewatch"
	"samphireweir.example/samphireweir/platform"
)

const (
	// Method is the control method with which a process reads from a peer.
	Method = "store.read"
	// maxWait is the maximum time that a read request may wait for changes. It is below the timeout of a control call.
	maxWait = 2500 * time.Millisecond
	// readerTTL is how long after the last read request a process assumes that peers read from it.
	readerTTL = 3 * time.Second
	// maxPeerWait is the maximum time that a read request to a peer waits for changes. It is short so that a peer that
	// stopped responding is noticed soon.
	maxPeerWait = 500 * time.Millisecond
	// peerSlack is how much longer than the requested wait a peer may take until the request times out.
	peerSlack = 300 * time.Millisecond
	// peerListTimeout is the timeout of a list from a peer. The peer may still be waiting for its own list, and a megabyte
	// takes one second over an agent's link.
	peerListTimeout = 2900 * time.Millisecond
	// directReadDelay is how long a process with DelayDirectReads keeps reading from stale entries before it reads the
	// store itself. It is longer than entries need to reach a store that has recovered.
	directReadDelay = 8 * time.Second
)

// Object is an object of the store as processes exchange it; see platform.Object. Its era is that of the response.
type Object struct {
	Name     string          `json:"name"`
	Revision int64           `json:"revision"`
	Deleted  bool            `json:"deleted,omitempty"`
	Spec     json.RawMessage `json:"spec,omitempty"`
}

// encodeObject returns an object as processes exchange it.
func encodeObject(o platform.Object) Object {
	return Object{Name: o.Name, Revision: o.Revision.Number, Deleted: o.Deleted, Spec: o.Spec}
}

// decode returns an object that was read in an era.
func (o Object) decode(era int64) platform.Object {
	return platform.Object{Name: o.Name, Revision: storerev.Revision{Era: era, Number: o.Revision}, Deleted: o.Deleted, Spec: o.Spec}
}

// ReadRequest requests the changes of a kind.
type ReadRequest struct {
	Kind string `json:"kind"`
	// Since is the revision number up to which the reader knows the kind; 0 requests all objects.
	Since int64 `json:"since"`
	// Era is the latest era of the store that the reader knows; nil from a process that does not know of eras.
	Era *int64 `json:"era"`
	// WaitMS is how long to wait for changes, in milliseconds.
	WaitMS int64 `json:"wait_ms"`
}

// State is the outcome of a read request.
type State string

// The outcomes of a read request.
const (
	// StateUpdated means that the response holds the changed objects, or all objects if Since was 0. Like the other values,
	// its value is sent to peers, so it stays.
	StateUpdated State = "told"
	// StateUnchanged means that nothing changed.
	StateUnchanged State = "same"
	// StateHistoryGone means that the changes since the requested revision are no longer known.
	StateHistoryGone State = "gone"
	// StateStale means that the responding process has had no recent response from the store.
	StateStale State = "behind"
	// StateEarlierEra means that the responding process knows only an earlier era of the store than the reader.
	StateEarlierEra State = "earlier"
)

// ReadResponse is the response to a ReadRequest.
type ReadResponse struct {
	State    State `json:"state"`
	Revision int64 `json:"revision"`
	// Era is the era of the store in which Revision and the objects were read; nil from a process that does not know of eras.
	Era     *int64   `json:"era"`
	Objects []Object `json:"objects,omitempty"`
	// Packed holds the objects in compressed form, instead of Objects, if they are large; see pack.
	Packed []byte `json:"packed,omitempty"`
	// AgeMS is the time since the store last responded, in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// Handlers returns the control handlers that serve the cache to peers.
func (c *Cache) Handlers() control.Handlers {
	return control.Handlers{Method: func(ctx context.Context, _ string, params json.RawMessage) (any, error) {
		var req ReadRequest
		if err := control.Decode(params, &req); err != nil {
			return nil, err
		}
		return c.waitForChanges(ctx, req), nil
	}}
}

// errStale means that a peer has had no recent response from the store.
var errStale = errors.New("peer has no recent data from the store")

// Store is the platform's store.
type Store interface {
	// List reads all objects of a kind. With allowStale, the store may return data that is seconds old.
	List(ctx context.Context, kind string, allowStale bool) ([]platform.Object, storerev.Revision, error)
	Watch(ctx context.Context, kind string, since storerev.Revision, wait time.Duration) ([]platform.Object, storerev.Revision, error)
}

// Caller makes control calls to peers; see control.Pool.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Reader reads the store, either directly or through a peer, and caches what it read. It implements Store.
type Reader struct {
	// Direct is the store itself.
	Direct Store
	// Caller makes the calls to peers.
	Caller Caller
	// Cache keeps what is read; nil for a process that no peer reads from.
	Cache *Cache
	// Source is where to read from.
	Source *Source
	// OnPeerFailure is called when a peer did not respond or responded that it is stale.
	OnPeerFailure func(address string, err error)
	// DelayDirectReads makes the process wait for directReadDelay before it reads the store because its peers are stale. It
	// is set for processes that receive urgent changes in another way. Without the wait, all processes of a large fleet would
	// request the same objects at once when a store recovers, and fill the links between regions.
	DelayDirectReads bool

	mu sync.Mutex
	// staleSince is since when the peers have been stale; zero when they are not.
	staleSince time.Time
	// latest is the start of the latest era of which a list told.
	latest storerev.Revision
	// lastReads describes the last read of each kind.
	lastReads map[string]storewatch.ReadInfo
}

// LastRead describes the last read of a kind. Each kind is read by one follower, one call after the other.
func (r *Reader) LastRead(kind string) storewatch.ReadInfo {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastReads[kind]
}

func (r *Reader) setLastRead(kind string, info storewatch.ReadInfo) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastReads == nil {
		r.lastReads = map[string]storewatch.ReadInfo{}
	}
	r.lastReads[kind] = info
}

// peerCallTime is how long a peer's call to the store takes at most. What a peer has, the store answered that long after the call was sent,
// or sooner.
func (r *Reader) peerCallTime() time.Duration {
	if r.Cache == nil {
		return defaultChangeTime/storeWaitDivisor + responseSlack
	}
	return r.Cache.maxAge()
}

// List reads all objects of a kind. If the source changes while a list is in progress, the list is started again from the
// new source. allowStale applies only if the store itself is read.
func (r *Reader) List(ctx context.Context, kind string, allowStale bool) ([]platform.Object, storerev.Revision, error) {
	r.Source.waitUntilReleased(ctx)
	for {
		address, listCtx, done := r.Source.beginList(ctx)
		if address != "" {
			r.setLastRead(kind, storewatch.ReadInfo{Age: r.peerCallTime()})
		} else {
			r.setLastRead(kind, storewatch.ReadInfo{})
		}
		objects, revision, age, err := r.list(listCtx, address, kind, allowStale)
		sourceChanged := listCtx.Err() != nil && ctx.Err() == nil
		done()
		switch {
		case err == nil:
			r.recordEra(revision)
			r.updateCache(func(c *Cache) { c.putList(kind, objects, revision, age) })
			return objects, revision, nil
		case sourceChanged:
			continue
		case address == "", ctx.Err() != nil:
			return nil, storerev.Revision{}, err
		}
		r.peerFailed(address, err)
	}
}

func (r *Reader) list(ctx context.Context, address, kind string, allowStale bool) ([]platform.Object, storerev.Revision, time.Duration, error) {
	if address == "" && r.mustWait() {
		return nil, storerev.Revision{}, 0, errStale
	}
	if address == "" {
		objects, revision, err := r.Direct.List(ctx, kind, allowStale)
		if err == nil {
			r.clearStale()
		}
		return objects, revision, 0, err
	}
	return r.readPeer(ctx, address, kind, r.latestEra(), maxWait, peerListTimeout)
}

// Watch waits for changes of a kind. If the peer does not respond, Watch reads the store at once. If the peer is stale and
// another peer is available, Watch returns an error, so that the caller tries again with that one.
func (r *Reader) Watch(ctx context.Context, kind string, since storerev.Revision, wait time.Duration) ([]platform.Object, storerev.Revision, error) {
	info := storewatch.ReadInfo{Wait: wait}
	defer func() { r.setLastRead(kind, info) }()
	if address := r.Source.Address(); address != "" {
		peerWait := min(wait, maxPeerWait)
		objects, at, age, err := r.readPeer(ctx, address, kind, since, peerWait, peerWait+peerSlack)
		info = storewatch.ReadInfo{Wait: peerWait, Age: age + r.peerCallTime()}
		if err == nil {
			r.updateCache(func(c *Cache) { c.putChanges(kind, objects, at, age) })
		}
		if err == nil || errors.Is(err, platform.ErrCompacted) || ctx.Err() != nil {
			return objects, at, err
		}
		r.peerFailed(address, err)
		if errors.Is(err, errStale) && r.Source.Address() != "" {
			return nil, storerev.Revision{}, err // The next peer may have recent data, and the store may refuse this process as it refuses the peer.
		}
		info = storewatch.ReadInfo{Rerouted: true}
		wait = 0 // A change that the peer did not report may have been waiting in the store for a while.
	}
	if r.mustWait() {
		return nil, storerev.Revision{}, errStale
	}
	if r.Cache != nil && r.Cache.hasReaders() {
		wait = min(wait, r.Cache.storeWait)
		info.Wait = wait
	}
	objects, at, err := r.Direct.Watch(ctx, kind, since, wait)
	if err == nil {
		r.clearStale()
		r.updateCache(func(c *Cache) { c.putChanges(kind, objects, at, 0) })
	}
	return objects, at, err
}

// peerFailed records that a read from a peer failed with err, so that the next read uses another source.
func (r *Reader) peerFailed(address string, err error) {
	if errors.Is(err, errStale) {
		r.markStale()
	}
	r.OnPeerFailure(address, err)
}

// markStale records that a peer that this process reads from is stale.
func (r *Reader) markStale() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.staleSince.IsZero() {
		r.staleSince = time.Now()
	}
}

// mustWait reports whether this process must not read the store yet, because DelayDirectReads is set and its peers have
// become stale only recently.
func (r *Reader) mustWait() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.DelayDirectReads && !r.staleSince.IsZero() && time.Since(r.staleSince) < directReadDelay
}

// clearStale records that recent data arrived, from the store or from a peer.
func (r *Reader) clearStale() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.staleSince = time.Time{}
}

// ReadsFromPeer reports whether the process reads from a peer. Such calls cost nothing at the store.
func (r *Reader) ReadsFromPeer() bool { return r.Source.Address() != "" }

// updateCache calls update with the cache, if there is one.
func (r *Reader) updateCache(update func(*Cache)) {
	if r.Cache != nil {
		update(r.Cache)
	}
}

// recordEra records the era of a list, so that later lists are not taken from peers that know only earlier ones.
func (r *Reader) recordEra(revision storerev.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.latest = storerev.Max(r.latest, revision.Start())
}

// latestEra returns the start of the latest known era.
func (r *Reader) latestEra() storerev.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latest
}

// readPeer requests the changes of a kind since a revision from a peer, or all objects if since is the start of an era. It returns the
// objects, their revision and the age of the peer's data.
func (r *Reader) readPeer(ctx context.Context, address, kind string, since storerev.Revision, wait, timeout time.Duration) ([]platform.Object, storerev.Revision, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var resp ReadResponse
	req := ReadRequest{Kind: kind, Since: since.Number, Era: &since.Era, WaitMS: wait.Milliseconds()}
	if err := r.Caller.Call(ctx, address, Method, req, &resp); err != nil {
		return nil, storerev.Revision{}, 0, err
	}
	switch {
	case resp.State == StateHistoryGone:
		return nil, storerev.Revision{}, 0, platform.ErrCompacted
	case resp.State == StateStale, resp.State == StateEarlierEra, resp.State == StateUnchanged && since.IsStart():
		return nil, storerev.Revision{}, 0, errStale
	}
	at, err := resp.revision(since)
	if err != nil {
		return nil, storerev.Revision{}, 0, err
	}
	objects, err := resp.objects(at.Era)
	if err != nil {
		return nil, storerev.Revision{}, 0, err
	}
	r.clearStale()
	return objects, at, time.Duration(resp.AgeMS) * time.Millisecond, nil
}

// revision returns the revision of a response to a request for the changes since a revision. The response of a peer that does not know of
// eras can be used as long as the store has none.
func (resp ReadResponse) revision(since storerev.Revision) (storerev.Revision, error) {
	at := storerev.Revision{Number: resp.Revision}
	if resp.Era != nil {
		at.Era = *resp.Era
	}
	if at.Era < since.Era {
		return storerev.Revision{}, errStale
	}
	if !since.IsStart() && !at.SameEra(since) {
		return storerev.Revision{}, platform.ErrCompacted
	}
	return at, nil
}

// objects returns the objects of a response, which were read in an era.
func (resp ReadResponse) objects(era int64) ([]platform.Object, error) {
	list := resp.Objects
	if len(resp.Packed) > 0 {
		unpacked, err := unpack(resp.Packed)
		if err != nil {
			return nil, err
		}
		list = unpacked
	}
	objects := make([]platform.Object, 0, len(list))
	for _, o := range list {
		objects = append(objects, o.decode(era))
	}
	return objects, nil
}
