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
	// loadTimeout limits the time in which a complete partition is read, as by a new owner.
	loadTimeout = 30 * time.Second
	// maxParallelReads is the max number of segments that are read concurrently.
	maxParallelReads = 8
	// maxReadAttempts is the max number of attempts to read a segment, and readRetryInterval the time between two.
	maxReadAttempts   = 3
	readRetryInterval = 200 * time.Millisecond
)

// load carries out a claim.Load effect and reports its result to the reducer.
func (p *partition) load(e claim.Load) {
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	loaded, err := p.readPartition(ctx, e.KnownSegments)
	if err != nil {
		p.logFailure(err, "read")
		p.handle(claim.LoadFailed{TimedOut: timedOut(err)})
		return
	}
	p.handle(loaded)
}

// readPartition reads the head and its segments, except those in have.
func (p *partition) readPartition(ctx context.Context, have map[string]bool) (claim.Loaded, error) {
	ev, err := p.readHead(ctx)
	if err != nil {
		return ev, err
	}
	var mu sync.Mutex
	reads, ctx := errgroup.WithContext(ctx)
	reads.SetLimit(maxParallelReads)
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

// readHead reads the head. A head that does not exist yet has version 0.
func (p *partition) readHead(ctx context.Context) (claim.Loaded, error) {
	ev := claim.Loaded{Segments: map[string][]claim.Record{}}
	item, err := p.get(ctx, claim.HeadKey(p.number))
	ev.Era = p.objects.Era()
	if errors.Is(err, objectapi.ErrNotFound) {
		return ev, nil
	}
	if err != nil {
		return ev, err
	}
	ev.Version = item.Version
	return ev, errors.Wrap(json.Unmarshal(item.Value, &ev.Head), "decoding partition head")
}

// readSegment reads a segment. It retries when the platform refuses the read, for example because of its rate limit.
func (p *partition) readSegment(ctx context.Context, name string) ([]claim.Record, error) {
	var segment claim.RecordSegment
	item, err := p.get(ctx, name)
	for try := 1; try < maxReadAttempts && rejectedByPlatform(err); try++ {
		sleep(ctx, readRetryInterval)
		item, err = p.get(ctx, name)
	}
	if err != nil {
		return nil, errors.Wrapf(err, "reading segment %s", name)
	}
	err = json.Unmarshal(item.Value, &segment)
	return segment.Records, errors.Wrapf(err, "decoding segment %s", name)
}

// get reads an object with the timeout of a single call to the platform.
func (p *partition) get(ctx context.Context, key string) (objectapi.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, p.callTimeout)
	defer cancel()
	return p.objects.Get(ctx, key)
}
