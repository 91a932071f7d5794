package hostagent

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/core/install"
	"samphireweir.example/samphireweir/internal/core/weights"
	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/internal/manifest"
	"samphireweir.example/samphireweir/internal/transfer"
)

const (
	// stageTimeout bounds the laying out of a version's pieces.
	stageTimeout = 10 * time.Second
	// stagePasses is how often the pieces are gone through before the engine is left alone for a while.
	stagePasses = 4
	// orderTimeout bounds an order.
	orderTimeout = 2 * time.Second
)

// takeOver puts the right pieces that lie at the engine into the chunk memory, from which other hosts get them, and returns their numbers. An
// error says that the engine did not answer.
func (a *Agent) takeOver(model string, m *manifest.Manifest) ([]int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), stageTimeout)
	defer cancel()
	held, err := a.engine.StageHeld(ctx, model)
	if err != nil {
		logevent.Warn(a.log, logevent.EngineCallFailed).Err(err).Msg("engine call failed")
		return nil, err
	}
	var taken []int
	for n, piece := range held {
		if piece < 0 || piece >= len(m.Chunks) {
			continue
		}
		data, err := a.engine.StageGet(ctx, model, piece)
		if err != nil || !matches(data, m.Chunks[piece]) {
			if n == 0 {
				return nil, nil // Another version lies there.
			}
			continue
		}
		if err := a.fetcher.Memory.Put(m.Chunks[piece].SHA256, data); err != nil {
			logevent.Warn(a.log, logevent.ChunkRefused).Int("chunk", piece).Err(err).Msg("chunk refused")
			continue
		}
		taken = append(taken, piece)
	}
	return taken, nil
}

// takeOverLater takes over what lies at an engine that starts later than this agent, once it answers. Its weights are being fetched meanwhile: after
// a loss of power nothing lies there.
func (a *Agent) takeOverLater(model, digest string, m *manifest.Manifest) {
	for began := time.Now(); time.Since(began) < stageTimeout; {
		time.Sleep(readInterval)
		if !a.engineAnswered() {
			continue
		}
		pieces, err := a.takeOver(model, m)
		if err != nil {
			continue
		}
		for _, piece := range pieces {
			a.Step(weights.ChunkStored{Digest: digest, Index: piece, From: weights.Source(a.self)})
		}
		return
	}
}

func (a *Agent) engineAnswered() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.install.Answered()
}

func matches(data []byte, c manifest.Chunk) bool {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]) == c.SHA256
}

// prepare lays the pieces of a version out for the engine and reads each back, until all are right.
func (a *Agent) prepare(e install.Prepare) {
	ctx, cancel := context.WithTimeout(context.Background(), stageTimeout)
	defer cancel()
	checked, err := a.layOut(ctx, e)
	if err != nil {
		logevent.Warn(a.log, logevent.EngineCallFailed).Str("model", e.Model).Int64("version", e.Version).Err(err).Msg("engine call failed")
	}
	a.Step(install.Prepared{Model: e.Model, Version: e.Version, OK: err == nil, Checked: checked})
}

// layOut returns when it began the pass in which every piece was right.
func (a *Agent) layOut(ctx context.Context, e install.Prepare) (time.Time, error) {
	_, m := a.fetcher.Memory.Manifest(e.Digest)
	if m == nil {
		return time.Time{}, errors.New("the version's manifest is not here")
	}
	held, err := a.engine.StageHeld(ctx, e.Model)
	if err != nil {
		return time.Time{}, err
	}
	lies := map[int]bool{}
	for _, piece := range held {
		lies[piece] = true
	}
	for range stagePasses {
		began := time.Now()
		put, err := a.stagePass(ctx, e.Model, m, lies)
		if err != nil {
			return time.Time{}, err
		}
		if put == 0 {
			return began, nil
		}
	}
	return time.Time{}, errors.Errorf("pieces were wrong in %d passes", stagePasses)
}

// stagePass reads each piece and puts those that are missing or wrong. It returns how many it put.
func (a *Agent) stagePass(ctx context.Context, model string, m *manifest.Manifest, lies map[int]bool) (int, error) {
	put := 0
	for piece, c := range m.Chunks {
		if lies[piece] {
			data, err := a.engine.StageGet(ctx, model, piece)
			if err == nil && matches(data, c) {
				continue
			}
			if ctx.Err() != nil {
				return put, ctx.Err()
			}
		}
		data := a.fetcher.Memory.Chunk(c.SHA256)
		if data == nil {
			return put, errors.Errorf("chunk %d is not here any more", piece)
		}
		if err := a.engine.StagePut(ctx, model, piece, data); err != nil {
			return put, err
		}
		lies[piece] = true
		put++
	}
	return put, nil
}

// order orders the engine to load, unless the check of the pieces is too old by now, as after a freeze of this process.
func (a *Agent) order(e install.Order) {
	a.report() // Entries hear that the engine closes before it does.
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	accepted := false
	err := errors.Errorf("the pieces were read back over %v ago", e.MaxAge)
	if fresh(e.Checked, e.MaxAge) {
		accepted, err = a.engine.Load(ctx, e)
	}
	line := logevent.Info(a.log, logevent.LoadOrdered)
	if err != nil {
		line = logevent.Warn(a.log, logevent.LoadFailed).Err(err)
	}
	line.Str("model", e.Model).Int64("version", e.Version).Int64("sequence", e.Sequence).Bool("accepted", accepted).
		Dur("checked_ago_ms", time.Since(e.Checked)).Msg("load ordered")
	a.metrics.Loads.Add(1, map[bool]string{true: "ordered", false: "failed"}[accepted])
	a.Step(install.OrderEnded{Model: e.Model, Version: e.Version, Accepted: accepted})
}

// fresh tells whether a moment is at most age ago, by the steady clock and by the time of day: the steady clock stands still
// while the host is suspended.
func fresh(moment time.Time, age time.Duration) bool {
	now := time.Now()
	return now.Sub(moment) <= age && now.Round(0).Sub(moment.Round(0)) <= age
}

var _ transfer.Stepper = (*Agent)(nil)
