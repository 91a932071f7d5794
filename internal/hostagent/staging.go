package hostagent

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/core/install"
	"samphireweir.example/samphireweir/internal/core/weights"
	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/internal/manifest"
	"samphireweir.example/samphireweir/internal/transfer"
)

const (
	// stageTimeout limits staging the chunks of a version at the engine.
	stageTimeout = 10 * time.Second
	// maxStagePasses is the maximum number of passes over the chunks in one attempt to stage them.
	maxStagePasses = 4
	// unloadTimeout limits an order to drop weights. The reducer waits as long for its effect.
	unloadTimeout = 3 * time.Second
)

// reuseStaged puts the intact chunks that are staged at the engine into the chunk memory, from which other hosts get them. It returns their
// indexes, or an error if the engine did not respond.
func (a *Agent) reuseStaged(model string, m *manifest.Manifest) ([]int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), stageTimeout)
	defer cancel()
	staged, err := a.engine.StagedChunks(ctx, model)
	if err != nil {
		logevent.Warn(a.log, logevent.EngineCallFailed).Err(err).Msg("engine call failed")
		return nil, err
	}
	var reused []int
	for n, index := range staged {
		if index < 0 || index >= len(m.Chunks) {
			continue
		}
		data, err := a.engine.StageGet(ctx, model, index, m.Chunks[index].Size)
		if err != nil || !matches(data, m.Chunks[index]) {
			if n == 0 {
				return nil, nil // Another version is staged.
			}
			continue
		}
		if err := a.fetcher.Memory.Put(m.Chunks[index].SHA256, data); err != nil {
			logevent.Warn(a.log, logevent.ChunkRefused).Int("chunk", index).Err(err).Msg("chunk refused")
			continue
		}
		reused = append(reused, index)
	}
	return reused, nil
}

