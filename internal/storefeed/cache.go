// Package storefeed lets the processes of a data centre share what they read from the platform's store. A process caches
// the objects that it has read and serves them to its peers. Package core/source decides from which peer a process reads, or
// whether it reads the store itself. Objects are passed on as the store wrote them, with the store's revisions, so that a
// reader can switch between the store and a peer at any time.
package storefeed

import (
	"context"
	"sync"
	"time"

	"samphireweir.example/samphireweir/internal/core/storerev"
	"samphireweir.example/samphireweir/platform"
)

const (
	// defaultChangeTime is the change time of a platform that does not specify one; see NewCache.
	defaultChangeTime = 2 * time.Second
	// storeWaitDivisor determines the maximum wait of a watch call to the store while peers read from this process: the
	// change time divided by 4.
	storeWaitDivisor = 4
	// responseSlack is how much longer than its wait such a call may take. It includes the additional time that the store's
	// client allows.
	responseSlack = 800 * time.Millisecond
	// tombstoneTTL is how long the removal of an object is remembered. A reader whose revision is older than a forgotten
	// removal must list again.
	tombstoneTTL = 30 * time.Second
)

// cachedObject is an object, or the removal of one.
type cachedObject struct {
	object platform.Object
	// asOf is the revision of the store as of which the object was read. A reader that has read up to this revision
	// knows the object.
	asOf storerev.Revision
	// readAt is when the object was read; it is used for removals only.
	readAt time.Time
}

// kindCache is the cache of one kind.
type kindCache struct {
	objects map[string]cachedObject
	// revision is the store's revision as of its last response.
	revision storerev.Revision
	// oldest is the oldest revision after which all changes are known.
	oldest storerev.Revision
	// lastChange is the latest asOf of all objects.
	lastChange storerev.Revision
	// storeReadAt is when the store last sent a response that reached this process, directly or through a peer.
	storeReadAt time.Time
	// listed is set once a complete list was read.
	listed bool
	// changed is closed and replaced after each response of the store.
	changed chan struct{}
	// packed holds compressed responses as of lastChange.
	packed packedResponses
}

// Cache keeps the objects of some kinds. It is safe for concurrent use.
type Cache struct {
	mu    sync.Mutex
	kinds map[string]*kindCache
	// lastRequest is when a peer last sent a read request.
	lastRequest time.Time
	// storeWait is how long a watch call to the store waits while peers read from this process. If an entry loses the
	// store, the entry and the peers that read from it must notice this in less than the change time.
	storeWait time.Duration
}

// NewCache returns an empty cache. changeTime is the maximum time between a write to the store and the moment at which
// all processes know the change; 0 if the platform does not specify it.
func NewCache(changeTime time.Duration) *Cache {
	if changeTime <= 0 {
		changeTime = defaultChangeTime
	}
	return &Cache{kinds: map[string]*kindCache{}, storeWait: changeTime / storeWaitDivisor}
}

// maxAge is the maximum time since the last response of the store for which the cache serves its objects.
func (c *Cache) maxAge() time.Duration { return c.storeWait + responseSlack }

// kind returns the cache of a kind, and creates it if needed. The caller must hold the lock.
func (c *Cache) kind(name string) *kindCache {
	k := c.kinds[name]
	if k == nil {
		k = &kindCache{objects: map[string]cachedObject{}, changed: make(chan struct{}), packed: packedResponses{}}
		c.kinds[name] = k
	}
	return k
}

// putList replaces all objects of a kind by a list as of a revision. age is the time since the store responded. Readers
// that know only an earlier revision must list again: an object may have been created and removed between this list and
// the one before, and such a reader may have seen it elsewhere.
func (c *Cache) putList(kind string, objects []platform.Object, revision storerev.Revision, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k, now := c.kind(kind), time.Now()
	if revision.Before(k.revision) {
		return // The cache already holds a newer state.
	}
	k.objects = make(map[string]cachedObject, len(objects))
	clear(k.packed)
	for _, o := range objects {
		k.put(cachedObject{object: o, asOf: revision, readAt: now})
	}
	k.listed, k.oldest = true, revision
	k.recordResponse(now.Add(-age), revision)
}

