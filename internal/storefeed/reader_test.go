package storefeed_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/control"
	"samphireweir.example/samphireweir/internal/core/storerev"
	"samphireweir.example/samphireweir/internal/storefeed"
	"samphireweir.example/samphireweir/platform"
)

const (
	kind = "things"
	// testTimeout bounds waits in these tests.
	testTimeout = 30 * time.Second
)

// store is a fake store that returns the same objects to each call and counts the calls.
type store struct {
	mu    sync.Mutex
	calls int
	// blockLists makes lists wait until their context is cancelled, and down makes all other calls fail.
	blockLists bool
	down       bool
	// changes are returned by each watch.
	changes  []platform.Object
	revision storerev.Revision
}

// recordCall counts a call and returns what is wrong with the store.
func (s *store) recordCall() (blockLists, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.blockLists, s.down
}

func (s *store) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// List returns one object.
func (s *store) List(ctx context.Context, _ string, _ bool) ([]platform.Object, storerev.Revision, error) {
	blockLists, down := s.recordCall()
	if blockLists {
		<-ctx.Done()
		return nil, storerev.Revision{}, ctx.Err()
	}
	if down {
		return nil, storerev.Revision{}, errors.New("the store is down")
	}
	return []platform.Object{{Name: "a", Revision: storerev.Revision{Number: 3}, Spec: []byte(`{"x":1}`)}}, s.revision, nil
}

// Watch returns the changes.
func (s *store) Watch(_ context.Context, _ string, since storerev.Revision, _ time.Duration) ([]platform.Object, storerev.Revision, error) {
	if _, down := s.recordCall(); down {
		return nil, storerev.Revision{}, errors.New("the store is down")
	}
	return s.changes, storerev.Max(since, s.revision), nil
}

// process is a process that reads the store and serves what it read to its peers.
type process struct {
	*storefeed.Reader
	address string
	mu      sync.Mutex
	// failedPeers are the addresses of the peers whose failure was reported.
	failedPeers []string
}

func startProcess(t *testing.T, s *store) *process {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	cache := storefeed.NewCache(2 * time.Second)
	mux := http.NewServeMux()
	mux.Handle(control.Path, control.NewServer(cache.Handlers()))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: testTimeout}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	pool := control.NewPool(l.Addr().String(), "", (&net.Dialer{}).DialContext)
	t.Cleanup(pool.Close)
	p := &process{address: l.Addr().String()}
	p.Reader = &storefeed.Reader{Direct: s, Caller: pool, Cache: cache, Source: &storefeed.Source{}, OnPeerFailure: func(address string, _ error) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.failedPeers = append(p.failedPeers, address)
		p.Source.Set("") // The reducer does the same when no other entry is left.
	}}
	return p
}

// TestReadThroughPeerReturnsStoreObjects guards against objects, revisions or removals that a peer passes on differently
// from the store, and against a reader that calls the store although a peer responds.
func TestReadThroughPeerReturnsStoreObjects(t *testing.T) {
	t.Parallel()
	s := &store{revision: storerev.Revision{Number: 5}}
	first, second := startProcess(t, s), startProcess(t, s)
	second.Source.Set(first.address)
	listed := make(chan struct{})
	go func() {
		defer close(listed)
		objects, revision, err := second.List(context.Background(), kind, false)
		require.NoError(t, err)
		require.Equal(t, storerev.Revision{Number: 5}, revision)
		require.Equal(t, []platform.Object{{Name: "a", Revision: storerev.Revision{Number: 3}, Spec: []byte(`{"x":1}`)}}, objects)
	}()
	_, _, err := first.List(context.Background(), kind, false)
	require.NoError(t, err)
	<-listed
	require.Equal(t, 1, s.callCount(), "only the first process called the store")
	s.changes, s.revision = []platform.Object{{Name: "a", Revision: storerev.Revision{Number: 7}, Deleted: true}}, storerev.Revision{Number: 8}
	_, _, err = first.Watch(context.Background(), kind, storerev.Revision{Number: 5}, 0)
	require.NoError(t, err)
	objects, revision, err := second.Watch(context.Background(), kind, storerev.Revision{Number: 5}, time.Second)
	require.NoError(t, err)
	require.Equal(t, storerev.Revision{Number: 8}, revision)
	require.Equal(t, []platform.Object{{Name: "a", Revision: storerev.Revision{Number: 7}, Deleted: true}}, objects)
	require.Equal(t, 2, s.callCount())
}

