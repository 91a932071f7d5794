package control_test

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/boundedread"
	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/control"
)

// echo is the message that the test server returns as it received it.
type echo struct {
	Text string `json:"text"`
}

func echoServer(t *testing.T) string {
	handlers := control.Handlers{
		"echo": func(_ context.Context, _ string, params json.RawMessage) (any, error) {
			var m echo
			if err := control.Decode(params, &m); err != nil {
				return nil, err
			}
			return m, nil
		},
		"fault": func(context.Context, string, json.RawMessage) (any, error) { panic("a fault") },
	}
	s := httptest.NewServer(control.NewServer(handlers))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func newPool() *control.Pool {
	d := &net.Dialer{Timeout: time.Second}
	return control.NewPool("test", "secret", d.DialContext)
}

// TestCall guards against parameters or results that change on their way over an upgraded connection.
func TestCall(t *testing.T) {
	address := echoServer(t)
	var got echo
	require.NoError(t, newPool().Call(context.Background(), address, "echo", echo{Text: "x"}, &got))
	require.Equal(t, "x", got.Text)
}

// TestPanicIsContained guards against a panic in a handler that ends the process or the connection. The call must fail with
// a code, and the next call must succeed.
func TestPanicIsContained(t *testing.T) {
	address := echoServer(t)
	pool := newPool()
	var got echo
	require.ErrorContains(t, pool.Call(context.Background(), address, "fault", echo{}, &got), "1009")
	require.NoError(t, pool.Call(context.Background(), address, "echo", echo{Text: "after"}, &got))
	require.Equal(t, "after", got.Text)
}

// TestMalformedCallFailsAlone guards against a malformed call, or one to an unknown method, that also fails later calls.
func TestMalformedCallFailsAlone(t *testing.T) {
	address := echoServer(t)
	pool := newPool()
	var got echo
	err := pool.Call(context.Background(), address, "echo", []int{1}, &got)
	require.ErrorContains(t, err, "7001")
	require.ErrorContains(t, pool.Call(context.Background(), address, "none", echo{}, &got), "unknown method")
	require.NoError(t, pool.Call(context.Background(), address, "echo", echo{Text: "y"}, &got))
	require.Equal(t, "y", got.Text)
}

// upgrade opens a control connection without a Pool, so that a test can send arbitrary bytes.
func upgrade(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(conn, "GET /control HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: "+control.Protocol+"\r\n\r\n")
	require.NoError(t, err)
	r := bufio.NewReader(conn)
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusSwitchingProtocols, resp.StatusCode)
	return conn, r
}

// TestOversizedOrMalformedMessageClosesOnlyItsConnection guards against a message that is too long or not JSON and affects
// other connections than the one that sent it.
func TestOversizedOrMalformedMessageClosesOnlyItsConnection(t *testing.T) {
	address := echoServer(t)
	for name, message := range map[string][]byte{
		"too long": binary.BigEndian.AppendUint32(nil, control.MaxMessage+1),
		"not JSON": append(binary.BigEndian.AppendUint32(nil, 3), "{x}"...),
	} {
		conn, r := upgrade(t, address)
		_, err := conn.Write(message)
		require.NoError(t, err)
		_, err = r.ReadByte()
		require.ErrorIs(t, err, io.EOF, name)
	}
	var got echo
	require.NoError(t, newPool().Call(context.Background(), address, "echo", echo{Text: "z"}, &got))
}

// TestHeadWithoutEndIsGivenUp guards against a peer in trouble whose head without an end fills the memory of each process that calls it.
func TestHeadWithoutEndIsGivenUp(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	sent := make(chan int, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		total, more := 0, []byte(strings.Repeat("x", 32<<10))
		_, err = io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nA: ")
		for err == nil {
			var n int
			n, err = conn.Write(more)
			total += n
		}
		sent <- total
	}()
	err = newPool().Call(context.Background(), l.Addr().String(), "echo", echo{}, &echo{})
	require.ErrorIs(t, err, boundedread.ErrTooLarge)
	require.Less(t, <-sent, 64<<20, "the connection is closed at the limit")
}

// TestCallToUnreachablePeerFails guards against a call that hangs or succeeds when nothing listens at the peer's address.
func TestCallToUnreachablePeerFails(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	require.Error(t, newPool().Call(context.Background(), address, "echo", echo{}, &echo{}))
	require.Equal(t, "bad message", code.BadMessage.Describe().Name)
}
