package storefeed

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"samphireweir.example/samphireweir/platform"
)

const (
	kind = "things"
	// changeTime is the change time of the cache under test; see NewCache.
	changeTime = 2 * time.Second
)

// modelStore is a store that keeps its complete history.
type modelStore struct {
	revision int64
	objects  map[string]platform.Object
	changes  []platform.Object
}

func (m *modelStore) put(name string) {
	m.revision++
	m.objects[name] = platform.Object{Name: name, Revision: m.revision}
	m.changes = append(m.changes, m.objects[name])
}

func (m *modelStore) remove(name string) {
	if _, known := m.objects[name]; !known {
		return
	}
	m.revision++
	delete(m.objects, name)
	m.changes = append(m.changes, platform.Object{Name: name, Revision: m.revision, Deleted: true})
}

func (m *modelStore) list() []platform.Object {
	var list []platform.Object
	for _, o := range m.objects {
		list = append(list, o)
	}
	return list
}

func (m *modelStore) since(revision int64) []platform.Object {
	var list []platform.Object
	for _, o := range m.changes {
		if o.Revision > revision {
			list = append(list, o)
		}
	}
	return list
}

// modelReader holds what a process has read.
type modelReader struct {
	revision int64
	objects  map[string]int64
}

func (r *modelReader) putList(revision int64, objects []platform.Object) {
	r.revision, r.objects = revision, map[string]int64{}
	r.putChanges(revision, objects)
}

func (r *modelReader) putChanges(revision int64, objects []platform.Object) {
	for _, o := range objects {
		if o.Deleted {
			delete(r.objects, o.Name)
		} else {
			r.objects[o.Name] = o.Revision
		}
	}
	r.revision = max(r.revision, revision)
}

// readCache reads once from a cache, as Reader does.
func (r *modelReader) readCache(c *Cache) State {
	resp, _ := c.read(kind, r.revision)
	var objects []platform.Object
	for _, o := range resp.Objects {
		objects = append(objects, platform.Object(o))
	}
	switch {
	case resp.State == StateHistoryGone:
		r.revision = 0
	case resp.State == StateUpdated && r.revision == 0:
		r.putList(resp.Revision, objects)
	case resp.State == StateUpdated, resp.State == StateUnchanged:
		r.putChanges(resp.Revision, objects)
	}
	return resp.State
}

// revisions returns the revision of each object, by name.
func (m *modelStore) revisions() map[string]int64 {
	revisions := map[string]int64{}
	for name, o := range m.objects {
		revisions[name] = o.Revision
	}
	return revisions
}

// TestReaderThatSwitchesSourcesConvergesOnStore guards against a reader that misses a write or a removal when it switches
// between the store and a peer. One process reads the store in lists and changes, and a second one reads from the first or
// from the store, in random order.
func TestReaderThatSwitchesSourcesConvergesOnStore(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		m := &modelStore{revision: 1, objects: map[string]platform.Object{}}
		first, second, cache := &modelReader{objects: map[string]int64{}}, &modelReader{objects: map[string]int64{}}, NewCache(changeTime)
		readFirst := func(list bool) {
			if list || first.revision == 0 {
				first.putList(m.revision, m.list())
				cache.putList(kind, m.list(), m.revision, 0)
				return
			}
			changes := m.since(first.revision)
			first.putChanges(m.revision, changes)
			cache.putChanges(kind, changes, m.revision, 0)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "name"))
			switch rapid.SampledFrom([]string{"put", "remove", "first", "relist", "second", "second from the store"}).Draw(t, "step") {
			case "put":
				m.put(name)
			case "remove":
				m.remove(name)
			case "first":
				readFirst(false)
			case "relist":
				readFirst(true)
			case "second":
				second.readCache(cache)
			case "second from the store":
				if second.revision == 0 {
					second.putList(m.revision, m.list())
				} else {
					second.putChanges(m.revision, m.since(second.revision))
				}
			}
		}
		readFirst(false)
		second.readCache(cache)
		if second.revision == 0 { // The cache required a new list.
			second.readCache(cache)
		}
		require.Equal(t, m.revisions(), second.objects)
	})
}

// TestObjectMissedBetweenListsIsRemovedFromReader guards against a reader that keeps a removed object forever. The object
// exists only between two lists of the peer, which never sees it; the reader saw it in the store before it switched to the
// peer.
func TestObjectMissedBetweenListsIsRemovedFromReader(t *testing.T) {
	t.Parallel()
	c, r := NewCache(changeTime), &modelReader{}
	c.putList(kind, nil, 5, 0)
	r.putList(7, []platform.Object{{Name: "a", Revision: 6}})
	c.putList(kind, nil, 9, 0)
	require.Equal(t, StateHistoryGone, r.readCache(c))
	require.Equal(t, StateUpdated, r.readCache(c))
	require.Empty(t, r.objects)
}

// TestCacheWithoutRecentStoreResponseIsStale guards against a cache that serves objects although the store has not
// responded recently: its readers would miss changes without noticing.
func TestCacheWithoutRecentStoreResponseIsStale(t *testing.T) {
	t.Parallel()
	c := NewCache(changeTime)
	resp, _ := c.read(kind, 0)
	require.Equal(t, StateStale, resp.State, "nothing was read")
	c.putList(kind, []platform.Object{{Name: "a", Revision: 3}}, 5, 0)
	resp, _ = c.read(kind, 0)
	require.Equal(t, StateUpdated, resp.State)
	c = NewCache(changeTime)
	c.putList(kind, []platform.Object{{Name: "a", Revision: 3}}, 5, c.maxAge()+time.Millisecond)
	resp, _ = c.read(kind, 0)
	require.Equal(t, StateStale, resp.State, "the data of the peer was too old")
}

// TestWaitEndsWhenCacheBecomesStale guards against a reader that waits on a peer which lost the store, and so notices the
// loss too late. The cache becomes stale 100 ms after the request arrives, well before the requested wait ends.
func TestWaitEndsWhenCacheBecomesStale(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := NewCache(changeTime)
		c.putList(kind, []platform.Object{{Name: "a", Revision: 3}}, 5, 0)
		startedAt := time.Now()
		time.Sleep(c.maxAge() - 100*time.Millisecond)
		resp := c.waitForChanges(t.Context(), ReadRequest{Kind: kind, Since: 5, WaitMS: maxPeerWait.Milliseconds()})
		require.Equal(t, StateStale, resp.State)
		require.Less(t, time.Since(startedAt), c.maxAge()+10*time.Millisecond)
	})
}

// TestReadFromBeforeForgottenRemovalRequiresNewList guards against a reader that keeps a removed object: the cache drops
// removals after tombstoneTTL and can't report them to a reader with an older revision.
func TestReadFromBeforeForgottenRemovalRequiresNewList(t *testing.T) {
	t.Parallel()
	c := NewCache(changeTime)
	c.putList(kind, []platform.Object{{Name: "a", Revision: 3}}, 5, 0)
	c.putChanges(kind, []platform.Object{{Name: "a", Revision: 7, Deleted: true}}, 8, 0)
	k := c.kind(kind)
	o := k.objects["a"]
	o.readAt = time.Now().Add(-2 * tombstoneTTL)
	k.objects["a"] = o
	c.putChanges(kind, nil, 9, 0)
	resp, _ := c.read(kind, 6)
	require.Equal(t, StateHistoryGone, resp.State)
	resp, _ = c.read(kind, 8)
	require.Equal(t, StateUnchanged, resp.State)
}
