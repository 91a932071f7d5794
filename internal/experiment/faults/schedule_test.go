package faults

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestScheduleIsDeterministicAndCoversAllGroups guards against runs that can't be repeated from their seed, and against rounds that omit a fault.
func TestScheduleIsDeterministicAndCoversAllGroups(t *testing.T) {
	draw := func(seed uint64) []string {
		s := newSchedule(seed, singles([]string{"a", "b", "c", "d"}))
		var names []string
		for range 8 {
			names = append(names, s.next().String())
		}
		return names
	}
	assert.Equal(t, draw(3), draw(3))
	assert.ElementsMatch(t, []string{"a", "b", "c", "d"}, draw(3)[4:])
}

// TestPairsAreDrawnWithoutRepetition guards against pairs that are drawn twice or skipped when a draw is split into several runs.
func TestPairsAreDrawnWithoutRepetition(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	all := DrawPairs(7, names, 0, 100)
	assert.Len(t, all, 6)
	seen := map[string]bool{}
	for _, pair := range all {
		assert.NotEqual(t, pair[0], pair[1])
		seen[pair.String()] = true
	}
	assert.Len(t, seen, 6)
	assert.Equal(t, all[2:4], DrawPairs(7, names, 2, 2))
	assert.Empty(t, DrawPairs(7, names, 100, 2))
}

// TestPlanRejectsUnknownFaults guards against a misspelled fault name that silently injects nothing.
func TestPlanRejectsUnknownFaults(t *testing.T) {
	o := Options{Hosts: 6, Only: "kill-agent, freeze-agent+spread"}
	groups, err := o.plan()
	require.NoError(t, err)
	assert.Equal(t, []Group{{"kill-agent"}, {"freeze-agent", "spread"}}, groups)
	o.Only = "kill-agent+nonsense"
	_, err = o.plan()
	assert.ErrorContains(t, err, "nonsense")
}

// TestFaultNamesAreUnique guards against faults that -only can't select: duplicate names, or names with the separator +.
func TestFaultNamesAreUnique(t *testing.T) {
	seen := map[string]bool{}
	for _, name := range faultNames() {
		assert.False(t, seen[name], name)
		assert.NotContains(t, name, "+")
		seen[name] = true
	}
}

// TestRowsAreWrittenToTableCSVAndJSON guards against results that are lost on output: counts missing from the table, or broken guarantees missing from the JSON line.
func TestRowsAreWrittenToTableCSVAndJSON(t *testing.T) {
	row := Row{Fault: "none", Refused: map[string]int{"4002 unknown": 2, "2002 not run": 1}, NotRecovered: []string{"e1"}}
	var table bytes.Buffer
	require.NoError(t, WriteTable(&table, []Row{row}))
	assert.Contains(t, table.String(), "2002 not run: 1; 4002 unknown: 2")
	path := filepath.Join(t.TempDir(), "rows.csv")
	for range 2 {
		require.NoError(t, AppendCSV(path, Options{Seed: 1, Hosts: 6}, []Row{row}))
	}
	var line bytes.Buffer
	require.NoError(t, WriteJSON(&line, Options{}, []Row{row}))
	assert.Equal(t, 1, strings.Count(line.String(), "\n"))
	assert.Contains(t, line.String(), "none: not recovered: 1")
}
