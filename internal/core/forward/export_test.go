package forward

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
)

// NoteStalled records that an attempt at an upstream has got nothing for its timeout, and stays open.
func (s *State) NoteStalled(now time.Time, upstream catalog.Instance) {
	s.loadState(upstream).noteStalled(now)
}
