package storefeed

import (
	"context"
	"sync"
	"time"
)

// Source is where a process currently reads from: a peer or the store itself. Its zero value is the store. It is safe for
// concurrent use.
type Source struct {
	mu      sync.Mutex
	address string
	// changed is a context that is cancelled when the source changes; nil until a list needs it. cancel cancels it.
	changed context.Context
	cancel  context.CancelFunc
	// listsAllowed is closed when lists no longer wait to learn their source; nil if they never had to. released is set once
	// it is closed.
	listsAllowed chan struct{}
	released     bool
}

// delayLists makes lists wait until releaseLists is called, but for at most d.
func (s *Source) delayLists(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listsAllowed = make(chan struct{})
	time.AfterFunc(d, s.releaseLists)
}

// releaseLists ends the delay that delayLists started.
func (s *Source) releaseLists() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseListsLocked()
}

// releaseListsLocked is releaseLists for callers that hold the lock.
func (s *Source) releaseListsLocked() {
	if s.listsAllowed != nil && !s.released {
		s.released = true
		close(s.listsAllowed)
	}
}

// waitUntilReleased waits while lists are delayed.
func (s *Source) waitUntilReleased(ctx context.Context) {
	s.mu.Lock()
	allowed := s.listsAllowed
	s.mu.Unlock()
	if allowed == nil {
		return
	}
	select {
	case <-allowed:
	case <-ctx.Done():
	}
}

// Address returns the address of the peer to read from; empty for the store.
func (s *Source) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Set changes the source. It cancels lists that are in progress.
func (s *Source) Set(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if address == s.address {
		return
	}
	s.address = address
	if s.cancel != nil {
		s.cancel()
		s.changed, s.cancel = nil, nil
	}
}

// beginList returns the current source, a context that is cancelled when ctx is or when the source changes, and a
// function that the caller must call after the list.
func (s *Source) beginList(ctx context.Context) (address string, listCtx context.Context, done func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed, s.cancel = context.WithCancel(context.Background())
	}
	listCtx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(s.changed, cancel)
	return s.address, listCtx, func() {
		stop()
		cancel()
	}
}
