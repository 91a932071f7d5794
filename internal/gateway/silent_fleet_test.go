package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/hostagent"
	"samphireweir.example/samphireweir/internal/telemetry"
	"samphireweir.example/samphireweir/platform/standin"
)

// TestSilenceOfAllEnginesRefusesNobody guards against callers that are refused while all engines are silent for a time that the callers wait:
// since the agents report engines without weights, or since the entry takes engines with old reports for unusable where there are many.
func TestSilenceOfAllEnginesRefusesNobody(t *testing.T) {
	t.Parallel()
	const engines, requests, interval, silence = 10, 40, 30 * time.Millisecond, 1200 * time.Millisecond
	fleet := standin.NewFleet(t)
	fleet.Slots = 2 * requests
	fleet.WriteManifest()
	fleet.ActivateVersion(1)
	var list []*standin.Upstream
	for i := range engines {
		ip := standin.NextIP()
		list = append(list, fleet.AddEngine(fmt.Sprint("i-", i), ip, 1))
		fleet.Run(hostagent.New(fleet.Host(ip, true), zerolog.Nop(), telemetry.NewMetrics(), nil).Run)
	}
	e := start(t, fleet)
	require.Eventually(t, func() bool { return e.Post("/stream/first").Status == http.StatusOK }, testTimeout, 10*time.Millisecond)
	time.Sleep(1500 * time.Millisecond) // The agents report to the entry.
	for _, u := range list {
		u.FallSilent(silence)
	}
	var all sync.WaitGroup
	for n := range requests {
		all.Go(func() {
			r := e.Post(fmt.Sprint("/stream/", n))
			assert.Equal(t, http.StatusOK, r.Status, r.Body)
			assert.NoError(t, r.Err)
		})
		time.Sleep(interval)
	}
	all.Wait()
}
