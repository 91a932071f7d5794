package serve

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// Faults holds the current faults of one stand-in; T is the struct of its fault fields.
type Faults[T any] struct {
	// OnMerge, if set, is called after each Merge.
	OnMerge func()

	mu      sync.Mutex
	value   T
	changed chan struct{}
}

// NewFaults returns faults with the initial value initial.
func NewFaults[T any](initial T) *Faults[T] {
	return &Faults[T]{value: initial, changed: make(chan struct{})}
}

// Get returns the current faults.
func (f *Faults[T]) Get() T {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.value
}

// Changed returns a channel that is closed by the next Merge.
func (f *Faults[T]) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Take decrements a counted fault and reports whether the count was above 0.
func (f *Faults[T]) Take(counter func(*T) *int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	left := counter(&f.value)
	if *left <= 0 {
		return false
	}
	*left--
	return true
}

// Set changes the faults without closing the channel that Changed returned.
func (f *Faults[T]) Set(change func(*T)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.value)
}

// WaitWhile waits while held returns true for the faults. It returns the error of ctx if ctx ends first.
func (f *Faults[T]) WaitWhile(ctx context.Context, held func(T) bool) error {
	for {
		changed := f.Changed()
		if !held(f.Get()) {
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Merge overwrites the faults that are fields of the JSON object patch, and keeps the others. It returns an error, and changes nothing, if
// the patch is malformed or has an unknown field.
func (f *Faults[T]) Merge(patch []byte) error {
	if err := f.merge(patch); err != nil {
		return err
	}
	if f.OnMerge != nil {
		f.OnMerge()
	}
	return nil
}

func (f *Faults[T]) merge(patch []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	current, err := json.Marshal(f.value)
	if err != nil {
		return errors.Wrap(err, "copy the faults")
	}
	var next T
	if err := json.Unmarshal(current, &next); err != nil {
		return errors.Wrap(err, "copy the faults")
	}
	decoder := json.NewDecoder(bytes.NewReader(patch))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&next); err != nil {
		return errors.Wrap(err, "read the faults")
	}
	f.value = next
	f.notify()
	return nil
}

// change changes the faults and closes the channel that Changed returned. It does not call OnMerge.
func (f *Faults[T]) change(apply func(*T)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	apply(&f.value)
	f.notify()
}

// notify wakes all waiters. The caller holds mu.
func (f *Faults[T]) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// ServeHTTP handles GET and POST /admin/faults.
func (f *Faults[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		body, ok := ReadBody(w, r)
		if !ok {
			return
		}
		if err := f.Merge(body); err != nil {
			Fail(w, http.StatusBadRequest, err.Error())
			return
		}
	}
	WriteJSON(w, http.StatusOK, f.Get())
}

// wildcardName stands for all names in the body of POST /admin/faults.
const wildcardName = "*"

// NamedFaults holds the faults of the engines or services of one process, by name.
type NamedFaults[T any] map[string]*Faults[T]

// ServeHTTP handles GET and POST /admin/faults, whose bodies are objects of faults by name. The entry "*" is merged into all faults,
// before the other entries.
func (n NamedFaults[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var patches map[string]json.RawMessage
		if !ReadJSON(w, r, &patches) {
			return
		}
		if err := n.merge(patches); err != nil {
			Fail(w, http.StatusBadRequest, err.Error())
			return
		}
	}
	current := make(map[string]T, len(n))
	for name, faults := range n {
		current[name] = faults.Get()
	}
	WriteJSON(w, http.StatusOK, current)
}

func (n NamedFaults[T]) merge(patches map[string]json.RawMessage) error {
	for name := range patches {
		if _, known := n[name]; !known && name != wildcardName {
			return errors.Errorf("no such name: %s", name)
		}
	}
	if patch, ok := patches[wildcardName]; ok {
		for _, faults := range n {
			if err := faults.Merge(patch); err != nil {
				return err
			}
		}
	}
	for name, patch := range patches {
		if name == wildcardName {
			continue
		}
		if err := n[name].Merge(patch); err != nil {
			return err
		}
	}
	return nil
}
