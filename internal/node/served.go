package node

import (
	"context"
	"encoding/json"

	"samphireweir.example/samphireweir/internal/control"
	"samphireweir.example/samphireweir/internal/core"
)

// servedMethod is the control method that asks an entry which versions of a service are served.
const servedMethod = "member.served"

type servedMessage struct {
	Key string `json:"key"`
}

type servedAnswer struct {
	Digests []string `json:"digests,omitempty"`
}

func (p *Process) queryServed(e core.QueryServed) {
	var a servedAnswer
	if p.callPeer(e.To, servedMethod, servedMessage{Key: e.Key}, &a) == nil {
		p.Loop.Step(core.ServedReceived{Key: e.Key, Digests: a.Digests})
	}
}

func (p *Process) handleServed(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var m servedMessage
	if err := control.Decode(params, &m); err != nil {
		return nil, err
	}
	var a servedAnswer
	p.Loop.View(func(s *core.State) { a.Digests = s.Served(m.Key) })
	return a, nil
}
