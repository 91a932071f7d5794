package gateway_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/gateway"
	"samphireweir.example/samphireweir/platform/standin"
)

// heldListener accepts nothing until it is released, as a process without processor time does.
type heldListener struct {
	net.Listener
	released chan struct{}
}

// Accept implements net.Listener.
func (l heldListener) Accept() (net.Conn, error) {
	<-l.released
	return l.Listener.Accept()
}

// TestDeadlineCountsWhileTheProcessIsHeld guards against an answer after the caller's deadline, and a run for it, if the process comes to
// read the head only when the body has arrived as well.
func TestDeadlineCountsWhileTheProcessIsHeld(t *testing.T) {
	t.Parallel()
	const deadline, held = 200 * time.Millisecond, 400 * time.Millisecond
	fleet := standin.NewFleet(t)
	desk := fleet.AddService("i-1")
	e := start(t, fleet)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	released := make(chan struct{})
	time.AfterFunc(held, func() { close(released) })
	go e.gateway.ServeCallers(heldListener{l, released})
	caller := standin.Caller{Address: l.Addr().String(), Name: t.Name()}
	status, err := caller.DoWithSlowBody(standin.Request{Path: "/again/1", DeadlineMS: int(deadline.Milliseconds())}, time.Millisecond)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Nil(t, desk.LastRun())
}

// TestIdleConnectionIsNoWaitingRequest guards against a deadline that counts from the connection's establishment although its caller sent
// the head later to a process that was in time.
func TestIdleConnectionIsNoWaitingRequest(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	caller, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = caller.Close() }()
	conn, err := l.Accept()
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.Zero(t, gateway.WaitsAtFirstLook(conn))
	_, err = caller.Write([]byte("POST"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return !gateway.WaitsAtFirstLook(conn).IsZero() }, testTimeout, pollInterval)
}
