package weights

import "samphireweir.example/samphireweir/internal/core/step"

const (
	// uploadSlots is the number of uploads that share the link at the same time. A chunk can be
	// passed on only when it is complete, so a few uploads at the full rate distribute chunks
	// faster than many slow ones.
	uploadSlots = 2
	// maxQueuedUploads bounds the requests that wait for an upload slot. Further requests are
	// rejected, and the peer asks another host. A request from outside the data centre is rejected
	// only if twice as many are waiting.
	maxQueuedUploads = 3
)

// Uploads decides which chunk requests of peers are served.
type Uploads struct {
	calls map[uint64]*upload
	// waiting are the requests without an upload slot, in the order in which they will get one.
	waiting []uint64
	active  int
	// Sent counts the bytes sent, by the tier of the receiving peer.
	Sent [tiers]int64
	// Refused counts the rejected requests.
	Refused int64
}

type upload struct {
	tier   Tier
	active bool
}

// request admits, queues or rejects a request. Requests of delegates from other data centres go
// first, because a whole data centre waits for them.
func (u *Uploads) request(ev UploadRequested, tier Tier) []step.Effect {
	if u.active < uploadSlots {
		u.calls[ev.Call] = &upload{tier: tier, active: true}
		u.active++
		return []step.Effect{StartUpload{Call: ev.Call}}
	}
	if len(u.waiting) >= maxQueuedUploads && tier == Place {
		u.Refused++
		return []step.Effect{RefuseUpload{Call: ev.Call}}
	}
	if len(u.waiting) >= 2*maxQueuedUploads {
		u.Refused++
		return []step.Effect{RefuseUpload{Call: ev.Call}}
	}
	u.calls[ev.Call] = &upload{tier: tier}
	u.enqueue(ev.Call, tier)
	return nil
}

func (u *Uploads) enqueue(call uint64, tier Tier) {
	at := len(u.waiting)
	for at > 0 && u.calls[u.waiting[at-1]].tier < tier {
		at--
	}
	u.waiting = append(u.waiting, 0)
	copy(u.waiting[at+1:], u.waiting[at:])
	u.waiting[at] = call
}

func (u *Uploads) ended(ev UploadEnded) []step.Effect {
	c := u.calls[ev.Call]
	if c == nil {
		return nil
	}
	delete(u.calls, ev.Call)
	u.Sent[c.tier] += ev.Sent
	if !c.active {
		u.dequeue(ev.Call)
		return nil
	}
	u.active--
	if len(u.waiting) == 0 {
		return nil
	}
	next := u.waiting[0]
	u.waiting = u.waiting[1:]
	u.calls[next].active = true
	u.active++
	return []step.Effect{StartUpload{Call: next}}
}

func (u *Uploads) dequeue(call uint64) {
	for i, c := range u.waiting {
		if c == call {
			u.waiting = append(u.waiting[:i], u.waiting[i+1:]...)
			return
		}
	}
}
