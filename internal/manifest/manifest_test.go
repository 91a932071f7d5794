package manifest_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/manifest"
)

func validManifest() *manifest.Manifest {
	sha := strings.Repeat("ab", 32)
	return &manifest.Manifest{
		Model: "m", Adapter: "none", Version: "v1", Size: 5, ChunkSize: 4, SHA256: sha,
		Chunks: []manifest.Chunk{{SHA256: sha, Size: 4}, {SHA256: sha, Size: 1}},
	}
}

// TestParseRejectsInvalidFields checks that each invalid field is rejected with an error that names
// it, so that operators can find the mistake in a manifest.
func TestParseRejectsInvalidFields(t *testing.T) {
	for field, corrupt := range map[string]func(*manifest.Manifest){
		"chunks":        func(m *manifest.Manifest) { m.Chunks = nil },
		"chunk_size":    func(m *manifest.Manifest) { m.ChunkSize = 0 },
		"sha256":        func(m *manifest.Manifest) { m.SHA256 = "x" },
		"chunks.sha256": func(m *manifest.Manifest) { m.Chunks[1].SHA256 = "zz" },
		"chunks.size":   func(m *manifest.Manifest) { m.Chunks[0].Size = 3 },
		"size":          func(m *manifest.Manifest) { m.Size = 6 },
	} {
		m := validManifest()
		corrupt(m)
		raw, err := json.Marshal(m)
		require.NoError(t, err)
		_, err = manifest.Parse(raw)
		var coded *code.Error
		require.ErrorAs(t, err, &coded, field)
		require.Equal(t, field, coded.Field)
		require.Equal(t, code.BadManifest, coded.Code)
	}
	raw, err := json.Marshal(validManifest())
	require.NoError(t, err)
	_, err = manifest.Parse(raw)
	require.NoError(t, err)
}

// FuzzParse guards against panics on arbitrary bytes and against accepted manifests whose chunk
// sizes don't add up to the size.
func FuzzParse(f *testing.F) {
	raw, _ := json.Marshal(validManifest())
	f.Add(raw)
	f.Add([]byte(`{"chunks":[{}]}`))
	f.Add([]byte(`{"size":-1,"chunk_size":1}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := manifest.Parse(raw)
		if err != nil {
			return
		}
		last := len(m.Chunks) - 1
		require.Equal(t, m.Size, m.Offset(last)+m.Chunks[last].Size)
	})
}
