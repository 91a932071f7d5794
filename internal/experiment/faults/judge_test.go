package faults

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"samphireweir.example/samphireweir/internal/demo/layout"
	"samphireweir.example/samphireweir/internal/demo/ledger"
	"samphireweir.example/samphireweir/internal/demo/standinclient"
)

var begin = time.UnixMilli(1_000_000)

func at(seconds float64) time.Time { return begin.Add(time.Duration(seconds * float64(time.Second))) }

func window() Window {
	return Window{Name: "kill-agent", Begin: at(0), End: at(3), Until: at(13)}
}

func lost(start, took float64) ledger.Record {
	return ledger.Record{Outcome: ledger.Lost, Start: at(start), Took: at(took).Sub(at(0))}
}

func judged(e Evidence) Row {
	e.Windows = append(e.Windows, window())
	e.AnswerLimit = 11 * time.Second
	return Judge(e)[0]
}

// TestMissingAnswerIsLostUnlessItsEntryWasDown guards against a judge that excuses a lost answer by the downtime of another entry, of another time, or of a graceful
// shutdown, which must not cut requests in flight.
func TestMissingAnswerIsLostUnlessItsEntryWasDown(t *testing.T) {
	killed := Downtime{Entry: 0, From: at(1), To: at(4), Abrupt: true}
	planned := Downtime{Entry: 0, From: at(1), To: at(4)}
	for _, c := range []struct {
		name     string
		down     []Downtime
		record   ledger.Record
		lost     int
		hasLimit int
	}{
		{"no entry was down", nil, lost(0.5, 1), 1, 0},
		{"the caller's limit is reached", nil, lost(0.5, 11), 1, 1},
		{"cut by the kill", []Downtime{killed}, lost(0.5, 1), 0, 0},
		{"sent to the dead entry", []Downtime{killed}, lost(2, 0), 0, 0},
		{"ended before the kill", []Downtime{killed}, lost(0.2, 0.1), 1, 0},
		{"sent after the restart", []Downtime{killed}, lost(5, 0), 1, 0},
		{"a graceful shutdown cuts nothing", []Downtime{planned}, lost(0.5, 1), 1, 0},
		{"sent between shutdown and restart", []Downtime{planned}, lost(2, 0), 0, 0},
		{"another entry", []Downtime{{Entry: 1, From: at(1), To: at(4), Abrupt: true}}, lost(2, 0), 1, 0},
		{"an entry that was not restarted", []Downtime{{Entry: 0, From: at(1), Abrupt: true}}, lost(9, 0), 0, 0},
	} {
		row := judged(Evidence{Records: []ledger.Record{c.record}, Downtimes: c.down})
		assert.Equal(t, c.lost, row.Lost, c.name)
		assert.Equal(t, 1-c.lost, row.Cut, c.name)
		assert.Equal(t, c.hasLimit, row.Unanswered, c.name)
	}
}

// TestOutcomesAreCountedInTheirWindowOnly guards against outcomes that are counted in the wrong column or for a fault in whose window the request did not start.
func TestOutcomesAreCountedInTheirWindowOnly(t *testing.T) {
	clean, crossed, mixed, refused, late := lost(1, 0), lost(1, 0), lost(1, 0), lost(1, 0), lost(14, 0)
	clean.CleanEnd = true
	crossed.Outcome, crossed.Crossed = ledger.Incorrect, true
	mixed.Outcome = ledger.Incorrect
	refused.Outcome, refused.Code, refused.Ran = ledger.Refused, 4002, ledger.NotRun
	row := judged(Evidence{Records: []ledger.Record{clean, crossed, mixed, refused, late}})
	assert.Equal(t, 4, row.Requests)
	assert.Equal(t, [4]int{1, 1, 1, 0}, [4]int{row.Truncated, row.Crossed, row.Mixed, row.Lost})
	assert.Equal(t, map[string]int{"4002 not run": 1}, row.Refused)
	assert.Len(t, row.Broken(), 3)
}

