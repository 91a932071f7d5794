package hostagent_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/storerev"
	"samphireweir.example/samphireweir/internal/hostagent"
	"samphireweir.example/samphireweir/internal/manifest"
)

// TestManifestRequestWaitsUntilPeerHasManifest guards against a delay at each level of the tree when a version is activated: all hosts learn of it at
// about the same time and ask their parents for the chunk manifest before these have it. A parent must hold the request until it does.
func TestManifestRequestWaitsUntilPeerHasManifest(t *testing.T) {
	t.Parallel()
	a := newIdleAgent(zerolog.Nop())
	a.Step(catalog.VersionActivated{Model: "m", Version: 2, Revision: storerev.Revision{Number: 52}})
	sha := strings.Repeat("ab", 32)
	m := &manifest.Manifest{Model: "m", Version: "2", Size: 4, ChunkSize: 4, SHA256: sha, Chunks: []manifest.Chunk{{SHA256: sha, Size: 4}}}
	raw, err := json.Marshal(m)
	require.NoError(t, err)
	requested := make(chan struct{})
	handler := a.PeerHandler()
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.AfterFunc(50*time.Millisecond, func() { close(requested) })
		handler.ServeHTTP(w, r)
	}))
	defer peer.Close()
	added := make(chan error, 1)
	go func() {
		<-requested
		added <- a.AddManifest("m", 2, raw, m)
	}()
	resp, err := http.Get(peer.URL + "/versions/m/2")
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	require.NoError(t, <-added)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, raw, body)
}

// TestManifestRequestForUnknownVersionReturnsNotFound guards against requests that are held forever for a version that never arrives.
func TestManifestRequestForUnknownVersionReturnsNotFound(t *testing.T) {
	t.Parallel()
	peer := httptest.NewServer(newIdleAgent(zerolog.Nop()).PeerHandler())
	defer peer.Close()
	resp, err := http.Get(peer.URL + "/versions/m/9")
	require.NoError(t, err)
	_ = resp.Body.Close()
	require.Equal(t, http.StatusNotFound, resp.StatusCode)
}

// TestFewHostsQueryOriginDuringOutage guards against a large fleet whose hosts all ask the origin when it recovers, after a version was activated
// during its outage. There are two tries a second. Every host must still get its turn in the end.
func TestFewHostsQueryOriginDuringOutage(t *testing.T) {
	const fleet, perSecond, maxRequesters = 180, 2, 24
	require.LessOrEqual(t, hostagent.OriginRequestersAt(10*perSecond), maxRequesters)
	last := 0
	for try := range 600 {
		require.GreaterOrEqual(t, hostagent.OriginRequestersAt(try), last)
		last = hostagent.OriginRequestersAt(try)
	}
	require.Greater(t, last, fleet)
}
