package node

import (
	"context"
	"sync"

	"samphireweir.example/samphireweir/internal/core/record"
)

// Deliver sends records to peers concurrently and returns when all calls have ended or ctx is done.
func (p *Process) Deliver(ctx context.Context, to []string, records []record.Record) {
	var calls sync.WaitGroup
	for _, address := range to {
		calls.Go(func() {
			var done empty
			// A peer that can't be reached now receives the records through the relay later.
			_ = p.Pool.Call(ctx, address, pushMethod, pushMessage{Records: records}, &done)
		})
	}
	calls.Wait()
}
