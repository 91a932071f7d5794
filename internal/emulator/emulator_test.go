package emulator

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
)

// pattern returns the pattern with a name.
func pattern(t *testing.T, name string) Pattern {
	t.Helper()
	for _, p := range Patterns {
		if p.Name == name {
			return p
		}
	}
	require.Fail(t, "no such pattern", name)
	return Pattern{}
}

// TestAPlayRepeats guards against plays that can't be compared: the same seed gives the same callers, and the same way the same answers.
func TestAPlayRepeats(t *testing.T) {
	t.Parallel()
	p := pattern(t, "step")
	first := Play(Streams(), p, forward.DefaultPolicy(), 7)
	require.Equal(t, first, Play(Streams(), p, forward.DefaultPolicy(), 7))
	other := forward.DefaultPolicy()
	other.OldestFirst = true
	second := Play(Streams(), p, other, 7)
	require.Equal(t, first.Asked, second.Asked)
	require.Equal(t, first.Bound, second.Bound)
}

// TestEveryCallerEndsSomehowAndNobodyBeatsTheBound guards against an emulator that loses callers, or engines that do more than they can.
func TestEveryCallerEndsSomehowAndNobodyBeatsTheBound(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"steady overload", "engines that leave", "engines that send Retry-After"} {
		r := Play(Streams(), pattern(t, name), forward.DefaultPolicy(), 1)
		require.Equal(t, r.Asked, r.InTime+r.Late+r.Refused+r.Failed, name)
		require.LessOrEqual(t, r.InTime, r.Bound, name)
		require.Positive(t, r.InTime, name)
	}
}

// TestAnEngineWorksAsFastAsItsTermsSay has an engine work at all its places and compares what it gets done with the formula.
func TestAnEngineWorksAsFastAsItsTermsSay(t *testing.T) {
	t.Parallel()
	setup := Streams()
	setup.Centres, setup.Engines = 1, 1
	w := newWorld(1)
	e := &engine{world: w, terms: setup.Terms, upstream: &catalog.Upstream{}, slow: 1}
	done := 0
	var next func()
	next = func() {
		e.take(&task{unread: 850, unwritten: 20, event: func() {}, end: func() { done++; w.after(0, next) }})
	}
	for range setup.Terms.Slots + setup.Terms.Queue {
		next()
	}
	w.run(60 * time.Second)
	require.InEpsilon(t, 60/setup.Terms.work(850, 20).Seconds(), done, 0.05)
}

// TestEnginesThatSayTheyLeaveGetNothing guards entries of a whole fleet against work for engines that leave, whose entries in the store still say
// that they are ready.
func TestEnginesThatSayTheyLeaveGetNothing(t *testing.T) {
	t.Parallel()
	f := newFleet(Streams(), 3)
	f.load(0.6)
	f.world.run(5 * time.Second)
	e := f.engines[0]
	e.notice.Leaving = true
	f.world.run(6 * time.Second)
	before := e.taken
	f.world.run(12 * time.Second)
	require.Positive(t, before)
	require.Equal(t, before, e.taken)
}

// TestEnginesAtALimitGetNoMore guards entries of a whole fleet in overload against giving an engine more than it says it takes.
func TestEnginesAtALimitGetNoMore(t *testing.T) {
	t.Parallel()
	f := newFleet(Streams(), 4)
	f.load(1.2)
	f.world.run(5 * time.Second)
	e := f.engines[0]
	e.notice = catalog.Notice{Limited: true, RateLimit: 2}
	f.world.run(8 * time.Second)
	before := e.taken
	f.world.run(28 * time.Second)
	require.LessOrEqual(t, e.taken-before, 2*20+5, "2 a second in 20 s")
	require.Greater(t, e.taken-before, 20, "half of what it takes is used")
}

func TestTheCommandPrintsATableWritesRowsAndDraws(t *testing.T) {
	t.Parallel()
	rows := Compare(Streams(), []Pattern{pattern(t, "calm")}, Ways()[:2], 1, 2, func() {})
	var table bytes.Buffer
	require.NoError(t, printTable(&table, rows))
	require.Equal(t, 3, strings.Count(table.String(), "\n"))
	csv, plot := filepath.Join(t.TempDir(), "rows.csv"), filepath.Join(t.TempDir(), "plot.svg")
	require.NoError(t, writeRows(csv, rows))
	require.NoError(t, drawRows(rows, plot))
	for _, path := range []string{csv, plot} {
		info, err := os.Stat(path)
		require.NoError(t, err)
		require.Positive(t, info.Size())
	}
	require.Error(t, writeRows(filepath.Join(t.TempDir(), "none", "rows.csv"), rows))
}
