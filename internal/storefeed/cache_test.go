package storefeed

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"samphireweir.example/samphireweir/internal/core/storerev"
	"samphireweir.example/samphireweir/platform"
)

const (
	kind = "things"
	// changeTime is the change time of the cache under test; see NewCache.
	changeTime = 2 * time.Second
)

// modelStore is a store that keeps its complete history and can be restored from a copy.
type modelStore struct {
	revision storerev.Revision
	objects  map[string]platform.Object
	changes  []platform.Object
	backup   *modelStore
}

func (m *modelStore) put(name string) {
	m.revision.Number++
	m.objects[name] = platform.Object{Name: name, Revision: m.revision}
	m.changes = append(m.changes, m.objects[name])
}

func (m *modelStore) remove(name string) {
	if _, known := m.objects[name]; !known {
		return
	}
	m.revision.Number++
	delete(m.objects, name)
	m.changes = append(m.changes, platform.Object{Name: name, Revision: m.revision, Deleted: true})
}

// copyContent copies the store's content to keep it as a backup.
func (m *modelStore) copyContent() {
	m.backup = &modelStore{revision: m.revision, objects: maps.Clone(m.objects), changes: slices.Clone(m.changes)}
}

// restore replaces the content by that of the last backup. All objects are read in a new era from now on.
func (m *modelStore) restore() {
	if m.backup == nil {
		return
	}
	era := m.revision.Era + 1
	m.revision, m.objects, m.changes = m.backup.revision, maps.Clone(m.backup.objects), slices.Clone(m.backup.changes)
	m.revision.Era = era
	for name, o := range m.objects {
		o.Revision.Era = era
		m.objects[name] = o
	}
	for i := range m.changes {
		m.changes[i].Revision.Era = era
	}
}

func (m *modelStore) list() []platform.Object {
	var list []platform.Object
	for _, o := range m.objects {
		list = append(list, o)
	}
	return list
}

func (m *modelStore) since(revision storerev.Revision) []platform.Object {
	var list []platform.Object
	for _, o := range m.changes {
		if o.Revision.After(revision) {
			list = append(list, o)
		}
	}
	return list
}

// has reports whether the store can tell the changes since a revision.
func (m *modelStore) has(revision storerev.Revision) bool {
	return !revision.IsStart() && revision.SameEra(m.revision)
}

// modelReader holds what a process has read.
type modelReader struct {
	revision storerev.Revision
	objects  map[string]storerev.Revision
}

func (r *modelReader) putList(revision storerev.Revision, objects []platform.Object) {
	r.revision, r.objects = revision, map[string]storerev.Revision{}
	r.putChanges(revision, objects)
}

func (r *modelReader) putChanges(revision storerev.Revision, objects []platform.Object) {
	for _, o := range objects {
		if o.Deleted {
			delete(r.objects, o.Name)
		} else {
			r.objects[o.Name] = o.Revision
		}
	}
	r.revision = storerev.Max(r.revision, revision)
}

// readStore reads once from the store.
func (r *modelReader) readStore(m *modelStore) {
	if !m.has(r.revision) {
		r.putList(m.revision, m.list())
		return
	}
	r.putChanges(m.revision, m.since(r.revision))
}

// readCache reads once from a cache, as Reader does.
func (r *modelReader) readCache(c *Cache) State {
	resp, _ := c.read(kind, r.revision)
	var objects []platform.Object
	for _, o := range resp.Objects {
		objects = append(objects, o.decode(*resp.Era))
	}
	at := storerev.Revision{Era: *resp.Era, Number: resp.Revision}
	switch {
	case resp.State == StateHistoryGone:
		r.revision = r.revision.Start()
	case resp.State == StateUpdated && r.revision.IsStart():
		r.putList(at, objects)
	case resp.State == StateUpdated, resp.State == StateUnchanged:
		r.putChanges(at, objects)
	}
	return resp.State
}

// revisions returns the revision of each object, by name.
func (m *modelStore) revisions() map[string]storerev.Revision {
	revisions := map[string]storerev.Revision{}
	for name, o := range m.objects {
		revisions[name] = o.Revision
	}
	return revisions
}

// TestReaderThatSwitchesSourcesConvergesOnStore guards against a reader that misses a write or a removal when it switches
// between the store and a peer, or when the store is restored from a copy and gives its revisions out again. One process reads
// the store in lists and changes, and a second one reads from the first or from the store, in random order, so that each may be
// the first to notice a restore.
func TestReaderThatSwitchesSourcesConvergesOnStore(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		m := &modelStore{revision: storerev.Revision{Number: 1}, objects: map[string]platform.Object{}}
		first, second, cache := &modelReader{objects: map[string]storerev.Revision{}}, &modelReader{objects: map[string]storerev.Revision{}}, NewCache(changeTime)
		readFirst := func(list bool) {
			if list || !m.has(first.revision) {
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
			steps := []string{"put", "put", "remove", "first", "relist", "second", "second from the store", "backup", "restore"}
			switch rapid.SampledFrom(steps).Draw(t, "step") {
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
				second.readStore(m)
			case "backup":
				m.copyContent()
			case "restore":
				m.restore()
			}
		}
		readFirst(false)
		second.readCache(cache)
		if second.revision.IsStart() { // The cache required a new list.
			second.readCache(cache)
		}
		require.Equal(t, m.revisions(), second.objects)
		require.Equal(t, m.revision, second.revision)
	})
}

