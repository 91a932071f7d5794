package report_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"samphireweir.example/samphireweir/internal/demo/report"
)

func passed() report.Report {
	ratio := 1.25
	return report.Report{Hosts: 3, Live: 2, Spread: report.Spread{Version: "v1", Serving: 2, TimeRatio: &ratio}}
}

// TestPassedRunHasNoFailures guards against a run that is reported as failed although all live hosts serve and no request
// went wrong. A killed host is no failure.
func TestPassedRunHasNoFailures(t *testing.T) {
	assert.Empty(t, passed().Failures())
}

// TestEachFailureIsReported guards against a run that passes although one of its counts shows a failure.
func TestEachFailureIsReported(t *testing.T) {
	cases := map[string]func(r *report.Report){
		"lost":          func(r *report.Report) { r.Lost = 1 },
		"doubled":       func(r *report.Report) { r.Doubled = 1 },
		"false not-run": func(r *report.Report) { r.FalseNotRun = 1 },
		"mixed":         func(r *report.Report) { r.Mixed = 1 },
		"not serving":   func(r *report.Report) { r.Serving = 1 },
		"second":        func(r *report.Report) { r.Second = &report.Spread{Serving: 1} },
		"died":          func(r *report.Report) { r.Exited = []string{"host-1"} },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			changed := passed()
			change(&changed)
			assert.Len(t, changed.Failures(), 1)
		})
	}
}

// TestJSONIsOneLineWithExpectedFields guards against changes of the output that tools read: fields that are missing or
// renamed, several lines, or 0 in place of null for a ratio that was not measured.
func TestJSONIsOneLineWithExpectedFields(t *testing.T) {
	var written bytes.Buffer
	require.NoError(t, passed().WriteJSON(&written))
	assert.Equal(t, 1, bytes.Count(written.Bytes(), []byte("\n")))
	var fields map[string]any
	require.NoError(t, json.Unmarshal(written.Bytes(), &fields))
	names := []string{
		"hosts", "serving", "time_ratio", "p90_ratio", "origin_copies", "requests", "complete", "refused", "lost",
		"doubled", "false_not_run", "mixed", "slow_p95_ratio", "policy", "seed",
	}
	for _, name := range names {
		assert.Contains(t, fields, name)
	}
	assert.InDelta(t, 1.25, fields["time_ratio"], 1e-9)
	assert.Nil(t, fields["p90_ratio"], "a ratio that was not measured is null")
}

// TestTableShowsServingAndRatios guards against a table that omits the serving hosts or prints a number for a ratio that
// was not measured.
func TestTableShowsServingAndRatios(t *testing.T) {
	var written bytes.Buffer
	require.NoError(t, passed().WriteTable(&written))
	assert.Contains(t, written.String(), "2 of 2")
	assert.Contains(t, written.String(), "1.25, -")
}
