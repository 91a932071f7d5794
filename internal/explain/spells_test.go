package explain_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	late      = `"event":1008,"late_from":"2026-12-02T10:00:20.25Z","delay_ms":300,"own_share":0.9,"message":"process late"`
	onTime    = `"event":1009,"late_from":"2026-12-02T10:00:20.25Z","late_until":"2026-12-02T10:00:26.5Z","delay_ms":2,"max_delay_ms":1234.4,"duration_ms":6250,"own_share":0.82,"message":"process on time"`
	endedLate = `"event":4008,"request":"abc","outcome":"answered","took_ms":2000,"message":"request ended"`
)

// spellsOf returns what explain prints on the spells during the request abc, one a line.
func spellsOf(t *testing.T, logs ...string) []string {
	t.Helper()
	v, ok := read(t, logs...).Explain("abc")
	require.True(t, ok)
	var out strings.Builder
	require.NoError(t, v.Print(&out))
	_, after, found := strings.Cut(out.String(), "\nprocesses that were late themselves during the request:\n")
	require.Equal(t, len(v.Spells) > 0, found)
	if !found {
		return nil
	}
	text, _, _ := strings.Cut(after, "\n\n")
	return strings.Split(text, "\n")
}

// TestSpellOfTheEntryIsShown guards against an explanation that blames an upstream for a delay of the entry itself.
func TestSpellOfTheEntryIsShown(t *testing.T) {
	entry := line(21, "entry", "edge-1", late) + line(22, "entry", "edge-1", sent) + line(24, "entry", "edge-1", endedLate) + line(29, "entry", "edge-1", onTime)
	want := []string{"  entry edge-1 was late by up to 1.234s from 10:00:20.250 to 10:00:26.500, using 82% of its processor time"}
	require.Equal(t, want, spellsOf(t, entry, ""))
	withoutStart := strings.Replace(entry, line(21, "entry", "edge-1", late), "", 1)
	require.Equal(t, want, spellsOf(t, withoutStart, ""), "the line of the start was dropped")
}

// TestSpellOfTheAgentIsShown guards against an explanation that looks at the entry only: an agent that carried the request may be late.
func TestSpellOfTheAgentIsShown(t *testing.T) {
	entry := line(22, "entry", "edge-1", sent) + line(24, "entry", "edge-1", endedLate)
	agent := line(21, "agent", "side-1", late) + line(22, "agent", "side-1", `"event":4002,"request":"abc"`) + line(29, "agent", "side-1", onTime)
	require.Len(t, spellsOf(t, entry, agent), 1)
}

// TestSpellWithoutAnEndLastsUntilTheProcessStartsAgain guards against a killed process that counts as late for good.
func TestSpellWithoutAnEndLastsUntilTheProcessStartsAgain(t *testing.T) {
	begin := line(21, "entry", "edge-1", late)
	request := line(28, "entry", "edge-1", sent) + line(29, "entry", "edge-1", endedLate)
	require.Equal(t, []string{"  entry edge-1 was late by up to 300ms from 10:00:20.250 to a time that these logs don't show, using 90% of its processor time"},
		spellsOf(t, begin+request, ""))
	require.Empty(t, spellsOf(t, begin+line(26, "entry", "edge-1", `"event":1001,"message":"listening"`)+request, ""))
}

// TestUnrelatedSpellIsNotShown guards against spells of other processes and other times in an explanation.
func TestUnrelatedSpellIsNotShown(t *testing.T) {
	spell := func(process, name string) string {
		return line(21, process, name, late) + line(29, process, name, onTime)
	}
	request := line(22, "entry", "edge-1", sent) + line(24, "entry", "edge-1", endedLate)
	require.Empty(t, spellsOf(t, request, spell("entry", "edge-2")+spell("agent", "edge-1")))
	after := line(30, "entry", "edge-1", sent) + line(31, "entry", "edge-1", endedLate)
	require.Empty(t, spellsOf(t, spell("entry", "edge-1")+after, ""))
	before := line(15, "entry", "edge-1", sent) + line(16, "entry", "edge-1", endedLate)
	require.Empty(t, spellsOf(t, spell("entry", "edge-1")+before, ""))
}

// TestDurationOfTheRequestCountsForItsSpells guards against a spell that is left out because it ended before the first line of the request,
// for example while its body was read.
func TestDurationOfTheRequestCountsForItsSpells(t *testing.T) {
	entry := line(29, "entry", "edge-1", onTime) + line(30, "entry", "edge-1", `"event":4001,"request":"abc","code":2003,"ran":"not run","held_ms":6000,"message":"request refused"`)
	require.Len(t, spellsOf(t, entry, ""), 1)
}
