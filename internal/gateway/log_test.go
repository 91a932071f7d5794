package gateway_test

import (
	"testing"

	"github.com/rs/zerolog"

	"samphireweir.example/samphireweir/platform/standin"
)

// newTestLogger returns a logger whose output is printed if the test fails.
func newTestLogger(t *testing.T) zerolog.Logger {
	t.Helper()
	log := &standin.Log{}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(log.String())
		}
	})
	return zerolog.New(log).With().Timestamp().Logger()
}
