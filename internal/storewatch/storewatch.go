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

	"samphireweir.example/samphireweir/internal/core/catalog"
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
	// minVersionCallInterval is the minimum time between two calls to the store for versions of weights. They change seldom, and their age
	// counts from the moment at which the process hears of them.
	minVersionCallInterval = 50 * time.Millisecond
	// initialRetryDelay and maxRetryDelay bound the delay after a failed call. It doubles with each failure.
	initialRetryDelay = 100 * time.Millisecond
	maxRetryDelay     = 500 * time.Millisecond
	// maxAnswerDelay is how much longer than a call waits its answer may take if nothing disturbs the store or the path to it. With maxWait
	// it is less than the time after which the platform expects a process to be up to date.
	maxAnswerDelay = 600 * time.Millisecond
	// maxWatchLag is how long a watch may miss changes that were made, before the store drops its history and the watches must begin anew.
	maxWatchLag = time.Second
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
	// LastRead returns what is to be known of the last read of a kind; nil if all reads are of the store itself.
	LastRead func(kind string) ReadInfo
	// OnResponse is called before the objects of each response are delivered, OnFailure after each failed call, OnHistoryGone when the store
	// must be listed again.
	OnResponse    func(catalog.StoreAnswered)
	OnFailure     func(catalog.StoreFailed)
	OnHistoryGone func()
	Log           zerolog.Logger

	// recovery is shared with the other followers of the store; nil if there are none.
	recovery *recovery
	// lost is set while calls fail.
	lost bool
	// polledRevision is the revision of the last successful poll.
	polledRevision storerev.Revision
}

// ReadInfo is what is to be known of a read that may have been made through a peer.
type ReadInfo struct {
	// Wait is how long the source waited for a change before it answered that there was none.
	Wait time.Duration
	// Age is how long before the read the store may have answered.
	Age time.Duration
	// Rerouted is set if another source had not answered the read before.
	Rerouted bool
}

// call is a call to the store.
type call struct {
	startedAt time.Time
	// revision is the one from which to watch. The zero revision lists the kind.
	revision storerev.Revision
	// wait is how long the store waits for a change.
	wait time.Duration
}

// Run lists the kind and watches it for changes until ctx is cancelled. After a failed call, calls don't wait for changes until one is
// answered: a lost call is noticed soon then, and so is the end of an outage.
func (f *Follower) Run(ctx context.Context) {
	retryDelay := initialRetryDelay
	c := call{wait: f.Wait}
	var historyGoneAt time.Time
	for ctx.Err() == nil {
		c.startedAt = time.Now()
		next, err := f.readUntilRecovery(ctx, c)
		if errors.Is(err, errStoreRecovered) {
			continue
		}
		if err == nil {
			f.recordSuccess()
			c.revision, c.wait, retryDelay = next, f.Wait, initialRetryDelay
			periodic.Sleep(ctx, f.callInterval()-time.Since(c.startedAt))
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, platform.ErrCompacted) {
			f.recordSuccess()
			f.OnHistoryGone()
			periodic.Sleep(ctx, minCallInterval-time.Since(historyGoneAt)) // The list may have been stale, and the next one as well.
			historyGoneAt = time.Now()
			c.revision, c.wait = storerev.Revision{}, f.Wait
			continue
		}
		f.recordFailure(err, f.failed(c, err))
		c.wait = 0
		periodic.Sleep(ctx, retryDelay/2+rand.N(retryDelay))
		retryDelay = min(2*retryDelay, maxRetryDelay)
	}
}

// answered describes the answer to a call.
func (f *Follower) answered(c call, at storerev.Revision) catalog.StoreAnswered {
	info, elapsed := f.lastRead(c), time.Since(c.startedAt)
	watched, delayed := !c.revision.IsStart(), info.Rerouted || elapsed > info.Wait+maxAnswerDelay
	asOf := c.startedAt.Add(-info.Age - maxWatchLag)
	if watched && elapsed >= info.Wait && !delayed {
		asOf = asOf.Add(info.Wait) // Had there been a change, the answer would have come sooner.
	}
	return catalog.StoreAnswered{AsOf: asOf, Revision: at, Watched: watched, Delayed: delayed}
}

// failed describes a failed call. One that ends before the store had to answer it may have been cut off while nothing disturbed the store,
// and one that exceeds a limit is rejected by an undisturbed store.
func (f *Follower) failed(c call, err error) catalog.StoreFailed {
	info := f.lastRead(c)
	mayWait := !c.revision.IsStart() && time.Since(c.startedAt) < info.Wait
	return catalog.StoreFailed{SentAt: c.startedAt.Add(-info.Age), Lost: !mayWait && !errors.Is(err, platform.ErrRateLimited)}
}

// lastRead describes the read of a call.
func (f *Follower) lastRead(c call) ReadInfo {
	if f.LastRead == nil {
		return ReadInfo{Wait: c.wait}
	}
	return f.LastRead(f.Kind)
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
			f.recordFailure(err, catalog.StoreFailed{})
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
			f.OnResponse(catalog.StoreAnswered{})
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
	f.OnResponse(catalog.StoreAnswered{})
	f.OnList(at, objects)
	f.polledRevision = at
	return nil
}

// shared reports whether the store is read through a peer.
func (f *Follower) shared() bool { return f.ReadsFromPeer != nil && f.ReadsFromPeer() }

// callInterval is the minimum time between two calls.
func (f *Follower) callInterval() time.Duration {
	switch {
	case f.shared():
		return minPeerCallInterval
	case f.Kind == platform.VersionKind:
		return minVersionCallInterval
	}
	return minCallInterval
}

// readUntilRecovery is like read, and returns errStoreRecovered if the store answered another follower after a failure while the call waited.
func (f *Follower) readUntilRecovery(ctx context.Context, c call) (storerev.Revision, error) {
	if f.recovery == nil {
		return f.read(ctx, c)
	}
	callCtx, end := f.recovery.begin(ctx)
	defer end()
	next, err := f.read(callCtx, c)
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

// read makes one call and returns the revision for the next one.
func (f *Follower) read(ctx context.Context, c call) (storerev.Revision, error) {
	if c.revision.IsStart() {
		objects, at, err := f.Store.List(ctx, f.Kind, false)
		if err != nil {
			return storerev.Revision{}, err
		}
		f.OnResponse(f.answered(c, at))
		f.OnList(at, objects)
		return at, nil
	}
	objects, at, err := f.Store.Watch(ctx, f.Kind, c.revision, c.wait)
	if err != nil {
		return storerev.Revision{}, err
	}
	f.OnResponse(f.answered(c, at))
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
func (f *Follower) recordFailure(err error, ev catalog.StoreFailed) {
	f.OnFailure(ev)
	if !f.lost {
		f.lost = true
		logevent.Warn(f.Log, logevent.PlatformLost).Str("kind", f.Kind).Err(err).Msg("platform lost")
	}
}
