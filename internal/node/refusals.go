package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/connend"
)

// serverErrorHeader is the end of the header of an error response that net/http itself writes for a malformed request.
// No response of a handler has just these two fields, because each also has a Date.
const serverErrorHeader = "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"

// WithCodedRejections wraps l and replaces the error responses that net/http itself writes, to requests that are malformed
// or too large. They then have the form of all other rejections: a result code and the statement that the request was not
// run.
func WithCodedRejections(l net.Listener) net.Listener { return rejectionListener{l} }

type rejectionListener struct{ net.Listener }

// Accept accepts the next connection.
func (l rejectionListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	tcp, ok := conn.(*net.TCPConn)
	if err != nil || !ok {
		return conn, err
	}
	return &rejectionConn{TCPConn: tcp, linger: connend.NewLingering(tcp)}, nil
}

// rejectionConn is a caller's connection that replaces the error responses of net/http.
type rejectionConn struct {
	*net.TCPConn
	linger *connend.LingeringConn
}

// LingerOnClose lets the connection linger when it is closed.
func (c *rejectionConn) LingerOnClose() { c.linger.LingerOnClose() }

// Close closes the connection.
func (c *rejectionConn) Close() error { return c.linger.Close() }

// Write writes p, or a rejection with a result code if p is an error response of net/http.
func (c *rejectionConn) Write(p []byte) (int, error) {
	status, isServerError := parseServerError(p)
	if !isServerError {
		return c.TCPConn.Write(p)
	}
	if _, err := c.TCPConn.Write(codedRejection(status)); err != nil {
		return 0, err
	}
	return len(p), nil
}

// parseServerError reports whether p is an error response that net/http itself wrote, and returns the text of its
// status line after the HTTP version.
func parseServerError(p []byte) (status string, ok bool) {
	const version = "HTTP/1.1 "
	lineEnd := bytes.Index(p, []byte("\r\n"))
	if lineEnd < len(version) || !bytes.HasPrefix(p, []byte(version)) || !bytes.HasPrefix(p[lineEnd:], []byte(serverErrorHeader)) {
		return "", false
	}
	return string(p[len(version):lineEnd]), true
}

func codedRejection(status string) []byte {
	description := code.MalformedRequest.Describe()
	statusCode := description.Status
	_, _ = fmt.Sscanf(status, "%d", &statusCode)
	body, err := json.Marshal(map[string]any{
		"title": description.Name, "status": statusCode, "code": description.Code, "detail": status + "; " + description.Help, "ran": code.NotRun,
	})
	if err != nil {
		return nil
	}
	return fmt.Appendf(nil, "HTTP/1.1 %s\r\nContent-Type: application/problem+json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", status, len(body), body)
}
