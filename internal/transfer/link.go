package transfer

import (
	"context"
	"io"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// blockSize is how many bytes pass the rate limiter at a time. A live request may have to wait for
// one block on the link: about 10 ms at 7.6 Mbit/s.
const blockSize = 8 << 10

const (
	// slowWrite is the duration of a block's write from which on the path to the peer counts as
	// slower than the link. A block takes about 10 ms on the slowest links and waits for the
	// blocks of a few other uploads.
	slowWrite = 150 * time.Millisecond
	// decreaseFactor and increaseFactor change the rate factor after a slow write and after a fast
	// one. minRateFactor is its minimum, as a fraction of the link's rate.
	decreaseFactor = 0.5
	increaseFactor = 1.02
	minRateFactor  = 1.0 / 32
	// decreaseInterval is the minimum time between two decreases. In this time, the blocks that were
	// already waiting are sent.
	decreaseInterval = 300 * time.Millisecond
)

// Link limits the rate of transfers in one direction of a host's link. It decreases the rate while
// writes are slow, which happens when the link has become slower than its configured rate. Otherwise
// the transfers would fill the link and delay the live requests that share it.
type Link struct {
	limiter *rate.Limiter
	rate    float64

	mu sync.Mutex
	// share is the fraction of the rate that transfers may use. rateFactor is a further factor, below
	// 1 while writes are slow.
	share, rateFactor float64
	lastDecrease      time.Time
}

// NewLink returns a link with the given rate in bytes per second; 0 means no limit.
func NewLink(bytesPerSecond int64) *Link {
	if bytesPerSecond <= 0 {
		return &Link{}
	}
	limiter := rate.NewLimiter(rate.Limit(bytesPerSecond), 2*blockSize)
	return &Link{limiter: limiter, rate: float64(bytesPerSecond), share: 1, rateFactor: 1}
}

// SetShare limits transfers to a share of the link: above 0, at most 1.
func (l *Link) SetShare(share float64) {
	if l.limiter == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share = share
	l.applyLimit()
}

func (l *Link) applyLimit() { l.limiter.SetLimit(rate.Limit(l.rate * l.share * l.rateFactor)) }

// recordWrite adjusts the rate factor to the duration of a block's write.
func (l *Link) recordWrite(took time.Duration) {
	if l.limiter == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	switch {
	case took < slowWrite:
		l.rateFactor = min(1, l.rateFactor*increaseFactor)
	case now.Sub(l.lastDecrease) > decreaseInterval:
		l.rateFactor = max(minRateFactor, l.rateFactor*decreaseFactor)
		l.lastDecrease = now
	}
	l.applyLimit()
}

// Wait waits until n bytes may pass; n is at most blockSize.
func (l *Link) Wait(ctx context.Context, n int) error {
	if l.limiter == nil {
		return nil
	}
	return l.limiter.WaitN(ctx, n)
}

// Write writes p to w at the rate of the link.
func (l *Link) Write(ctx context.Context, w io.Writer, p []byte) error {
	for len(p) > 0 {
		n := min(blockSize, len(p))
		if err := l.Wait(ctx, n); err != nil {
			return err
		}
		start := time.Now()
		if _, err := w.Write(p[:n]); err != nil {
			return err
		}
		l.recordWrite(time.Since(start))
		p = p[n:]
	}
	return nil
}

// ReadFull fills p from r at the rate of the link.
func (l *Link) ReadFull(ctx context.Context, r io.Reader, p []byte) error {
	return readBlocks(r, p, func(n int) error { return l.Wait(ctx, n) })
}

// ReadPriority fills p from r without waiting for the rate limit. Other transfers on the link wait
// correspondingly longer.
func (l *Link) ReadPriority(r io.Reader, p []byte) error {
	return readBlocks(r, p, func(n int) error {
		if l.limiter != nil {
			l.limiter.ReserveN(time.Now(), n)
		}
		return nil
	})
}

// readBlocks fills p from r in blocks, calling wait before each.
func readBlocks(r io.Reader, p []byte, wait func(n int) error) error {
	for len(p) > 0 {
		n := min(blockSize, len(p))
		if err := wait(n); err != nil {
			return err
		}
		if _, err := io.ReadFull(r, p[:n]); err != nil {
			return err
		}
		p = p[n:]
	}
	return nil
}
