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
	"samphireweir.example/samphireweir/internal/storefeed"
	"samphireweir.example/samphireweir/platform"
)

const (
	kind     = "things"
	patience = 30 * time.Second
)

// store counts its calls and answers each with the same objects.
type store struct {
	mu    sync.Mutex
	calls int
	// hold, when set, keeps lists waiting until their caller leaves.
	hold bool
	down bool
	// news are told by each watch.
	news     []platform.Object
	revision int64
}

func (s *store) enter() (hold, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.hold, s.down
}

func (s *store) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// List returns the one object.
func (s *store) List(ctx context.Context, _ string, _ bool) ([]platform.Object, int64, error) {
	hold, down := s.enter()
	if hold {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	if down {
		return nil, 0, errors.New("the store is down")
	}
	return []platform.Object{{Name: "a", Revision: 3, Spec: []byte(`{"x":1}`)}}, s.revision, nil
}

// Watch returns the news.
func (s *store) Watch(_ context.Context, _ string, revision int64, _ time.Duration) ([]platform.Object, int64, error) {
	if _, down := s.enter(); down {
		return nil, 0, errors.New("the store is down")
	}
	return s.news, max(revision, s.revision), nil
}

// process is a process that reads the store.
type process struct {
	*storefeed.Reader
	address string
	mu      sync.Mutex
	failed  []string
}

func start(t *testing.T, s *store) *process {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	cache := storefeed.NewCache(2 * time.Second)
	mux := http.NewServeMux()
	mux.Handle(control.Path, control.NewServer(cache.Handlers()))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: patience}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	pool := control.NewPool(l.Addr().String(), "", (&net.Dialer{}).DialContext)
	t.Cleanup(pool.Close)
	p := &process{address: l.Addr().String()}
	p.Reader = &storefeed.Reader{Direct: s, Peers: pool, Cache: cache, Choice: &storefeed.Choice{}, Failed: func(address string, _ error) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.failed = append(p.failed, address)
		p.Choice.Set("") // As the reducer does when no other entry is left.
	}}
	return p
}

func TestObjectsComeThroughTheOtherProcessAsTheStoreHasThem(t *testing.T) {
	t.Parallel()
	s := &store{revision: 5}
	first, second := start(t, s), start(t, s)
	second.Choice.Set(first.address)
	listed := make(chan struct{})
	go func() {
		defer close(listed)
		objects, revision, err := second.List(context.Background(), kind, false)
		require.NoError(t, err)
		require.Equal(t, int64(5), revision)
		require.Equal(t, []platform.Object{{Name: "a", Revision: 3, Spec: []byte(`{"x":1}`)}}, objects)
	}()
	_, _, err := first.List(context.Background(), kind, false)
	require.NoError(t, err)
	<-listed
	require.Equal(t, 1, s.count(), "only the first asked the store")
	s.news, s.revision = []platform.Object{{Name: "a", Revision: 7, Deleted: true}}, 8
	_, _, err = first.Watch(context.Background(), kind, 5, 0)
	require.NoError(t, err)
	objects, revision, err := second.Watch(context.Background(), kind, 5, time.Second)
	require.NoError(t, err)
	require.Equal(t, int64(8), revision)
	require.Equal(t, []platform.Object{{Name: "a", Revision: 7, Deleted: true}}, objects)
	require.Equal(t, 2, s.count())
}

// TestAProcessThatHasLostTheStoreIsNoSource has one process read from another that has not read anything.
func TestAProcessThatHasLostTheStoreIsNoSource(t *testing.T) {
	t.Parallel()
	s := &store{revision: 9, news: []platform.Object{{Name: "b", Revision: 9}}}
	first, second := start(t, s), start(t, s)
	second.Choice.Set(first.address)
	objects, revision, err := second.Watch(context.Background(), kind, 5, time.Second)
	require.NoError(t, err)
	require.Equal(t, int64(9), revision)
	require.Len(t, objects, 1)
	require.Equal(t, []string{first.address}, second.failed)
}

// TestASilentProcessIsNoSource has a listener that takes connections and never answers.
func TestASilentProcessIsNoSource(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	s := &store{revision: 9}
	p := start(t, s)
	p.Choice.Set(l.Addr().String())
	_, revision, err := p.Watch(context.Background(), kind, 5, time.Second)
	require.NoError(t, err)
	require.Equal(t, int64(9), revision)
	p.Choice.Set(l.Addr().String())
	_, _, err = p.List(context.Background(), kind, false)
	require.NoError(t, err)
}

// TestAListFromTheStoreIsGivenUpForANearerSource has a list of the store hang, as over a link that is full.
func TestAListFromTheStoreIsGivenUpForANearerSource(t *testing.T) {
	t.Parallel()
	slow := &store{revision: 5, hold: true}
	first, second := start(t, &store{revision: 5}), start(t, slow)
	_, _, err := first.List(context.Background(), kind, false)
	require.NoError(t, err)
	listed := make(chan error, 1)
	go func() {
		_, _, err := second.List(context.Background(), kind, false)
		listed <- err
	}()
	require.Eventually(t, func() bool { return slow.count() == 1 }, patience, time.Millisecond)
	second.Choice.Set(first.address)
	require.NoError(t, <-listed)
}

// TestAStoreThatIsDownIsAnErrorHoweverItIsRead has neither the other process nor the store answer.
func TestAStoreThatIsDownIsAnErrorHoweverItIsRead(t *testing.T) {
	t.Parallel()
	s := &store{down: true}
	first, second := start(t, s), start(t, s)
	second.Choice.Set(first.address)
	_, _, err := second.Watch(context.Background(), kind, 5, 0)
	require.Error(t, err)
	second.Choice.Set(first.address)
	_, _, err = second.List(context.Background(), kind, false)
	require.Error(t, err)
}

// TestAnAgentDoesNotTurnToTheStoreWhenItsEntriesHaveLostIt is the pattern of a store that comes back to a large fleet: entries hear from it first, and
// agents from these.
func TestAnAgentDoesNotTurnToTheStoreWhenItsEntriesHaveLostIt(t *testing.T) {
	t.Parallel()
	s := &store{revision: 5}
	first, agent := start(t, s), start(t, s)
	agent.Patient = true
	agent.Choice.Set(first.address)
	_, _, err := agent.Watch(context.Background(), kind, 5, 0)
	require.Error(t, err, "the entry has read nothing")
	require.Equal(t, []string{first.address}, agent.failed, "another entry may have heard")
	_, _, err = agent.Watch(context.Background(), kind, 5, 0)
	require.Error(t, err, "there is none")
	_, _, err = agent.List(context.Background(), kind, false)
	require.Error(t, err)
	require.Zero(t, s.count())
	agent.Choice.Set(first.address) // As the reducer does after a while.
	_, _, err = first.List(context.Background(), kind, false)
	require.NoError(t, err)
	objects, _, err := agent.List(context.Background(), kind, false)
	require.NoError(t, err)
	require.Len(t, objects, 1)
	require.Equal(t, 1, s.count(), "the entry's list")
}
