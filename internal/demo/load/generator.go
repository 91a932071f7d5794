// Package load sends the live requests of a demo run at a constant rate and from a fixed seed, and records the results
// in the ledger. It retries nothing: a submission is sent again only if the seed selected it for a resend.
package load

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"samphireweir.example/samphireweir/internal/demo/ledger"
)

// Requests sent per second, by kind.
const (
	lookupsPerSecond     = 100
	submissionsPerSecond = 25
	generationsPerSecond = 12
)

const (
	defaultResponseTimeout = 30 * time.Second // default of Options.ResponseTimeout
	maxInFlight            = 2000             // further requests are not sent, but counted as skipped
	maxIdleConns           = 256              // per entry
)

// Options configures a generator.
type Options struct {
	Entries []string // addresses, IP:PORT
	Digests []string // of the run's versions
	Seed    uint64
	Book    *ledger.Book // where the results are recorded
	// Deadline is sent with every request as its deadline; 0 sends none.
	Deadline time.Duration
	// ResponseTimeout is how long callers wait for the complete response before they count it as lost; 0 means 30 s.
	ResponseTimeout time.Duration
	// Available stands for the platform's load balancer: an entry that is not available gets no request as long as
	// another one is. Nil means that all entries are always available.
	Available func(entry int) bool
}

// Generator sends live requests to the entries until it is stopped.
type Generator struct {
	entries     []string // addresses, IP:PORT
	digests     []string // of the run's versions
	deadline    time.Duration
	available   func(entry int) bool
	book        *ledger.Book
	http        *http.Client
	submissions atomic.Bool
	generations atomic.Bool
	inFlight    atomic.Int64
	skipped     atomic.Int64
	stop        context.CancelFunc
	streams     sync.WaitGroup
	requests    sync.WaitGroup
}

// Start returns a generator that sends lookups. Submissions and model requests follow when they are enabled with
// EnableSubmissions and EnableGenerations.
func Start(options Options) *Generator {
	if options.ResponseTimeout == 0 {
		options.ResponseTimeout = defaultResponseTimeout
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}
	ctx, stop := context.WithCancel(context.Background())
	generator := &Generator{
		entries:   options.Entries,
		digests:   options.Digests,
		deadline:  options.Deadline,
		available: options.Available,
		book:      options.Book,
		http:      &http.Client{Transport: transport, Timeout: options.ResponseTimeout},
		stop:      stop,
	}
	var always atomic.Bool
	always.Store(true)
	generator.startStream(ctx, ledger.Lookup, options.Seed, lookupsPerSecond, &always)
	generator.startStream(ctx, ledger.Submission, options.Seed, submissionsPerSecond, &generator.submissions)
	generator.startStream(ctx, ledger.Generation, options.Seed, generationsPerSecond, &generator.generations)
	return generator
}

// EnableSubmissions enables submissions.
func (g *Generator) EnableSubmissions() { g.submissions.Store(true) }

// EnableGenerations enables model requests.
func (g *Generator) EnableGenerations() { g.generations.Store(true) }

// InFlight returns the number of requests in flight.
func (g *Generator) InFlight() int64 { return g.inFlight.Load() }

// Skipped returns the number of requests that were not sent because too many were in flight.
func (g *Generator) Skipped() int64 { return g.skipped.Load() }

// Stop stops sending and waits until every request in flight has its response or has run into its timeout.
func (g *Generator) Stop() {
	g.stop()
	g.streams.Wait()
	g.requests.Wait()
	g.http.CloseIdleConnections()
}

// SendPoison sends a model request, with mark in its prompt, the given number of times, as a caller does that retries a
// request that crashes upstreams. Each attempt goes through the next entry when the one before has its response.
func (g *Generator) SendPoison(mark string, times int) {
	generate := generateMessage{Prompt: "Summarise " + mark, MaxTokens: minTokens, Stream: true}
	planned := request{
		kind: ledger.Poison, id: "poison-" + mark, method: http.MethodPost, path: generatePath,
		generate: generate, body: encode(generate),
	}
	g.requests.Go(func() {
		for range times {
			g.send(planned)
			planned = planned.asResend(len(g.entries))
		}
	})
}

// startStream sends the requests of one kind at a constant rate while open is set.
func (g *Generator) startStream(ctx context.Context, kind ledger.Kind, seed, perSecond uint64, open *atomic.Bool) {
	planner := newPlanner(kind, seed, perSecond, len(g.entries))
	g.streams.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			if open.Load() {
				g.dispatch(planner.next())
			}
		}
	})
}

// dispatch sends a request, and its resend if one is planned, without waiting for the responses.
func (g *Generator) dispatch(planned request) {
	if g.inFlight.Load() >= maxInFlight {
		g.skipped.Add(1)
		return
	}
	if planned.resend == resendConcurrently {
		g.requests.Go(func() { g.send(planned.asResend(len(g.entries))) })
	}
	g.requests.Go(func() {
		g.send(planned)
		if planned.resend == resendAfterResponse {
			g.send(planned.asResend(len(g.entries)))
		}
	})
}
