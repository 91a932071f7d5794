package count_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"samphireweir.example/samphireweir/internal/demo/count"
	"samphireweir.example/samphireweir/internal/demo/ledger"
	"samphireweir.example/samphireweir/internal/demo/standinclient"
)

// TestPercentileIsTheNearestRank guards against a percentile that is off by one rank, or that sorts the caller's slice.
func TestPercentileIsTheNearestRank(t *testing.T) {
	var values []time.Duration
	for value := 20; value >= 1; value-- {
		values = append(values, time.Duration(value))
	}
	assert.Equal(t, time.Duration(19), count.Percentile(values, 0.95))
	assert.Equal(t, time.Duration(18), count.Percentile(values, 0.90))
	assert.Equal(t, time.Duration(20), count.Percentile(values, 1))
	assert.Equal(t, time.Duration(1), count.Percentile(values, 0))
	assert.Equal(t, time.Duration(7), count.Percentile([]time.Duration{7}, 0.95))
	assert.Zero(t, count.Percentile(nil, 0.95))
	assert.Equal(t, time.Duration(20), values[0], "the values keep their order")
}

// TestDoubledListsEachKeyOnce guards against a key that is listed once per extra run, and against requests without a key
// that are taken for one key.
func TestDoubledListsEachKeyOnce(t *testing.T) {
	lines := []standinclient.PlainLine{
		{Service: "p1", IdempotencyKey: "b"},
		{Service: "p2", IdempotencyKey: "b"},
		{Service: "p2", IdempotencyKey: "b"},
		{Service: "p1", IdempotencyKey: "a"},
		{Service: "p1", IdempotencyKey: "a"},
		{Service: "p1", IdempotencyKey: "once"},
		{Service: "p1"},
		{Service: "p1"},
	}
	assert.Equal(t, []string{"a", "b"}, count.DuplicateKeys(lines))
	assert.Empty(t, count.DuplicateKeys(lines[5:]))
}

func refused(id, key, ran string) ledger.Record {
	return ledger.Record{RequestID: id, Key: key, Outcome: ledger.Refused, Ran: ran}
}

// TestFalseNotRunByRequestID guards against a refusal "not run" that is accepted although a log has a run with its
// request id. Loads and refusals with an unknown outcome don't count.
func TestFalseNotRunByRequestID(t *testing.T) {
	records := []ledger.Record{
		refused("plain-ran", "", ledger.NotRun),
		refused("engine-ran", "", ledger.NotRun),
		refused("loaded", "", ledger.NotRun),
		refused("honest", "", ledger.NotRun),
		refused("unsure", "", ledger.Unknown),
	}
	plain := []standinclient.PlainLine{{RequestID: "plain-ran"}, {RequestID: "unsure"}, {RequestID: ""}}
	engines := []standinclient.EngineLine{
		{Kind: "run", RequestID: "engine-ran"},
		{Kind: "load", RequestID: "loaded"},
	}
	wrong := count.FalseNotRun(records, plain, engines)
	assert.Equal(t, records[:2], wrong)
}

// TestFalseNotRunByKey guards against a false "not run" that is overlooked because the run has another request id, and
// against a true one that is blamed for the run of its resend with the same key.
func TestFalseNotRunByKey(t *testing.T) {
	complete := ledger.Record{RequestID: "second", Key: "k", Outcome: ledger.Complete}
	once := []standinclient.PlainLine{{RequestID: "inner-1", IdempotencyKey: "k"}}
	twice := append(once, standinclient.PlainLine{RequestID: "inner-2", IdempotencyKey: "k"})
	first := refused("first", "k", ledger.NotRun)

	assert.Len(t, count.FalseNotRun([]ledger.Record{first}, once, nil), 1, "no other request explains the run")
	assert.Empty(t, count.FalseNotRun([]ledger.Record{first, complete}, once, nil), "the resend ran it")
	assert.Len(t, count.FalseNotRun([]ledger.Record{first, complete}, twice, nil), 1, "the resend explains only one of two runs")
	assert.Empty(t, count.FalseNotRun([]ledger.Record{first}, nil, nil), "it did not run")
}

