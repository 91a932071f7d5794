package experiment_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/experiment"
)

const (
	plainBase = "/" + experiment.Team + "/" + experiment.PlainService
	modelBase = "/" + experiment.Team + "/" + experiment.ModelService
)

// receivedRequest is what an upstream received of a request.
type receivedRequest struct {
	Target string      `json:"target"`
	Header http.Header `json:"header"`
}

// echo answers with the request that it received, and paths that end in /away with a redirect.
func echo(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "/away") {
		http.Redirect(w, r, "http://127.0.0.1:1/elsewhere", http.StatusTemporaryRedirect)
		return
	}
	_ = json.NewEncoder(w).Encode(receivedRequest{Target: r.RequestURI, Header: r.Header})
}

// sendRequest sends a request and returns the status and body of its answer.
func sendRequest(t *testing.T, method, url string, header http.Header, body io.Reader) (int, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	require.NoError(t, err)
	if header != nil {
		req.Header = header
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(raw)
}

// getWithoutRedirect sends a GET request without following redirects. It returns the status and the Location header.
func getWithoutRedirect(t *testing.T, url string) (int, string) {
	t.Helper()
	client := &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	resp, err := client.Get(url)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode, resp.Header.Get("Location")
}

// TestCallersCannotControlTheSystem guards against callers that forge what only the system may send: no reserved header reaches an upstream, no order
// reaches an engine, and the callers' address serves no endpoint of peers or operators.
func TestCallersCannotControlTheSystem(t *testing.T) {
	f := fleet(t, experiment.Config{Entries: 1, Agents: 1, EnginesPerAgent: 1, Plain: http.HandlerFunc(echo)})
	callers := "http://" + f.Entries[0].CallersAddress()
	forged := http.Header{
		"Samphireweir-Run": {`{"request":"x","attempt":1}`}, "Samphireweir-Authorization": {"Bearer stolen"},
		"Samphireweir-From": {"127.0.0.1:1"}, "Weights-Digest": {"d"}, "Fencing-Number": {"999"}, "Load-Generation": {"9"}, "X-Own": {"kept"},
		"Traceparent": {"00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"},
	}
	status, body := sendRequest(t, http.MethodGet, callers+plainBase+"/a%2Fb%3Fc?q=%20", forged, nil)
	require.Equal(t, http.StatusOK, status)
	var got receivedRequest
	require.NoError(t, json.Unmarshal([]byte(body), &got))
	require.Equal(t, "/p0/a%2Fb%3Fc?q=%20", got.Target, "the request target must be forwarded unchanged")
	require.Equal(t, "kept", got.Header.Get("X-Own"))
	require.Equal(t, forged.Get("Traceparent"), got.Header.Get("Traceparent"), "without tracing, traceparent must be forwarded unchanged")
	status, _ = getWithoutRedirect(t, callers+plainBase+"/away")
	require.Equal(t, http.StatusTemporaryRedirect, status, "a redirect must be returned to the caller")
	for name := range forged {
		if name != "X-Own" && name != "Traceparent" {
			require.Empty(t, got.Header.Get(name), name)
		}
	}
	for _, path := range []string{"/orders/load", "/orders/role", "/state", "/events", "/v1/kv", "/v1/cancel", "/%6frders/load", "//orders/load"} {
		status, body = sendRequest(t, http.MethodPut, callers+modelBase+path, nil, strings.NewReader("{}"))
		require.Equal(t, http.StatusForbidden, status, path)
		require.Contains(t, body, `"code":1008`, path)
	}
	for _, path := range []string{"/run", "/resume", "/fence", "/control", "/chunks/0", "/metrics", "/ready", "/debug/pprof/"} {
		status, _ = sendRequest(t, http.MethodGet, callers+path, nil, nil)
		require.Equal(t, http.StatusNotFound, status, path)
	}
}

// TestMalformedRequestsAreIsolated sends malformed and forbidden requests to one fleet and checks that it continues to answer others.
func TestMalformedRequestsAreIsolated(t *testing.T) {
	f := fleet(t, experiment.Config{Entries: 1, Agents: 1, EnginesPerAgent: 1})
	t.Run("PeersWantTheSecret", func(t *testing.T) { peersRequireTheSecret(t, f) })
	t.Run("MalformedRequests", func(t *testing.T) { malformedRequests(t, f) })
	t.Run("BrokenConnections", func(t *testing.T) { brokenConnections(t, f) })
	t.Run("MalformedHeads", func(t *testing.T) { malformedHeads(t, f) })
}

// peersRequireTheSecret checks that peers' calls without the right secret are refused, and that operators' addresses serve none of the peers'
// endpoints.
func peersRequireTheSecret(t *testing.T, f *experiment.Fleet) {
	t.Helper()
	for _, address := range []string{f.Entries[0].Address(), f.Agents[0].Address()} {
		for _, path := range []string{"/run", "/resume", "/fence", "/control", "/chunks/0", "/manifests/0"} {
			for _, secret := range []string{"", "Bearer wrong", "Bearer "} {
				status, body := sendRequest(t, http.MethodPost, "http://"+address+path, http.Header{"Authorization": {secret}}, nil)
				require.Equal(t, http.StatusUnauthorized, status, path)
				require.Contains(t, body, "7002", path)
			}
		}
	}
	for _, address := range []string{f.Entries[0].OperatorsAddress(), f.Agents[0].OperatorsAddress()} {
		for _, path := range []string{"/run", "/control", "/chunks/0", plainBase + "/x", "/debug/pprof/"} {
			status, _ := sendRequest(t, http.MethodPost, "http://"+address+path, nil, nil)
			require.Equal(t, http.StatusNotFound, status, path)
		}
	}
}

// malformedRequests checks that each request is refused with its result code, and that the fleet answers the request after it.
func malformedRequests(t *testing.T, f *experiment.Fleet) {
	t.Helper()
	callers := "http://" + f.Entries[0].CallersAddress()
	for _, c := range []struct {
		path, number string
		header       http.Header
		body         io.Reader
	}{
		{path: "/", number: "1001"},
		{path: "/karrakin", number: "1001"},
		{path: "/Karrakin/buyer-portal/", number: "1001"},
		{path: plainBase + "/%2e%2e/x", number: "1001"},
		{path: plainBase + "/" + strings.Repeat("a", 9<<10), number: "1006"},
		{path: plainBase + "/?" + strings.Repeat("a", 9<<10), number: "1006"},
		{path: plainBase + "/", number: "1003", header: http.Header{"Deadline-Ms": {"soon"}}},
		{path: plainBase + "/", number: "1003", header: http.Header{"Idempotency-Key": {strings.Repeat("k", 300)}}},
		{path: plainBase + "/", number: "1003", header: http.Header{"X-Long": {strings.Repeat("v", 9<<10)}}},
		{path: plainBase + "/", number: "1003", header: http.Header{"X-Many": make([]string, 101)}},
		{path: plainBase + "/", number: "1002", body: strings.NewReader(strings.Repeat("b", 2<<20))},
		{path: "/nobody/nothing/", number: "2001"},
	} {
		status, body := sendRequest(t, http.MethodPost, callers+c.path, c.header, c.body)
		require.GreaterOrEqual(t, status, 400, c.path)
		require.Contains(t, body, `"code":`+c.number, c.path)
		require.Contains(t, body, `"ran":"not run"`, c.path)
		status, _ = sendRequest(t, http.MethodGet, callers+plainBase+"/after", nil, nil)
		require.Equal(t, http.StatusOK, status)
	}
}

// brokenConnections sends heads that are not HTTP and bodies that end early, and checks that the fleet continues to answer others.
func brokenConnections(t *testing.T, f *experiment.Fleet) {
	t.Helper()
	for _, text := range []string{
		"not http\r\n\r\n", "GET / HTTP/1.1\r\n: no name\r\n\r\n",
		"POST " + plainBase + "/x HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
		"POST " + plainBase + "/x HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\npart",
		"POST " + plainBase + "/x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"POST " + plainBase + "/x HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("b", 500_000),
		"GET " + plainBase + "/x HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("v", 100<<10) + "\r\n\r\n",
	} {
		for _, address := range []string{f.Entries[0].CallersAddress(), f.Entries[0].Address(), f.Agents[0].Address(), f.Agents[0].OperatorsAddress()} {
			sendAndCloseWrite(t, address, text)
		}
		status, _ := sendRequest(t, http.MethodGet, "http://"+f.Entries[0].CallersAddress()+plainBase+"/after", nil, nil)
		require.Equal(t, http.StatusOK, status, text[:min(len(text), 40)])
	}
}

// malformedHeads checks that requests which net/http itself refuses get the same problem document as other refusals.
func malformedHeads(t *testing.T, f *experiment.Fleet) {
	t.Helper()
	for text, status := range map[string]string{
		"not http\r\n\r\n": "400", "GET / HTTP/1.1\r\n: no name\r\n\r\n": "400", "GET / HTTP/1.1\r\n\r\n": "400",
		"GET / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("v", 100<<10) + "\r\n\r\n":   "431",
		"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\n":                  "501",
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab": "400",
	} {
		answer := sendAndCloseWrite(t, f.Entries[0].CallersAddress(), text)
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(answer)), nil)
		require.NoError(t, err, text)
		require.Equal(t, status, resp.Status[:3], text)
		require.Equal(t, "application/problem+json", resp.Header.Get("Content-Type"))
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Contains(t, string(body), `"code":1010`)
		require.Contains(t, string(body), `"ran":"not run"`)
	}
}

// sendAndCloseWrite sends text, closes the sending side and returns the answer.
func sendAndCloseWrite(t *testing.T, address, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	_, _ = io.WriteString(conn, text)
	_ = conn.(*net.TCPConn).CloseWrite()
	answer, _ := io.ReadAll(conn)
	return string(answer)
}
