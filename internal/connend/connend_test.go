package connend_test

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http/httptest"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"samphireweir.example/samphireweir/internal/connend"
)

// sentBytes is what the other side sends before its end.
const sentBytes = 1000

// userTimeout is after how long without progress the kernel gives up a connection with data that is not taken, in the tests that need it.
const userTimeout = 500 * time.Millisecond

// pair returns the two sides of a new connection.
func pair(t *testing.T) (near *connend.Conn, far *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	conn, err := connend.Dialer((&net.Dialer{}).DialContext)(context.Background(), "tcp", l.Addr().String())
	require.NoError(t, err)
	accepted, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = conn.Close()
		_ = accepted.Close()
	})
	return conn.(*connend.Conn), accepted.(*net.TCPConn)
}

// writeUntilError writes without an end and returns the error on the channel.
func writeUntilError(c net.Conn) <-chan error {
	failed := make(chan error, 1)
	go func() {
		for {
			if _, err := c.Write(make([]byte, 1<<20)); err != nil {
				failed <- err
				return
			}
		}
	}()
	return failed
}

// abort resets a connection.
func abort(t *testing.T, c *net.TCPConn) {
	require.NoError(t, c.SetLinger(0))
	require.NoError(t, c.Close())
}

// limitUnacknowledged lets the kernel give up a connection whose other side takes nothing.
func limitUnacknowledged(t *testing.T, c *connend.Conn) {
	raw, err := c.NetConn().(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	}))
	require.NoError(t, err)
}

// TestEndIsProvedWhicheverCallHearsOfIt guards against taking a reset or a lost connection for the end of what was sent, or the other way
// round, after a write has taken the kernel's report.
func TestEndIsProvedWhicheverCallHearsOfIt(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		// finish is what the other side does after it has sent its bytes.
		finish func(t *testing.T, far *net.TCPConn)
		// timeout lets the kernel give up the connection.
		timeout  bool
		writeErr error
		want     connend.End
	}{
		"reset": {finish: abort, writeErr: syscall.ECONNRESET, want: connend.End{How: connend.Aborted, Evidence: connend.State}},
		"reset after the end": {
			finish: func(t *testing.T, far *net.TCPConn) {
				require.NoError(t, far.CloseWrite())
				time.Sleep(50 * time.Millisecond) // The end arrives first.
				abort(t, far)
			},
			writeErr: syscall.EPIPE, want: connend.End{How: connend.Orderly, Evidence: connend.ByteCount},
		},
		"given up": {
			finish: func(*testing.T, *net.TCPConn) {}, timeout: true,
			writeErr: syscall.ETIMEDOUT, want: connend.End{How: connend.Aborted, Evidence: connend.State},
		},
		"given up after the end": {
			finish: func(t *testing.T, far *net.TCPConn) { require.NoError(t, far.CloseWrite()) }, timeout: true,
			writeErr: syscall.ETIMEDOUT, want: connend.End{How: connend.Orderly, Evidence: connend.ByteCount},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			near, far := pair(t)
			if test.timeout {
				limitUnacknowledged(t, near)
			}
			_, err := far.Write(make([]byte, sentBytes))
			require.NoError(t, err)
			failed := writeUntilError(near)
			time.Sleep(100 * time.Millisecond) // The write waits by now.
			test.finish(t, far)
			require.ErrorIs(t, <-failed, test.writeErr)
			n, err := io.Copy(io.Discard, near)
			require.EqualValues(t, sentBytes, n)
			if test.want.How == connend.Orderly {
				require.NoError(t, err)
			} else {
				require.ErrorIs(t, err, connend.ErrAborted)
			}
			test.want.BytesRead = sentBytes
			require.Equal(t, test.want, near.End())
		})
	}
}

// TestOrderlyEndWhileAWriteWaits guards against waiting for a write that the other side takes slowly, or not at all.
func TestOrderlyEndWhileAWriteWaits(t *testing.T) {
	t.Parallel()
	near, far := pair(t)
	_, err := far.Write(make([]byte, sentBytes))
	require.NoError(t, err)
	failed := writeUntilError(near)
	require.NoError(t, far.CloseWrite())
	n, err := io.Copy(io.Discard, near)
	require.NoError(t, err)
	require.EqualValues(t, sentBytes, n)
	require.Equal(t, connend.End{How: connend.Orderly, Evidence: connend.State, BytesRead: sentBytes}, near.End())
	require.Empty(t, failed)
}

