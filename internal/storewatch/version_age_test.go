package storewatch_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/storerev"
	"samphireweir.example/samphireweir/internal/storewatch"
	"samphireweir.example/samphireweir/platform"
)

// disturbedStore is a fake store that falls silent for a while, drops its history meanwhile and has stale lists for a while after it. Its
// revision increases every millisecond, as it does by the registrations of upstreams. A version is activated at a time.
type disturbedStore struct {
	begin                time.Time
	silentFrom, silentTo time.Duration
	// answersLate is set if the calls of the silence are answered at its end, and not lost.
	answersLate bool
	// compacted is when the history is dropped, 0 for never; lists are staleBy old until staleTo.
	compacted, staleBy, staleTo time.Duration
	// activatedAt is when the version is activated.
	activatedAt time.Duration
}

func (s *disturbedStore) now() time.Duration { return time.Since(s.begin) }

func revisionAt(d time.Duration) storerev.Revision {
	return storerev.Revision{Number: 1 + d.Milliseconds()}
}

// answer waits until a time and returns when the answer is sent; lost if it never is.
func (s *disturbedStore) answer(ctx context.Context, sentAt, due, limit time.Duration) (at time.Duration, lost bool) {
	sleep(ctx, due-s.now())
	if due >= s.silentFrom && sentAt < s.silentTo && s.silentFrom < s.silentTo {
		end := max(due, s.silentTo)
		if !s.answersLate || end-sentAt > limit {
			sleep(ctx, sentAt+limit-s.now())
			return 0, true
		}
		sleep(ctx, end-s.now())
		return end, false
	}
	return due, false
}

func (s *disturbedStore) objects(at time.Duration) []platform.Object {
	if at < s.activatedAt {
		return nil
	}
	return []platform.Object{{Name: "m", Revision: revisionAt(s.activatedAt), Spec: []byte(`{"model":"m","version":2}`)}}
}

// List returns the version if it was active as of the list.
func (s *disturbedStore) List(ctx context.Context, kind string, _ bool) ([]platform.Object, storerev.Revision, error) {
	sentAt := s.now()
	at, lost := s.answer(ctx, sentAt, sentAt, 1500*time.Millisecond)
	if lost {
		return nil, storerev.Revision{}, errLost
	}
	if s.staleBy > 0 && at >= s.compacted && at < s.staleTo {
		at = max(0, at-s.staleBy)
	}
	if kind != platform.VersionKind {
		return nil, revisionAt(at), ctx.Err()
	}
	return s.objects(at), revisionAt(at), ctx.Err()
}

// Watch returns the version once it is active.
func (s *disturbedStore) Watch(ctx context.Context, kind string, since storerev.Revision, wait time.Duration) ([]platform.Object, storerev.Revision, error) {
	sentAt := s.now()
	due := sentAt + wait
	if tells := kind == platform.VersionKind && since.Before(revisionAt(s.activatedAt)); tells && s.activatedAt <= due {
		due = max(sentAt, s.activatedAt)
	}
	at, lost := s.answer(ctx, sentAt, due, wait+headerMargin)
	switch {
	case lost:
		return nil, storerev.Revision{}, errLost
	case s.compacted > 0 && at >= s.compacted && since.Before(revisionAt(s.compacted)):
		return nil, storerev.Revision{}, platform.ErrCompacted
	case kind != platform.VersionKind || !since.Before(revisionAt(s.activatedAt)):
		return nil, storerev.Max(since, revisionAt(at)), ctx.Err()
	}
	return s.objects(at), storerev.Max(since, revisionAt(at)), ctx.Err()
}

// receive follows a store and returns the activation as the process counts it.
func receive(t *testing.T, s *disturbedStore) (received catalog.Activation) {
	s.begin = time.Now()
	state := catalog.NewState()
	var mu sync.Mutex
	d := storewatch.NewDecoder(func(ev step.Event) {
		mu.Lock()
		defer mu.Unlock()
		state.Reduce(step.Input{Now: time.Now(), Event: ev})
	}, zerolog.Nop())
	ctx, cancel := context.WithTimeout(t.Context(), 40*time.Second)
	defer cancel()
	var done sync.WaitGroup
	for _, kind := range []string{platform.ConfigKind, platform.ServerKind, platform.VersionKind} {
		done.Go(func() { d.Follower(s, kind).Run(ctx) })
	}
	done.Wait()
	return state.Versions["m"]
}

// callPause is the pause between two calls of a follower of versions. A version that is activated in a pause is heard at its end.
const callPause = 50 * time.Millisecond

// TestVersionHeardLateCountsFromItsActivation guards against requests that begin on an expired version because its successor, which was
// activated beside a disturbance of the store, counts from the moment at which the process heard of it. Whatever the delay is, it must not
// count as younger than it is, nor younger than the end of the disturbance.
func TestVersionHeardLateCountsFromItsActivation(t *testing.T) {
	for _, answersLate := range []bool{false, true} {
		for _, staleBy := range []time.Duration{0, 2750 * time.Millisecond, 5500 * time.Millisecond} {
			for silence := 500 * time.Millisecond; silence <= 8*time.Second; silence += 750 * time.Millisecond {
				for after := 0 * time.Second; after <= 3*time.Second; after += 300 * time.Millisecond {
					name := fmt.Sprintf("late=%v/stale=%v/silence=%v/after=%v", answersLate, staleBy, silence, after)
					synctest.Test(t, func(t *testing.T) {
						s := &disturbedStore{silentFrom: 10 * time.Second, silentTo: 10*time.Second + silence, answersLate: answersLate, staleBy: staleBy}
						s.activatedAt = s.silentTo + after
						if staleBy > 0 {
							s.compacted, s.staleTo = s.silentFrom+300*time.Millisecond, s.silentFrom+12*time.Second
						}
						a := receive(t, s)
						require.Equal(t, int64(2), a.Version, name)
						require.LessOrEqual(t, a.ActivatedAt.Sub(s.begin), s.activatedAt+callPause, name)
						require.GreaterOrEqual(t, a.ActivatedAt.Sub(s.begin), s.silentFrom-3*time.Second, name+": no older than what the last answers before the silence allow")
					})
				}
			}
		}
	}
}

// TestVersionHeardInTimeCountsFromItsReceipt guards against versions that count as older than they are, so that engines with the old one
// stand idle too early, on days on which nothing disturbs the store.
func TestVersionHeardInTimeCountsFromItsReceipt(t *testing.T) {
	for at := 5 * time.Second; at < 10*time.Second; at += 130 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			s := &disturbedStore{activatedAt: at}
			a := receive(t, s)
			require.False(t, a.Assumed)
			require.Equal(t, at, a.ActivatedAt.Sub(s.begin))
		})
	}
}
