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

// TestAnAgentTellsEntriesWhatItsEngineSaysOfItself guards against a limit or a leaving that only those entries know which have passed on an answer
// since.
func TestAnAgentTellsEntriesWhatItsEngineSaysOfItself(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	host := fleet.Host(standin.NextIP(), true)
	engine := fleet.AddEngine("i-1", host.IP, 1)
	fleet.Run(hostagent.New(host, zerolog.Nop(), telemetry.NewMetrics(), nil).Run)
	entry := standin.NextIP()
	socket, err := loadreport.Listen(entry, standin.PeerPort)
	require.NoError(t, err)
	defer socket.Close()
	var told atomic.Pointer[loadreport.Load]
	go socket.Run(func(_ netip.AddrPort, m loadreport.Message) {
		if m.Load != nil {
			told.Store(m.Load)
		}
	}, zerolog.Nop())
	agent := netip.AddrPortFrom(netip.MustParseAddr(host.IP), standin.PeerPort)
	tells := func(what func(*loadreport.Load) bool) func() bool {
		return func() bool {
			_ = socket.Send(agent, loadreport.Message{DataCentre: "perth-a"}) // The agent may not listen yet.
			load := told.Load()
			return load != nil && what(load)
		}
	}
	require.Eventually(t, tells(func(l *loadreport.Load) bool { return l.RateLimit == nil }), patience, 10*time.Millisecond)
	engine.Say(standin.Notice{Limit: "2.5"})
	require.Eventually(t, tells(func(l *loadreport.Load) bool { return l.RateLimit != nil && *l.RateLimit == 2.5 }), patience, 10*time.Millisecond)
	engine.Say(standin.Notice{Leaving: true})
	require.Eventually(t, tells(func(l *loadreport.Load) bool { return l.Leaving }), patience, 10*time.Millisecond)
	engine.Say(standin.Notice{})
	require.Eventually(t, tells(func(l *loadreport.Load) bool { return l.RateLimit == nil }), patience, 10*time.Millisecond)
}
