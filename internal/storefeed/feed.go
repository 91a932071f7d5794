package storefeed

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/control"
	"samphireweir.example/samphireweir/platform"
)

const (
	// Method is the call with which a process reads from another.
	Method = "store.read"
	// maxWait bounds how long a question may wait, below the time limit of a call between processes.
	maxWait = 2500 * time.Millisecond
	// servingFor is how long after the last question a process counts as one that others read from.
	servingFor = 3 * time.Second
	// peerWait is how long a question to another process waits for changes, so that one that stopped answering is noticed soon.
	peerWait = 500 * time.Millisecond
	// peerSlack is how much longer than it was asked to wait another process may take before it counts as silent.
	peerSlack = 300 * time.Millisecond
	// listTime bounds a list from another process: it may wait for its own list, and a megabyte takes a second over an agent's link.
	listTime = 2900 * time.Millisecond
	// behindFor is how long a patient process goes on asking entries that have not heard from the store of late, before it asks the store
	// itself. It is longer than entries take to hear again from a store that is back.
	behindFor = 8 * time.Second
)

// Object is an object of the store between processes; see platform.Object.
type Object struct {
	Name     string          `json:"name"`
	Revision int64           `json:"revision"`
	Deleted  bool            `json:"deleted,omitempty"`
	Spec     json.RawMessage `json:"spec,omitempty"`
}

// Question asks for what has changed of a kind.
type Question struct {
	Kind string `json:"kind"`
	// Since is the revision up to which the asker knows the kind; 0 for nothing.
	Since int64 `json:"since"`
	// WaitMS is how long to wait for news, in milliseconds.
	WaitMS int64 `json:"wait_ms"`
}

// State says what an answer is worth.
type State string

// The states of an answer.
const (
	// Told: Objects holds what is new, or all for a first question.
	Told State = "told"
	// Same: nothing is new.
	Same State = "same"
	// Gone: the changes since then are not known any more.
	Gone State = "gone"
	// Behind: the process has not heard from the store of late.
	Behind State = "behind"
)

