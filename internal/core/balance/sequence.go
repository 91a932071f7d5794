package balance

import "cmp"

// Sequence orders the messages of one sender. Datagrams are reordered by up to 0.9 s, and an older one must not replace a newer one. The
// zero value is that of a sender that numbers no messages.
type Sequence struct {
	// Start is the start time of the sending process in milliseconds since 1970, and Number counts its messages.
	Start  int64 `json:"b"`
	Number int64 `json:"n"`
}

// Next returns the sequence of the sender's next message.
func (s Sequence) Next() Sequence { return Sequence{Start: s.Start, Number: s.Number + 1} }

// Follows reports whether a message may replace the one before, which is so unless it is known to be as old or older.
func (s Sequence) Follows(before Sequence) bool {
	if s == (Sequence{}) || before == (Sequence{}) {
		return true
	}
	return cmp.Or(cmp.Compare(s.Start, before.Start), cmp.Compare(s.Number, before.Number)) > 0
}
