package node

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/intake"
	"samphireweir.example/samphireweir/internal/telemetry"
)

// guardTimeout is the timeout of the guards in these tests.
const guardTimeout = 50 * time.Millisecond

func serveTest(t *testing.T, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.Listener.Addr().String()
}

// send opens a connection, writes text on it and returns it.
func send(t *testing.T, address, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = io.WriteString(conn, text)
	require.NoError(t, err)
	return conn
}

// TestStalledBodyFailsWithCode guards against a handler that waits forever for a body that stops in the middle: its reads
// fail with a result code, and it can still answer.
func TestStalledBodyFailsWithCode(t *testing.T) {
	address := serveTest(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b := &guardedBody{ReadCloser: r.Body, control: http.NewResponseController(w), rate: intake.BodyRate{Waited: intake.RateGrace - guardTimeout}}
		defer b.release()
		_, err := io.ReadAll(b)
		_, again := b.Read(make([]byte, 1))
		_, _ = io.WriteString(w, err.Error()+"\n"+again.Error())
	}))
	conn := send(t, address, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\nConnection: close\r\n\r\nabc")
	answer, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Equal(t, 2, strings.Count(string(answer), "samphireweir 1007 body too slow"), string(answer))
}

// TestBodyInPartsArrives guards against a read deadline that outlives its read: a body arrives in two parts, and the same
// connection then carries a second request.
func TestBodyInPartsArrives(t *testing.T) {
	p := &Process{Telemetry: telemetry.New(nil), Log: zerolog.Nop()}
	address := serveTest(t, p.guard(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	})))
	const head = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 6\r\n\r\n"
	conn := send(t, address, head+"abc")
	_, err := io.WriteString(conn, "def"+head+"ghijkl")
	require.NoError(t, err)
	require.NoError(t, conn.(*net.TCPConn).CloseWrite())
	answer, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Contains(t, string(answer), "abcdef")
	require.Contains(t, string(answer), "ghijkl")
}

// TestWriteToStalledReaderTimesOut guards against a handler that blocks forever on a caller that reads nothing of its
// answer.
func TestWriteToStalledReaderTimesOut(t *testing.T) {
	ended := make(chan error, 1)
	address := serveTest(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		g := &guardedWriter{ResponseWriter: w, control: http.NewResponseController(w), timeout: guardTimeout}
		var err error
		for err == nil {
			_, err = g.Write(make([]byte, 1<<20))
		}
		ended <- err
	}))
	send(t, address, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	select {
	case err := <-ended:
		require.Error(t, err)
	case <-time.After(20 * time.Second):
		require.Fail(t, "the write did not end")
	}
}

// TestHandlerWriteDeadlineHolds guards against a handler's own write deadline that the guard replaces with its own at the next write.
func TestHandlerWriteDeadlineHolds(t *testing.T) {
	result := make(chan error, 1)
	address := serveTest(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		g := &guardedWriter{ResponseWriter: w, control: http.NewResponseController(w), timeout: time.Minute}
		defer g.release()
		_ = http.NewResponseController(g).SetWriteDeadline(time.Now().Add(guardTimeout))
		for {
			if _, err := g.Write(make([]byte, 1<<20)); err != nil {
				result <- err
				return
			}
		}
	}))
	send(t, address, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	select {
	case err := <-result:
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	case <-time.After(20 * time.Second):
		t.Fatal("the write still waits")
	}
}

// TestStreamWithLongPausesIsNotCut guards against a write timeout that limits a whole answer: the pauses between its parts
// are longer than the timeout of one write.
func TestStreamWithLongPausesIsNotCut(t *testing.T) {
	address := serveTest(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		g := &guardedWriter{ResponseWriter: w, control: http.NewResponseController(w), timeout: guardTimeout}
		for range 3 {
			_, _ = g.Write([]byte("part "))
			_ = g.FlushError()
			time.Sleep(2 * guardTimeout)
		}
		g.extend()
	}))
	resp, err := http.Get("http://" + address)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "part part part ", string(body))
}

// TestPanicEndsOnlyItsRequest guards against a panic of a handler that ends the process or leaves an incomplete answer that
// looks complete. The panic is answered with a result code, counted and logged.
func TestPanicEndsOnlyItsRequest(t *testing.T) {
	var logged bytes.Buffer
	p := &Process{Telemetry: telemetry.New(nil), Log: zerolog.New(&logged)}
	address := serveTest(t, p.guard(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/early":
			panic("a fault")
		case "/late":
			_, _ = io.WriteString(w, "part")
			panic("a fault")
		}
		_, _ = io.WriteString(w, "well")
	})))
	status, body := get(t, address, "/early")
	require.Equal(t, http.StatusInternalServerError, status)
	require.Contains(t, body, `"code":1009`)
	_, body = get(t, address, "/late")
	require.NotEqual(t, "part", body, "an incomplete answer must not look complete")
	status, body = get(t, address, "/")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "well", body)
	require.EqualValues(t, 2, p.Telemetry.Metrics.Panics.Value("request"))
	require.Contains(t, logged.String(), `"event":1005`)
}

// get returns the status and body of an answer. The body is "cut" if the answer was aborted.
func get(t *testing.T, address, path string) (int, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	require.NoError(t, err)
	req.Close = true // With a connection of its own, the client does not retry the request.
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "cut"
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, "cut"
	}
	return resp.StatusCode, string(body)
}

// TestBodyTooSlowErrorHasCode guards against an error for a slow body whose result code can't be found with errors.As.
func TestBodyTooSlowErrorHasCode(t *testing.T) {
	var coded *code.Error
	require.ErrorAs(t, errBodyTooSlow(), &coded)
	require.Equal(t, code.BodyTooSlow, coded.Code)
}

// TestRefusalReachesACallerThatStillSends guards against a refusal that its caller can't read: the connection is closed while the caller still
// sends the body, and the reset drops the refusal.
func TestRefusalReachesACallerThatStillSends(t *testing.T) {
	p, _ := newLateProcess(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p.Serve(WithCodedRejections(l), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "refused", http.StatusServiceUnavailable)
	}))
	t.Cleanup(func() { stopProcess(p) })
	for range 20 {
		req, err := http.NewRequest(http.MethodPost, "http://"+l.Addr().String(), bytes.NewReader(make([]byte, 8<<20)))
		require.NoError(t, err)
		resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, "refused\n", string(body))
	}
}