// Answer is the answer to a Question.
type Answer struct {
	State    State    `json:"state"`
	Revision int64    `json:"revision"`
	Objects  []Object `json:"objects,omitempty"`
	// Packed holds the objects in place of Objects where they are many; see pack.
	Packed []byte `json:"packed,omitempty"`
	// AgeMS is how long ago the store was heard, in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// Handlers returns what answers other processes from a cache.
func (c *Cache) Handlers() control.Handlers {
	return control.Handlers{Method: func(ctx context.Context, _ string, params json.RawMessage) (any, error) {
		var q Question
		if err := control.Decode(params, &q); err != nil {
			return nil, err
		}
		return c.wait(ctx, q), nil
	}}
}

// errBehind says that a process has not heard from the store of late.
var errBehind = errors.New("the process asked has not heard from the store of late")

// Store is what the platform's store offers.
type Store interface {
	List(ctx context.Context, kind string, stale bool) ([]platform.Object, int64, error)
	Watch(ctx context.Context, kind string, revision int64, wait time.Duration) ([]platform.Object, int64, error)
}

// Caller makes calls to other processes; see control.Pool.
type Caller interface {
	Call(ctx context.Context, address, method string, params, answer any) error
}

// Reader reads the store itself or through another process, and keeps what it read. It is a Store.
type Reader struct {
	// Direct is the store itself.
	Direct Store
	// Peers asks other processes.
	Peers Caller
	// Cache keeps what is read; nil for a process that nobody reads from.
	Cache *Cache
	// Choice is where to read from.
	Choice *Choice
	// Failed hears of a process that did not answer, or has not heard from the store.
	Failed func(address string, err error)
	// Patient is set for a process that hears of what is urgent in another way: it does not turn to the store as soon as those that it reads
	// from have lost that. When a store comes back to a large fleet, all processes would ask it for the same at once and fill the links
	// between regions.
	Patient bool

	mu sync.Mutex
	// behindSince is since when those that are read from have said that they are behind; zero when they are not.
	behindSince time.Time
}

// List reads all objects of a kind. A list under way is begun anew when the place to read from changes.
func (r *Reader) List(ctx context.Context, kind string, stale bool) ([]platform.Object, int64, error) {
	r.Choice.await(ctx)
	for {
		address, during, done := r.Choice.begin(ctx)
		objects, revision, age, err := r.list(during, address, kind, stale)
		moved := during.Err() != nil && ctx.Err() == nil
		done()
		switch {
		case err == nil:
			r.keep(func(c *Cache) { c.listed(kind, objects, revision, age) })
			return objects, revision, nil
		case moved:
			continue
		case address == "", ctx.Err() != nil:
			return nil, 0, err
		}
		r.failed(address, err)
	}
}

func (r *Reader) list(ctx context.Context, address, kind string, stale bool) ([]platform.Object, int64, time.Duration, error) {
	if address == "" && r.waits() {
		return nil, 0, 0, errBehind
	}
	if address == "" {
		objects, revision, err := r.Direct.List(ctx, kind, stale)
		if err == nil {
			r.caughtUp()
		}
		return objects, revision, 0, err
	}
	return r.ask(ctx, address, Question{Kind: kind, WaitMS: maxWait.Milliseconds()}, listTime)
}

// Watch waits for changes of a kind. When the process that is read from fails, the store is asked at once.
func (r *Reader) Watch(ctx context.Context, kind string, revision int64, wait time.Duration) ([]platform.Object, int64, error) {
	if address := r.Choice.Address(); address != "" {
		asked := min(wait, peerWait)
		q := Question{Kind: kind, Since: revision, WaitMS: asked.Milliseconds()}
		objects, at, age, err := r.ask(ctx, address, q, asked+peerSlack)
		if err == nil {
			r.keep(func(c *Cache) { c.changedSince(kind, objects, at, age) })
		}
		if err == nil || errors.Is(err, platform.ErrHistoryGone) || ctx.Err() != nil {
			return objects, at, err
		}
		r.failed(address, err)
		if errors.Is(err, errBehind) && r.Choice.Address() != "" {
			return nil, 0, err // Another process is asked next, and may have heard: the store may turn this one away, too.
		}
		wait = 0 // What the other process did not tell may have been there for a while.
	}
	if r.waits() {
		return nil, 0, errBehind
	}
	if r.Cache != nil && r.Cache.serving() {
		wait = min(wait, r.Cache.storeWait)
	}
	objects, at, err := r.Direct.Watch(ctx, kind, revision, wait)
	if err == nil {
		r.caughtUp()
		r.keep(func(c *Cache) { c.changedSince(kind, objects, at, 0) })
	}
	return objects, at, err
}

// failed notes that a question to another process ended with err, so that another one is read from.
func (r *Reader) failed(address string, err error) {
	if errors.Is(err, errBehind) {
		r.fellBehind()
	}
	r.Failed(address, err)
}

// fellBehind notes that a process that is read from has not heard from the store of late.
func (r *Reader) fellBehind() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.behindSince.IsZero() {
		r.behindSince = time.Now()
	}
}

// waits tells whether the store is better not asked: this process is patient, and those that it reads from have lost the store a moment ago.
func (r *Reader) waits() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Patient && !r.behindSince.IsZero() && time.Since(r.behindSince) < behindFor
}

// caughtUp notes that the store was heard, by this process or by one that it reads from.
func (r *Reader) caughtUp() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.behindSince = time.Time{}
}

// Shared tells whether another process is read from; its calls cost nothing.
func (r *Reader) Shared() bool { return r.Choice.Address() != "" }

func (r *Reader) keep(note func(*Cache)) {
	if r.Cache != nil {
		note(r.Cache)
	}
}

// ask asks another process.
func (r *Reader) ask(ctx context.Context, address string, q Question, limit time.Duration) ([]platform.Object, int64, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var a Answer
	if err := r.Peers.Call(ctx, address, Method, q, &a); err != nil {
		return nil, 0, 0, err
	}
	switch {
	case a.State == Gone:
		return nil, 0, 0, platform.ErrHistoryGone
	case a.State == Behind, a.State == Same && q.Since == 0:
		return nil, 0, 0, errBehind
	}
	r.caughtUp()
	if len(a.Packed) > 0 {
		told, err := unpack(a.Packed)
		if err != nil {
			return nil, 0, 0, err
		}
		a.Objects = told
	}
	objects := make([]platform.Object, 0, len(a.Objects))
	for _, o := range a.Objects {
		objects = append(objects, platform.Object(o))
	}
	return objects, a.Revision, time.Duration(a.AgeMS) * time.Millisecond, nil
}
