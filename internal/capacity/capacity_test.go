package capacity_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/capacity"
)

// TestPagesMatchTheData guards against committed pages that differ from what the command generates from the committed data.
func TestPagesMatchTheData(t *testing.T) {
	root := filepath.Join("..", "..", "docs")
	all, err := capacity.ReadAll(filepath.Join(root, "data"))
	require.NoError(t, err)
	page, err := os.ReadFile(filepath.Join(root, "CAPACITY-FIRST.md"))
	require.NoError(t, err)
	require.Equal(t, capacity.Page(all), string(page), "run: go run ./cmd/capacity -first > docs/CAPACITY-FIRST.md")
	sweeps, err := capacity.ReadSweeps(filepath.Join(root, "data", capacity.SweepFolder))
	require.NoError(t, err)
	require.NotEmpty(t, sweeps)
	page, err = os.ReadFile(filepath.Join(root, "CAPACITY.md"))
	require.NoError(t, err)
	require.Equal(t, capacity.SweepPage(sweeps), string(page), "run: go run ./cmd/capacity > docs/CAPACITY.md")
}

// TestSweepPageShowsLineAndPower checks the slope, the growth exponent and the extrapolation of a series that grows with the square of the number of
// hosts, and of a constant one.
func TestSweepPageShowsLineAndPower(t *testing.T) {
	folder := t.TempDir()
	text := "# One day.\nrole,what,unit,hosts,middle,busiest\n" +
		"entry,bytes,kB a second,30,9,9\nentry,bytes,kB a second,300,50,900\nfleet,served,of 100,30,99,99\nfleet,served,of 100,300,99,99\n"
	require.NoError(t, os.WriteFile(filepath.Join(folder, "a.csv"), []byte(text), 0o644))
	sweeps, err := capacity.ReadSweeps(folder)
	require.NoError(t, err)
	page := capacity.SweepPage(sweeps)
	require.Contains(t, page, "| entry | bytes, kB a second | 9 | 50 / 900 | 4.44, 0.152 | -90, 3.3 | 2 | 4860, 22500 | 7 |")
	require.Contains(t, page, "| fleet | served, of 100 | 99 | 99 | 99, 0 | 99, 0 | 0 | 99, 99 | - |")
	require.Contains(t, page, "694 times the budget")
	require.NoError(t, os.WriteFile(filepath.Join(folder, "a.csv"), []byte("role,what\n1,2\n"), 0o644))
	_, err = capacity.ReadSweeps(folder)
	require.Error(t, err, "unexpected columns must be an error")
	require.NoError(t, os.WriteFile(filepath.Join(folder, "a.csv"), []byte("role,what,unit,hosts,middle,busiest\na,b,c,x,1,1\n"), 0o644))
	_, err = capacity.ReadSweeps(folder)
	require.Error(t, err, "a value that is not a number must be rejected")
}

// TestFitFindsTheLine checks the least-squares line through the medians, which an outlier among several runs must not change.
func TestFitFindsTheLine(t *testing.T) {
	s := capacity.Series{Points: []capacity.Point{{Size: 10, Value: 25}, {Size: 10, Value: 900}, {Size: 10, Value: 24}, {Size: 20, Value: 45}, {Size: 30, Value: 65}}}
	l := s.Fit()
	require.InDelta(t, 2, l.Slope, 0.001)
	require.InDelta(t, 5, l.Base, 0.01)
	require.InDelta(t, 1, l.R2, 0.001)
	require.InDelta(t, 3005, l.At(1500), 1)
}

// TestFilesWithUnknownColumnsAreSkipped guards against a folder that can't be read because one of its files has other columns.
func TestFilesWithUnknownColumnsAreSkipped(t *testing.T) {
	folder := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(folder, "a.csv"), []byte("size,metric,value\n10,x,1\n"), 0o644))
	require.NoError(t, os.WriteFile(filepath.Join(folder, "b.csv"), []byte("a,b,c,d\n1,2,3,4\n"), 0o644))
	all, err := capacity.ReadAll(folder)
	require.NoError(t, err)
	require.Len(t, all, 1)
}

// TestEveryCommittedFileIsRead guards against a data file that is silently omitted from the page because no layout knows its columns.
func TestEveryCommittedFileIsRead(t *testing.T) {
	folder := filepath.Join("..", "..", "docs", "data")
	all, err := capacity.ReadAll(folder)
	require.NoError(t, err)
	names, err := filepath.Glob(filepath.Join(folder, "*.csv"))
	require.NoError(t, err)
	require.Len(t, all, len(names))
	for file, series := range all {
		require.NotEmpty(t, series, file)
	}
}

// TestLayoutsReadEachFilesOwnColumns checks a file with comment lines, one column for each metric, and groups.
func TestLayoutsReadEachFilesOwnColumns(t *testing.T) {
	folder := t.TempDir()
	text := "# a remark\nvariant,engines,max_unavailable,writes,conflicts,reads\nafter,8,2,19.5,2.5,40\nafter,16,4,34.5,1.5,72\nafter,32,4,1,1,1\n"
	require.NoError(t, os.WriteFile(filepath.Join(folder, "orders.csv"), []byte(text), 0o644))
	all, err := capacity.ReadAll(folder)
	require.NoError(t, err)
	s := all["orders"]["after, 1 in 4 out of service: writes"]
	require.Equal(t, []capacity.Point{{Size: 8, Value: 19.5}, {Size: 16, Value: 34.5}}, s.Points)
	require.Equal(t, 1, s.Runs())
	require.Contains(t, all["orders"], "after, 1 in 8 out of service: reads")
	page := capacity.Page(all)
	require.Contains(t, page, "| after, 1 in 4 out of service: writes | single run | 8: 19.5, 16: 34.5 | - | - | - | - |", "two sizes are not enough for a line")
	require.NoError(t, os.WriteFile(filepath.Join(folder, "orders.csv"), []byte(text+"after,64,16,x,1,1\n"), 0o644))
	all, err = capacity.ReadAll(folder)
	require.NoError(t, err)
	require.Empty(t, all, "a value that is not a number must be rejected")
}