// putChanges adds the objects of a kind that changed up to a revision. age is the time since the store responded. Changes of
// another era of the store than the list are ignored: a list of that era comes first.
func (c *Cache) putChanges(kind string, objects []platform.Object, revision storerev.Revision, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k, now := c.kind(kind), time.Now()
	if k.listed && !revision.SameEra(k.revision) {
		return
	}
	for _, o := range objects {
		if old, known := k.objects[o.Name]; !known || !old.object.Revision.After(o.Revision) {
			k.put(cachedObject{object: o, asOf: storerev.Max(revision, k.revision), readAt: now})
		}
	}
	k.recordResponse(now.Add(-age), revision)
}

// put stores an object. The caller must hold the cache's lock.
func (k *kindCache) put(o cachedObject) {
	k.objects[o.object.Name] = o
	k.lastChange = storerev.Max(k.lastChange, o.asOf)
	clear(k.packed)
}

// recordResponse records a response of the store, drops expired removals and wakes all waiting requests. The caller must
// hold the cache's lock.
func (k *kindCache) recordResponse(at time.Time, revision storerev.Revision) {
	k.revision = storerev.Max(k.revision, revision)
	if at.After(k.storeReadAt) {
		k.storeReadAt = at
	}
	for name, o := range k.objects {
		if o.object.Deleted && time.Since(o.readAt) > tombstoneTTL {
			delete(k.objects, name)
			k.oldest = storerev.Max(k.oldest, o.asOf)
		}
	}
	close(k.changed)
	k.changed = make(chan struct{})
}

// read returns the changes of a kind since a revision, or all its objects if since is the start of an era. The channel is closed after
// the next response of the store.
func (c *Cache) read(kind string, since storerev.Revision) (resp ReadResponse, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastRequest = time.Now()
	k := c.kind(kind)
	at := storerev.Max(k.revision, since)
	resp = ReadResponse{Revision: at.Number, Era: &at.Era, AgeMS: time.Since(k.storeReadAt).Milliseconds()}
	switch {
	case k.listed && since.Era > k.revision.Era:
		resp.State = StateEarlierEra
	case !k.listed || time.Since(k.storeReadAt) > c.maxAge():
		resp.State = StateStale
	case !since.IsStart() && since.Before(k.oldest):
		resp.State = StateHistoryGone
	case since.IsStart() || since.Before(k.lastChange):
		resp.State = StateUpdated
		resp.Objects, resp.Packed = k.packed.encode(since, k.objectsSince(since))
	default:
		resp.State = StateUnchanged
	}
	return resp, k.changed
}

// objectsSince returns the objects that changed after a revision. The caller must hold the cache's lock.
func (k *kindCache) objectsSince(since storerev.Revision) []Object {
	var list []Object
	for _, o := range k.objects {
		if since.IsStart() && o.object.Deleted || !since.IsStart() && !o.asOf.After(since) {
			continue
		}
		list = append(list, encodeObject(o.object))
	}
	return list
}

// hasReaders reports whether peers read from this process.
func (c *Cache) hasReaders() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.lastRequest) < readerTTL
}

// since returns the revision up to which the sender of a request knows the kind. A sender that tells no era does not know of eras; it is
// taken to be in that of the cache.
func (c *Cache) since(req ReadRequest) storerev.Revision {
	if req.Era != nil {
		return storerev.Revision{Era: *req.Era, Number: req.Since}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return storerev.Revision{Era: c.kind(req.Kind).revision.Era, Number: req.Since}
}

// waitForChanges returns the response to a read request: as soon as there are changes or the cache is stale, and at the
// latest after the requested wait, which maxWait limits.
func (c *Cache) waitForChanges(ctx context.Context, req ReadRequest) ReadResponse {
	ctx, cancel := context.WithTimeout(ctx, min(time.Duration(req.WaitMS)*time.Millisecond, maxWait))
	defer cancel()
	for {
		resp, changed := c.read(req.Kind, c.since(req))
		// A request for a first list waits while the cache is stale, because this process is about to read its own list. A
		// peer that already has a list is sent StateStale at once, so that it can read from another source.
		switch {
		case resp.State == StateUpdated, resp.State == StateHistoryGone, resp.State == StateEarlierEra, resp.State == StateStale && req.Since > 0:
			return resp
		}
		untilStale := c.maxAge() - time.Duration(resp.AgeMS)*time.Millisecond
		if resp.State == StateStale {
			untilStale = maxWait // The cache is stale already: only a response of the store changes its state.
		}
		select {
		case <-changed:
		case <-time.After(untilStale + time.Millisecond):
		case <-ctx.Done():
			return resp
		}
	}
}
