package attribution_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/attribution"
)

// A report must be sent at once after a change and a few times more, as datagrams get lost. Sent each second for as long as anything is known,
// reports would take more of the links than all other messages.
func TestReportsAreRepeatedAFewTimes(t *testing.T) {
	var s attribution.Schedule
	sent := map[time.Duration]bool{}
	for at := time.Duration(0); at < time.Minute; at += 100 * time.Millisecond {
		changes := uint64(1)
		if at >= 30*time.Second {
			changes = 2
		}
		if s.Due(start.Add(at), changes) {
			sent[at] = true
		}
	}
	require.True(t, sent[0])
	require.True(t, sent[30*time.Second], "at once after a change")
	require.Len(t, sent, 10, "two changes with three repeats each, and a refresh after 20 s")
}
