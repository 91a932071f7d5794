package cli

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCheckTellsManifestsFromSettings guards against a manifest of the users' platform that is refused as an unknown setting, or accepted
// whatever it holds. Package platform tests the fields.
func TestCheckTellsManifestsFromSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "manifest.json")
	require.NoError(t, os.WriteFile(path, []byte(`{"version":7,"routes":[],"services":[]}`), 0o600))
	kind, err := (&checkCommand{}).checkFile(path)
	require.NoError(t, err)
	require.Contains(t, kind, "manifest")
	require.NoError(t, os.WriteFile(path, []byte(`{"version":7,"routes":[{"name":"r1"}],"services":[]}`), 0o600))
	_, err = (&checkCommand{}).checkFile(path)
	require.ErrorContains(t, err, "routes.r1")
}
