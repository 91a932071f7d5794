package storewatch

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// errStoreRecovered ends a call that was sent before the store answered again.
var errStoreRecovered = errors.New("the store answers again; the call may have been lost")

// recovery is shared by the followers of one store. A store that falls silent may lose calls that were sent to it meanwhile. When it answers
// one follower after a failed call, the calls of the others are sent again: otherwise they would go on waiting, although the store has
// answers for them.
type recovery struct {
	mu     sync.Mutex
	failed bool
	// cancels ends the calls that wait, by their number.
	cancels map[uint64]context.CancelCauseFunc
	next    uint64
}

func newRecovery() *recovery { return &recovery{cancels: map[uint64]context.CancelCauseFunc{}} }

// begin returns the context of a call, which ends when the store answers another one after a failure. end must be called after the call.
func (r *recovery) begin(ctx context.Context) (callCtx context.Context, end func()) {
	callCtx, cancel := context.WithCancelCause(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	number := r.next
	r.next++
	r.cancels[number] = cancel
	return callCtx, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.cancels, number)
		cancel(nil)
	}
}

// callFailed records that a call failed.
func (r *recovery) callFailed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed = true
}

// callAnswered records that a call was answered.
func (r *recovery) callAnswered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.failed {
		return
	}
	r.failed = false
	for _, cancel := range r.cancels {
		cancel(errStoreRecovered)
	}
}
