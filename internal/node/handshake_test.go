package node

import (
	"context"
	"crypto/tls"
	"net"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/control"
	"samphireweir.example/samphireweir/internal/silence"
)

// lateHandshakeConn is a connection of a process that gets no processor time: what has arrived is passed on late.
type lateHandshakeConn struct {
	net.Conn
	lateness time.Duration
}

// Read reads, and returns late if there was data.
func (c *lateHandshakeConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		time.Sleep(c.lateness)
	}
	return n, err
}

// dialPipe returns a function that opens a connection whose other end is served by serve.
func dialPipe(t *testing.T, lateness time.Duration, serve func(net.Conn)) control.DialFunc {
	return func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		t.Cleanup(func() { _ = near.Close() })
		t.Cleanup(func() { _ = far.Close() })
		go serve(far)
		return silence.NewConn(&lateHandshakeConn{Conn: near, lateness: lateness}), nil
	}
}

// TestProcessThatIsLateInHandshakeRefusesNothing guards against a request that is refused, and a living host that counts as unreachable, since
// this process was late to read the answers of a handshake.
func TestProcessThatIsLateInHandshakeRefusesNothing(t *testing.T) {
	server := httptest.NewTLSServer(nil)
	server.Close()
	config := server.TLS.Clone()
	synctest.Test(t, func(t *testing.T) {
		serve := func(c net.Conn) { _ = tls.Server(c, config).HandshakeContext(context.Background()) }
		dial := withTLS(dialPipe(t, control.DialTimeout, serve), &tls.Config{InsecureSkipVerify: true})
		c, err := dial(context.Background(), "tcp", "peer")
		require.NoError(t, err)
		time.Sleep(10 * control.DialTimeout)
		require.NoError(t, c.(*tls.Conn).NetConn().Close())
	})
}

// TestSilentPeerIsGivenUpInHandshake guards against a wait without an end for a host that accepts a connection and then says nothing.
func TestSilentPeerIsGivenUpInHandshake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		serve := func(c net.Conn) { _, _ = c.Read(make([]byte, 64<<10)) }
		dial := withTLS(dialPipe(t, 0, serve), &tls.Config{InsecureSkipVerify: true})
		startedAt := time.Now()
		_, err := dial(context.Background(), "tcp", "peer")
		require.Error(t, err)
		require.ErrorIs(t, err, silence.ErrSilent)
		require.Less(t, time.Since(startedAt), 2*control.DialTimeout)
	})
}

// TestPeerThatReadsNothingIsGivenUpInHandshake guards against a wait without an end for a host that does not even accept the first message.
func TestPeerThatReadsNothingIsGivenUpInHandshake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dial := withTLS(dialPipe(t, 0, func(net.Conn) {}), &tls.Config{InsecureSkipVerify: true})
		startedAt := time.Now()
		_, err := dial(context.Background(), "tcp", "peer")
		require.Error(t, err)
		require.Less(t, time.Since(startedAt), 2*WriteTimeout)
	})
}
