package silence

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestOnlyUnansweredConnectionsAreReset guards against a peer that receives the rest of a call that was given up, and against resetting
// a connection whose call was answered.
func TestOnlyUnansweredConnectionsAreReset(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	for _, c := range []struct {
		dial     DialFunc
		answered bool
		reset    bool
	}{
		{ResetUnanswered(Dialer(&net.Dialer{}, testLimit)), false, true},
		{ResetUnanswered(Dialer(&net.Dialer{}, testLimit)), true, false},
		{Dialer(&net.Dialer{}, testLimit), false, false},
	} {
		local, err := c.dial(context.Background(), "tcp", l.Addr().String())
		require.NoError(t, err)
		remote, err := l.Accept()
		require.NoError(t, err)
		_, err = local.Write([]byte("call"))
		require.NoError(t, err)
		if c.answered {
			_, err = remote.Write([]byte("answer"))
			require.NoError(t, err)
			_, err = read(local)
			require.NoError(t, err)
		}
		require.NoError(t, local.Close())
		call, err := io.ReadAll(remote)
		require.Equal(t, "call", string(call), "Linux delivers what had arrived before the reset")
		if c.reset {
			require.ErrorIs(t, err, syscall.ECONNRESET)
		} else {
			require.NoError(t, err)
		}
		require.NoError(t, remote.Close())
	}
}
