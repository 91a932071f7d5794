package engine

import (
	"context"
	"net"
	"net/http"
	"time"

	"samphireweir.example/samphireweir/internal/boundedread"
	"samphireweir.example/samphireweir/internal/connend"
)

const (
	// maxUncheckedBytes bounds the bytes that are written to an engine between two checks of the permission.
	maxUncheckedBytes = 1 << 20
	// maxUncheckedTime bounds the time between two checks. A longer gap means that this process was paused, and the
	// permission may have ended in the meantime.
	maxUncheckedTime = 20 * time.Millisecond
	// orderDialTimeout bounds the time to connect to an engine for an order.
	orderDialTimeout = 3 * time.Second
	// orderBufferBytes is the size of the write buffer of an order's connection, in bytes.
	orderBufferBytes = 64 << 10
)

// NewGuardedTransport returns the HTTP transport for one order. It calls permit before the first byte, the header
// included, and again after at most 1 MiB or 20 ms of writes. If permit returns an error, the write fails and the request
// is aborted. The check is made at the connection because the HTTP client sends a request's header before it reads the
// body.
func NewGuardedTransport(permit func() error) http.RoundTripper {
	d := &net.Dialer{Timeout: orderDialTimeout}
	return &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
		WriteBufferSize:    orderBufferBytes,

		MaxResponseHeaderBytes: boundedread.MaxHeadBytes,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &guardedConn{Conn: connend.New(c), permit: permit}, nil
		},
	}
}

// guardedConn is a connection that writes only while permit returns nil.
type guardedConn struct {
	net.Conn
	permit func() error
	// unchecked counts the bytes since the last check.
	unchecked int
	checkedAt time.Time
}

// Write checks the permission, if a check is due, and writes p.
func (g *guardedConn) Write(p []byte) (int, error) {
	g.unchecked += len(p)
	if g.unchecked >= maxUncheckedBytes || time.Since(g.checkedAt) >= maxUncheckedTime {
		if err := g.permit(); err != nil {
			return 0, err
		}
		g.unchecked = 0
		g.checkedAt = time.Now()
	}
	return g.Conn.Write(p)
}
