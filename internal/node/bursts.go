package node

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"samphireweir.example/samphireweir/internal/core"
	"samphireweir.example/samphireweir/internal/core/weights"
)

const (
	// BurstsPath is the operators' path for the progress of bursts of weights.
	BurstsPath = "/weights"

	progressMethod = "weights.progress"
	// maxProgressCalls bounds the hosts that are queried concurrently.
	maxProgressCalls = 64
	// progressCallTimeout bounds the call to one host.
	progressCallTimeout = time.Second
	// progressTimeout bounds the calls to all hosts together.
	progressTimeout = 4 * time.Second
)

type progressAnswer struct {
	Weights []weights.Summary `json:"weights,omitempty"`
}

// handleBursts queries the hosts that take part in bursts for their progress. Progress is not part of their records,
// because every record is sent to all entries and progress is read rarely.
func (p *Process) handleBursts(w http.ResponseWriter, r *http.Request) {
	var hosts []string
	p.Loop.View(func(s *core.State) { hosts = s.BurstHosts() })
	reports := p.hostProgress(r.Context(), hosts)
	unanswered := len(hosts) - len(reports)
	var view core.BurstView
	p.Loop.View(func(s *core.State) {
		reports[p.Address()] = s.Weights.Summaries(time.Now())
		view = s.Bursts(time.Now(), reports)
	})
	view.Unanswered = unanswered
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(view)
}

// hostProgress queries hosts and returns their answers by address. A host that does not answer is missing.
func (p *Process) hostProgress(ctx context.Context, hosts []string) map[string][]weights.Summary {
	ctx, cancel := context.WithTimeout(ctx, progressTimeout)
	defer cancel()
	var (
		mu      sync.Mutex
		wg      sync.WaitGroup
		slots   = make(chan struct{}, maxProgressCalls)
		reports = map[string][]weights.Summary{}
	)
	for _, host := range hosts {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			callCtx, cancel := context.WithTimeout(ctx, progressCallTimeout)
			defer cancel()
			var a progressAnswer
			if p.Pool.Call(callCtx, host, progressMethod, empty{}, &a) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			reports[host] = a.Weights
		})
	}
	wg.Wait()
	return reports
}

func (p *Process) handleProgress(context.Context, string, json.RawMessage) (any, error) {
	var a progressAnswer
	p.Loop.View(func(s *core.State) { a.Weights = s.Weights.Summaries(time.Now()) })
	return a, nil
}
