package node

import (
	"context"
	"encoding/json"

	"samphireweir.example/samphireweir/internal/control"
	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/record"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/logevent"
)

// The control methods that replicate records between processes.
const (
	pushMethod     = "record.push"
	exchangeMethod = "record.exchange"
	compareMethod  = "record.compare"
	offerMethod    = "record.offer"
	fetchMethod    = "record.fetch"
)

type pushMessage struct {
	Records []record.Record `json:"records"`
}

type exchangeMessage struct {
	Common   uint64          `json:"common"`
	Dynamic  uint64          `json:"dynamic,omitempty"`
	Coverage record.Coverage `json:"standing"`
}

type exchangeAnswer struct {
	Same     bool            `json:"same,omitempty"`
	Digest   []byte          `json:"digest,omitempty"`
	Coverage record.Coverage `json:"standing"`
}

type compareMessage struct {
	Buckets      []int               `json:"buckets"`
	Versions     []record.KeyVersion `json:"versions"`
	Fingerprints []byte              `json:"prints,omitempty"`
}

type compareAnswer struct {
	Records          []record.Record `json:"records,omitempty"`
	Wants            []string        `json:"wants,omitempty"`
	WantFingerprints []byte          `json:"want_prints,omitempty"`
	Partial          bool            `json:"partial,omitempty"`
}

type offerMessage struct {
	Fingerprints []byte `json:"prints"`
}

type offerAnswer struct {
	Wants []byte `json:"wants,omitempty"`
}

type empty struct{}

func (p *Process) relayRoutes() {
	p.Handlers[pushMethod] = p.handlePush
	p.Handlers[exchangeMethod] = p.handleExchange
	p.Handlers[compareMethod] = p.handleCompare
	p.Handlers[offerMethod] = p.handleOffer
	p.Handlers[fetchMethod] = p.handleFetch
	p.Handlers[progressMethod] = p.handleProgress
	p.Handlers[servedMethod] = p.handleServed
	p.Handlers[countMethod] = p.handleCount
}

// relay carries out an effect of the reducer that replicates records.
func (p *Process) relay(e step.Effect) {
	switch e := e.(type) {
	case record.Push:
		go p.push(e)
	case record.Exchange:
		go p.exchange(e)
	case record.Compare:
		go p.compare(e)
	case record.Offer:
		go p.offer(e)
	case record.OfferAnswer:
		p.Calls.Answer(e.Call, e)
	case record.ExchangeAnswer:
		p.Calls.Answer(e.Call, e)
	case record.CompareAnswer:
		p.Calls.Answer(e.Call, e)
	}
}

// callPeer makes one call and reports to the core whether the peer answered.
func (p *Process) callPeer(to, method string, params, answer any) error {
	err := p.Pool.Call(context.Background(), to, method, params, answer)
	if err != nil {
		logevent.Warn(p.Log, logevent.PeerFailed).Str("peer", to).Err(err).Msg("peer failed")
		p.Loop.Step(member.CallFailed{Address: to})
		return err
	}
	p.Loop.Step(member.CallSucceeded{Address: to})
	return nil
}

func (p *Process) push(e record.Push) {
	var done empty
	_ = p.callPeer(e.To, pushMethod, pushMessage{Records: e.Records}, &done)
}

func (p *Process) exchange(e record.Exchange) {
	var a exchangeAnswer
	m := exchangeMessage{Common: e.Common, Dynamic: e.Dynamic, Coverage: e.Coverage}
	if p.callPeer(e.To, exchangeMethod, m, &a) != nil || record.CheckDigest(a.Digest) != nil {
		return
	}
	p.Loop.Step(record.ExchangeAnswered{From: e.To, Same: a.Same, Digest: a.Digest, Coverage: a.Coverage})
}

func (p *Process) compare(e record.Compare) {
	var a compareAnswer
	if p.callPeer(e.To, compareMethod, compareMessage{Buckets: e.Buckets, Versions: e.Versions, Fingerprints: e.Fingerprints}, &a) != nil {
		return
	}
	p.Loop.Step(record.Compared{From: e.To, Records: a.Records, Wants: a.Wants, WantFingerprints: a.WantFingerprints, Partial: a.Partial, Coverage: e.Coverage})
}

func (p *Process) offer(e record.Offer) {
	var a offerAnswer
	if p.callPeer(e.To, offerMethod, offerMessage{Fingerprints: e.Fingerprints}, &a) != nil || record.CheckFingerprints(a.Wants) != nil {
		return
	}
	p.Loop.Step(record.OfferAnswered{From: e.To, Fingerprints: a.Wants})
}

func (p *Process) handleOffer(_ context.Context, from string, params json.RawMessage) (any, error) {
	var m offerMessage
	if err := control.Decode(params, &m); err != nil {
		return nil, err
	}
	if err := record.CheckFingerprints(m.Fingerprints); err != nil {
		return nil, err
	}
	a := p.CallCore(func(call uint64) step.Event {
		return record.Offered{Call: call, From: from, Fingerprints: m.Fingerprints}
	}).(record.OfferAnswer)
	return offerAnswer{Wants: a.Wants}, nil
}

func (p *Process) handlePush(_ context.Context, from string, params json.RawMessage) (any, error) {
	var m pushMessage
	if err := control.Decode(params, &m); err != nil {
		return nil, err
	}
	p.Loop.Step(record.Received{From: from, Records: m.Records})
	return empty{}, nil
}

func (p *Process) handleExchange(_ context.Context, from string, params json.RawMessage) (any, error) {
	var m exchangeMessage
	if err := control.Decode(params, &m); err != nil {
		return nil, err
	}
	a := p.CallCore(func(call uint64) step.Event {
		return record.ExchangeAsked{Call: call, From: from, Common: m.Common, Dynamic: m.Dynamic, Coverage: m.Coverage}
	}).(record.ExchangeAnswer)
	return exchangeAnswer{Same: a.Same, Digest: a.Digest, Coverage: a.Coverage}, nil
}

func (p *Process) handleCompare(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var m compareMessage
	if err := control.Decode(params, &m); err != nil {
		return nil, err
	}
	a := p.CallCore(func(call uint64) step.Event {
		return record.CompareAsked{Call: call, Buckets: m.Buckets, Versions: m.Versions, Fingerprints: m.Fingerprints}
	}).(record.CompareAnswer)
	return compareAnswer{Records: a.Records, Wants: a.Wants, WantFingerprints: a.WantFingerprints, Partial: a.Partial}, nil
}
