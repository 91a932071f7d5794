package silence

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// descheduledConn is a TCP connection of a process whose goroutine gets no processor time for a while before each of its reads reaches the
// kernel.
type descheduledConn struct {
	*net.TCPConn
	pause time.Duration
}

// Read reads after a pause.
func (c descheduledConn) Read(p []byte) (int, error) {
	time.Sleep(c.pause)
	return c.TCPConn.Read(p)
}

// newTCPPair returns both ends of a TCP connection.
func newTCPPair(t *testing.T) (local, remote *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	dialed, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = dialed.Close() })
	accepted, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// TestDataIsReadByProcessThatIsLateBeforeEachRead guards against an answer that is thrown away although it was there before the first read: a
// read whose deadline has passed when it reaches the kernel fails without a look at what has arrived.
func TestDataIsReadByProcessThatIsLateBeforeEachRead(t *testing.T) {
	near, far := newTCPPair(t)
	_, err := far.Write([]byte("data"))
	require.NoError(t, err)
	lateReads := 0
	w := NewWatch(60*time.Millisecond, func() { t.Error("given up") })
	w.OnLateRead(func() { lateReads++ })
	local := NewConn(descheduledConn{TCPConn: near, pause: 30 * time.Millisecond})
	w.Attach(local)
	w.recordSend()
	got, err := read(local)
	require.NoError(t, err)
	require.Equal(t, "data", got)
	require.Equal(t, 1, lateReads)
}

// TestEndIsReadByProcessThatIsLateBeforeEachRead guards against the end of a connection that is reported as silence of the other side.
func TestEndIsReadByProcessThatIsLateBeforeEachRead(t *testing.T) {
	near, far := newTCPPair(t)
	require.NoError(t, far.Close())
	w := NewWatch(60*time.Millisecond, func() { t.Error("given up") })
	local := NewConn(descheduledConn{TCPConn: near, pause: 30 * time.Millisecond})
	w.Attach(local)
	w.recordSend()
	_, err := read(local)
	require.Error(t, err)
	require.NotErrorIs(t, err, ErrSilent)
}

// TestSilentPeerIsGivenUpByProcessThatIsLateBeforeEachRead guards against a wait without an end for a dead peer.
func TestSilentPeerIsGivenUpByProcessThatIsLateBeforeEachRead(t *testing.T) {
	near, _ := newTCPPair(t)
	silences := 0
	w := NewWatch(60*time.Millisecond, func() { silences++ })
	local := NewConn(descheduledConn{TCPConn: near, pause: 30 * time.Millisecond})
	w.Attach(local)
	w.recordSend()
	_, err := read(local)
	require.ErrorIs(t, err, ErrSilent)
	require.Equal(t, 1, silences)
}
