// Package serve contains what all stand-ins share: the command line, the listener, faults, crashes, logs and JSON responses.
package serve

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// readHeaderTimeout bounds the time in which a client must send the headers of a request.
const readHeaderTimeout = 30 * time.Second

// Run listens on address (IP:PORT), writes the line "listening IP:PORT" to out, and serves handler until ctx ends. It returns an error if it
// can't listen, write the line or accept connections.
func Run(ctx context.Context, address string, handler http.Handler, out io.Writer) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	if _, err := fmt.Fprintf(out, "listening %s\n", listener.Addr()); err != nil {
		return errors.Wrap(err, "write the listen address")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err = server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}

// Logger returns a logger for the stand-in called name. It writes JSON lines to stderr.
func Logger(name string) zerolog.Logger {
	return zerolog.New(os.Stderr).With().Timestamp().Str("standin", name).Logger()
}

// Reset closes the connection of a call with a TCP reset, so that the caller doesn't learn the outcome of the call.
func Reset(w http.ResponseWriter) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

// Sleep waits for d or until ctx ends, and reports whether the full duration passed.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Milliseconds converts a number of milliseconds to a duration.
func Milliseconds(ms int64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