// TestMixedRuns guards against a run on two versions that is overlooked, and against a crash that is counted as one: a
// crashed engine has no digest at the end.
func TestMixedRuns(t *testing.T) {
	lines := []standinclient.EngineLine{
		{Kind: "run", Outcome: "done", DigestStart: "1", DigestEnd: "2"},
		{Kind: "run", Outcome: "cancelled", DigestStart: "1", DigestEnd: "2"},
		{Kind: "run", Outcome: "done", DigestStart: "1", DigestEnd: ""},
		{Kind: "run", Outcome: "crashed", DigestStart: "1", DigestEnd: ""},
		{Kind: "run", Outcome: "done", DigestStart: "1", DigestEnd: "1"},
		{Kind: "load", Outcome: "done", DigestStart: "1", DigestEnd: "2"},
	}
	assert.Equal(t, 3, count.RunsAcrossVersions(lines))
}

// TestMixedLoads guards against a finished load of wrong content or of an unknown digest that is overlooked. Loads that
// did not finish don't count.
func TestMixedLoads(t *testing.T) {
	content := map[string]string{"d1": "content"}
	lines := []standinclient.EngineLine{
		{Kind: "load", Outcome: "done", Digest: "d1", ContentSHA256: "content"},
		{Kind: "load", Outcome: "done", Digest: "d1", ContentSHA256: "other"},
		{Kind: "load", Outcome: "done", Digest: "d9", ContentSHA256: "content"},
		{Kind: "load", Outcome: "cut", Digest: "d1", ContentSHA256: "half"},
		{Kind: "run", Outcome: "done", Digest: "d1"},
	}
	assert.Equal(t, 2, count.LoadsWithWrongContent(lines, content))
}

// TestServeTimesUseTheFirstFinishedLoad guards against serve times that come from a repeated load, from an unfinished
// one or from another version's.
func TestServeTimesUseTheFirstFinishedLoad(t *testing.T) {
	since := time.UnixMilli(1000)
	lines := []standinclient.EngineLine{
		{Engine: "e1", Kind: "load", Outcome: "done", Digest: "d1", EndMS: 3000},
		{Engine: "e1", Kind: "load", Outcome: "done", Digest: "d1", EndMS: 2500},
		{Engine: "e1", Kind: "load", Outcome: "done", Digest: "d0", EndMS: 1100},
		{Engine: "e2", Kind: "load", Outcome: "cut", Digest: "d1", EndMS: 1200},
		{Engine: "e3", Kind: "run", Outcome: "done", Digest: "d1", EndMS: 1200},
	}
	want := map[string]time.Duration{"e1": 1500 * time.Millisecond}
	assert.Equal(t, want, count.ServeTimes(lines, "d1", since))
}

// TestRatio guards against a division by zero when nothing was measured before the spread.
func TestRatio(t *testing.T) {
	assert.InDelta(t, 1.5, count.Ratio(6*time.Second, 4*time.Second), 1e-9)
	assert.Zero(t, count.Ratio(time.Second, 0))
}

// TestLookupTimesOnlyIncludeCompleteLookupsInThePeriod guards against percentiles that mix in failed requests, other
// kinds of requests or lookups from outside the period.
func TestLookupTimesOnlyIncludeCompleteLookupsInThePeriod(t *testing.T) {
	at := func(second int64) time.Time { return time.Unix(second, 0) }
	lookup := ledger.Record{Kind: ledger.Lookup, Outcome: ledger.Complete}
	record := func(start int64, took time.Duration) ledger.Record {
		made := lookup
		made.Start, made.Took = at(start), took
		return made
	}
	lost := record(11, 3)
	lost.Outcome = ledger.Lost
	submission := record(11, 4)
	submission.Kind = ledger.Submission
	records := []ledger.Record{record(9, 1), record(10, 2), lost, submission, record(19, 5), record(20, 6)}
	assert.Equal(t, []time.Duration{2, 5}, count.LookupTimes(records, at(10), at(20)))
}

// TestOutcomesAndResends guards against counts that ignore the kind or the outcome, and against a first request that is
// counted as a resend.
func TestOutcomesAndResends(t *testing.T) {
	records := []ledger.Record{
		{Kind: ledger.Lookup, Outcome: ledger.Refused},
		{Kind: ledger.Submission, Outcome: ledger.Refused, Key: "a"},
		{Kind: ledger.Submission, Outcome: ledger.Complete, Key: "a"},
		{Kind: ledger.Submission, Outcome: ledger.Complete, Key: "b"},
	}
	assert.Equal(t, records[:2], count.WithOutcome(records, ledger.Refused))
	assert.Equal(t, 2, count.Outcomes(records, ledger.Submission, ledger.Complete))
	assert.Equal(t, 1, count.Outcomes(records, ledger.Lookup, ledger.Refused))
	assert.Equal(t, 1, count.Resends(records))
}