// TestDoubledKeyCountsInTheWindowOfItsFirstRequest guards against a double execution that is counted for two faults, when a key is sent again in a later window.
func TestDoubledKeyCountsInTheWindowOfItsFirstRequest(t *testing.T) {
	first := Window{Name: "first", Begin: at(-10), End: at(-9), Until: at(0)}
	send := func(seconds float64) ledger.Record {
		return ledger.Record{Outcome: ledger.Complete, Key: "k", Start: at(seconds)}
	}
	plain := []standinclient.PlainLine{{IdempotencyKey: "k"}, {IdempotencyKey: "k"}}
	rows := Judge(Evidence{
		Records: []ledger.Record{send(-1), send(1)}, Plain: plain, Windows: []Window{first, window()},
	})
	assert.Equal(t, [2]int{1, 0}, [2]int{rows[0].Doubled, rows[1].Doubled})
}

// TestFalseNotRunIsFoundInLogsOfAnyTime guards against a false "not run" that is missed since the request ran only after the window of its refusal.
func TestFalseNotRunIsFoundInLogsOfAnyTime(t *testing.T) {
	record := ledger.Record{RequestID: "r", Outcome: ledger.Refused, Ran: ledger.NotRun, Start: at(12.9)}
	ranLater := standinclient.PlainLine{RequestID: "r", StartMS: at(14).UnixMilli()}
	assert.Equal(t, 1, judged(Evidence{Records: []ledger.Record{record}, Plain: []standinclient.PlainLine{ranLater}}).FalseNotRun)
	assert.Zero(t, judged(Evidence{Records: []ledger.Record{record}}).FalseNotRun)
}

// TestUpstreamRecoversByACompletedRunAfterTheFault guards against upstreams that count as recovered by a run that started before the end of the
// fault, or that crashed.
func TestUpstreamRecoversByACompletedRunAfterTheFault(t *testing.T) {
	run := func(engine, outcome string, seconds float64) standinclient.EngineLine {
		return standinclient.EngineLine{Engine: engine, Kind: "run", Outcome: outcome, StartMS: at(seconds).UnixMilli()}
	}
	hosts := []layout.Host{{Engine: "e1"}, {Engine: "e2"}, {Engine: "e3"}, {Engine: "e4", Plain: "p4"}}
	lines := []standinclient.EngineLine{
		run("e1", "done", 5), run("e1", "done", 9), run("e2", "done", 2), run("e3", "crashed", 5), run("e4", "done", 4),
	}
	row := judged(Evidence{Hosts: hosts, Engines: lines, Plain: []standinclient.PlainLine{{Service: "p4", Outcome: "done", StartMS: at(4).UnixMilli()}}})
	assert.Equal(t, []string{"e2", "e3"}, row.NotRecovered)
	assert.InDelta(t, 2, row.NormalSeconds, 0.01)
	assert.Equal(t, 1, row.EngineCrashes)
}

// TestRefusedResendsDoNotDelayRecovery guards against resends whose refusal is correct being counted as errors. The refusal of a request that was sent once does count.
func TestRefusedResendsDoNotDelayRecovery(t *testing.T) {
	resend := ledger.Record{Key: "k", Outcome: ledger.Refused, Code: codeAlreadyRun, Start: at(8)}
	sent := ledger.Record{Key: "k", Outcome: ledger.Complete, Start: at(7)}
	assert.Zero(t, judged(Evidence{Records: []ledger.Record{sent, resend}}).NormalSeconds)
	alone := ledger.Record{Key: "other", Outcome: ledger.Refused, Code: codeOutcomeUnknown, Start: at(8)}
	row := judged(Evidence{Records: []ledger.Record{alone}})
	assert.InDelta(t, 5, row.NormalSeconds, 0.01)
	assert.InDelta(t, 8, row.ErrorSeconds, 0.01)
}
