package logevent_test

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/logevent"
)

// TestEventsPageMatchesCatalogue guards against a docs/EVENTS.md that was not regenerated after a change of the catalogue.
func TestEventsPageMatchesCatalogue(t *testing.T) {
	page, err := os.ReadFile("../../docs/EVENTS.md")
	require.NoError(t, err)
	require.Equal(t, logevent.Markdown(), string(page))
}
