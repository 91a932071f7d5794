package gateway_test

import (
	"testing"

	"github.com/rs/zerolog"

	"samphireweir.example/samphireweir/platform/standin"
)

// logOf returns a log that is printed when the test fails.
func logOf(t *testing.T) zerolog.Logger {
	t.Helper()
	log := &standin.Log{}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(log.String())
		}
	})
	return zerolog.New(log).With().Timestamp().Logger()
}
