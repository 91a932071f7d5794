package gateway_test

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/platform/standin"
)

// TestIdleConnectionIsClosedAfterTheManifestsTime guards against connections that callers leave open and that take up all file descriptors of
// the entry; and against one that is closed while its caller may still use it.
func TestIdleConnectionIsClosedAfterTheManifestsTime(t *testing.T) {
	const idle = time.Second
	fleet := standin.NewFleet(t)
	fleet.AddService("i-1")
	fleet.IdleTimeout = idle
	fleet.WriteManifest()
	e := start(t, fleet)
	conn, err := net.Dial("tcp", e.Address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	answers := bufio.NewReader(conn)
	for range 3 {
		_, err = conn.Write([]byte("POST /once/1 HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n"))
		require.NoError(t, err)
		answer, err := http.ReadResponse(answers, nil)
		require.NoError(t, err)
		require.NoError(t, answer.Body.Close())
		time.Sleep(idle * 4 / 5) // Callers use a connection that has been idle for so long.
	}
	idleSince := time.Now().Add(-idle * 4 / 5)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*idle)))
	_, err = answers.ReadByte()
	require.Error(t, err)
	require.Less(t, time.Since(idleSince), 5*idle)
}
