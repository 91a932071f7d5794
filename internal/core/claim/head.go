package claim

// Head is the mutable object of a partition. Every decision is a conditional write of it.
type Head struct {
	// Writer identifies the instance of a process that wrote this version.
	Writer string `json:"writer"`
	// Horizon is a time in Unix milliseconds. Records of keys with an earlier timestamp may have been swept, so claims
	// of such keys are refused.
	Horizon int64 `json:"horizon"`
	// Era is the era of the platform's store in which this head was written; see package storerev.
	Era int64 `json:"era,omitempty"`
	// RestoredAt is when a process first noticed that the store was restored from a copy, in Unix milliseconds; 0 if it never was. Claims
	// that were recorded shortly before may be lost.
	RestoredAt int64 `json:"restored_at,omitempty"`
	// Segments hold the older records, the oldest segment first; a later record of a key replaces an earlier one.
	Segments []Segment `json:"segments,omitempty"`
	// Records are the newest records, one for each key.
	Records []Record `json:"records,omitempty"`
}

// Segment names an immutable object with records that moved out of the head.
type Segment struct {
	Name string `json:"name"`
	// AnswersName names the object with the stored responses of the segment's records; empty if there are none.
	AnswersName string `json:"answers,omitempty"`
	// Timed is set if the segment holds records of timed keys, as opposed to untimed ones.
	Timed bool `json:"timed,omitempty"`
	// Newest is the max KeyTime of the segment's records, or their max ClaimedAt if they are untimed, in Unix
	// milliseconds.
	Newest int64 `json:"newest"`
}

// RecordSegment is the value of an object named by Segment.Name.
type RecordSegment struct {
	Records []Record `json:"records"`
}

// AnswerSegment is the value of an object named by Segment.AnswersName.
type AnswerSegment struct {
	Answers map[Key]*StoredResponse `json:"answers"`
}

// NewSegment is a segment that must be written before the head that names it.
type NewSegment struct {
	Name string
	// Value is a RecordSegment or an AnswerSegment.
	Value any
}

// expired reports whether all records of the segment are past their retention.
func (g Segment) expired(horizon, untimedHorizon int64) bool {
	if g.Timed {
		return g.Newest < horizon
	}
	return g.Newest < untimedHorizon
}

// expired reports whether the record is past its retention.
func (r Record) expired(horizon, untimedHorizon int64) bool {
	if r.KeyTime != 0 {
		return r.KeyTime < horizon
	}
	return r.ClaimedAt < untimedHorizon
}