// reuseStagedLater reuses the chunks staged at an engine that starts after this agent, as soon as the engine responds. The weights are
// fetched meanwhile, because nothing is staged after a power loss.
func (a *Agent) reuseStagedLater(model, digest string, m *manifest.Manifest) {
	for start := time.Now(); time.Since(start) < stageTimeout; {
		time.Sleep(engineReadInterval)
		if !a.engineAnswered() {
			continue
		}
		chunks, err := a.reuseStaged(model, m)
		if err != nil {
			continue
		}
		for _, index := range chunks {
			a.Step(weights.ChunkStored{Digest: digest, Index: index, From: weights.Source(a.self)})
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

// errPassSuperseded ends a pass over the staged chunks when another one is to begin.
var errPassSuperseded = errors.New("another pass over the staged chunks is to begin")

// modelStaging orders the passes over the staged chunks of one model.
type modelStaging struct {
	// mu is held by the pass in progress.
	mu sync.Mutex
	// latest is the number of the pass that was begun last.
	latest atomic.Int64
}

// stagingPass is one pass over the staged chunks of a model.
type stagingPass struct {
	model  *modelStaging
	number int64
}

// superseded reports whether a later pass is to begin.
func (p stagingPass) superseded() bool { return p.model.latest.Load() != p.number }

// newStagingPass returns the next pass over the staged chunks of a model. The caller holds the lock, so that passes are numbered in the
// order in which the reducer asked for them.
func (a *Agent) newStagingPass(model string) stagingPass {
	staging := a.staging[model]
	if staging == nil {
		staging = &modelStaging{}
		a.staging[model] = staging
	}
	return stagingPass{model: staging, number: staging.latest.Add(1)}
}

// prepare stages the chunks of a version at the engine and reads each one back, until all are intact. It waits for the end of an earlier
// pass: the engine has one set of staged chunks for a model, and an earlier pass may be for another version. A pass that is superseded
// reports nothing, because the reducer waits for the later one.
func (a *Agent) prepare(e install.Prepare, pass stagingPass) {
	pass.model.mu.Lock()
	defer pass.model.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), stageTimeout)
	defer cancel()
	checked, err := a.stageChunks(ctx, e, pass)
	if errors.Is(err, errPassSuperseded) {
		return
	}
	if err != nil {
		logevent.Warn(a.log, logevent.EngineCallFailed).Str("model", e.Model).Int64("version", e.Version).Err(err).Msg("engine call failed")
	}
	a.Step(install.Prepared{Model: e.Model, Version: e.Version, OK: err == nil, CheckedAt: checked})
}

// stageChunks stages chunks in passes, until a pass finds every chunk intact. It returns the start time of that pass.
func (a *Agent) stageChunks(ctx context.Context, e install.Prepare, pass stagingPass) (time.Time, error) {
	_, m := a.fetcher.Memory.Manifest(e.Digest)
	if m == nil {
		return time.Time{}, errors.New("the version's manifest is not in memory")
	}
	indexes, err := a.engine.StagedChunks(ctx, e.Model)
	if err != nil {
		return time.Time{}, err
	}
	staged := map[int]bool{}
	for _, index := range indexes {
		staged[index] = true
	}
	for range maxStagePasses {
		start := time.Now()
		stored, err := a.stagePass(ctx, e.Model, m, staged, pass)
		if err != nil {
			return time.Time{}, err
		}
		if stored == 0 {
			return start, nil
		}
	}
	return time.Time{}, errors.Errorf("staged chunks were missing or corrupted in each of %d passes", maxStagePasses)
}

// stagePass reads each staged chunk and stores those that are missing or corrupted. It returns how many it stored, or errPassSuperseded if a
// later pass is to begin.
func (a *Agent) stagePass(ctx context.Context, model string, m *manifest.Manifest, staged map[int]bool, pass stagingPass) (int, error) {
	stored := 0
	for index, c := range m.Chunks {
		if pass.superseded() {
			return stored, errPassSuperseded
		}
		if staged[index] {
			data, err := a.engine.StageGet(ctx, model, index, c.Size)
			if err == nil && matches(data, c) {
				continue
			}
			if ctx.Err() != nil {
				return stored, ctx.Err()
			}
		}
		data := a.fetcher.Memory.Chunk(c.SHA256)
		if data == nil {
			return stored, errors.Errorf("chunk %d is no longer in memory", index)
		}
		if err := a.engine.StagePut(ctx, model, index, data); err != nil {
			return stored, err
		}
		staged[index] = true
		stored++
	}
	return stored, nil
}

// orderLoad sends the engine a load order, unless the last check of the staged chunks is too old. That happens, for example, after this
// process was frozen. It waits for the answer for as long as that is of use: an engine that is silent meanwhile loads the weights all the same
// when it goes on, and those of an order that was not confirmed must be loaded again.
func (a *Agent) orderLoad(e install.LoadOrder) {
	a.sendReports() // Entries learn that the engine stops accepting requests before it does so.
	ctx, cancel := context.WithDeadline(context.Background(), e.CheckedAt.Add(e.MaxAcceptAge))
	defer cancel()
	accepted := false
	err := errors.Errorf("the staged chunks were last checked more than %v ago", e.MaxSendAge)
	if withinAge(e.CheckedAt, e.MaxSendAge) {
		accepted, err = a.engine.Load(ctx, e)
	}
	if accepted && !withinAge(e.CheckedAt, e.MaxAcceptAge) {
		accepted, err = false, errors.Errorf("the order was answered more than %v after the staged chunks were checked", e.MaxAcceptAge)
	}
	line := logevent.Info(a.log, logevent.LoadOrdered)
	if err != nil {
		line = logevent.Warn(a.log, logevent.LoadFailed).Err(err)
	}
	line.Str("model", e.Model).Int64("version", e.Version).Str("instance", e.Instance).Int64("sequence", e.Sequence).Bool("accepted", accepted).
		Dur("checked_ago_ms", time.Since(e.CheckedAt)).Msg("load ordered")
	a.metrics.Loads.Add(1, map[bool]string{true: "ordered", false: "failed"}[accepted])
	a.Step(install.LoadOrderEnded{Model: e.Model, Version: e.Version, Accepted: accepted})
}

// orderUnload orders the engine to drop weights. The next readings show whether it did.
func (a *Agent) orderUnload(e install.Unload) {
	ctx, cancel := context.WithTimeout(context.Background(), unloadTimeout)
	defer cancel()
	err := a.engine.Unload(ctx, e)
	logevent.Warn(a.log, logevent.UnloadOrdered).Err(err).Str("model", e.Model).Int64("version", e.Version).Str("instance", e.Instance).Int64("sequence", e.Sequence).
		Bool("accepted", err == nil).Msg("unload ordered")
}

// withinAge reports whether t is at most maxAge ago, by the monotonic clock and by the wall clock: the monotonic clock stops while the
// host is suspended.
func withinAge(t time.Time, maxAge time.Duration) bool {
	now := time.Now()
	return now.Sub(t) <= maxAge && now.Round(0).Sub(t.Round(0)) <= maxAge
}

var _ transfer.Stepper = (*Agent)(nil)
