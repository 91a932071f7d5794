package transfer

import (
	"context"
	"encoding/json"
	"time"

	"samphireweir.example/samphireweir/internal/control"
	"samphireweir.example/samphireweir/internal/core/weights"
)

// haveMethod is the method that reports the chunks held by the sender.
const haveMethod = "weights.have"

// messageOverheadBytes is the approximate size of the headers and envelopes of a message and its
// answer, without the parameters.
const messageOverheadBytes = 150

// haveMessage reports which chunks of a version the sender has.
type haveMessage struct {
	Digest string `json:"digest"`
	New    []int  `json:"new,omitempty"`
	// All is a bitmap of all chunks; only in a hello.
	All   []byte `json:"all,omitempty"`
	Hello bool   `json:"hello,omitempty"`
	// OriginFailedMS is the time since the last failed fetch from the origin, in milliseconds; 0 if
	// there is none. OriginFailedMany is set if fetches of several hosts failed.
	OriginFailedMS   int64 `json:"origin_failed_ms,omitempty"`
	OriginFailedMany bool  `json:"origin_failed_many,omitempty"`
}

// haveAnswer answers a hello with a bitmap. The bitmap is absent if the version is unknown.
type haveAnswer struct {
	All []byte `json:"all,omitempty"`
}

func (f *Fetcher) announce(e weights.Announce) {
	m := haveMessage{Digest: e.Digest, New: e.New, Hello: e.Hello, OriginFailedMS: ceilMilliseconds(e.OriginFailed.Ago), OriginFailedMany: e.OriginFailed.Widespread}
	if e.Hello {
		m.All = f.Memory.HeldBitmap(e.Digest)
	}
	raw, err := json.Marshal(m)
	if err != nil {
		return // Marshalling a struct of plain fields can't fail.
	}
	f.controlMessages.Add(1)
	f.controlBytes.Add(int64(len(raw) + messageOverheadBytes))
	var a haveAnswer
	if err := f.Pool.Call(context.Background(), e.To, haveMethod, json.RawMessage(raw), &a); err != nil {
		f.Steps.Step(weights.PeerSilent{Digest: e.Digest, From: e.To})
		return
	}
	if a.All != nil {
		f.Steps.Step(weights.PeerHas{Digest: e.Digest, From: e.To, All: UnpackBitmap(a.All)})
	}
}

func (f *Fetcher) handleHave(_ context.Context, from string, params json.RawMessage) (any, error) {
	var m haveMessage
	if err := control.Decode(params, &m); err != nil {
		return nil, err
	}
	failed := weights.OriginFailure{Ago: time.Duration(m.OriginFailedMS) * time.Millisecond, Widespread: m.OriginFailedMany}
	ev := weights.PeerHas{Digest: m.Digest, From: from, New: m.New, Hello: m.Hello, OriginFailed: failed}
	if m.All != nil {
		ev.All = UnpackBitmap(m.All)
	}
	f.Steps.Step(ev)
	if !m.Hello {
		return haveAnswer{}, nil
	}
	return haveAnswer{All: f.Memory.HeldBitmap(m.Digest)}, nil
}

// ceilMilliseconds rounds up to milliseconds, so that a positive duration stays positive.
func ceilMilliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
