package weights_test

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/weights"
)

// carryOut carries out the effects of a host over the simulated network.
func (f *fleet) carryOut(h *fakeHost, effects []step.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case weights.FetchManifest:
			f.fetchManifest(h, e)
		case weights.FetchChunk:
			if h.state.Bursts[e.Digest] == nil {
				panic(h.name + " fetches a version that is not wanted")
			}
			h.fetches[e.ID] = true
			f.fetchChunk(h, e)
		case weights.CancelFetch:
			delete(h.fetches, e.ID)
		case weights.Announce:
			f.announce(h, e)
		case weights.StartUpload:
			f.decide(h, e.Call, true)
		case weights.RefuseUpload:
			f.decide(h, e.Call, false)
		case weights.Returned:
			f.reopen(h, e.Digest)
		case weights.Completed:
			h.completed = append(h.completed, e.Digest)
		case weights.SetShare:
			h.share = e.Share
		}
	}
}

func (f *fleet) decide(h *fakeHost, call uint64, start bool) {
	if decide := h.decisions[call]; decide != nil {
		delete(h.decisions, call)
		decide(start)
	}
}

func (f *fleet) fetchManifest(h *fakeHost, e weights.FetchManifest) {
	instance := h.instance
	reply := func(ev step.Event) {
		if h.instance == instance {
			f.step(h, ev)
		}
	}
	failed := weights.ManifestFailed{Digest: e.Digest, From: e.From}
	available := e.From == weights.Origin
	if p := f.byName[string(e.From)]; p != nil {
		available = !p.dead && !p.frozen && f.connected(h, p) && hasManifest(p, e.Digest)
	}
	if available && e.From == weights.Origin && f.originFault != nil {
		fails, why, _ := f.originFault(-1)
		available = !fails || why == weights.Corrupt
	}
	v := f.versionWith(e.Digest)
	if !available || v == nil {
		f.after(networkDelay, func() { reply(failed) })
		return
	}
	f.after(2*networkDelay, func() {
		var held []int
		for i, c := range v.manifest.Chunks {
			if h.chunks[c.SHA256] {
				held = append(held, i)
			}
		}
		reply(weights.ManifestRead{Digest: v.digest, Manifest: v.manifest, From: e.From, Held: held})
	})
}

func (f *fleet) reopen(h *fakeHost, digest string) {
	v := f.versionWith(digest)
	if v == nil {
		return
	}
	var held []int
	for i, c := range v.manifest.Chunks {
		if h.chunks[c.SHA256] {
			held = append(held, i)
		}
	}
	f.after(0, func() { f.step(h, weights.ManifestRead{Digest: digest, Manifest: v.manifest, Held: held}) })
}

func hasManifest(h *fakeHost, digest string) bool {
	b := h.state.Bursts[digest]
	return b != nil && b.Manifest != nil
}

// heldChunks returns the answer to a hello; nil if the version is unknown.
func (f *fleet) heldChunks(h *fakeHost, digest string) []bool {
	if !hasManifest(h, digest) {
		return nil
	}
	var have []bool
	for _, c := range h.state.Bursts[digest].Manifest.Chunks {
		have = append(have, h.chunks[c.SHA256])
	}
	return have
}

func (f *fleet) announce(h *fakeHost, e weights.Announce) {
	p := f.byName[e.To]
	instance := h.instance
	silent := weights.PeerSilent{Digest: e.Digest, From: e.To}
	if p.dead {
		f.after(networkDelay, func() { f.step(h, silent) })
		return
	}
	if p.frozen && f.socketsKeep {
		f.announceOnThaw(h, p, e)
		return
	}
	if p.frozen || !f.connected(h, p) {
		f.after(callTimeout, func() { f.step(h, silent) })
		return
	}
	ev := weights.PeerHas{Digest: e.Digest, From: h.name, New: e.New, Hello: e.Hello, OriginFailed: e.OriginFailed}
	if e.Hello {
		ev.All = f.heldChunks(h, e.Digest)
	}
	f.after(networkDelay, func() {
		f.step(p, ev)
		if !e.Hello || p.dead || p.frozen {
			return
		}
		all := f.heldChunks(p, e.Digest)
		f.after(networkDelay, func() {
			if h.instance == instance && all != nil {
				f.step(h, weights.PeerHas{Digest: e.Digest, From: p.name, All: all})
			}
		})
	})
}

// announceOnThaw delivers an announcement to a frozen host when it goes on, unless the call has failed by then.
func (f *fleet) announceOnThaw(h, p *fakeHost, e weights.Announce) {
	ended := false
	f.after(callTimeout, func() {
		if !ended {
			ended = true
			f.step(h, weights.PeerSilent{Digest: e.Digest, From: e.To})
		}
	})
	p.pendingEvents = append(p.pendingEvents, func() {
		if !ended {
			ended = true
			f.announce(h, e)
		}
	})
}

