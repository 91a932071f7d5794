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
	// changeTime is how long a change may be unknown.
	changeTime = 2 * time.Second
)

// model is a store that keeps all its history.
type model struct {
	revision int64
	objects  map[string]platform.Object
	changes  []platform.Object
}

func (m *model) put(name string) {
	m.revision++
	m.objects[name] = platform.Object{Name: name, Revision: m.revision}
	m.changes = append(m.changes, m.objects[name])
}

func (m *model) remove(name string) {
	if _, known := m.objects[name]; !known {
		return
	}
	m.revision++
	delete(m.objects, name)
	m.changes = append(m.changes, platform.Object{Name: name, Revision: m.revision, Deleted: true})
}

func (m *model) list() []platform.Object {
	var list []platform.Object
	for _, o := range m.objects {
		list = append(list, o)
	}
	return list
}

func (m *model) since(revision int64) []platform.Object {
	var list []platform.Object
	for _, o := range m.changes {
		if o.Revision > revision {
			list = append(list, o)
		}
	}
	return list
}

// follower is what a process has read.
type follower struct {
	revision int64
	objects  map[string]int64
}

func (f *follower) listed(revision int64, objects []platform.Object) {
	f.revision, f.objects = revision, map[string]int64{}
	f.changed(revision, objects)
}

func (f *follower) changed(revision int64, objects []platform.Object) {
	for _, o := range objects {
		if o.Deleted {
			delete(f.objects, o.Name)
		} else {
			f.objects[o.Name] = o.Revision
		}
	}
	f.revision = max(f.revision, revision)
}

// ask reads once from a cache, as Reader does.
func (f *follower) ask(c *Cache) State {
	a, _ := c.answer(kind, f.revision)
	var objects []platform.Object
	for _, o := range a.Objects {
		objects = append(objects, platform.Object(o))
	}
	switch {
	case a.State == Gone:
		f.revision = 0
	case a.State == Told && f.revision == 0:
		f.listed(a.Revision, objects)
	case a.State == Told, a.State == Same:
		f.changed(a.Revision, objects)
	}
	return a.State
}

func (m *model) held() map[string]int64 {
	held := map[string]int64{}
	for name, o := range m.objects {
		held[name] = o.Revision
	}
	return held
}

// TestWhoeverReadsFromWhomEndsWithWhatTheStoreHolds changes a store, has one process read it in lists and changes, and another read
// now from the first and now from the store.
func TestWhoeverReadsFromWhomEndsWithWhatTheStoreHolds(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		m := &model{revision: 1, objects: map[string]platform.Object{}}
		first, second, cache := &follower{objects: map[string]int64{}}, &follower{objects: map[string]int64{}}, NewCache(changeTime)
		readFirst := func(list bool) {
			if list || first.revision == 0 {
				first.listed(m.revision, m.list())
				cache.listed(kind, m.list(), m.revision, 0)
				return
			}
			news := m.since(first.revision)
			first.changed(m.revision, news)
			cache.changedSince(kind, news, m.revision, 0)
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
				second.ask(cache)
			case "second from the store":
				if second.revision == 0 {
					second.listed(m.revision, m.list())
				} else {
					second.changed(m.revision, m.since(second.revision))
				}
			}
		}
		readFirst(false)
		second.ask(cache)
		if second.revision == 0 { // It was told to list again.
			second.ask(cache)
		}
		require.Equal(t, m.held(), second.objects)
	})
}

// TestAnObjectThatCameAndWentBetweenTwoListsIsNotKept has a process see an object in the store that the one it reads from never saw.
func TestAnObjectThatCameAndWentBetweenTwoListsIsNotKept(t *testing.T) {
	t.Parallel()
	c, f := NewCache(changeTime), &follower{}
	c.listed(kind, nil, 5, 0)
	f.listed(7, []platform.Object{{Name: "a", Revision: 6}})
	c.listed(kind, nil, 9, 0)
	require.Equal(t, Gone, f.ask(c))
	require.Equal(t, Told, f.ask(c))
	require.Empty(t, f.objects)
}

func TestACacheThatHasNotHeardOfLateIsBehind(t *testing.T) {
	t.Parallel()
	c := NewCache(changeTime)
	a, _ := c.answer(kind, 0)
	require.Equal(t, Behind, a.State, "nothing was read")
	c.listed(kind, []platform.Object{{Name: "a", Revision: 3}}, 5, 0)
	a, _ = c.answer(kind, 0)
	require.Equal(t, Told, a.State)
	c = NewCache(changeTime)
	c.listed(kind, []platform.Object{{Name: "a", Revision: 3}}, 5, c.maxAge()+time.Millisecond)
	a, _ = c.answer(kind, 0)
	require.Equal(t, Behind, a.State, "the process that this one read from had not heard of late")
}

// TestAQuestionIsAnsweredAsSoonAsTheProcessIsBehind has a process lose the store shortly after it was asked, with a wait that is longer
// than the time after which it counts as behind.
func TestAQuestionIsAnsweredAsSoonAsTheProcessIsBehind(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := NewCache(changeTime)
		c.listed(kind, []platform.Object{{Name: "a", Revision: 3}}, 5, 0)
		began := time.Now()
		time.Sleep(c.maxAge() - 100*time.Millisecond)
		a := c.wait(t.Context(), Question{Kind: kind, Since: 5, WaitMS: peerWait.Milliseconds()})
		require.Equal(t, Behind, a.State)
		require.Less(t, time.Since(began), c.maxAge()+10*time.Millisecond)
	})
}

func TestWhoAsksFromBeforeAForgottenRemovalListsAgain(t *testing.T) {
	t.Parallel()
	c := NewCache(changeTime)
	c.listed(kind, []platform.Object{{Name: "a", Revision: 3}}, 5, 0)
	c.changedSince(kind, []platform.Object{{Name: "a", Revision: 7, Deleted: true}}, 8, 0)
	k := c.kind(kind)
	h := k.objects["a"]
	h.at = time.Now().Add(-2 * keepRemoved)
	k.objects["a"] = h
	c.changedSince(kind, nil, 9, 0)
	a, _ := c.answer(kind, 6)
	require.Equal(t, Gone, a.State)
	a, _ = c.answer(kind, 8)
	require.Equal(t, Same, a.State)
}
