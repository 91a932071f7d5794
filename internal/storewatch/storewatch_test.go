package storewatch_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/storewatch"
	"samphireweir.example/samphireweir/platform"
)

// store is a store whose answers a test sets; it counts the calls.
type store struct {
	mu             sync.Mutex
	lists, watches int
	revision       int64
	// fails makes each call fail, and gone each watch.
	fails, gone bool
	// busy has each watch find a change at once.
	busy bool
}

// List returns one object.
func (s *store) List(context.Context, string, bool) ([]platform.Object, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	s.revision++
	if s.fails {
		return nil, 0, errors.New("the store does not answer")
	}
	return []platform.Object{{Name: "a", Revision: s.revision}}, s.revision, nil
}

// Watch waits as long as it was asked to, or not at all in a busy store.
func (s *store) Watch(ctx context.Context, _ string, revision int64, wait time.Duration) ([]platform.Object, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watches++
	switch {
	case s.fails:
		return nil, 0, errors.New("the store does not answer")
	case s.gone:
		s.gone = false
		return nil, 0, platform.ErrHistoryGone
	case s.busy:
		return []platform.Object{{Name: "a", Revision: revision + 1}}, revision + 1, nil
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return nil, revision, nil
}

// heard counts what a follower told.
type heard struct{ lists, changes, answers, failures int }

// follow lets a follower work on a store for a while of a clock of its own.
func follow(t *testing.T, s *store, shared bool, span time.Duration, run func(context.Context, *storewatch.Follower)) heard {
	var h heard
	synctest.Test(t, func(t *testing.T) {
		f := &storewatch.Follower{
			Store: s, Kind: "things", Wait: 2 * time.Second, Shared: func() bool { return shared }, Log: zerolog.Nop(),
			Listed: func(int64, []platform.Object) { h.lists++ }, Changed: func([]platform.Object) { h.changes++ },
			Heard: func() { h.answers++ }, Failed: func() { h.failures++ },
		}
		ctx, cancel := context.WithTimeout(t.Context(), span)
		defer cancel()
		run(ctx, f)
	})
	return h
}

func watching(ctx context.Context, f *storewatch.Follower) { f.Run(ctx) }

func polling(ctx context.Context, f *storewatch.Follower) {
	f.Poll(ctx, func() time.Duration { return 2 * time.Second })
}

func TestACalmStoreIsAskedOnceInEachWait(t *testing.T) {
	s := &store{}
	h := follow(t, s, false, 20*time.Second, watching)
	require.Equal(t, 1, h.lists)
	require.InDelta(t, 10, s.watches, 1)
}

// TestChangesAreGathered has a store that always has news: it is asked twice a second, and another process, whose calls cost nothing,
// as often as it has news.
func TestChangesAreGathered(t *testing.T) {
	s := &store{busy: true}
	h := follow(t, s, false, 20*time.Second, watching)
	require.InDelta(t, 40, s.watches, 1)
	require.Equal(t, s.watches, h.changes)
	s = &store{busy: true}
	follow(t, s, true, 20*time.Second, watching)
	require.InDelta(t, 400, s.watches, 10)
}

// TestAStoreThatFailsIsAskedAgainAtADecentRate bounds the calls that all processes together make to a store in trouble.
func TestAStoreThatFailsIsAskedAgainAtADecentRate(t *testing.T) {
	s := &store{fails: true}
	h := follow(t, s, false, 20*time.Second, watching)
	require.Greater(t, h.failures, 20, "its return is noticed within a second")
	require.Less(t, h.failures, 80)
	require.Zero(t, h.answers)
}

func TestWithoutHistoryTheStoreIsListedAgain(t *testing.T) {
	s := &store{gone: true}
	h := follow(t, s, false, 10*time.Second, watching)
	require.Equal(t, 2, h.lists)
}

func TestPollingListsTheStoreAndAsksAnotherProcessForChanges(t *testing.T) {
	s := &store{}
	h := follow(t, s, false, 60*time.Second, polling)
	require.Zero(t, s.watches, "a stale list costs a tenth of a watch")
	require.InDelta(t, 30, h.lists, 8)
	s = &store{}
	h = follow(t, s, true, 60*time.Second, polling)
	require.Equal(t, 1, s.lists, "the whole list goes over the link once")
	require.InDelta(t, 30, s.watches, 8)
	require.Equal(t, s.watches, h.changes)
}

func TestPollingThroughAnotherProcessListsAgainWhenItForgot(t *testing.T) {
	s := &store{gone: true}
	h := follow(t, s, true, 20*time.Second, polling)
	require.Equal(t, 2, h.lists)
}
