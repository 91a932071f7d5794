package burst

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/demo"
	"samphireweir.example/samphireweir/internal/demo/report"
)

// TestRowsAreAppendedAndPlotted guards against medians that include runs that did not reach all hosts, and against plots
// that can't be drawn from the written rows.
func TestRowsAreAppendedAndPlotted(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "data", "bursts.csv")
	for _, ratio := range []float64{1.5, 1.1, 1.3} {
		r := report.Report{Hosts: 8, Live: 8, SizeBytes: 100, LinkRate: 50, Spread: report.Spread{Version: "v1", TimeRatio: &ratio, OriginCopies: 1}}
		require.NoError(t, appendRows(path, newRows("origin", demo.Options{}, r)))
	}
	unreached := report.Report{Hosts: 8, Live: 8, SizeBytes: 100, LinkRate: 50, Spread: report.Spread{Version: "v1"}}
	require.NoError(t, appendRows(path, newRows("origin", demo.Options{}, unreached)))
	rows, err := readRows(path)
	require.NoError(t, err)
	require.Len(t, rows, 4)
	points := medians(rows, "origin", "time_ratio")
	require.Len(t, points, 1)
	require.InDelta(t, 1.3, points[0].Y, 0.001)
	require.NoError(t, drawAll(path, filepath.Join(dir, "plots")))
	for _, f := range figures {
		_, err := os.Stat(filepath.Join(dir, "plots", f.file))
		require.NoError(t, err)
	}
}

// TestMedianOfEvenNumberOfValues guards against a median that picks one of the two middle values instead of their mean.
func TestMedianOfEvenNumberOfValues(t *testing.T) {
	require.InDelta(t, 2.5, median([]float64{4, 1, 2, 3}), 0)
}
