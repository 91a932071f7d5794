package gateway_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/platform/standin"
)

// longBodyBytes is the length of a body that an upstream's window does not hold.
const longBodyBytes = 1_000_000

// longBody returns a body that only the request with this name has.
func longBody(name string) string { return name + strings.Repeat("x", longBodyBytes) }

// newEarlyFleet returns a fleet with several upstreams of each kind and a route for streams that may not be resumed.
func newEarlyFleet(t *testing.T) *standin.Fleet {
	fleet := standin.NewFleet(t)
	fleet.Retries.Base = 1000
	fleet.AddStream("/single/", false)
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4", "i-5", "i-6"} {
		fleet.AddService(id)
		fleet.AddEngine(id+"-engine", standin.NextIP(), 1)
	}
	return fleet
}

// postLongBodies sends requests with long bodies to a path, a few at a time, and returns the replies.
func postLongBodies(e *entry, path string, count int) []standin.Reply {
	replies := make([]standin.Reply, count)
	var wg sync.WaitGroup
	places := make(chan struct{}, 4)
	for n := range replies {
		places <- struct{}{}
		wg.Go(func() {
			defer func() { <-places }()
			replies[n] = e.Do(context.Background(), standin.Request{Path: path, Body: longBody(path + string(rune('a'+n)))})
		})
	}
	wg.Wait()
	return replies
}

// isWhole reports whether a reply is the whole answer of an upstream.
func isWhole(path string, r standin.Reply) bool {
	if strings.HasPrefix(path, "/stream/") || strings.HasPrefix(path, "/single/") {
		return r.Err == nil && r.Body == streamBody(6)
	}
	return r.Err == nil && strings.HasPrefix(r.Body, "answer to "+r.ID+" by i-")
}

// TestAnswerResetBesideItsBodyIsNotComplete guards against passing on a part of an answer without a length as the whole one: its connection is
// reset while the entry writes the request's body, and the write takes the kernel's report of that.
func TestAnswerResetBesideItsBodyIsNotComplete(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name, path string
		status     int
		// repeated is set if the request may go on at another upstream.
		repeated bool
	}{
		{name: "call that runs once", path: "/once/1", status: http.StatusOK},
		{name: "call that may be repeated", path: "/again/1", status: http.StatusOK, repeated: true},
		{name: "stream that may be resumed", path: "/stream/1", status: http.StatusOK, repeated: true},
		{name: "stream that may not", path: "/single/1", status: http.StatusOK},
		{name: "failure of the upstream", path: "/once/1", status: http.StatusInternalServerError},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			fleet := newEarlyFleet(t)
			e := start(t, fleet)
			fleet.Early.Set(standin.EarlyReset, 3, test.status, 0)
			for _, r := range postLongBodies(e, test.path, 12) {
				broken := fleet.Early.Broken(r.ID)
				require.False(t, r.Err == nil && r.Seal != "" && !isWhole(test.path, r), "%d, %q: a part that looks whole", r.Status, r.Body)
				if test.status == http.StatusOK && (!broken || test.repeated) {
					require.Equal(t, test.status, r.Status, r.Body)
					require.True(t, isWhole(test.path, r), r.Body)
				}
			}
			require.NotZero(t, fleet.Early.BrokenCount())
		})
	}
}

// TestAnswerResetAfterItsEndIsComplete guards against withholding an answer that ended in order before its connection was reset.
func TestAnswerResetAfterItsEndIsComplete(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/once/1", "/again/1", "/stream/1", "/single/1"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			fleet := newEarlyFleet(t)
			e := start(t, fleet)
			fleet.Early.Set(standin.EarlyResetAfterEnd, 1, http.StatusOK, 0)
			for _, r := range postLongBodies(e, path, 12) {
				require.Equal(t, http.StatusOK, r.Status, r.Body)
				require.True(t, isWhole(path, r), "%q, %v", r.Body, r.Err)
			}
		})
	}
}

