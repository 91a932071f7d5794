package telemetry

import (
	"strconv"
	"sync"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core"
	"samphireweir.example/samphireweir/internal/core/record"
	"samphireweir.example/samphireweir/internal/core/request"
	"samphireweir.example/samphireweir/internal/core/rollout"
	"samphireweir.example/samphireweir/internal/core/run"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/weights"
)

// Values of the label source.
const (
	sourcePeer   = "peer"
	sourceStore  = "store"
	sourceOrigin = "origin"
)

// watcher counts the events and effects that pass through the reducer, and creates the spans of settings that come into force. It is
// called while the event loop's lock is held, so it must return quickly.
type watcher struct {
	metrics *Metrics
	traces  *Traces

	mu sync.Mutex
	// fetchSizes holds the sizes in bytes of the chunks that are being fetched from peers, by the fetch's id.
	fetchSizes map[uint64]int64
}

func newWatcher(m *Metrics, t *Traces) *watcher {
	return &watcher{metrics: m, traces: t, fetchSizes: map[uint64]int64{}}
}

func codeText(c code.Code) string { return strconv.Itoa(int(c)) }

func (w *watcher) event(ev step.Event) {
	m := w.metrics
	switch ev := ev.(type) {
	case request.AttemptFailed:
		m.AttemptsFailed.Add(1, codeText(ev.Code))
	case record.Received:
		w.records("received", ev.Records)
	case record.Compared:
		w.records("exchanged", ev.Records)
	case weights.ChunkStored:
		w.chunkStored(ev)
	case weights.ChunkFailed:
		w.fetchEnded(ev.Fetch)
		m.ChunksRefused.Add(1, sourceOf(ev.From), reasonText(ev.Reason))
	case rollout.OrderEnded:
		m.Loads.Add(1, outcomeText(ev.Outcome))
	}
}

func (w *watcher) effect(e step.Effect) {
	m := w.metrics
	switch e := e.(type) {
	case request.Send:
		cause := "first"
		if e.Number > 1 {
			cause = "retry"
		}
		m.Attempts.Add(1, e.Target.Upstream.Team, e.Target.Upstream.Service, cause)
	case request.Resume:
		m.Attempts.Add(1, e.Target.Upstream.Team, e.Target.Upstream.Service, "resume")
	case run.Refuse:
		m.RunsRefused.Add(1, codeText(e.Code))
	case record.Push:
		w.records("pushed", e.Records)
	case record.CompareAnswer:
		w.records("exchanged", e.Records)
	case weights.FetchChunk:
		w.fetchStarted(e)
	case weights.CancelFetch:
		w.fetchEnded(e.ID)
	case rollout.Load:
		m.Loads.Add(1, "ordered")
	case rollout.SetRole:
		m.Loads.Add(1, "ordered")
	case core.SettingChanged:
		m.Settings.Add(1)
		w.traces.settingInForce(e)
	}
}

func (w *watcher) records(way string, list []record.Record) {
	bytes := 0
	for i := range list {
		bytes += len(list[i].Value)
	}
	w.metrics.Records.Add(int64(len(list)), way)
	w.metrics.RecordBytes.Add(int64(bytes), way)
}

func (w *watcher) fetchStarted(e weights.FetchChunk) {
	if e.From == weights.Origin {
		return // Chunks from the weight store and the origin are counted as they are read: only there can the two be distinguished.
	}
	w.mu.Lock()
	w.fetchSizes[e.ID] = e.Chunk.Size
	w.mu.Unlock()
}

// fetchEnded removes a fetch and returns the size of its chunk, 0 if the chunk doesn't come from a peer.
func (w *watcher) fetchEnded(id uint64) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	size := w.fetchSizes[id]
	delete(w.fetchSizes, id)
	return size
}

func (w *watcher) chunkStored(ev weights.ChunkStored) {
	size := w.fetchEnded(ev.Fetch)
	if ev.From == weights.Origin {
		return
	}
	w.metrics.Chunks.Add(1, sourcePeer)
	w.metrics.ChunkBytes.Add(size, sourcePeer)
}

func sourceOf(from weights.Source) string {
	if from == weights.Origin {
		return sourceOrigin
	}
	return sourcePeer
}

func reasonText(r weights.Reason) string {
	switch r {
	case weights.Busy:
		return "busy"
	case weights.Corrupt:
		return "corrupt"
	case weights.Changed:
		return "changed"
	case weights.NoMemory:
		return "no-memory"
	case weights.Missing:
		return "missing"
	case weights.Gone:
		return "gone"
	}
	return "broken"
}

func outcomeText(o rollout.Outcome) string {
	switch o {
	case rollout.OrderDone:
		return "done"
	case rollout.OrderRefused:
		return "refused"
	}
	return "failed"
}
