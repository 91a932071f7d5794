package node

import (
	"context"
	"encoding/json"
	"time"

	"samphireweir.example/samphireweir/internal/control"
	"samphireweir.example/samphireweir/internal/core"
	"samphireweir.example/samphireweir/internal/core/record"
)

// catchUpTimeout bounds how long a request waits for the revision of a setting that its entry already has.
const catchUpTimeout = time.Second

type fetchMessage struct {
	Key string `json:"key"`
}

type fetchAnswer struct {
	Records []record.Record `json:"records,omitempty"`
}

// Revision returns the revision of a setting that this process uses. Entries attach it to requests to agents.
func (p *Process) Revision(key string) uint64 {
	var revision uint64
	p.Loop.View(func(s *core.State) { revision = s.Settings[key].Revision })
	return revision
}

// CatchUp reports whether this process has at least the given revision of a setting. If it does not, CatchUp first
// fetches the setting from the process at address from, within 1 s. A process for which it returns false must not serve
// the request that carried the revision.
func (p *Process) CatchUp(ctx context.Context, from, key string, revision uint64) bool {
	if !p.behind(key, revision) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	var a fetchAnswer
	if from == "" || p.Pool.Call(ctx, from, fetchMethod, fetchMessage{Key: key}, &a) != nil {
		return false
	}
	p.Loop.Step(record.Received{From: from, Records: a.Records})
	return !p.behind(key, revision)
}

func (p *Process) behind(key string, revision uint64) bool {
	behind := false
	p.Loop.View(func(s *core.State) { behind = s.IsBehind(key, revision) })
	return behind
}

func (p *Process) handleFetch(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var m fetchMessage
	if err := control.Decode(params, &m); err != nil {
		return nil, err
	}
	var a fetchAnswer
	p.Loop.View(func(s *core.State) {
		if r, known := s.Records.Records[m.Key]; known {
			a.Records = append(a.Records, r)
		}
	})
	return a, nil
}
