// Package intake holds the rules for requests from callers: size limits, headers that are reserved for the system, paths
// of engines that only the system may call, and the minimum rate of a body.
package intake

import (
	"net/http"
	"net/url"
	"path"
	"strings"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/setting"
)

const (
	// MaxTargetBytes bounds a request's target in the sense of HTTP, its path and query together, in bytes.
	MaxTargetBytes = 8 << 10
	// MaxFieldBytes bounds one header field, name and value, in bytes.
	MaxFieldBytes = 8 << 10
	// MaxFields bounds the number of header fields.
	MaxFields = 100
	// MaxHeaderBytes bounds all header fields together, in bytes. It is below the limit that applies between the system's
	// own processes, so that a caller's header and the system's header fields together never exceed that limit.
	MaxHeaderBytes = 32 << 10
)

// Check checks the path, the query and the header of a request. It returns an error that names the part that exceeds a
// limit or is malformed, or nil.
func Check(u *url.URL, h http.Header) *code.Error {
	if n := len(u.EscapedPath()) + len(u.RawQuery); n > MaxTargetBytes {
		return code.Errorf(code.TargetTooLong, "path", "%d bytes with the query, at most %d", n, MaxTargetBytes)
	}
	if hasDotSegment(u.Path) {
		return code.Errorf(code.BadPath, "path", "want no . or .. as a segment")
	}
	return checkHeader(h)
}

func checkHeader(h http.Header) *code.Error {
	fields, total := 0, 0
	for name, values := range h {
		for _, v := range values {
			n := len(name) + len(v)
			if n > MaxFieldBytes {
				return code.Errorf(code.BadHeader, truncateName(name), "%d bytes, at most %d", n, MaxFieldBytes)
			}
			fields++
			total += n
		}
	}
	if fields > MaxFields {
		return code.Errorf(code.BadHeader, "header", "%d fields, at most %d", fields, MaxFields)
	}
	if total > MaxHeaderBytes {
		return code.Errorf(code.BadHeader, "header", "%d bytes, at most %d", total, MaxHeaderBytes)
	}
	return nil
}

// maxShownName bounds the part of a header field's name that an error repeats, in bytes.
const maxShownName = 64

func truncateName(name string) string { return name[:min(len(name), maxShownName)] }

// hasDotSegment reports whether a path has a segment . or .., which an upstream may resolve to another path.
func hasDotSegment(p string) bool {
	for _, segment := range strings.Split(p, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// systemPrefix is the prefix of the header fields that the system's processes send each other.
const systemPrefix = "Samphireweir-"

// systemHeaders are the header fields of the system's orders to engines and of the state that engines report.
var systemHeaders = []string{"Weights-Digest", "Fencing-Number", "Load-Generation", "Order-Id", "Boot-Id", "Attempt", "Request-Id"}

// Strip removes from a caller's header the fields that are reserved for the system and the hop-by-hop fields that its
// Connection field lists.
func Strip(h http.Header) {
	for _, field := range h.Values("Connection") {
		for _, name := range strings.Split(field, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range systemHeaders {
		h.Del(name)
	}
	for name := range h {
		if strings.HasPrefix(name, systemPrefix) {
			delete(h, name)
		}
	}
}

// systemPaths are the paths of an engine that only the system may call: orders, state, events, administration, and
// operations on requests of any caller. They include all paths below them.
var systemPaths = []string{"/orders", "/state", "/events", "/admin", "/v1/kv", "/v1/cancel"}

// IsSystemPath reports whether only the system may call a path of an upstream of the given kind. upstreamPath is decoded.
// Variants in case, slashes, backslashes and dot segments count as the same path, since a lenient upstream may accept them.
func IsSystemPath(kind setting.Kind, upstreamPath string) bool {
	if kind != setting.Engine {
		return false
	}
	clean := strings.ToLower(path.Clean("/" + strings.ReplaceAll(upstreamPath, "\\", "/")))
	for _, p := range systemPaths {
		if clean == p || strings.HasPrefix(clean, p+"/") {
			return true
		}
	}
	return false
}