// TestReaderReadsStoreWhenPeerIsStale guards against a reader that keeps reading from a peer without data. The peer has
// not read anything, so that the reader reports its failure and reads the store.
func TestReaderReadsStoreWhenPeerIsStale(t *testing.T) {
	t.Parallel()
	s := &store{revision: storerev.Revision{Number: 9}, changes: []platform.Object{{Name: "b", Revision: storerev.Revision{Number: 9}}}}
	first, second := startProcess(t, s), startProcess(t, s)
	second.Source.Set(first.address)
	objects, revision, err := second.Watch(context.Background(), kind, storerev.Revision{Number: 5}, time.Second)
	require.NoError(t, err)
	require.Equal(t, storerev.Revision{Number: 9}, revision)
	require.Len(t, objects, 1)
	require.Equal(t, []string{first.address}, second.failedPeers)
}

// TestReaderReadsStoreWhenPeerDoesNotRespond guards against a reader that hangs on an unresponsive peer, here a listener
// that accepts connections and never responds.
func TestReaderReadsStoreWhenPeerDoesNotRespond(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	s := &store{revision: storerev.Revision{Number: 9}}
	p := startProcess(t, s)
	p.Source.Set(l.Addr().String())
	_, revision, err := p.Watch(context.Background(), kind, storerev.Revision{Number: 5}, time.Second)
	require.NoError(t, err)
	require.Equal(t, storerev.Revision{Number: 9}, revision)
	p.Source.Set(l.Addr().String())
	_, _, err = p.List(context.Background(), kind, false)
	require.NoError(t, err)
}

// TestListIsRestartedWhenSourceChanges guards against a process that waits for a slow list of the store, as over a
// saturated link, although a peer could serve the list by now.
func TestListIsRestartedWhenSourceChanges(t *testing.T) {
	t.Parallel()
	slow := &store{revision: storerev.Revision{Number: 5}, blockLists: true}
	first, second := startProcess(t, &store{revision: storerev.Revision{Number: 5}}), startProcess(t, slow)
	_, _, err := first.List(context.Background(), kind, false)
	require.NoError(t, err)
	listed := make(chan error, 1)
	go func() {
		_, _, err := second.List(context.Background(), kind, false)
		listed <- err
	}()
	require.Eventually(t, func() bool { return slow.callCount() == 1 }, testTimeout, time.Millisecond)
	second.Source.Set(first.address)
	require.NoError(t, <-listed)
}

// TestReadFailsWhenPeerAndStoreFail guards against a read that hangs or hides the error when neither the peer nor the
// store responds.
func TestReadFailsWhenPeerAndStoreFail(t *testing.T) {
	t.Parallel()
	s := &store{down: true}
	first, second := startProcess(t, s), startProcess(t, s)
	second.Source.Set(first.address)
	_, _, err := second.Watch(context.Background(), kind, storerev.Revision{Number: 5}, 0)
	require.Error(t, err)
	second.Source.Set(first.address)
	_, _, err = second.List(context.Background(), kind, false)
	require.Error(t, err)
}

// TestAgentDoesNotReadStoreWhenItsEntriesAreStale guards against all agents of a large fleet that read the store at once
// when it recovers: entries must read it first, and agents from the entries.
func TestAgentDoesNotReadStoreWhenItsEntriesAreStale(t *testing.T) {
	t.Parallel()
	s := &store{revision: storerev.Revision{Number: 5}}
	first, agent := startProcess(t, s), startProcess(t, s)
	agent.DelayDirectReads = true
	agent.Source.Set(first.address)
	_, _, err := agent.Watch(context.Background(), kind, storerev.Revision{Number: 5}, 0)
	require.Error(t, err, "the entry has read nothing")
	require.Equal(t, []string{first.address}, agent.failedPeers, "another entry may have recent data")
	_, _, err = agent.Watch(context.Background(), kind, storerev.Revision{Number: 5}, 0)
	require.Error(t, err, "there is no other entry")
	_, _, err = agent.List(context.Background(), kind, false)
	require.Error(t, err)
	require.Zero(t, s.callCount())
	agent.Source.Set(first.address) // The reducer does the same after some time.
	_, _, err = first.List(context.Background(), kind, false)
	require.NoError(t, err)
	objects, _, err := agent.List(context.Background(), kind, false)
	require.NoError(t, err)
	require.Len(t, objects, 1)
	require.Equal(t, 1, s.callCount(), "the entry's list")
}
