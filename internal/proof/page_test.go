package proof_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/proof"
)

const output = `{"Action":"pass","Test":"TestA"}
{"Action":"fail","Test":"TestB"}
{"Action":"pass","Test":"TestB"}
not json
{"Action":"skip","Test":"TestC"}
`

// TestStateNeedsAPassInTheRun guards against cells that are shown as proved although one of their tests failed, was skipped or did not run.
func TestStateNeedsAPassInTheRun(t *testing.T) {
	run, err := proof.ReadResults(strings.NewReader(output))
	require.NoError(t, err)
	require.Equal(t, "proved", proof.Cell{Tests: []string{"TestA"}}.State(run))
	require.Contains(t, proof.Cell{Tests: []string{"TestA", "TestB"}}.State(run), "NOT PROVED")
	require.Contains(t, proof.Cell{Tests: []string{"TestC"}}.State(run), "NOT PROVED")
	require.Contains(t, proof.Cell{Tests: []string{"TestD"}}.State(run), "did not run")
	require.Contains(t, proof.Cell{}.State(run), "NOT PROVED")
	require.Contains(t, proof.Cell{Tests: []string{"TestA"}, Open: "half"}.State(run), "NOT PROVED: half")
}

// TestMatrixIsWellFormed guards against duplicate cells, and cells with contradictory or no information.
func TestMatrixIsWellFormed(t *testing.T) {
	seen := map[string]bool{}
	for _, c := range proof.Matrix() {
		key := string(c.Concern) + "|" + c.Fault + "|" + c.Step
		require.False(t, seen[key], "duplicate cell %s", key)
		seen[key] = true
		require.NotEmpty(t, c.Fault)
		require.NotEmpty(t, c.Step)
		require.False(t, c.NotApplicable != "" && (c.Open != "" || len(c.Tests) > 0), key)
		require.True(t, c.NotApplicable != "" || c.Open != "" || len(c.Tests) > 0, "%s has no tests, reason or open point", key)
	}
}
