package weights

import (
	"time"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// minBlockedInterval is the minimum time between two reports of blocked bursts. Each report is
	// sent to all entries, so reports must be rare.
	minBlockedInterval = 5 * time.Second
	percentScale       = 100
)

// Summary is a host's report about one burst. It is sent completely on request. To all entries, only
// the digest and what blocks the burst are sent.
type Summary struct {
	Digest  string `json:"digest"`
	Percent int    `json:"percent,omitempty"`
	// Rate is in bytes per second. LeftMS is the estimated remaining time in milliseconds at that
	// rate, when the summary was made.
	Rate   int64 `json:"rate,omitempty"`
	LeftMS int64 `json:"left_ms,omitempty"`
	// From has the bytes received from this data centre, from the rest of the region, from other
	// regions and from the origin.
	From [tiers]int64 `json:"from,omitzero"`
	// BlockedBy is the result code of the problem that blocks the burst.
	BlockedBy code.Code `json:"trouble,omitempty"`
}

// Summaries returns the summaries of the wanted bursts.
func (s *State) Summaries(now time.Time) []Summary {
	var list []Summary
	for _, p := range s.View(now) {
		list = append(list, p.summary())
	}
	return list
}

func (p Progress) summary() Summary {
	return Summary{
		Digest: p.Digest, Percent: p.Percent(), Rate: p.Rate, LeftMS: p.Left.Milliseconds(),
		From: p.Counts.Bytes, BlockedBy: p.BlockedBy,
	}
}

// Percent returns the percentage of chunks held; 100 only if all are held.
func (p Progress) Percent() int {
	if p.Chunks == 0 {
		return 0
	}
	return p.Held * percentScale / p.Chunks
}

// BlockedBursts lists the wanted bursts that are blocked, with their result codes.
func (s *State) BlockedBursts(now time.Time) []Summary {
	var list []Summary
	for _, summary := range s.Summaries(now) {
		if summary.BlockedBy != 0 {
			list = append(list, Summary{Digest: summary.Digest, BlockedBy: summary.BlockedBy})
		}
	}
	return list
}

// BlockedReportDue reports whether the result code that blocks a burst changed since the last report
// and a new report is due.
func (s *State) BlockedReportDue(in step.Input) bool {
	if in.Now.Before(s.nextBlockedReport) {
		return false
	}
	due := false
	for _, b := range s.Bursts {
		if b.blockedBy != b.reportedBlockedBy {
			b.reportedBlockedBy = b.blockedBy
			due = true
		}
	}
	if due {
		s.nextBlockedReport = in.Now.Add(minBlockedInterval)
	}
	return due
}
