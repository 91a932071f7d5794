package claims

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"samphireweir.example/samphireweir/internal/core/claim"
	"samphireweir.example/samphireweir/internal/objectapi"
)

const (
	// loadTimeout bounds the reading of a whole partition, when a new owner takes it over.
	loadTimeout = 30 * time.Second
	// parallelReads is how many segments are read at once.
	parallelReads = 8
	// readTries is how often a segment's reading is tried, and readRetry the wait between.
	readTries = 3
	readRetry = 200 * time.Millisecond
)

func (p *partition) load(e claim.Load) {
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	loaded, err := p.readPartition(ctx, e.KnownSegments)
	if err != nil {
		p.failed(err, "read")
		p.step(claim.LoadFailed{})
		return
	}
	p.step(loaded)
}

func (p *partition) readPartition(ctx context.Context, have map[string]bool) (claim.Loaded, error) {
	ev, err := p.readHead(ctx)
	if err != nil {
		return ev, err
	}
	var mu sync.Mutex
	reads, ctx := errgroup.WithContext(ctx)
	reads.SetLimit(parallelReads)
	for _, g := range ev.Head.Segments {
		if have[g.Name] {
			continue
		}
		reads.Go(func() error {
			records, err := p.readSegment(ctx, g.Name)
			mu.Lock()
			defer mu.Unlock()
			ev.Segments[g.Name] = records
			return err
		})
	}
	return ev, reads.Wait()
}

func (p *partition) readHead(ctx context.Context) (claim.Loaded, error) {
	ev := claim.Loaded{Segments: map[string][]claim.Record{}}
	item, err := p.get(ctx, claim.HeadKey(p.number))
	if errors.Is(err, objectapi.ErrNotFound) {
		return ev, nil
	}
	if err != nil {
		return ev, err
	}
	ev.Version = item.Version
	return ev, errors.Wrap(json.Unmarshal(item.Value, &ev.Head), "decode the head")
}

// readSegment reads a segment, and again when the platform refuses it, such as for its rate.
func (p *partition) readSegment(ctx context.Context, name string) ([]claim.Record, error) {
	var segment claim.RecordSegment
	item, err := p.get(ctx, name)
	for try := 1; try < readTries && certainlyRefused(err); try++ {
		wait(ctx, readRetry)
		item, err = p.get(ctx, name)
	}
	if err != nil {
		return nil, errors.Wrapf(err, "read %s", name)
	}
	err = json.Unmarshal(item.Value, &segment)
	return segment.Records, errors.Wrapf(err, "decode %s", name)
}

// get bounds each call to the platform by itself.
func (p *partition) get(ctx context.Context, key string) (objectapi.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	return p.objects.Get(ctx, key)
}