// TestAnswerDoesNotWaitForItsBody guards against answers that wait until a slow upstream has read the request's body.
func TestAnswerDoesNotWaitForItsBody(t *testing.T) {
	t.Parallel()
	fleet := newEarlyFleet(t)
	e := start(t, fleet)
	const readAfter = time.Second
	fleet.Early.Set(standin.EarlyWhole, 1, http.StatusOK, readAfter)
	for _, path := range []string{"/once/1", "/stream/1"} {
		begin := time.Now()
		r := e.Do(context.Background(), standin.Request{Path: path, Body: longBody(path)})
		require.Equal(t, http.StatusOK, r.Status, r.Body)
		require.True(t, isWhole(path, r), r.Body)
		require.Less(t, time.Since(begin), readAfter)
	}
}

// TestEndIsConfirmedByTheInstanceThatAnswered guards against taking a new instance at an address for the one that crashed there in the middle of
// an answer without a length: its connection ended in order, behind a cut that healed after the new one had started.
func TestEndIsConfirmedByTheInstanceThatAnswered(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name, path string
		fault      standin.Fault
		resumed    bool
	}{
		{name: "call that runs once", path: "/once/1", fault: standin.CrashMidAnswer},
		{name: "stream that may be resumed", path: "/stream/1", fault: standin.CrashMidAnswer, resumed: true},
		{name: "stream that may not", path: "/single/1", fault: standin.CrashMidAnswer},
		{name: "failure of the upstream", path: "/once/1", fault: standin.CrashMidFailure},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			fleet := newUnframedFleet(t)
			fleet.Crashing.Downtime = time.Millisecond
			fleet.AddStream("/single/", false)
			var links []*standin.Link
			fleet.RegisteredAddress = func(address string) string {
				links = append(links, standin.NewLink(t, address))
				return links[len(links)-1].Address
			}
			upstreams := []*standin.Upstream{fleet.AddService("i-1"), fleet.AddEngine("i-2", standin.NextIP(), 1), fleet.AddEngine("i-3", standin.NextIP(), 1)}
			e := start(t, fleet)
			fleet.Crashing.BeforeCrash(func() {
				for _, l := range links {
					l.Cut()
				}
			})
			fleet.Faults.Next(test.fault)
			reply := make(chan standin.Reply, 1)
			go func() { reply <- e.Post(test.path) }()
			require.Eventually(t, func() bool {
				for _, u := range upstreams {
					if u.Instances() > 1 {
						return true
					}
				}
				return false
			}, testTimeout, time.Millisecond)
			time.Sleep(50 * time.Millisecond) // The new instance listens and is registered.
			for _, l := range links {
				l.Heal()
			}
			r := <-reply
			require.False(t, r.Err == nil && r.Seal != "" && !isWhole(test.path, r), "%d, %q: a part that looks whole", r.Status, r.Body)
			require.Equal(t, test.resumed, r.Err == nil && r.Status == http.StatusOK, "%d, %q, %v", r.Status, r.Body, r.Err)
		})
	}
}

// TestRefusalReachesACallerThatStillSends guards against a refusal that its caller can't read: the entry closes the connection while the caller still
// sends the body, and the reset drops the refusal.
func TestRefusalReachesACallerThatStillSends(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
		fleet.AddService(id)
	}
	host := fleet.Host(standin.NextIP(), false)
	host.MemoryBytes = 16 << 20
	e := startHost(t, fleet, host)
	const callers = 30
	replies := make(chan standin.Reply, callers)
	for n := range callers {
		go func() {
			length := longBodyBytes
			if n%5 == 0 { // More than any caller may send.
				length = 20 << 20
			}
			replies <- e.Do(context.Background(), standin.Request{Path: "/once/1", Body: strings.Repeat("x", length)})
		}()
	}
	refused := 0
	for range callers {
		r := <-replies
		require.NoError(t, r.Err, "neither an answer nor a refusal")
		if r.Status != http.StatusOK {
			refused++
		}
	}
	require.NotZero(t, refused)
}
