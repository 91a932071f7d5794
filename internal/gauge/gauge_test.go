package gauge_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/gauge"
)

// write writes an entry of the journal.
func write(t *testing.T, dir string, hour int, command, arguments, head string, dirty bool, day string, served float64) {
	text := fmt.Sprintf(`{"cmd":%q,"argv":[%s],"head":%q,"dirty":%v,"site":"s","at":["2026-01-01T%02d:00:00Z","2026-01-01T%02d:30:00Z"],
		"days":[{"name":%q,"kind":%q,"seed":null,"served":%v,"G":0.5}]}`, command, arguments, head, dirty, hour, hour, day, strings.Split(day, "-")[0], served)
	require.NoError(t, os.WriteFile(filepath.Join(dir, fmt.Sprintf("%02d-%s-%v.json", hour, command, dirty)), []byte(text), 0o600))
}

// TestSlowLossShows guards against losses that are each too small to show from one landing to the next, and against marks for noise, for code that was
// not committed and for days that are no standard ones.
func TestSlowLossShows(t *testing.T) {
	dir := t.TempDir()
	write(t, dir, 1, "score", "", "aaaaaaaaaa", false, "quiet-1", 0.98)
	write(t, dir, 2, "score", "", "bbbbbbbbbb", false, "quiet-1", 0.96)
	write(t, dir, 3, "score", "", "cccccccccc", false, "quiet-1", 0.94)
	write(t, dir, 4, "score", "", "dddddddddd", true, "quiet-1", 0.10)
	write(t, dir, 5, "hunt", "", "cccccccccc", false, "quiet-1", 0.10)
	write(t, dir, 6, "run", "", "cccccccccc", false, "mix", 0.10)
	write(t, dir, 7, "run", `"--no-cpu"`, "cccccccccc", false, "quiet-1", 0.99)
	runs, err := gauge.Read(dir)
	require.NoError(t, err)
	rows := gauge.Compare(runs)
	require.Len(t, rows, 4)
	require.Equal(t, "served", rows[0].Name)
	require.Equal(t, "cccccccc", rows[0].Latest.Commit)
	require.Equal(t, "aaaaaaaa", rows[0].Best.Commit)
	var table strings.Builder
	below, err := gauge.Write(&table, rows)
	require.NoError(t, err)
	require.Equal(t, 1, below, table.String())
	require.NoError(t, gauge.Draw(runs, filepath.Join(dir, "plot.svg")))

	write(t, dir, 8, "run", "", "aaaaaaaaaa", false, "quiet-1", 0.93)
	runs, err = gauge.Read(dir)
	require.NoError(t, err)
	below, err = gauge.Write(&table, gauge.Compare(runs))
	require.NoError(t, err)
	require.Zero(t, below, "the runs of one commit differ by as much")
}
