// Package storewatch follows a kind of object in the platform's store: it lists the kind, then watches for changes, and
// lists again when the store no longer keeps the history since the last change. Each wait is short, because an open
// connection can fail without an error; the client then times out.
package storewatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"samphireweir.example/samphireweir/internal/core/storerev"
	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/internal/periodic"
	"samphireweir.example/samphireweir/platform"
)

const (
	// maxWait is how long one call waits for a change. Including the additional time that the client allows, a call takes less than 3
	// seconds. Within that time, a connection that has failed without an error must be detected.
	maxWait = 2 * time.Second
	// minCallInterval is the minimum time between two calls to the store. Changes are batched meanwhile: each call has a
	// cost, and many upstreams join or leave at about the same time. It is a quarter of the time within which a draining
	// upstream must stop receiving requests.
	minCallInterval = 500 * time.Millisecond
	// minPeerCallInterval is the minimum time between two calls to a peer, which has batched the changes already.
	minPeerCallInterval = 50 * time.Millisecond
	// initialRetryDelay and maxRetryDelay bound the delay after a failed call. It doubles with each failure.
	initialRetryDelay = 100 * time.Millisecond
	maxRetryDelay     = 500 * time.Millisecond
)

// Store is the store that a follower reads, directly or through a peer.
type Store interface {
	List(ctx context.Context, kind string, stale bool) ([]platform.Object, storerev.Revision, error)
	Watch(ctx context.Context, kind string, since storerev.Revision, wait time.Duration) ([]platform.Object, storerev.Revision, error)
}

// Follower follows one kind of object.
type Follower struct {
	Store Store
	Kind  string
	// OnList receives all objects as of a revision. OnChanges receives the objects that changed since the last call of either.
	OnList    func(revision storerev.Revision, objects []platform.Object)
	OnChanges func(objects []platform.Object)
	// Wait is how long one call waits for a change.
	Wait time.Duration
	// ReadsFromPeer reports whether the store is read through a peer; such calls cost nothing at the store. Nil means that it
	// is not.
	ReadsFromPeer func() bool
	// OnResponse is called before the objects of each response are delivered, OnFailure after each failed call.
	OnResponse, OnFailure func()
	Log                   zerolog.Logger

	// recovery is shared with the other followers of the store; nil if there are none.
	recovery *recovery
	// lost is set while calls fail.
	lost bool
	// polledRevision is the revision of the last successful poll.
	polledRevision storerev.Revision
}

// Run lists the kind and watches it for changes until ctx is cancelled.
func (f *Follower) Run(ctx context.Context) {
	retryDelay := initialRetryDelay
	var revision storerev.Revision
	for ctx.Err() == nil {
		startedAt := time.Now()
		next, err := f.readUntilRecovery(ctx, revision)
		if errors.Is(err, errStoreRecovered) {
			continue
		}
		if err == nil {
			f.recordSuccess()
			revision, retryDelay = next, initialRetryDelay
			periodic.Sleep(ctx, f.callInterval()-time.Since(startedAt))
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, platform.ErrCompacted) {
			f.recordSuccess()
			revision = storerev.Revision{}
			continue
		}
		f.recordFailure(err)
		periodic.Sleep(ctx, retryDelay/2+rand.N(retryDelay))
		retryDelay = min(2*retryDelay, maxRetryDelay)
	}
}

// Poll lists the kind repeatedly until ctx is cancelled. The time between two lists is random: between half and one and a
// half times the value of interval. The lists may be seconds old and cost a tenth of a watch. Poll is for processes that
// receive the changes from other processes first.
func (f *Follower) Poll(ctx context.Context, interval func() time.Duration) {
	for ctx.Err() == nil {
		wait := maxRetryDelay
		if err := f.poll(ctx); err == nil {
			wait = interval()
		} else if ctx.Err() == nil {
			f.recordFailure(err)
		}
		periodic.Sleep(ctx, wait/2+rand.N(wait))
	}
}

// poll reads the kind once. From the store it reads a list that may be stale, because that is the cheapest call. From a peer
// it reads the changes since the last poll, because that is the shortest response.
func (f *Follower) poll(ctx context.Context) error {
	if !f.polledRevision.IsStart() && f.shared() {
		objects, at, err := f.Store.Watch(ctx, f.Kind, f.polledRevision, 0)
		if err == nil {
			f.recordSuccess()
			f.OnResponse()
			f.OnChanges(objects)
			f.polledRevision = at
			return nil
		}
		if !errors.Is(err, platform.ErrCompacted) {
			return err
		}
	}
	objects, at, err := f.Store.List(ctx, f.Kind, true)
	if err != nil {
		return err
	}
	f.recordSuccess()
	f.OnResponse()
	f.OnList(at, objects)
	f.polledRevision = at
	return nil
}

// shared reports whether the store is read through a peer.
func (f *Follower) shared() bool { return f.ReadsFromPeer != nil && f.ReadsFromPeer() }

// callInterval is the minimum time between two calls.
func (f *Follower) callInterval() time.Duration {
	if f.shared() {
		return minPeerCallInterval
	}
	return minCallInterval
}

// readUntilRecovery is like read, and returns errStoreRecovered if the store answered another follower after a failure while the call waited.
func (f *Follower) readUntilRecovery(ctx context.Context, revision storerev.Revision) (storerev.Revision, error) {
	if f.recovery == nil {
		return f.read(ctx, revision)
	}
	callCtx, end := f.recovery.begin(ctx)
	defer end()
	next, err := f.read(callCtx, revision)
	switch {
	case err == nil || errors.Is(err, platform.ErrCompacted):
		f.recovery.callAnswered()
	case errors.Is(context.Cause(callCtx), errStoreRecovered):
		err = errStoreRecovered
	default:
		f.recovery.callFailed()
	}
	return next, err
}

// read makes one call and returns the revision for the next one. The zero revision lists the kind.
func (f *Follower) read(ctx context.Context, revision storerev.Revision) (storerev.Revision, error) {
	if revision.IsStart() {
		objects, at, err := f.Store.List(ctx, f.Kind, false)
		if err != nil {
			return storerev.Revision{}, err
		}
		f.OnResponse()
		f.OnList(at, objects)
		return at, nil
	}
	objects, at, err := f.Store.Watch(ctx, f.Kind, revision, f.Wait)
	if err != nil {
		return storerev.Revision{}, err
	}
	f.OnResponse()
	if len(objects) > 0 {
		f.OnChanges(objects)
	}
	return at, nil
}

// recordSuccess records a successful call and logs the end of an outage.
func (f *Follower) recordSuccess() {
	if f.lost {
		f.lost = false
		logevent.Info(f.Log, logevent.PlatformRecovered).Str("kind", f.Kind).Msg("platform recovered")
	}
}

// recordFailure records a failed call and logs the first of an outage.
func (f *Follower) recordFailure(err error) {
	f.OnFailure()
	if !f.lost {
		f.lost = true
		logevent.Warn(f.Log, logevent.PlatformLost).Str("kind", f.Kind).Err(err).Msg("platform lost")
	}
}
