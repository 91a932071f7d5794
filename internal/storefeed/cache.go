// Package storefeed lets the processes of a data centre share what they read of the platform's store: a process keeps what
// it has read and answers others from it, and reads from another where package source says so. What is passed on is as the
// store wrote it, with the store's revisions, so that a reader can change between the store and another process at any moment.
package storefeed

import (
	"context"
	"sync"
	"time"

	"samphireweir.example/samphireweir/platform"
)

const (
	// leastChangeTime is assumed where the platform does not say in which time a change must be known.
	leastChangeTime = 2 * time.Second
	// waitShare is the part of that time which a call for changes may wait when others depend on it.
	waitShare = 4
	// answerSlack is how much longer than its wait such a call may take, with the slack of the store's client.
	answerSlack = 800 * time.Millisecond
	// keepRemoved is how long it is remembered that an object was removed; who asks from before that lists again.
	keepRemoved = 30 * time.Second
)

// held is an object, or the removal of one, and from when it is known.
type held struct {
	object platform.Object
	// mark is the store's revision as of which the object was read; who has read up to there knows it.
	mark int64
	// at is when it was read; only removals need it.
	at time.Time
}

// kindCache is what is known of a kind.
type kindCache struct {
	objects map[string]held
	// revision is the store's as of the last answer; floor is the first from which changes can be told.
	revision int64
	floor    int64
	// last is the mark of the last change.
	last   int64
	heard  time.Time
	listed bool
	// changed is closed and replaced when something is new.
	changed chan struct{}
	// packed are answers as of last.
	packed packed
}

// Cache keeps the objects of some kinds. It is safe for concurrent use.
type Cache struct {
	mu    sync.Mutex
	kinds map[string]*kindCache
	// asked is when another process last asked.
	asked time.Time
	// storeWait is how long a call for changes waits when others depend on it: an entry that has lost the store, and who reads from it,
	// must notice in less than the time in which a change must be known.
	storeWait time.Duration
}

// NewCache returns an empty cache. changeTime is how long after the store took it a change may be unknown; 0 when the platform does not say.
func NewCache(changeTime time.Duration) *Cache {
	if changeTime <= 0 {
		changeTime = leastChangeTime
	}
	return &Cache{kinds: map[string]*kindCache{}, storeWait: changeTime / waitShare}
}

// maxAge is how long ago the store must have been heard for an answer from the cache.
func (c *Cache) maxAge() time.Duration { return c.storeWait + answerSlack }

// kind returns the cache of a kind. It is called with the lock held.
func (c *Cache) kind(name string) *kindCache {
	k := c.kinds[name]
	if k == nil {
		k = &kindCache{objects: map[string]held{}, changed: make(chan struct{}), packed: packed{}}
		c.kinds[name] = k
	}
	return k
}

// listed notes all objects of a kind as of a revision. age is how long ago the store was heard. What happened before the list is not
// known: an object may have come and gone since the last one, and somebody else may have seen it. Who asks from before lists again.
func (c *Cache) listed(kind string, objects []platform.Object, revision int64, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k, now := c.kind(kind), time.Now()
	if revision < k.revision {
		return // An older list than what is known.
	}
	k.objects = make(map[string]held, len(objects))
	clear(k.packed)
	for _, o := range objects {
		k.put(held{object: o, mark: revision, at: now})
	}
	k.listed, k.floor = true, revision
	k.heardAt(now.Add(-age), revision)
}

// changedSince notes what has changed up to a revision.
func (c *Cache) changedSince(kind string, objects []platform.Object, revision int64, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k, now := c.kind(kind), time.Now()
	for _, o := range objects {
		if old, known := k.objects[o.Name]; !known || old.object.Revision <= o.Revision {
			k.put(held{object: o, mark: max(revision, k.revision), at: now})
		}
	}
	k.heardAt(now.Add(-age), revision)
}

// put takes an object. It is called with the lock held.
func (k *kindCache) put(h held) {
	k.objects[h.object.Name] = h
	k.last = max(k.last, h.mark)
	clear(k.packed)
}

// heardAt notes when the store was heard, and wakes who waits. It is called with the lock held.
func (k *kindCache) heardAt(at time.Time, revision int64) {
	k.revision = max(k.revision, revision)
	if at.After(k.heard) {
		k.heard = at
	}
	for name, h := range k.objects {
		if h.object.Deleted && time.Since(h.at) > keepRemoved {
			delete(k.objects, name)
			k.floor = max(k.floor, h.mark)
		}
	}
	close(k.changed)
	k.changed = make(chan struct{})
}

// answer tells of a kind since a revision; 0 asks for all of it.
func (c *Cache) answer(kind string, since int64) (a Answer, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked = time.Now()
	k := c.kind(kind)
	a = Answer{Revision: max(k.revision, since), AgeMS: time.Since(k.heard).Milliseconds()}
	switch {
	case !k.listed || time.Since(k.heard) > c.maxAge():
		a.State = Behind
	case since > 0 && since < k.floor:
		a.State = Gone
	case since == 0 || since < k.last:
		a.State = Told
		a.Objects, a.Packed = k.packed.answer(since, k.after(since))
	default:
		a.State = Same
	}
	return a, k.changed
}

// after returns the objects that a reader of a revision does not know. It is called with the lock held.
func (k *kindCache) after(since int64) []Object {
	var list []Object
	for _, h := range k.objects {
		if since == 0 && h.object.Deleted || h.mark <= since {
			continue
		}
		list = append(list, Object(h.object))
	}
	return list
}

// serving tells whether other processes read from this one.
func (c *Cache) serving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.asked) < servingFor
}

// wait answers as soon as there is news or this process is behind, or after the wait that was asked for.
func (c *Cache) wait(ctx context.Context, q Question) Answer {
	ctx, cancel := context.WithTimeout(ctx, min(time.Duration(q.WaitMS)*time.Millisecond, maxWait))
	defer cancel()
	for {
		a, changed := c.answer(q.Kind, q.Since)
		// A first list is worth waiting for: this process is about to have it. Who has one is better off with the store.
		if a.State == Told || a.State == Gone || a.State == Behind && q.Since > 0 {
			return a
		}
		fresh := c.maxAge() - time.Duration(a.AgeMS)*time.Millisecond
		if a.State == Behind {
			fresh = maxWait // It can only become better.
		}
		select {
		case <-changed:
		case <-time.After(fresh + time.Millisecond):
		case <-ctx.Done():
			return a
		}
	}
}
