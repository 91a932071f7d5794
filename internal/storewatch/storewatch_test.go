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

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/storerev"
	"samphireweir.example/samphireweir/internal/storewatch"
	"samphireweir.example/samphireweir/platform"
)

// store is a fake store whose responses a test sets. It counts the calls.
type store struct {
	mu             sync.Mutex
	lists, watches int
	revision       storerev.Revision
	// failing makes each call fail, and historyGone the next watch.
	failing, historyGone bool
	// busy makes each watch return a change at once.
	busy bool
}

// List returns one object.
func (s *store) List(context.Context, string, bool) ([]platform.Object, storerev.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	s.revision.Number++
	if s.failing {
		return nil, storerev.Revision{}, errors.New("the store does not respond")
	}
	return []platform.Object{{Name: "a", Revision: s.revision}}, s.revision, nil
}

// Watch waits for the requested time, or not at all in a busy store.
func (s *store) Watch(ctx context.Context, _ string, since storerev.Revision, wait time.Duration) ([]platform.Object, storerev.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watches++
	switch {
	case s.failing:
		return nil, storerev.Revision{}, errors.New("the store does not respond")
	case s.historyGone:
		s.historyGone = false
		return nil, storerev.Revision{}, platform.ErrCompacted
	case s.busy:
		next := storerev.Revision{Era: since.Era, Number: since.Number + 1}
		return []platform.Object{{Name: "a", Revision: next}}, next, nil
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return nil, since, nil
}

// calls counts the calls of a follower's functions.
type calls struct{ lists, changes, responses, failures int }

// follow runs a follower of a store for span, by a fake clock.
func follow(t *testing.T, s *store, shared bool, span time.Duration, run func(context.Context, *storewatch.Follower)) calls {
	var c calls
	synctest.Test(t, func(t *testing.T) {
		f := &storewatch.Follower{
			Store: s, Kind: "things", Wait: 2 * time.Second, ReadsFromPeer: func() bool { return shared }, Log: zerolog.Nop(),
			OnList: func(storerev.Revision, []platform.Object) { c.lists++ }, OnChanges: func([]platform.Object) { c.changes++ },
			OnResponse: func(catalog.StoreAnswered) { c.responses++ }, OnFailure: func(catalog.StoreFailed) { c.failures++ }, OnHistoryGone: func() {},
		}
		ctx, cancel := context.WithTimeout(t.Context(), span)
		defer cancel()
		run(ctx, f)
	})
	return c
}

func runWatch(ctx context.Context, f *storewatch.Follower) { f.Run(ctx) }

func runPoll(ctx context.Context, f *storewatch.Follower) {
	f.Poll(ctx, func() time.Duration { return 2 * time.Second })
}

// TestIdleStoreIsCalledOncePerWait guards against a follower that lists again, or watches in a busy loop, while nothing
// changes.
func TestIdleStoreIsCalledOncePerWait(t *testing.T) {
	s := &store{}
	c := follow(t, s, false, 20*time.Second, runWatch)
	require.Equal(t, 1, c.lists)
	require.InDelta(t, 10, s.watches, 1)
}

// TestCallsAreLimitedWhileStoreChangesConstantly guards against one call for each change of a busy store. The store is
// called twice per second; a peer, whose calls cost nothing, up to 20 times per second.
func TestCallsAreLimitedWhileStoreChangesConstantly(t *testing.T) {
	s := &store{busy: true}
	c := follow(t, s, false, 20*time.Second, runWatch)
	require.InDelta(t, 40, s.watches, 1)
	require.Equal(t, s.watches, c.changes)
	s = &store{busy: true}
	follow(t, s, true, 20*time.Second, runWatch)
	require.InDelta(t, 400, s.watches, 10)
}

// TestFailingStoreIsRetriedWithBackoff guards against processes that overload a failing store with retries, and against
// retries so rare that its recovery is noticed late.
func TestFailingStoreIsRetriedWithBackoff(t *testing.T) {
	s := &store{failing: true}
	c := follow(t, s, false, 20*time.Second, runWatch)
	require.Greater(t, c.failures, 20, "a recovery is noticed within a second")
	require.Less(t, c.failures, 80)
	require.Zero(t, c.responses)
}

// TestStoreIsListedAgainWhenHistoryIsGone guards against a follower that keeps watching from a revision whose history the
// store has dropped.
func TestStoreIsListedAgainWhenHistoryIsGone(t *testing.T) {
	s := &store{historyGone: true}
	c := follow(t, s, false, 10*time.Second, runWatch)
	require.Equal(t, 2, c.lists)
}

// TestPollListsStoreButWatchesPeer guards against needless cost: a stale list is the cheapest call to the store, while from
// a peer each list after the first would send all objects over its link again.
func TestPollListsStoreButWatchesPeer(t *testing.T) {
	s := &store{}
	c := follow(t, s, false, 60*time.Second, runPoll)
	require.Zero(t, s.watches, "a stale list costs a tenth of a watch")
	require.InDelta(t, 30, c.lists, 8)
	s = &store{}
	c = follow(t, s, true, 60*time.Second, runPoll)
	require.Equal(t, 1, s.lists, "the complete list is sent over the link once")
	require.InDelta(t, 30, s.watches, 8)
	require.Equal(t, s.watches, c.changes)
}

// TestPollThroughPeerListsAgainWhenHistoryIsGone guards against a poll that fails forever because the peer no longer keeps
// the history since the last revision.
func TestPollThroughPeerListsAgainWhenHistoryIsGone(t *testing.T) {
	s := &store{historyGone: true}
	c := follow(t, s, true, 20*time.Second, runPoll)
	require.Equal(t, 2, c.lists)
}
