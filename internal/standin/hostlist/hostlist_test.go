package hostlist

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const hostOne = `{"address":"127.1.1.1:7000","role":"agent","place":"perth-a","region":"west","state":"live"}`

func call(t *testing.T, method, url, body string) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

func list(t *testing.T, url string) []Host {
	t.Helper()
	response := call(t, "GET", url+"/v1/hosts", "")
	require.Equal(t, http.StatusOK, response.StatusCode)
	var hosts Hosts
	require.NoError(t, json.NewDecoder(response.Body).Decode(&hosts))
	return hosts.Hosts
}

// TestChangesWithoutLagAreVisibleAtOnce guards against changes that are delayed or lost although the lag is 0.
func TestChangesWithoutLagAreVisibleAtOnce(t *testing.T) {
	server := httptest.NewServer(NewServer(0))
	defer server.Close()
	assert.Empty(t, list(t, server.URL))
	assert.Equal(t, 200, call(t, "PUT", server.URL+"/admin/hosts", hostOne).StatusCode)
	hosts := list(t, server.URL)
	require.Len(t, hosts, 1)
	assert.Equal(t, Host{Address: "127.1.1.1:7000", Role: "agent", Place: "perth-a", Region: "west", State: "live"}, hosts[0])
	leaving := strings.Replace(hostOne, "live", "leaving", 1)
	call(t, "PUT", server.URL+"/admin/hosts", leaving)
	assert.Equal(t, "leaving", list(t, server.URL)[0].State)
	call(t, "DELETE", server.URL+"/admin/hosts?address="+url.QueryEscape("127.1.1.1:7000"), "")
	assert.Empty(t, list(t, server.URL))
}

// TestInvalidHostIsRejected guards against hosts with an unknown role in the list.
func TestInvalidHostIsRejected(t *testing.T) {
	server := httptest.NewServer(NewServer(0))
	defer server.Close()
	bad := strings.Replace(hostOne, "agent", "king", 1)
	assert.Equal(t, 400, call(t, "PUT", server.URL+"/admin/hosts", bad).StatusCode)
}

// TestChangesAreVisibleAfterLag guards against changes that become visible before the lag has passed, or never.
func TestChangesAreVisibleAfterLag(t *testing.T) {
	server := NewServer(time.Hour)
	now := time.Now()
	server.change(change{host: Host{Address: "a"}})
	assert.Empty(t, server.hosts(now))
	assert.Len(t, server.hosts(now.Add(2*time.Hour)), 1)
	server.change(change{host: Host{Address: "a"}, removed: true})
	assert.Len(t, server.hosts(now), 1)
	assert.Empty(t, server.hosts(now.Add(2*time.Hour)))
}

// TestOutage guards against an outage fault that has no effect.
func TestOutage(t *testing.T) {
	server := httptest.NewServer(NewServer(0))
	defer server.Close()
	call(t, "POST", server.URL+"/admin/faults", `{"outage":true}`)
	assert.Equal(t, 503, call(t, "GET", server.URL+"/v1/hosts", "").StatusCode)
}