// fetchChunk simulates a fetch with its timeout.
func (f *fleet) fetchChunk(h *fakeHost, e weights.FetchChunk) {
	instance := h.instance
	ended := false
	end := func(ev step.Event) {
		if ended || h.instance != instance || !h.fetches[e.ID] {
			return
		}
		ended = true
		delete(h.fetches, e.ID)
		f.step(h, ev)
	}
	failure := func(why weights.Reason, retry time.Duration) weights.ChunkFailed {
		return weights.ChunkFailed{Digest: e.Digest, Index: e.Index, Fetch: e.ID, From: e.From, Reason: why, RetryAfter: retry}
	}
	f.after(e.Limit, func() { end(failure(weights.ExchangeFailed, 0)) })
	startedAt := f.now
	arrive := func() {
		if f.corrupt != nil && f.corrupt(e.From, e.Index) {
			end(failure(weights.Corrupt, 0))
			return
		}
		if !h.dead && h.instance == instance {
			h.chunks[e.Chunk.SHA256] = true
			end(weights.ChunkStored{Digest: e.Digest, Index: e.Index, Fetch: e.ID, From: e.From, Took: f.now.Sub(startedAt)})
		}
	}
	if e.From == weights.Origin {
		f.fetchFromOrigin(h, e, arrive, func(why weights.Reason, retry time.Duration) { end(failure(why, retry)) })
		return
	}
	f.fetchFromPeer(h, f.byName[string(e.From)], e, arrive, func(why weights.Reason) { end(failure(why, 0)) })
}

func (f *fleet) fetchFromOrigin(h *fakeHost, e weights.FetchChunk, arrive func(), fail func(weights.Reason, time.Duration)) {
	if f.partitioned != nil && f.partitioned(h, nil) {
		return // The fetch runs into its timeout.
	}
	if f.originFault != nil {
		if fails, why, retry := f.originFault(e.Index); fails {
			f.after(2*networkDelay, func() { fail(why, retry) })
			return
		}
	}
	if f.shared != nil {
		f.shared.start(h, func() bool { return h.fetches[e.ID] && !h.dead }, arrive, fail)
		return
	}
	if f.originFree.Before(f.now) {
		f.originFree = f.now
	}
	f.originFree = f.originFree.Add(chunkTime / 2)
	f.originFetches++
	f.transfers[weights.FromOrigin]++
	f.after(f.originFree.Sub(f.now)+networkDelay, arrive)
}

func (f *fleet) fetchFromPeer(h, p *fakeHost, e weights.FetchChunk, arrive func(), fail func(weights.Reason)) {
	if p.dead {
		f.after(networkDelay, func() { fail(weights.ExchangeFailed) })
		return
	}
	if p.frozen && f.socketsKeep {
		p.pendingEvents = append(p.pendingEvents, func() {
			if h.fetches[e.ID] {
				f.fetchFromPeer(h, p, e, arrive, fail)
			}
		})
		return
	}
	if p.frozen || !f.connected(h, p) {
		return
	}
	f.callCount++
	call := f.callCount
	instance := p.instance
	f.after(networkDelay, func() {
		if p.dead || p.instance != instance {
			fail(weights.ExchangeFailed)
			return
		}
		if !p.chunks[e.Chunk.SHA256] {
			fail(weights.Missing)
			return
		}
		p.decisions[call] = func(start bool) {
			if !start {
				f.after(networkDelay, func() { fail(weights.Busy) })
				return
			}
			f.upload(h, p, call, arrive, fail)
		}
		f.step(p, weights.UploadRequested{Call: call, From: h.name, Size: chunkBytes})
	})
}

func (f *fleet) upload(h, p *fakeHost, call uint64, arrive func(), fail func(weights.Reason)) {
	p.activeUploads++
	duration := time.Duration(float64(chunkTime) * float64(p.activeUploads) / p.share)
	instance := p.instance
	f.after(duration, func() {
		switch {
		case p.dead || p.instance != instance:
			fail(weights.ExchangeFailed)
			return
		case p.frozen && f.socketsKeep:
			p.pendingEvents = append(p.pendingEvents, func() {
				p.activeUploads--
				f.upload(h, p, call, arrive, fail)
			})
			return
		case p.frozen || (f.stalled != nil && f.stalled(p)) || !f.connected(h, p):
			f.after(callTimeout, func() { f.uploadEnded(p, instance, call, 0) })
			return
		}
		f.transfers[distance(h, p)]++
		f.uploadEnded(p, instance, call, chunkBytes)
		f.after(networkDelay, arrive)
	})
}

func (f *fleet) uploadEnded(p *fakeHost, instance int, call uint64, sent int64) {
	if p.instance != instance {
		return
	}
	p.activeUploads--
	f.step(p, weights.UploadEnded{Call: call, Sent: sent})
}

func distance(a, b *fakeHost) weights.Tier {
	switch {
	case a.place == b.place:
		return weights.Place
	case a.region == b.region:
		return weights.Region
	}
	return weights.Fleet
}
