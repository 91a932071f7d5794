package hostagent_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"samphireweir.example/samphireweir/internal/hostagent"
	"samphireweir.example/samphireweir/internal/loadreport"
)

// TestChangedPredictionIsReportedAtOnce guards against entries that let callers wait for an engine by an old prediction, and against a report
// with each reading because the predicted time comes nearer.
func TestChangedPredictionIsReportedAtOnce(t *testing.T) {
	for _, c := range []struct {
		before, after int64
		near, want    bool
	}{
		{before: 2000, after: 1900, near: true}, {before: 2000, after: 2200, near: true}, {before: 0, after: 0, near: true},
		{before: 2000, after: 2201, near: true, want: true}, {before: 2000, after: 1599, near: true, want: true},
		{before: 2000, after: 0, near: true, want: true}, {before: 0, after: 3000, near: true, want: true}, {before: 0, after: 3000},
	} {
		got := hostagent.ReportedAtOnce(loadreport.Load{ReadyMS: c.before}, loadreport.Load{ReadyMS: c.after}, 100*time.Millisecond, c.near)
		assert.Equal(t, c.want, got, "%+v", c)
	}
}
