package gateway_test

import (
	"context"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/platform/standin"
)

const (
	// endlessRequests is the number of requests at once whose answers have no end.
	endlessRequests = 20
	// soundRequests is the number of requests to another upstream meanwhile, one after the other.
	soundRequests = 10
	// smallHostMemory is the memory of a small host, in bytes.
	smallHostMemory = 284 << 20
)

// heapPeak measures the heap while play runs, and returns its greatest growth, in bytes.
func heapPeak(play func()) int64 {
	heap := func() int64 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapInuse)
	}
	runtime.GC()
	base, peak := heap(), int64(0)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
				peak = max(peak, heap()-base)
			}
		}
	}()
	play()
	close(stop)
	<-stopped
	return peak
}

// TestAnswerWithoutEndIsGivenUp guards against upstreams that send bytes without an end and take all memory of the entry, and against their
// callers' connections being closed without an answer. Every caller gets a status, and no success.
func TestAnswerWithoutEndIsGivenUp(t *testing.T) {
	whole := []standin.Fault{standin.EndlessHeader, standin.EndlessHeaders, standin.EndlessInformation, standin.EndlessBody, standin.EndlessChunks, standin.EndlessChunkExtension, standin.EndlessTrailer}
	stream := append([]standin.Fault{standin.EndlessLine, standin.EndlessEvent, standin.EndlessComments}, whole...)
	for path, faults := range map[string][]standin.Fault{"/once/1": whole, "/stream/1": stream} {
		for _, fault := range faults {
			t.Run(strings.Trim(path, "/1")+"_"+string(fault), func(t *testing.T) {
				fleet := standin.NewFleet(t)
				fleet.Slots = 2 * endlessRequests
				fleet.WriteManifest()
				upstreams := map[string]*standin.Upstream{"/once/1": fleet.AddService("i-desk"), "/stream/1": fleet.AddEngine("i-engine", standin.NextIP(), 1)}
				sound := "/once/1"
				if path == sound {
					sound = "/stream/1"
				}
				host := fleet.Host(standin.NextIP(), false)
				host.MemoryBytes = smallHostMemory
				e := startHost(t, fleet, host)
				require.Equal(t, http.StatusOK, e.Post(path).Status)
				require.Equal(t, http.StatusOK, e.Post(sound).Status)
				upstreams[path].SetEndless(fault)
				var mu sync.Mutex
				answers := map[int]int{}
				begin := time.Now()
				peak := heapPeak(func() {
					var callers sync.WaitGroup
					for range endlessRequests {
						callers.Go(func() {
							ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
							defer cancel()
							r := e.Do(ctx, standin.Request{Path: path})
							mu.Lock()
							defer mu.Unlock()
							if r.Err != nil {
								t.Errorf("no answer: %v", r.Err)
							}
							answers[r.Status]++
						})
					}
					for range soundRequests {
						if r := e.Post(sound); r.Status != http.StatusOK {
							t.Errorf("a sound request beside them: %d %v %s", r.Status, r.Err, r.Body)
						}
					}
					callers.Wait()
				})
				t.Logf("%s %s: heap %d MB above its base, answers %v within %v", path, fault, peak>>20, answers, time.Since(begin))
				require.Zero(t, answers[http.StatusOK])
				require.Less(t, peak, int64(smallHostMemory), "stand-ins included")
				if fault != faults[0] {
					return // The upstream comes back after each form in the same way, some seconds later.
				}
				upstreams[path].SetEndless("")
				require.Eventually(t, func() bool { return e.Post(path).Status == http.StatusOK }, 10*time.Second, 20*time.Millisecond, "the upstream is used again")
			})
		}
	}
}
