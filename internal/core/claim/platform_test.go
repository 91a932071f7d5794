package claim_test

import (
	"encoding/json"

	"samphireweir.example/samphireweir/internal/core/claim"
	"samphireweir.example/samphireweir/internal/core/step"
)

// fakePlatform is an object store in memory, with one head that is written conditionally and immutable segments.
type fakePlatform struct {
	version  uint64
	head     []byte
	segments map[string][]byte
	// lateCommits are writes that have not arrived yet and whose sender no longer waits for them.
	lateCommits []claim.Commit
}

func encode(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}

func decode[T any](raw []byte) T {
	var v T
	if err := json.Unmarshal(raw, &v); err != nil {
		panic(err)
	}
	return v
}

// apply writes the segments and, if the head has the expected version, the head. It reports whether the head was
// written.
func (p *fakePlatform) apply(c claim.Commit) bool {
	for _, g := range c.Segments {
		p.segments[g.Name] = encode(g.Value)
	}
	if c.IfVersion != p.version {
		return false
	}
	p.version++
	p.head = encode(c.Head)
	return true
}

// load returns the result of reading the head and its segments.
func (p *fakePlatform) load(l claim.Load) step.Event {
	ev := claim.Loaded{Version: p.version, Segments: map[string][]claim.Record{}}
	if p.version == 0 {
		return ev
	}
	ev.Head = decode[claim.Head](p.head)
	for _, g := range ev.Head.Segments {
		if l.KnownSegments[g.Name] {
			continue
		}
		raw, ok := p.segments[g.Name]
		if !ok {
			return claim.LoadFailed{}
		}
		ev.Segments[g.Name] = decode[claim.RecordSegment](raw).Records
	}
	return ev
}

// claimedBy reports whether the platform holds an open claim of the key by the request.
func (p *fakePlatform) claimedBy(key claim.Key, request string) bool {
	if p.version == 0 {
		return false
	}
	head := decode[claim.Head](p.head)
	found := map[claim.Key]claim.Record{}
	for _, g := range head.Segments {
		for _, r := range decode[claim.RecordSegment](p.segments[g.Name]).Records {
			found[r.Key] = r
		}
	}
	for _, r := range head.Records {
		found[r.Key] = r
	}
	return found[key].RequestID == request && found[key].Status == claim.Claimed
}
