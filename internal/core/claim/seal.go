package claim

import (
	"slices"
	"time"
)

// buildHead sets the next head, with the changes of the commit, and returns the new segments that it names.
func (r *reduction) buildHead() []NewSegment {
	s := r.s
	s.nextHead = Head{
		Writer: s.writer, Horizon: s.head.Horizon, Era: s.era, RestoredAt: s.restoredAt, Segments: slices.Clone(s.head.Segments),
	}
	r.sweep()
	kept, size := s.unchangedRecords()
	var segments []NewSegment
	if size > s.config.SealBytes {
		segments = s.seal(kept)
		kept = nil
	}
	s.nextHead.Records = append(kept, sortedRecords(s.sentChanges)...)
	return segments
}

// unchangedRecords returns the records of the current head that the commit does not replace, and the estimated size,
// in bytes, of these records and the commit's changes together.
func (s *State) unchangedRecords() ([]Record, int) {
	kept := make([]Record, 0, len(s.head.Records)+len(s.sentChanges))
	size := 0
	for _, record := range s.head.Records {
		if _, replaced := s.sentChanges[record.Key]; !replaced {
			kept = append(kept, record)
			size += record.size()
		}
	}
	for _, record := range s.sentChanges {
		size += record.size()
	}
	return kept, size
}

// sortedRecords returns the records ordered by key, so that the reducer is deterministic.
func sortedRecords(m map[Key]Record) []Record {
	records := make([]Record, 0, len(m))
	for _, record := range m {
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b Record) int { return slices.Compare(a.Key[:], b.Key[:]) })
	return records
}

// seal moves records to new segments. Timed and untimed records go to separate segments, since their retentions
// differ.
func (s *State) seal(records []Record) []NewSegment {
	var segments []NewSegment
	for _, timed := range []bool{true, false} {
		var part []Record
		for _, record := range records {
			if (record.KeyTime != 0) == timed {
				part = append(part, record)
			}
		}
		if len(part) > 0 {
			segments = append(segments, s.sealSegment(part, timed)...)
		}
	}
	return segments
}

// sealSegment moves records to one new segment. Their stored responses go to a separate object, so that reading the
// records does not read the responses.
func (s *State) sealSegment(records []Record, timed bool) []NewSegment {
	s.segmentCount++
	g := Segment{Name: segmentKey(s.partition, s.writer, s.segmentCount, "records"), Timed: timed}
	answers := map[Key]*StoredResponse{}
	answersName := segmentKey(s.partition, s.writer, s.segmentCount, "answers")
	for i, record := range records {
		g.Newest = max(g.Newest, record.retentionStart())
		if record.Answer != nil {
			answers[record.Key] = record.Answer
			records[i].Answer = nil
			records[i].AnswersName = answersName
			s.sealedRecords = append(s.sealedRecords, records[i])
		}
	}
	segments := []NewSegment{{Name: g.Name, Value: RecordSegment{Records: records}}}
	if len(answers) > 0 {
		g.AnswersName = answersName
		segments = append(segments, NewSegment{Name: answersName, Value: AnswerSegment{Answers: answers}})
	}
	s.nextHead.Segments = append(s.nextHead.Segments, g)
	return segments
}

// retentionStart returns the time from which the record's retention counts, in Unix milliseconds.
func (r Record) retentionStart() int64 {
	if r.KeyTime != 0 {
		return r.KeyTime
	}
	return r.ClaimedAt
}

// sweep raises the next head's horizon once per sweep period (the retention divided by sweepsPerRetention), and removes
// the expired segments from the next head. Their objects are deleted only after that head is written: from then on
// no claim of a key below the horizon is granted, so the deleted records are not needed.
func (r *reduction) sweep() {
	s := r.s
	horizon := r.now.Add(-s.config.Retention).UnixMilli()
	if horizon < s.head.Horizon+(s.config.Retention/sweepsPerRetention).Milliseconds() {
		return
	}
	s.nextHead.Horizon = horizon
	untimed := s.untimedHorizon(r.now)
	s.nextHead.Segments = slices.DeleteFunc(s.nextHead.Segments, func(g Segment) bool {
		if !g.expired(horizon, untimed) {
			return false
		}
		s.sweptObjects = append(s.sweptObjects, g.Name)
		if g.AnswersName != "" {
			s.sweptObjects = append(s.sweptObjects, g.AnswersName)
		}
		return true
	})
}

// untimedHorizon returns the time of claim before which records of untimed keys are expired, in Unix milliseconds.
func (s *State) untimedHorizon(now time.Time) int64 {
	return now.Add(-s.config.UntimedRetention).UnixMilli()
}

// dropExpired removes the records from memory that are past their retention.
func (s *State) dropExpired(now time.Time) {
	untimed := s.untimedHorizon(now)
	for k, record := range s.durable {
		if !record.expired(s.head.Horizon, untimed) {
			continue
		}
		delete(s.durable, k)
		if record.KeyTime == 0 {
			s.untimedCount--
		}
	}
}
