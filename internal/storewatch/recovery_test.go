package storewatch_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/storerev"
	"samphireweir.example/samphireweir/internal/storewatch"
	"samphireweir.example/samphireweir/platform"
)

// headerMargin is how much longer than a watch a client waits for the head of its answer.
const headerMargin = 600 * time.Millisecond

// silentStore is a fake store that loses the calls that it gets while it is silent. A version is activated at a time.
type silentStore struct {
	begin                    time.Time
	silentFrom, silentTo, at time.Duration
}

// lose waits as a client does for a lost call, and reports whether the call was lost.
func (s *silentStore) lose(ctx context.Context, wait time.Duration) bool {
	if now := time.Since(s.begin); now < s.silentFrom || now >= s.silentTo {
		return false
	}
	sleep(ctx, wait+headerMargin)
	return true
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

var errLost = errors.New("no answer")

// List returns nothing.
func (s *silentStore) List(ctx context.Context, _ string, _ bool) ([]platform.Object, storerev.Revision, error) {
	if s.lose(ctx, 0) {
		return nil, storerev.Revision{}, errLost
	}
	return nil, storerev.Revision{Number: 1}, nil
}

// Watch returns the version once it is activated.
func (s *silentStore) Watch(ctx context.Context, kind string, since storerev.Revision, wait time.Duration) ([]platform.Object, storerev.Revision, error) {
	if s.lose(ctx, wait) {
		return nil, storerev.Revision{}, errLost
	}
	if kind == platform.VersionKind && since.Number == 1 {
		if left := s.at - time.Since(s.begin); left <= wait {
			sleep(ctx, left)
			o := platform.Object{Name: "m", Revision: storerev.Revision{Number: 2}, Spec: []byte(`{"model":"m","version":2}`)}
			return []platform.Object{o}, o.Revision, ctx.Err()
		}
	}
	sleep(ctx, wait)
	return nil, since, ctx.Err()
}

// TestCallLostInASilenceIsSentAgain guards against a version that is learned of seconds after the store is back, because the call that asked
// for it was lost while the store was silent and nobody noticed until it timed out.
func TestCallLostInASilenceIsSentAgain(t *testing.T) {
	for silence := 500 * time.Millisecond; silence <= 8*time.Second; silence += 500 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			s := &silentStore{begin: time.Now(), silentFrom: 10 * time.Second, silentTo: 10*time.Second + silence}
			s.at = s.silentTo + 100*time.Millisecond
			learned := time.Duration(0)
			d := storewatch.NewDecoder(func(ev step.Event) {
				if v, ok := ev.(catalog.VersionActivated); ok && v.Version == 2 {
					learned = time.Since(s.begin)
				}
			}, zerolog.Nop())
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			for _, kind := range []string{platform.ConfigKind, platform.ServerKind} {
				go d.Follower(s, kind).Run(ctx)
			}
			d.Follower(s, platform.VersionKind).Run(ctx)
			require.Positive(t, learned)
			// The users' platform expects a process to be up to date three seconds after a disruption.
			require.LessOrEqual(t, learned-s.silentTo, 3*time.Second, "after a silence of %v", silence)
		})
	}
}
