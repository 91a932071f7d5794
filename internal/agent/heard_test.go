package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSilenceOfEngineIsToldFromSlowness guards against an engine that counts as slow because it was silent as a whole, and against a slow one that
// counts as silent although it answers other calls meanwhile.
func TestSilenceOfEngineIsToldFromSlowness(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	for name, c := range map[string]struct {
		// heard is when the engine was heard, and from and to the time that a request waited, all in milliseconds.
		heard      []int
		from, to   int
		wantSilent time.Duration
	}{
		"never heard before":        {[]int{2000}, 0, 2000, 0},
		"state reads answered":      {[]int{0, 500, 1000, 1500, 2000}, 100, 2000, 0},
		"silent, then goes on":      {[]int{0, 400, 2000, 2001}, 500, 2000, 1500 * time.Millisecond},
		"silent during a part":      {[]int{0, 500, 1000, 2500, 3000}, 600, 3000, 1500 * time.Millisecond},
		"silent before the request": {[]int{0, 2000, 2500, 3000}, 2200, 3000, 0},
		"silent twice":              {[]int{0, 1000, 1500, 2500}, 0, 2500, 2 * time.Second},
		"records out of order":      {[]int{0, 2000, 1990, 2100}, 500, 2000, 1500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			var h heardLog
			for _, ms := range c.heard {
				h.record(at(ms))
			}
			require.Equal(t, c.wantSilent, h.silentWithin(interval{at(c.from), at(c.to)}))
		})
	}
}

// TestSilencesAreBounded guards against memory that grows with each silence of an engine.
func TestSilencesAreBounded(t *testing.T) {
	var h heardLog
	for i := range 100 {
		h.record(time.Unix(int64(1000+i), 0))
	}
	require.Len(t, h.silences, maxEngineSilences)
	require.Equal(t, time.Unix(1099, 0), h.silences[maxEngineSilences-1].end)
}