// TestCacheOfEarlierEraIsNotRead guards against a peer that has not noticed that the store was restored and passes its old state on, with
// a fresh age, to a reader that has.
func TestCacheOfEarlierEraIsNotRead(t *testing.T) {
	t.Parallel()
	c := NewCache(changeTime)
	c.putList(kind, []platform.Object{{Name: "a", Revision: storerev.Revision{Era: 1, Number: 3}}}, storerev.Revision{Era: 1, Number: 44}, 0)
	for _, since := range []storerev.Revision{{Era: 2}, {Era: 2, Number: 5}} {
		resp := c.waitForChanges(t.Context(), ReadRequest{Kind: kind, Since: since.Number, Era: &since.Era, WaitMS: maxWait.Milliseconds()})
		require.Equal(t, StateEarlierEra, resp.State, "%s", since)
	}
	c.putList(kind, nil, storerev.Revision{Era: 2, Number: 5}, 0)
	c.putChanges(kind, []platform.Object{{Name: "a", Revision: storerev.Revision{Era: 1, Number: 45}}}, storerev.Revision{Era: 1, Number: 45}, 0)
	resp, _ := c.read(kind, storerev.Revision{Era: 2})
	require.Equal(t, StateUpdated, resp.State)
	require.Empty(t, resp.Objects, "changes of the earlier era are ignored")
	resp, _ = c.read(kind, storerev.Revision{Era: 1, Number: 44})
	require.Equal(t, StateHistoryGone, resp.State)
}

// TestPeerWithoutErasIsServedAsBefore guards against a rolling update in which the processes of the earlier release, which do not know of
// eras, list all objects with each read.
func TestPeerWithoutErasIsServedAsBefore(t *testing.T) {
	t.Parallel()
	c := NewCache(changeTime)
	c.putList(kind, []platform.Object{{Name: "a", Revision: storerev.Revision{Era: 1, Number: 3}}}, storerev.Revision{Era: 1, Number: 5}, 0)
	resp := c.waitForChanges(t.Context(), ReadRequest{Kind: kind, Since: 5})
	require.Equal(t, StateUnchanged, resp.State)
	require.Equal(t, int64(5), resp.Revision)
}

// TestObjectMissedBetweenListsIsRemovedFromReader guards against a reader that keeps a removed object forever. The object
// exists only between two lists of the peer, which never sees it; the reader saw it in the store before it switched to the
// peer.
func TestObjectMissedBetweenListsIsRemovedFromReader(t *testing.T) {
	t.Parallel()
	c, r := NewCache(changeTime), &modelReader{}
	c.putList(kind, nil, storerev.Revision{Number: 5}, 0)
	r.putList(storerev.Revision{Number: 7}, []platform.Object{{Name: "a", Revision: storerev.Revision{Number: 6}}})
	c.putList(kind, nil, storerev.Revision{Number: 9}, 0)
	require.Equal(t, StateHistoryGone, r.readCache(c))
	require.Equal(t, StateUpdated, r.readCache(c))
	require.Empty(t, r.objects)
}

// TestCacheWithoutRecentStoreResponseIsStale guards against a cache that serves objects although the store has not
// responded recently: its readers would miss changes without noticing.
func TestCacheWithoutRecentStoreResponseIsStale(t *testing.T) {
	t.Parallel()
	c := NewCache(changeTime)
	resp, _ := c.read(kind, storerev.Revision{})
	require.Equal(t, StateStale, resp.State, "nothing was read")
	c.putList(kind, []platform.Object{{Name: "a", Revision: storerev.Revision{Number: 3}}}, storerev.Revision{Number: 5}, 0)
	resp, _ = c.read(kind, storerev.Revision{})
	require.Equal(t, StateUpdated, resp.State)
	c = NewCache(changeTime)
	c.putList(kind, []platform.Object{{Name: "a", Revision: storerev.Revision{Number: 3}}}, storerev.Revision{Number: 5}, c.maxAge()+time.Millisecond)
	resp, _ = c.read(kind, storerev.Revision{})
	require.Equal(t, StateStale, resp.State, "the data of the peer was too old")
}

// TestWaitEndsWhenCacheBecomesStale guards against a reader that waits on a peer which lost the store, and so notices the
// loss too late. The cache becomes stale 100 ms after the request arrives, well before the requested wait ends.
func TestWaitEndsWhenCacheBecomesStale(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := NewCache(changeTime)
		c.putList(kind, []platform.Object{{Name: "a", Revision: storerev.Revision{Number: 3}}}, storerev.Revision{Number: 5}, 0)
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
	c.putList(kind, []platform.Object{{Name: "a", Revision: storerev.Revision{Number: 3}}}, storerev.Revision{Number: 5}, 0)
	c.putChanges(kind, []platform.Object{{Name: "a", Revision: storerev.Revision{Number: 7}, Deleted: true}}, storerev.Revision{Number: 8}, 0)
	k := c.kind(kind)
	o := k.objects["a"]
	o.readAt = time.Now().Add(-2 * tombstoneTTL)
	k.objects["a"] = o
	c.putChanges(kind, nil, storerev.Revision{Number: 9}, 0)
	resp, _ := c.read(kind, storerev.Revision{Number: 6})
	require.Equal(t, StateHistoryGone, resp.State)
	resp, _ = c.read(kind, storerev.Revision{Number: 8})
	require.Equal(t, StateUnchanged, resp.State)
}
