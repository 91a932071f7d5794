package telemetry_test

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/telemetry"
)

// TestMetricsPageMatchesDefinitions guards against a docs/METRICS.md that was not regenerated after a change of a definition.
func TestMetricsPageMatchesDefinitions(t *testing.T) {
	page, err := os.ReadFile("../../docs/METRICS.md")
	require.NoError(t, err)
	require.Equal(t, telemetry.Markdown(), string(page))
}

// TestEveryMetricIsWritten guards against a metric that is defined and listed but not exposed: each definition must appear exactly
// once in the text that a process serves.
func TestEveryMetricIsWritten(t *testing.T) {
	var b strings.Builder
	require.NoError(t, telemetry.NewMetrics().Write(&b))
	for _, d := range telemetry.Catalogue {
		require.Equal(t, 1, strings.Count(b.String(), "# TYPE "+d.Name+" "+string(d.Kind)+"\n"), d.Name)
	}
	require.Equal(t, len(telemetry.Catalogue), strings.Count(b.String(), "# TYPE "))
}
