package experiment

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/core/routing"
)

// Balancer sends callers to ready entries. Like the platform's balancer it checks their readiness periodically.
type Balancer struct {
	fleet *Fleet
	// client reads the readiness of the entries.
	client *http.Client
	mu     sync.Mutex
	ready  []string
	// checkedAt is when the last check started.
	checkedAt time.Time
	stop      chan struct{}
}

const (
	// checkInterval is the time between two checks of the balancer.
	checkInterval = 200 * time.Millisecond
	// maxStale is the maximum age of the balancer's readiness data. If checks are late on a busy machine, the balancer checks again before it picks
	// an entry. An entry's settle time must be longer, because a stopping entry expects no more requests after it.
	maxStale = 3 * checkInterval
)

// NewBalancer starts a balancer for the fleet's entries.
func NewBalancer(f *Fleet) *Balancer {
	return startBalancer(f, f.client)
}

// startBalancer is NewBalancer with a client for the checks.
func startBalancer(f *Fleet, client *http.Client) *Balancer {
	b := &Balancer{fleet: f, client: client, stop: make(chan struct{})}
	b.check()
	go func() {
		t := time.NewTicker(checkInterval)
		defer t.Stop()
		for {
			select {
			case <-b.stop:
				return
			case <-t.C:
				b.check()
			}
		}
	}()
	return b
}

// Close stops the checks.
func (b *Balancer) Close() { close(b.stop) }

func (b *Balancer) check() {
	startedAt := time.Now()
	var ready []string
	for _, e := range b.fleet.entries() {
		resp, err := b.client.Get("http://" + e.OperatorsAddress() + "/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			ready = append(ready, e.CallersAddress())
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if startedAt.After(b.checkedAt) {
		b.ready, b.checkedAt = ready, startedAt
	}
}

// Pick returns the address of a ready entry, or "" if there is none.
func (b *Balancer) Pick(random int) string {
	b.mu.Lock()
	stale := time.Since(b.checkedAt) > maxStale
	b.mu.Unlock()
	if stale {
		b.check()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return ""
	}
	return b.ready[random%len(b.ready)]
}

// await waits until the balancer sends callers to the entry with the given address.
func (b *Balancer) await(address string) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if slices.Contains(b.addresses(), address) {
			return nil
		}
		time.Sleep(readyPoll)
	}
	return errors.Errorf("timed out waiting for the balancer to use %s", address)
}

// addresses returns the addresses of the entries that the last check found ready.
func (b *Balancer) addresses() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ready
}

// restart measures a load while every entry and agent is restarted in turn.
func restart(o options, out func(Row)) error {
	f, err := Start(benchmarkConfig(routing.Affinity))
	if err != nil {
		return err
	}
	defer f.Close()
	b := NewBalancer(f)
	defer b.Close()
	l := benchmarkLoad(o, 0.4*nominalRate(), 30)
	done := make(chan error, 1)
	go func() { done <- f.RollingRestart(b) }()
	results := f.RunAt(l, b.Pick)
	if err := <-done; err != nil {
		return err
	}
	s := Summarize(results, 0, l.Duration, All)
	row := func(metric string, v float64) { out(Row{"restart", "every process", 0.4, metric, v}) }
	row("requests", float64(s.Requests))
	row("whole", float64(s.Complete))
	row("cut", float64(s.Cut))
	row("refused or late", float64(s.Refused+s.Late))
	row("first byte p95 ms", ms(s.FirstByteP95))
	return nil
}

// RollingRestart stops and starts every process in turn, and waits until each new one serves and, for an entry, until b sends callers to it. A
// check of b takes time: it may have found the new entry not ready yet and the next one not ready any more.
func (f *Fleet) RollingRestart(b *Balancer) error {
	for i := range f.config.Entries {
		old := f.entries()[i]
		old.Stop()
		if err := f.Unlist(old.Address()); err != nil {
			return err
		}
		if err := f.StartEntry(i); err != nil {
			return err
		}
		if err := f.awaitServing(); err != nil {
			return err
		}
		if err := b.await(f.entries()[i].CallersAddress()); err != nil {
			return err
		}
	}
	for i := range f.config.Agents {
		old := f.Agents[i]
		old.Stop()
		if err := f.Unlist(old.Address()); err != nil {
			return err
		}
		if err := f.StartAgent(i); err != nil {
			return err
		}
		if err := f.awaitServing(); err != nil {
			return err
		}
	}
	return nil
}
