package hostagent_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/install"
	"samphireweir.example/samphireweir/internal/hostagent"
	"samphireweir.example/samphireweir/internal/hostconfig"
	"samphireweir.example/samphireweir/internal/loadreport"
	"samphireweir.example/samphireweir/internal/telemetry"
	"samphireweir.example/samphireweir/platform/standin"
)

// gate holds the calls to an engine while it is closed, so that the engine seems silent to its agent.
type gate struct {
	mu sync.Mutex
	// opened is closed when the gate opens; nil while it is open.
	opened chan struct{}
	// held counts the calls that arrived while the gate was closed.
	held int
}

func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.opened, g.held = make(chan struct{}), 0
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened != nil {
		close(g.opened)
		g.opened = nil
	}
}

func (g *gate) wait() {
	g.mu.Lock()
	opened := g.opened
	if opened != nil {
		g.held++
	}
	g.mu.Unlock()
	if opened != nil {
		<-opened
	}
}

// awaitHeld waits until n calls arrived while the gate was closed. The agent has given up those before the last one.
func (g *gate) awaitHeld(t *testing.T, n int) {
	t.Helper()
	require.Eventually(t, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.held >= n
	}, testTimeout, time.Millisecond)
}

// loads collects the load reports that an entry receives.
type loads struct {
	mu   sync.Mutex
	list []*loadreport.Load
}

func (l *loads) add(_ netip.AddrPort, m loadreport.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m.Load != nil {
		l.list = append(l.list, m.Load)
	}
}

// take removes and returns the collected load reports.
func (l *loads) take() []*loadreport.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.list
	l.list = nil
	return list
}

// TestSilentEngineIsNotReportedWithoutWeights guards against entries that send nothing to a sound engine, and take it for crashed, because
// it was silent for a second or two and its agent reported it without weights. Meanwhile the agent must not report its earlier state as the
// present one either.
func TestSilentEngineIsNotReportedWithoutWeights(t *testing.T) {
	t.Parallel()
	fleet, calls, received := standin.NewFleet(t), &gate{}, &loads{}
	defer calls.open()
	fleet.InterceptCalls(func(_ standin.EngineCall, pass func()) {
		calls.wait()
		pass()
	})
	host := fleet.Host(standin.NextIP(), true)
	fleet.AddEngine("i-1", host.IP, 1)
	host.Engine = fleet.AddressOf("i-1")
	fleet.Run(hostagent.New(host, zerolog.Nop(), telemetry.NewMetrics(), nil).Run)
	socket, err := loadreport.Listen(standin.NextIP(), standin.PeerPort)
	require.NoError(t, err)
	defer socket.Close()
	go socket.Run(received.add, zerolog.Nop())
	agent := netip.AddrPortFrom(netip.MustParseAddr(host.IP), standin.PeerPort)
	var first *loadreport.Load
	reported := func() bool {
		_ = socket.Send(agent, loadreport.Message{DataCentre: host.DataCentre}) // The agent may not be listening yet.
		if list := received.take(); len(list) > 0 {
			first = list[0]
		}
		return first != nil
	}
	require.Eventually(t, reported, testTimeout, 10*time.Millisecond)
	require.EqualValues(t, 1, first.Versions["m"])
	calls.shut()
	calls.awaitHeld(t, 2)
	time.Sleep(50 * time.Millisecond) // What was sent before the first reading failed has arrived.
	received.take()
	calls.awaitHeld(t, 5)
	require.Empty(t, received.take())
	first = nil
	calls.open()
	require.Eventually(t, reported, testTimeout, 10*time.Millisecond)
	require.EqualValues(t, 1, first.Versions["m"])
}

// TestLoadOrderWaitsForASilentEngine guards against an engine that loads weights, drops them and loads them again, because it was silent when
// its load order arrived and the agent gave the order up though its confirmation would still have counted. It also guards against an order
// that waits for longer than that.
func TestLoadOrderWaitsForASilentEngine(t *testing.T) {
	t.Parallel()
	const silence = 2300 * time.Millisecond
	for _, c := range []struct {
		maxAcceptAge time.Duration
		accepted     string
	}{{time.Minute, `"accepted":true`}, {silence / 10, `"accepted":false`}} {
		t.Run(c.maxAcceptAge.String(), func(t *testing.T) {
			t.Parallel()
			calls := &gate{}
			engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				calls.wait()
				w.WriteHeader(http.StatusAccepted)
			}))
			defer engine.Close()
			defer calls.open()
			var log standin.Log
			a := hostagent.New(hostconfig.Host{Name: "a", IP: "127.0.0.1", PeerPort: 7700, Engine: strings.TrimPrefix(engine.URL, "http://")}, zerolog.New(&log), telemetry.NewMetrics(), nil)
			calls.shut()
			time.AfterFunc(silence, calls.open)
			begun := time.Now()
			a.OrderLoad(install.LoadOrder{Model: "m", Version: 1, CheckedAt: begun, MaxSendAge: time.Minute, MaxAcceptAge: c.maxAcceptAge})
			require.True(t, log.Contains(c.accepted))
			require.Less(t, time.Since(begun), silence+c.maxAcceptAge)
		})
	}
}
