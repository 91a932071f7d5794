package control

import (
	"bufio"
	"bytes"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// decodeExact decodes JSON and keeps numbers as they are written, since a float64 can't hold every valid number.
func decodeExact(t *testing.T, raw []byte) any {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	var v any
	require.NoError(t, d.Decode(&v))
	return v
}

// FuzzReadObject guards against input that makes the codec panic, or that it decodes to another message than the one that
// it encodes again.
func FuzzReadObject(f *testing.F) {
	var valid bytes.Buffer
	_ = boundedCodec{}.WriteObject(&valid, map[string]int{"a": 1})
	f.Add(valid.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 1, '{'})
	f.Add([]byte("\x00\x00\x00\a10E1000"))   // Valid JSON that a float64 can't hold.
	f.Add([]byte("\x00\x00\x00\a \"00&\" ")) // The encoder escapes the ampersand.
	f.Fuzz(func(t *testing.T, raw []byte) {
		var v json.RawMessage
		if (boundedCodec{}).ReadObject(bufio.NewReader(bytes.NewReader(raw)), &v) != nil {
			return
		}
		var again bytes.Buffer
		require.NoError(t, boundedCodec{}.WriteObject(&again, v))
		var w json.RawMessage
		require.NoError(t, boundedCodec{}.ReadObject(bufio.NewReader(&again), &w))
		require.Equal(t, decodeExact(t, v), decodeExact(t, w))
	})
}
