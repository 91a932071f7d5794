package frame_test

import (
	"bytes"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/frame"
)

// FuzzReader checks that Reader accepts no payload over MaxPayloadBytes, and that the accepted frames, written again, yield
// the bytes that were read.
func FuzzReader(f *testing.F) {
	var good bytes.Buffer
	_ = frame.WriteJSON(&good, frame.TypeHead, frame.Head{Request: "r", Attempt: 1, Status: 200})
	_ = frame.Write(&good, frame.TypeData, []byte("x"))
	f.Add(good.Bytes())
	f.Add([]byte{2, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		r := frame.NewReader(bytes.NewReader(raw))
		var encoded bytes.Buffer
		for {
			kind, payload, err := r.Next()
			if err != nil {
				break
			}
			require.LessOrEqual(t, len(payload), frame.MaxPayloadBytes)
			require.NoError(t, frame.Write(&encoded, kind, payload))
		}
		require.True(t, bytes.HasPrefix(raw, encoded.Bytes()))
	})
}

// FuzzParseEnvelope checks that each envelope that is accepted has a request ID and a positive attempt number.
func FuzzParseEnvelope(f *testing.F) {
	f.Add(`{"request":"r","attempt":1,"upstream":"u"}`)
	f.Add(`{"attempt":-1}`)
	f.Fuzz(func(t *testing.T, text string) {
		h := http.Header{frame.EnvelopeHeader: {text}}
		e, err := frame.ParseEnvelope(h)
		if err != nil {
			return
		}
		require.NotEmpty(t, e.Request)
		require.GreaterOrEqual(t, e.Attempt, 1)
	})
}
