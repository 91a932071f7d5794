package storefeed

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/core/storerev"
	"samphireweir.example/samphireweir/platform"
)

// List lists the store.
func (f *virtualFleet) List(context.Context, string, bool) ([]platform.Object, storerev.Revision, error) {
	f.mu.Lock()
	f.lists++
	objects, revision := f.objects, f.revision
	f.mu.Unlock()
	time.Sleep(storeListLatency)
	return objects, revision, nil
}

// Watch waits for changes in the store.
func (f *virtualFleet) Watch(ctx context.Context, _ string, since storerev.Revision, wait time.Duration) ([]platform.Object, storerev.Revision, error) {
	f.mu.Lock()
	f.watches++
	changed := f.changed
	f.mu.Unlock()
	if changes, at, err := f.changesSince(since); err != nil || len(changes) > 0 {
		return changes, at, err
	}
	select {
	case <-changed:
	case <-time.After(wait):
	case <-ctx.Done():
		return nil, storerev.Revision{}, ctx.Err()
	}
	return f.changesSince(since)
}

// changesSince returns the objects that changed since a revision, or ErrCompacted if the store was restored since.
func (f *virtualFleet) changesSince(revision storerev.Revision) ([]platform.Object, storerev.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !revision.SameEra(f.revision) {
		return nil, storerev.Revision{}, platform.ErrCompacted
	}
	var changes []platform.Object
	for _, o := range f.objects {
		if o.Revision.After(revision) {
			changes = append(changes, o)
		}
	}
	return changes, storerev.Max(f.revision, revision), nil
}

// writeObject writes the object with index i.
func (f *virtualFleet) writeObject(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision.Number++
	objects := append([]platform.Object(nil), f.objects...)
	objects[i].Revision = f.revision
	f.objects = objects
	close(f.changed)
	f.changed = make(chan struct{})
}

// keepBackup makes the current content the backup from which the store is restored.
func (f *virtualFleet) keepBackup() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.backup, f.backupRevision = slices.Clone(f.objects), f.revision
}

// restore takes the store down for a while and has it come back from the backup, in a new era.
func (f *virtualFleet) restore(downtime time.Duration) {
	f.mu.Lock()
	f.down = true
	close(f.changed)
	f.changed = make(chan struct{})
	f.mu.Unlock()
	time.Sleep(downtime)
	f.mu.Lock()
	defer f.mu.Unlock()
	era := f.revision.Era + 1
	f.objects, f.revision = slices.Clone(f.backup), storerev.Revision{Era: era, Number: f.backupRevision.Number}
	for i := range f.objects {
		f.objects[i].Revision.Era = era
	}
	f.down = false
}

// directStore is the store as a process reaches it, which may be cut off from it.
type directStore struct {
	*virtualFleet
	process *virtualProcess
}

// List lists the store.
func (d directStore) List(ctx context.Context, kind string, allowStale bool) ([]platform.Object, storerev.Revision, error) {
	if !d.reachable() {
		return nil, storerev.Revision{}, d.refuse()
	}
	return d.virtualFleet.List(ctx, kind, allowStale)
}

// reachable reports whether the process reaches the store and the store serves.
func (d directStore) reachable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.process.failure == healthy && !d.down
}

// refuse counts a refused call and returns its error.
func (d directStore) refuse() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refused++
	return errors.New("the store is unreachable")
}

// Watch waits for changes in the store. It fails if the process loses the store meanwhile.
func (d directStore) Watch(ctx context.Context, kind string, since storerev.Revision, wait time.Duration) ([]platform.Object, storerev.Revision, error) {
	if !d.reachable() {
		return nil, storerev.Revision{}, d.refuse()
	}
	objects, at, err := d.virtualFleet.Watch(ctx, kind, since, wait)
	if !d.reachable() {
		return nil, storerev.Revision{}, errors.New("the store is unreachable")
	}
	return objects, at, err
}