// TestAnswerIsReadAfterAFailedWrite guards against giving up a connection at a failed write, although what the other side has sent is there.
func TestAnswerIsReadAfterAFailedWrite(t *testing.T) {
	t.Parallel()
	near, far := pair(t)
	near.LetReadsDecide()
	_, err := far.Write(make([]byte, sentBytes))
	require.NoError(t, err)
	abort(t, far)
	for range 5 {
		n, err := near.Write(make([]byte, 1<<20))
		require.NoError(t, err)
		require.Equal(t, 1<<20, n)
	}
	n, err := io.Copy(io.Discard, near)
	require.EqualValues(t, sentBytes, n)
	require.ErrorIs(t, err, connend.ErrAborted)
	require.NoError(t, near.Close())
	_, err = near.Write([]byte("x"))
	require.NoError(t, err, "the connection had ended before it was closed")
}

// TestLocalErrorsOfWritesAreReturned guards against hiding a write that this process ended itself.
func TestLocalErrorsOfWritesAreReturned(t *testing.T) {
	t.Parallel()
	near, _ := pair(t)
	near.LetReadsDecide()
	require.NoError(t, near.SetWriteDeadline(time.Now().Add(-time.Second)))
	_, err := near.Write([]byte("x"))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.NoError(t, near.Close())
	_, err = near.Write([]byte("x"))
	require.ErrorIs(t, err, net.ErrClosed)
}

// TestEndBesideAWriteIsUnprovedWithoutTheKernel guards against taking the end of a connection for an orderly one where the kernel tells nothing
// and a write may have taken its report.
func TestEndBesideAWriteIsUnprovedWithoutTheKernel(t *testing.T) {
	t.Parallel()
	raw, far := net.Pipe()
	near := connend.New(raw)
	failed := writeUntilError(near)
	require.NoError(t, far.Close())
	require.Error(t, <-failed)
	_, err := near.Read(make([]byte, 1))
	require.ErrorIs(t, err, connend.ErrAborted)
	require.Equal(t, connend.End{How: connend.Unproved, Evidence: connend.Writes}, near.End())

	raw, far = net.Pipe()
	near = connend.New(raw)
	require.NoError(t, far.Close())
	_, err = near.Read(make([]byte, 1))
	require.Equal(t, io.EOF, err)
}

// TestEndUnderTLS guards against taking the end of a reset connection for the end of what TLS carries. An end that TLS itself announced counts
// whatever becomes of the connection.
func TestEndUnderTLS(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		announced bool
		want      error
	}{
		"announced": {announced: true}, "reset": {want: connend.ErrAborted},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			near, far := pair(t)
			client, server := tlsPair(t, near, far)
			_, err := server.Write(make([]byte, sentBytes))
			require.NoError(t, err)
			failed := writeUntilError(client)
			time.Sleep(100 * time.Millisecond) // The write waits by now.
			if test.announced {
				require.NoError(t, server.CloseWrite())
			}
			abort(t, far)
			require.Error(t, <-failed)
			n, err := io.Copy(io.Discard, client)
			require.EqualValues(t, sentBytes, n)
			require.ErrorIs(t, err, test.want)
		})
	}
}

// tlsPair returns the two sides of a TLS connection after its handshake.
func tlsPair(t *testing.T, near *connend.Conn, far net.Conn) (client, server *tls.Conn) {
	authority := httptest.NewTLSServer(nil) // Only for its certificate.
	authority.Close()
	client = tls.Client(near, &tls.Config{InsecureSkipVerify: true})
	server = tls.Server(far, &tls.Config{Certificates: authority.TLS.Certificates})
	shaken := make(chan error, 1)
	go func() { shaken <- server.Handshake() }()
	require.NoError(t, client.Handshake())
	require.NoError(t, <-shaken)
	return client, server
}
