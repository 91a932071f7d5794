package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/objectapi"
	"samphireweir.example/samphireweir/internal/setting"
)

const (
	// attemptTimeout is the timeout of one attempt of a write; a call that hangs is cancelled and retried.
	attemptTimeout = 3 * time.Second
	// initialBackoff and maxBackoff bound the wait between two attempts.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// Applied describes an accepted change.
type Applied struct {
	// Key is the setting's key in the object API.
	Key string
	// Revision is the version of the object that the change created.
	Revision uint64
	// Digest is the digest of the setting's weights; empty for a setting without weights.
	Digest string
	// ChangeID is the id of the change.
	ChangeID string
	// Recovered is set if the answer to a write was lost and the outcome was determined by a later attempt.
	Recovered bool
	// LaterChanges lists later changes, if other operators made some before the outcome of this one was known.
	LaterChanges []setting.HistoryEntry
}

// pendingWrite is a conditional write of one change to the object API.
type pendingWrite struct {
	key string
	// seen is the object's version that the write requires.
	seen  uint64
	info  setting.ChangeInfo
	value []byte
	// outcomeUnknown is set if an attempt may have taken effect although no answer was received.
	outcomeUnknown bool
}

// change writes s, nil for a deletion, on condition that the object's version is seen. It returns a SettingConflict error if it isn't, and
// a PlatformDown error if the outcome is unknown when ctx ends.
func (e *Editor) change(ctx context.Context, team, service string, s *setting.Setting, seen uint64) (Applied, error) {
	present, err := e.Read(ctx, team, service)
	if err != nil {
		return Applied{}, err
	}
	if present.Version != seen {
		return Applied{}, conflictError(present, seen)
	}
	w := &pendingWrite{key: present.Key, seen: seen, info: e.newChangeInfo()}
	next := present.Object.Next(seen, s, w.info)
	if w.value, err = json.Marshal(next); err != nil {
		return Applied{}, errors.Wrap(err, "encode setting")
	}
	applied, err := e.commit(ctx, w)
	applied.Digest = next.Digest
	return applied, err
}

// newChangeInfo returns the id, author and time of a new change.
func (e *Editor) newChangeInfo() setting.ChangeInfo {
	return setting.ChangeInfo{Change: uuid.NewString(), Author: e.Author, At: time.Now().UTC().Format(time.RFC3339)}
}

// commit repeats a conditional write until its outcome is known or ctx ends. Repeating it is safe: the condition lets at most one attempt
// take effect, since an attempt that arrives late finds another version.
func (e *Editor) commit(ctx context.Context, w *pendingWrite) (Applied, error) {
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		item, err := e.attempt(ctx, w)
		var conflicted *objectapi.ConflictError
		switch {
		case err == nil:
			return Applied{Key: w.key, Revision: item.Version, ChangeID: w.info.Change, Recovered: w.outcomeUnknown}, nil
		case errors.As(err, &conflicted):
			return w.resolveConflict(conflicted.Current)
		}
		w.outcomeUnknown = w.outcomeUnknown || !refusedWithoutEffect(err)
		if !sleep(ctx, max(backoff, retryAfter(err))) {
			return Applied{}, w.unconfirmedError(err)
		}
	}
}

// attempt makes the write once.
func (e *Editor) attempt(ctx context.Context, w *pendingWrite) (objectapi.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return e.Objects.Put(ctx, w.key, w.value, w.seen)
}

// resolveConflict determines the outcome of the write from the present object, whose version differs from the required one: an earlier
// attempt may have created that version or one before it. Otherwise another operator changed the setting, which is a SettingConflict error.
func (w *pendingWrite) resolveConflict(item objectapi.Item) (Applied, error) {
	item.Key = w.key
	present, err := stateOf(item)
	if err != nil {
		return Applied{}, err
	}
	revision, ok := present.Object.FindChange(w.info.Change, present.Version)
	if ok {
		return Applied{
			Key: w.key, Revision: revision, ChangeID: w.info.Change, Recovered: true, LaterChanges: statesSince(present, revision),
		}, nil
	}
	if w.outcomeUnknown && !present.Object.CompleteSince(w.seen) {
		return Applied{}, code.Errorf(code.PlatformDown, w.key,
			"the answer to the write was lost, and later changes have pushed its version out of the history: whether change %s took effect is unknown", w.info.Change)
	}
	return Applied{}, conflictError(present, w.seen)
}

// unconfirmedError returns the error of a write whose last attempt failed with cause.
func (w *pendingWrite) unconfirmedError(cause error) error {
	if !w.outcomeUnknown {
		return code.Errorf(code.PlatformDown, w.key, "nothing was changed: %v", cause)
	}
	return code.Errorf(code.PlatformDown, w.key,
		"the platform did not confirm the write (%v): whether change %s took effect is unknown; `settings history` lists it if it did", cause, w.info.Change)
}

// refusedWithoutEffect reports whether the platform certainly didn't carry out a write. Only status 429 proves that: a 503 may come from
// a proxy in front of the platform after the write took effect.
func refusedWithoutEffect(err error) bool {
	var r *objectapi.RejectedError
	return errors.As(err, &r) && r.Status == http.StatusTooManyRequests
}

// retryAfter returns the Retry-After delay of a refusal, at most maxBackoff; 0 if err is none.
func retryAfter(err error) time.Duration {
	var r *objectapi.RejectedError
	if errors.As(err, &r) {
		return min(r.RetryAfter, maxBackoff)
	}
	return 0
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
