package experiment

import (
	"time"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/core"
)

// awaitServing waits until every entry knows every upstream that the settings request.
func (f *Fleet) awaitServing() error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if f.Serving(ModelService) >= f.config.Agents*f.config.EnginesPerAgent && f.Serving(PlainService) >= f.config.Agents && f.ready() {
			return nil
		}
		time.Sleep(readyPoll)
	}
	return errors.Errorf("timed out waiting for the fleet: %d engines and %d plain services serve", f.Serving(ModelService), f.Serving(PlainService))
}

// ready reports whether every entry reports itself as ready to the balancer.
func (f *Fleet) ready() bool {
	for _, e := range f.entries() {
		ready := false
		e.Loop.View(func(s *core.State) { ready = s.ReadyForCallers })
		if !ready {
			return false
		}
	}
	return true
}

// Serving returns the lowest number of usable upstreams of a service that any entry knows.
func (f *Fleet) Serving(service string) int {
	minServing := -1
	for _, e := range f.entries() {
		n := 0
		e.Loop.View(func(s *core.State) {
			if s.Ready {
				n = len(s.Members.Candidates(time.Now(), Team, service))
			}
		})
		if minServing < 0 || n < minServing {
			minServing = n
		}
	}
	return minServing
}
