package loadreport_test

import (
	"bytes"
	"encoding/json"
	"math"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/attribution"
	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/quarantine"
	"samphireweir.example/samphireweir/internal/core/storerev"
	"samphireweir.example/samphireweir/internal/loadreport"
)

// TestMessagesAreDeliveredAndMalformedDatagramsLogged guards against messages that change on the way, and against a
// malformed datagram that is dropped without a log line with the sender's address.
func TestMessagesAreDeliveredAndMalformedDatagramsLogged(t *testing.T) {
	sender, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer func() { _ = sender.Close() }()
	port := func() int {
		free, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		require.NoError(t, err)
		defer func() { _ = free.Close() }()
		return free.LocalAddr().(*net.UDPAddr).Port
	}()
	s, err := loadreport.Listen("127.0.0.1", port)
	require.NoError(t, err)
	received, logged := make(chan loadreport.Message, 1), make(logLines, 1)
	go s.Run(func(_ netip.AddrPort, m loadreport.Message) { received <- m }, zerolog.New(logged))
	defer s.Close()
	to := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port))
	sent := loadreport.Message{Load: &loadreport.Load{Address: "10.0.0.1:80", RequestCount: 3}, Crashes: []quarantine.Report{
		{Fingerprint: 7, RemainingMS: 30000}, {Fingerprint: 8, Crashes: []quarantine.Crash{{Upstream: 1, AgeMS: 20}}},
	}}
	require.NoError(t, s.Send(to, sent))
	require.Equal(t, sent, <-received)
	_, err = sender.WriteToUDPAddrPort([]byte("{"), to)
	require.NoError(t, err)
	require.Contains(t, <-logged, `"error":"datagram from `+sender.LocalAddr().String())
}

// logLines is a log writer that delivers each line to a channel.
type logLines chan string

// Write delivers one line.
func (l logLines) Write(p []byte) (int, error) {
	l <- string(p)
	return len(p), nil
}

// TestMaximalCrashReportFitsInDatagram guards against crash reports that exceed the size of a datagram. It fills the
// table with quarantined and suspected requests whose numbers have the maximum number of digits; the reports must stay
// below 2048 bytes, half of a datagram.
func TestMaximalCrashReportFitsInDatagram(t *testing.T) {
	table, now := quarantine.NewTable(), time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	for i := range uint64(100) {
		fingerprint := math.MaxUint64 - i
		table.Crashed(now, fingerprint, math.MaxUint32, now)
		if i%4 > 0 {
			table.Crashed(now, fingerprint, math.MaxUint32-1, now)
		}
		if i%4 > 1 {
			table.Crashed(now, fingerprint, math.MaxUint32-2, now)
		}
	}
	text, err := json.Marshal(table.Reports(now.Add(2900 * time.Millisecond)))
	require.NoError(t, err)
	require.Less(t, len(text), 2048)
}

// TestMaximalPartReportFitsBesideTheCrashReport guards against messages that exceed the size of a datagram because many parts of prompts
// are in play: the parts must leave room for the crash report and for the rest of a load report.
func TestMaximalPartReportFitsBesideTheCrashReport(t *testing.T) {
	table, now := attribution.NewTable(attribution.Observer{ID: math.MaxUint32, Decides: true}), time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	for i := range uint32(60) {
		var parts []attribution.Part
		for j := range uint64(60) {
			parts = append(parts, attribution.Part(math.MaxUint64-j*uint64(i+1)))
		}
		table.Crashed(now, math.MaxUint32-i, now, attribution.Attempt{Parts: parts, Request: uint16(i), SentAt: now.Add(-time.Hour)})
		now = now.Add(time.Second)
		table.Decide(now)
	}
	require.Positive(t, table.Active())
	for range 30 {
		text, err := json.Marshal(table.Report(now.Add(9 * time.Minute)))
		require.NoError(t, err)
		require.Less(t, len(text), 1800)
	}
}

// TestActivationKeepsAgeAndAssumedFlag guards against an activation that loses a field when it is encoded and decoded,
// such as the flag that its age is only assumed.
func TestActivationKeepsAgeAndAssumedFlag(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, assumed := range []bool{false, true} {
		n := catalog.Activation{Model: "m", Version: 2, Revision: storerev.Revision{Number: 9}, ActivatedAt: now.Add(-3 * time.Second), Assumed: assumed}
		text, err := json.Marshal(loadreport.Activations(now, []catalog.Activation{n}))
		require.NoError(t, err)
		var decoded []loadreport.Activation
		require.NoError(t, json.Unmarshal(text, &decoded))
		require.Len(t, decoded, 1)
		require.Equal(t, catalog.VersionActivated{Model: "m", Version: 2, Revision: storerev.Revision{Number: 9}, Age: 3 * time.Second, Assumed: assumed}, decoded[0].Event())
	}
}

// TestMalformedDatagramsDoNotFillTheLog guards against a sender of malformed or oversized datagrams that costs a log line with each.
func TestMalformedDatagramsDoNotFillTheLog(t *testing.T) {
	free, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	address := free.LocalAddr().(*net.UDPAddr)
	require.NoError(t, free.Close())
	socket, err := loadreport.Listen("127.0.0.1", address.Port)
	require.NoError(t, err)
	sender, err := net.Dial("udp4", address.String())
	require.NoError(t, err)
	defer func() { _ = sender.Close() }()
	var log bytes.Buffer
	received, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		socket.Run(func(netip.AddrPort, loadreport.Message) { close(received) }, zerolog.New(&log))
	}()
	for i := range 20 {
		datagram := []byte(`{"m":`)
		if i%2 == 0 {
			datagram = []byte(`{"d":"` + strings.Repeat("x", 5000) + `"}`)
		}
		_, err = sender.Write(datagram)
		require.NoError(t, err)
	}
	_, err = sender.Write([]byte(`{"d":"perth-a"}`))
	require.NoError(t, err)
	<-received
	socket.Close()
	<-done
	require.Equal(t, 1, strings.Count(log.String(), "\n"), log.String())
}
