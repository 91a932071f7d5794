package weights

import (
	"sort"
	"time"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/setting"
)

// Progress is the state of a burst on this host, for operators.
type Progress struct {
	Ref    Ref            `json:"ref"`
	Digest string         `json:"digest"`
	Policy setting.Policy `json:"policy"`
	// Held is the number of chunks on this host and Chunks the total; Chunks is 0 until the
	// manifest is read.
	Held   int `json:"held"`
	Chunks int `json:"chunks"`
	// Counts has the received bytes by tier; Size is the size of the whole version in bytes.
	Counts Counts `json:"counts"`
	Size   int64  `json:"size"`
	// Hosts is the number of hosts that want the version, including this one; Links is the number
	// of linked peers.
	Hosts int `json:"hosts"`
	Links int `json:"links"`
	// Senders are the addresses of the peers that chunks are being fetched from.
	Senders []string `json:"senders"`
	// OriginFetches is the number of fetches from the origin in flight.
	OriginFetches int `json:"drawing"`
	// Rate is the mean rate in bytes per second since the burst began. Left is the estimated
	// remaining time at that rate; 0 if unknown.
	Rate int64         `json:"rate"`
	Left time.Duration `json:"left_ns"`
	Took time.Duration `json:"took_ns"`
	// Quiet is the time since the last progress of an incomplete burst.
	Quiet time.Duration `json:"quiet_ns"`
	// BlockedBy is the result code of the problem that blocks the burst; 0 if none is known.
	BlockedBy code.Code `json:"trouble"`
	// Unheld is the number of missing chunks that no reachable peer is known to have.
	Unheld int `json:"unheld"`
}

// Fetched returns the number of bytes that this host received for the version.
func (p Progress) Fetched() int64 {
	var n int64
	for _, bytes := range p.Counts.Bytes {
		n += bytes
	}
	return n
}

// View returns the progress of the wanted bursts.
func (s *State) View(now time.Time) []Progress {
	list := make([]Progress, 0, len(s.Bursts))
	for _, digest := range sortedDigests(s.Bursts) {
		list = append(list, s.Bursts[digest].view(now))
	}
	return list
}

func (b *Burst) view(now time.Time) Progress {
	p := Progress{
		Ref: b.Ref, Digest: b.Digest, Policy: b.Policy, Chunks: len(b.chunks), Held: len(b.chunks) - b.missing.len(),
		Counts: b.Counts, Hosts: 1, Links: b.linkCount(), Senders: b.senders(), OriginFetches: b.originFetches, BlockedBy: b.blockedBy,
	}
	for _, other := range b.peers {
		if other.listed {
			p.Hosts++
		}
	}
	end := now
	if !b.completedAt.IsZero() {
		end = b.completedAt
	}
	p.Took = end.Sub(b.startedAt)
	if b.Manifest == nil {
		return p
	}
	p.Size = b.Manifest.Size
	b.addRate(&p)
	if b.complete() {
		return p
	}
	p.Quiet = now.Sub(b.timing.lastProgress)
	for _, c := range b.missing.items {
		if !b.availableAt(now, b.chunks[c].nearHolders) && !b.availableAt(now, b.chunks[c].farHolders) {
			p.Unheld++
		}
	}
	return p
}

func (b *Burst) addRate(p *Progress) {
	fetched, left := p.Fetched(), int64(0)
	for _, c := range b.missing.items {
		left += b.Manifest.Chunks[c].Size
	}
	if p.Took <= 0 || fetched == 0 {
		return
	}
	rate := float64(fetched) / p.Took.Seconds()
	p.Rate = int64(rate)
	p.Left = time.Duration(float64(left) / rate * float64(time.Second))
}

func (b *Burst) senders() []string {
	var list []string
	for _, p := range b.peers {
		if p.inFlight > 0 {
			list = append(list, p.Address)
		}
	}
	sort.Strings(list)
	return list
}
