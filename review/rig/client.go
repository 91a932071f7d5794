package rig

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// Request is one request of a client.
type Request struct {
	Method, Host, Path, Key string
	Body                    []byte
	// Budget is how long the client waits for the answer.
	Budget time.Duration
}

// Answer is what a client got for a request.
type Answer struct {
	// ID is the request's id.
	ID string
	// Status is 0 without an answer.
	Status int
	// Sealed is set if the answer bears an upstream's seal, and Body is how many bytes of the body came.
	Sealed bool
	Body   int
	// RetryAfter is when the client may come back; 0 for no word of it.
	RetryAfter time.Duration
	// Kept is set if the channel had served a request before.
	Kept bool
	// Closed is set if the channel ended without a whole answer while the client still waited.
	Closed bool
	Err    error
}

// Client is a client of the system, which keeps its channel for several requests.
type Client struct {
	rig    *Rig
	name   string
	front  string
	conn   net.Conn
	reader *bufio.Reader
	served int
}

// NewClient returns a client of an entry.
func (r *Rig) NewClient(name string, e *Entry) *Client {
	return &Client{rig: r, name: name, front: e.Front}
}

var requestCount atomic.Int64

// Do sends a request on the kept channel, or on a new one if there is none, and reads the answer.
func (c *Client) Do(req Request) Answer {
	a := Answer{ID: fmt.Sprintf("%016x", requestCount.Add(1))}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp4", c.front, time.Second)
		if err != nil {
			a.Err = err
			return a
		}
		c.conn, c.reader, c.served = conn, bufio.NewReader(conn), 0
	}
	a.Kept = c.served > 0
	end := time.Now().Add(req.Budget)
	_ = c.conn.SetDeadline(end)
	var raw bytes.Buffer
	fmt.Fprintf(&raw, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", req.Method, req.Path, req.Host, wire.RequestID, a.ID, req.Budget.Milliseconds(), req.Key)
	if len(req.Body) > 0 || req.Method == http.MethodPost {
		fmt.Fprintf(&raw, "Content-Length: %d\r\n", len(req.Body))
	}
	raw.WriteString("\r\n")
	raw.Write(req.Body)
	c.rig.Logf("%s sends request %s (%s %s%s, %d bytes, kept channel: %v)", c.name, a.ID, req.Method, req.Host, req.Path, len(req.Body), a.Kept)
	_, a.Err = c.conn.Write(raw.Bytes())
	if a.Err == nil {
		c.read(&a, req)
	}
	if a.Err != nil {
		a.Closed = time.Now().Before(end)
		c.Close()
		c.rig.Logf("%s gets no whole answer to %s: %v (closed before its budget ended: %v)", c.name, a.ID, a.Err, a.Closed)
		return a
	}
	c.served++
	c.rig.Logf("%s gets %d for %s (sealed: %v, %d bytes, retry after %v)", c.name, a.Status, a.ID, a.Sealed, a.Body, a.RetryAfter)
	return a
}

// read reads an answer. It closes the channel if the answer says so.
func (c *Client) read(a *Answer, req Request) {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: req.Method})
	if err != nil {
		a.Err = err
		return
	}
	n, err := io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	a.Body, a.Err = int(n), err
	if err != nil {
		return
	}
	a.Status, a.Sealed = resp.StatusCode, resp.Header.Get(wire.Seal) != ""
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	if resp.Close {
		c.Close()
	}
}

// Close closes the client's channel.
func (c *Client) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}
