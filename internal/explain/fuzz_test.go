package explain_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/explain"
)

// FuzzRead guards against panics and lost lines on arbitrary input. Each line must be parsed or counted as malformed, and whatever was
// parsed must be explainable and printable.
func FuzzRead(f *testing.F) {
	f.Add([]byte(line(28, "entry", "edge-1", sent) + line(29, "entry", "edge-1", broken) + line(30, "entry", "edge-1", refused)))
	f.Add([]byte("12.5 edge-1 {\"event\":4008,\"request\":\"abc\"}\n{\"event\":\"x\"}\n{\"time\":7}\n{\n\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		l, err := explain.Read(bytes.NewReader(raw))
		if err != nil {
			return // A line is longer than maxLineBytes.
		}
		nonEmpty := 0
		for _, text := range bytes.Split(raw, []byte("\n")) {
			if len(bytes.TrimSpace(text)) > 0 {
				nonEmpty++
			}
		}
		require.Equal(t, nonEmpty, len(l.Lines)+l.Malformed)
		var out bytes.Buffer
		for _, id := range l.Failures() {
			v, ok := l.Explain(id)
			require.True(t, ok)
			require.NoError(t, v.Print(&out))
		}
		require.NoError(t, l.StateChanges("manifest", "").Print(&out))
	})
}
