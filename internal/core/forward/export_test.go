package forward

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
)

// NoteStalled records that an attempt at an upstream has got nothing for its timeout, and stays open.
func (s *State) NoteStalled(now time.Time, upstream catalog.Instance) {
	s.loadState(upstream).noteStalled(now)
}

// PredictFirstEvent returns the predicted time to the first event of a request with that many prompt tokens at an engine.
func (s *State) PredictFirstEvent(now time.Time, upstream string, prompt int) time.Duration {
	took, _ := s.view(s.Catalog.Upstreams[upstream]).predict(now, &request{model: "m", prompt: prompt})
	return took
}
