package code_test

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
)

// TestCodesPageMatchesCatalogue guards against a docs/CODES.md that was not regenerated after a change of the catalogue.
func TestCodesPageMatchesCatalogue(t *testing.T) {
	page, err := os.ReadFile("../../docs/CODES.md")
	require.NoError(t, err)
	require.Equal(t, code.Markdown(), string(page))
}

// TestCatalogueNumbersAreUnique guards against a number that is given to two results.
func TestCatalogueNumbersAreUnique(t *testing.T) {
	seen := map[code.Code]bool{}
	for _, e := range code.Catalogue {
		require.False(t, seen[e.Code], "code %d is listed twice", e.Code)
		seen[e.Code] = true
	}
}
