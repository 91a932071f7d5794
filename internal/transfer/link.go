package transfer

import (
	"context"
	"io"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// pieceSize is how many bytes pass the pacing at a time: what a live request may find before it on a link, some 10 ms at 7.6 Mbit/s.
const pieceSize = 8 << 10

const (
	// slowPiece is how long the writing of a piece may take before the way to the peer counts as narrower than the link: a piece
	// takes some 10 ms at the slowest links, and waits for those of a few other uploads.
	slowPiece = 150 * time.Millisecond
	// narrowing and widening change the pace after a slow piece and after one in time; leastPace bounds it, as a part of the rate.
	narrowing = 0.5
	widening  = 1.02
	leastPace = 1.0 / 32
	// narrowEvery is the least time between two narrowings, in which the pieces that already wait get through.
	narrowEvery = 300 * time.Millisecond
)

// Link paces one direction of a host's link. What is sent goes slower while pieces get stuck, as when the link has become
// narrower than its rate: a full link would hold up the live requests that share it.
type Link struct {
	limiter *rate.Limiter
	rate    float64

	mu sync.Mutex
	// share is the part of the rate that transfers may use, pace the part that gets through.
	share, pace float64
	narrowed    time.Time
}

// NewLink returns a link of bytesPerSecond; 0 for no pacing.
func NewLink(bytesPerSecond int64) *Link {
	if bytesPerSecond <= 0 {
		return &Link{}
	}
	limiter := rate.NewLimiter(rate.Limit(bytesPerSecond), 2*pieceSize)
	return &Link{limiter: limiter, rate: float64(bytesPerSecond), share: 1, pace: 1}
}

// SetShare lets transfers use a share of the link only.
func (l *Link) SetShare(share float64) {
	if l.limiter == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share = share
	l.apply()
}

func (l *Link) apply() { l.limiter.SetLimit(rate.Limit(l.rate * l.share * l.pace)) }

// wrote learns from how long the writing of a piece took.
func (l *Link) wrote(took time.Duration) {
	if l.limiter == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	switch {
	case took < slowPiece:
		l.pace = min(1, l.pace*widening)
	case now.Sub(l.narrowed) > narrowEvery:
		l.pace = max(leastPace, l.pace*narrowing)
		l.narrowed = now
	}
	l.apply()
}

// Wait waits until n bytes may pass; n is at most pieceSize.
func (l *Link) Wait(ctx context.Context, n int) error {
	if l.limiter == nil {
		return nil
	}
	return l.limiter.WaitN(ctx, n)
}

// Write writes p to w at the link's pace.
func (l *Link) Write(ctx context.Context, w io.Writer, p []byte) error {
	for len(p) > 0 {
		n := min(pieceSize, len(p))
		if err := l.Wait(ctx, n); err != nil {
			return err
		}
		began := time.Now()
		if _, err := w.Write(p[:n]); err != nil {
			return err
		}
		l.wrote(time.Since(began))
		p = p[n:]
	}
	return nil
}

// ReadFull fills p from r at the link's pace.
func (l *Link) ReadFull(ctx context.Context, r io.Reader, p []byte) error {
	return readPieces(r, p, func(n int) error { return l.Wait(ctx, n) })
}

// ReadFirst fills p from r ahead of what waits for the link, which then waits so much longer.
func (l *Link) ReadFirst(r io.Reader, p []byte) error {
	return readPieces(r, p, func(n int) error {
		if l.limiter != nil {
			l.limiter.ReserveN(time.Now(), n)
		}
		return nil
	})
}

// readPieces fills p from r, in pieces each of which passes the pacing.
func readPieces(r io.Reader, p []byte, pass func(n int) error) error {
	for len(p) > 0 {
		n := min(pieceSize, len(p))
		if err := pass(n); err != nil {
			return err
		}
		if _, err := io.ReadFull(r, p[:n]); err != nil {
			return err
		}
		p = p[n:]
	}
	return nil
}
