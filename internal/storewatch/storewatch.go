// Package storewatch follows a kind of object in the platform's store: it lists the kind, then waits for changes, and
// lists again when the store has dropped its history. Each wait is short, because an open connection can go silent for
// good; the client gives up on one that does.
package storewatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/internal/periodic"
	"samphireweir.example/samphireweir/platform"
)

const (
	// shortWait is how long one call waits for a change of what must be in force within two seconds. With the client's slack it stays under the
	// three seconds after which a connection that went silent is no excuse any more.
	shortWait = 2 * time.Second
	// longWait is the same for versions, which have eight seconds and come from other processes too.
	longWait = 5 * time.Second
	// gatherTime is the least time between two calls, in which changes gather: each call is paid for, and many upstreams join or
	// leave at about the same time. It is a quarter of the time in which a leaving upstream must get no more work.
	gatherTime = 500 * time.Millisecond
	// sharedGatherTime is the same for calls of another process, which has gathered already.
	sharedGatherTime = 50 * time.Millisecond
	// firstRetry and lastRetry bound the wait after a failed call; it doubles with each.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 500 * time.Millisecond
)

// Store is what a follower reads.
type Store interface {
	List(ctx context.Context, kind string, stale bool) ([]platform.Object, int64, error)
	Watch(ctx context.Context, kind string, revision int64, wait time.Duration) ([]platform.Object, int64, error)
}

// Follower follows one kind.
type Follower struct {
	Store Store
	Kind  string
	// Listed takes all objects as of a revision, Changed what changed since.
	Listed  func(revision int64, objects []platform.Object)
	Changed func(objects []platform.Object)
	// Wait is how long one call waits for a change.
	Wait time.Duration
	// Shared tells whether the store is read through another process, whose calls cost nothing; nil stands for no.
	Shared func() bool
	// Heard is called with each answer of the store, Failed with each call that failed.
	Heard, Failed func()
	Log           zerolog.Logger

	lost bool
	// polled is the revision of the last list that was polled.
	polled int64
}

// Run follows the kind until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	retry := firstRetry
	revision := int64(0)
	for ctx.Err() == nil {
		began := time.Now()
		next, err := f.read(ctx, revision)
		if err == nil {
			f.answered()
			revision, retry = next, firstRetry
			periodic.Sleep(ctx, f.gather()-time.Since(began))
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, platform.ErrHistoryGone) {
			f.answered()
			revision = 0
			continue
		}
		f.failed(err)
		periodic.Sleep(ctx, retry/2+rand.N(retry))
		retry = min(2*retry, lastRetry)
	}
}

// Poll lists the kind again and again until ctx ends, after the time that interval tells each time. Its lists may be seconds old, and
// cost a tenth of a watch; it is for those to whom the news comes by another way first.
func (f *Follower) Poll(ctx context.Context, interval func() time.Duration) {
	for ctx.Err() == nil {
		wait := lastRetry
		if err := f.poll(ctx); err == nil {
			wait = interval()
		} else if ctx.Err() == nil {
			f.failed(err)
		}
		periodic.Sleep(ctx, wait/2+rand.N(wait))
	}
}

// poll reads what is new. A stale list is the cheapest question to the store, and changes the shortest answer of another process.
func (f *Follower) poll(ctx context.Context) error {
	if f.polled > 0 && f.shared() {
		objects, at, err := f.Store.Watch(ctx, f.Kind, f.polled, 0)
		if err == nil {
			f.answered()
			f.Heard()
			f.Changed(objects)
			f.polled = at
			return nil
		}
		if !errors.Is(err, platform.ErrHistoryGone) {
			return err
		}
	}
	objects, at, err := f.Store.List(ctx, f.Kind, true)
	if err != nil {
		return err
	}
	f.answered()
	f.Heard()
	f.Listed(at, objects)
	f.polled = at
	return nil
}

func (f *Follower) shared() bool { return f.Shared != nil && f.Shared() }

// gather is the least time between two calls.
func (f *Follower) gather() time.Duration {
	if f.shared() {
		return sharedGatherTime
	}
	return gatherTime
}

// read makes one call and returns the revision to go on from.
func (f *Follower) read(ctx context.Context, revision int64) (int64, error) {
	if revision == 0 {
		objects, at, err := f.Store.List(ctx, f.Kind, false)
		if err != nil {
			return 0, err
		}
		f.Heard()
		f.Listed(at, objects)
		return at, nil
	}
	objects, at, err := f.Store.Watch(ctx, f.Kind, revision, f.Wait)
	if err != nil {
		return 0, err
	}
	f.Heard()
	if len(objects) > 0 {
		f.Changed(objects)
	}
	return at, nil
}

func (f *Follower) answered() {
	if f.lost {
		f.lost = false
		logevent.Info(f.Log, logevent.PlatformBack).Str("kind", f.Kind).Msg("platform back")
	}
}

func (f *Follower) failed(err error) {
	f.Failed()
	if !f.lost {
		f.lost = true
		logevent.Warn(f.Log, logevent.PlatformLost).Str("kind", f.Kind).Err(err).Msg("platform lost")
	}
}
