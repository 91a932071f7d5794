package core

import (
	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/record"
	"samphireweir.example/samphireweir/internal/core/run"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/suspect"
)

// maxMarkPushes is the maximum number of entries that a mark is pushed to at once. The others receive it through the
// exchange of records.
const maxMarkPushes = 16

// crashed ends a run whose upstream crashed, and publishes the mark that follows: the request becomes suspect or is quarantined
// (see package suspect).
func (s *State) crashed(in step.Input, ev run.Crashed) []step.Effect {
	r := s.Runs.Running[ev.ID]
	if r == nil {
		return nil
	}
	s.Runs.Reduce(in, s.Rollout, s.Suspects)
	mark, ok := s.Suspects.Crashed(in.Now, r.Fingerprint, !r.Shared)
	if !ok {
		return nil
	}
	return s.publishMark(in, mark)
}

// runFinished ends a run. A suspect request that ran alone on its upstream and completed is cleared.
func (s *State) runFinished(in step.Input, ev run.Finished) []step.Effect {
	var effects []step.Effect
	r := s.Runs.Running[ev.ID]
	if r != nil && r.Exclusive && !r.Shared && ev.Complete && ev.Ran == code.DidRun {
		if mark, ok := s.Suspects.Cleared(in.Now, r.Fingerprint); ok {
			effects = s.publishMark(in, mark)
		}
	}
	effects = append(effects, s.Runs.Reduce(in, s.Rollout, s.Suspects)...)
	return append(effects, s.reduceRollout(in)...)
}

// publishMark publishes a mark and pushes it to the entries without waiting for the next tick. A caller that gets an
// error may send the request again to another entry immediately.
func (s *State) publishMark(in step.Input, mark record.Record) []step.Effect {
	effects := s.reduceRecords(withEvent(in, record.Published{Records: []record.Record{mark}}))
	for _, address := range s.MarkReceivers() {
		effects = append(effects, record.Push{To: address, Records: []record.Record{mark}})
	}
	return effects
}

// MarkReceivers returns the addresses of the entries that a mark is pushed to at once.
func (s *State) MarkReceivers() []string {
	var entries []string
	for _, address := range s.Members.Peers() {
		if s.Members.Hosts[address].Role == member.Entry && len(entries) < maxMarkPushes {
			entries = append(entries, address)
		}
	}
	return entries
}

// Mark returns the record with the mark of a request's fingerprint. ok is false if there is none.
func (s *State) Mark(fingerprint string) (record.Record, bool) {
	r, ok := s.Records.Records[suspect.Prefix+fingerprint]
	return r, ok
}
