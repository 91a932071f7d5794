package entry

import (
	"sync"
	"testing"
)

// maxConcurrentFleets bounds the number of fleets of all batches that run at the same time. It may exceed the number
// of cores, because fleets mostly wait.
const maxConcurrentFleets = 40

// fleetSlots is a semaphore with a slot for each concurrent fleet.
var fleetSlots = make(chan struct{}, maxConcurrentFleets)

// batch runs subtests concurrently, regardless of GOMAXPROCS (unlike t.Parallel).
type batch struct {
	t     *testing.T
	tests sync.WaitGroup
}

func newBatch(t *testing.T) *batch { return &batch{t: t} }

func (b *batch) run(name string, test func(*testing.T)) {
	b.tests.Go(func() {
		fleetSlots <- struct{}{}
		defer func() { <-fleetSlots }()
		b.t.Run(name, test)
	})
}

func (b *batch) wait() { b.tests.Wait() }
