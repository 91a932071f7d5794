package telemetry_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/telemetry"
)

// TestSeriesBeyondTheMaximumCountUnderOther guards against unbounded memory when a label takes many values. Combinations beyond
// MaxSeries share one series, and no count is lost.
func TestSeriesBeyondTheMaximumCountUnderOther(t *testing.T) {
	m := telemetry.NewMetrics()
	const n = 3 * telemetry.MaxSeries
	for i := range n {
		m.AttemptsFailed.Add(1, strconv.Itoa(i))
	}
	require.EqualValues(t, n-telemetry.MaxSeries, m.AttemptsFailed.Value(telemetry.OtherLabel))
	require.EqualValues(t, 1, m.AttemptsFailed.Value("0"))
}

// TestHistogramBucketsAreCumulative checks the text format of a histogram: cumulative buckets, the sum in seconds and the count.
func TestHistogramBucketsAreCumulative(t *testing.T) {
	m := telemetry.NewMetrics()
	for _, took := range []time.Duration{time.Millisecond, 3 * time.Millisecond, time.Hour} {
		m.Total.Observe(took, "karrakin", "summary-model")
	}
	var b strings.Builder
	require.NoError(t, m.Write(&b))
	labels := `{team="karrakin",service="summary-model"`
	for _, line := range []string{
		`samphireweir_request_seconds_bucket` + labels + `,le="0.001"} 1`,
		`samphireweir_request_seconds_bucket` + labels + `,le="0.005"} 2`,
		`samphireweir_request_seconds_bucket` + labels + `,le="300"} 2`,
		`samphireweir_request_seconds_bucket` + labels + `,le="+Inf"} 3`,
		`samphireweir_request_seconds_sum` + labels + `} 3600.004`,
		`samphireweir_request_seconds_count` + labels + `} 3`,
	} {
		require.Contains(t, b.String(), line+"\n")
	}
}

// TestExistingSeriesDoNotAllocate guards against allocations on the path of each request: counting and timing under labels that were
// used before must allocate nothing.
func TestExistingSeriesDoNotAllocate(t *testing.T) {
	m := telemetry.NewMetrics()
	allocations := testing.AllocsPerRun(100, func() {
		m.Requests.Add(1, "karrakin", "summary-model", "ok")
		m.Total.Observe(time.Millisecond, "karrakin", "summary-model")
	})
	require.Zero(t, allocations)
}
