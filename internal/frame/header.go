package frame

import "net/http"

// MethodHeader carries the caller's method from an entry to an agent.
const MethodHeader = "Samphireweir-Method"

// hopByHop are the headers that apply to one connection only or are set by the system itself.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect", EnvelopeHeader, MethodHeader,
}

// AuthorizationHeader carries the caller's Authorization header between processes of the system, which use Authorization
// themselves.
const AuthorizationHeader = "Samphireweir-Authorization"

// EndToEnd returns a copy of h without hop-by-hop headers and without the system's own Authorization. The caller's
// Authorization, if AuthorizationHeader carries one, is put in its place.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range hopByHop {
		out.Del(name)
	}
	callerAuthorization := out.Get(AuthorizationHeader)
	out.Del(AuthorizationHeader)
	out.Del("Authorization")
	if callerAuthorization != "" {
		out.Set("Authorization", callerAuthorization)
	}
	return out
}
