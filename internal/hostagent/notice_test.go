package hostagent_test

import (
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/hostagent"
	"samphireweir.example/samphireweir/internal/loadreport"
	"samphireweir.example/samphireweir/internal/telemetry"
	"samphireweir.example/samphireweir/platform/standin"
)

// TestAgentReportsEngineNoticesToEntries guards against an agent that doesn't report the rate limit or the shutdown that its engine signals.
// Only entries that have received a response from the engine since would then know of it.
func TestAgentReportsEngineNoticesToEntries(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	host := fleet.Host(standin.NextIP(), true)
	engine := fleet.AddEngine("i-1", host.IP, 1)
	fleet.Run(hostagent.New(host, zerolog.Nop(), telemetry.NewMetrics(), nil).Run)
	entry := standin.NextIP()
	socket, err := loadreport.Listen(entry, standin.PeerPort)
	require.NoError(t, err)
	defer socket.Close()
	var reported atomic.Pointer[loadreport.Load]
	go socket.Run(func(_ netip.AddrPort, m loadreport.Message) {
		if m.Load != nil {
			reported.Store(m.Load)
		}
	}, zerolog.Nop())
	agent := netip.AddrPortFrom(netip.MustParseAddr(host.IP), standin.PeerPort)
	reports := func(matches func(*loadreport.Load) bool) func() bool {
		return func() bool {
			_ = socket.Send(agent, loadreport.Message{DataCentre: "perth-a"}) // The agent may not be listening yet.
			load := reported.Load()
			return load != nil && matches(load)
		}
	}
	require.Eventually(t, reports(func(l *loadreport.Load) bool { return l.RateLimit == nil }), testTimeout, 10*time.Millisecond)
	engine.SetNotice(standin.Notice{Limit: "2.5"})
	require.Eventually(t, reports(func(l *loadreport.Load) bool { return l.RateLimit != nil && *l.RateLimit == 2.5 }), testTimeout, 10*time.Millisecond)
	engine.SetNotice(standin.Notice{Leaving: true})
	require.Eventually(t, reports(func(l *loadreport.Load) bool { return l.Leaving }), testTimeout, 10*time.Millisecond)
	engine.SetNotice(standin.Notice{})
	require.Eventually(t, reports(func(l *loadreport.Load) bool { return l.RateLimit == nil }), testTimeout, 10*time.Millisecond)
}
