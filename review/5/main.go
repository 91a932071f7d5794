// Command 5 shows that an entry passes on a part of an answer as the whole one: the server answers before it has read a long body, without a
// length, and its channel is reset in the middle of the answer.
package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"samphireweir.example/samphireweir/review/rig2"
)

const (
	// bodyBytes is the length of a request's body; the manifest allows 4,194,304.
	bodyBytes = 1_000_000
	// servers is the number of servers. Each second one breaks off one in breakEvery of its answers.
	servers    = 10
	breakEvery = 20
	// callers is the number of callers, each of which sends perCaller requests one after the other.
	callers, perCaller = 20, 60
	budget             = 1500 * time.Millisecond
)

func main() {
	c := rig2.Open("review/5/record.txt")
	for n := range servers {
		s := newServer(c, fmt.Sprintf("i-%d", n), c.Trouble && n%2 == 0)
		c.PutServer(s.id, "buyer-portal", s.address, "ready", 1)
	}
	c.PutManifest(1, []map[string]any{rig2.Route("status-lookup", "/lookups/", "non_idempotent", "buyer-portal", 1500)}, "buyer-portal")
	entry := c.StartEntry("edge-1")
	results := make([]result, callers*perCaller)
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			for n := range perCaller {
				results[caller*perCaller+n] = call(entry.Front, caller*perCaller+n)
			}
		})
	}
	wg.Wait()
	judge(c, results)
}

// result is what a caller got.
type result struct {
	id, seal string
	status   int
	body     []byte
	err      error
}

// call sends a request through the entry and reads the answer to its end.
func call(front string, n int) result {
	r := result{id: fmt.Sprintf("request-%d", n)}
	req, err := http.NewRequest(http.MethodPost, "http://"+front+"/lookups/2f", bytes.NewReader(bytes.Repeat([]byte("x"), bodyBytes)))
	if err != nil {
		r.err = err
		return r
	}
	req.Host = rig2.Host
	req.Header.Set(rig2.Wire.RequestID, r.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(budget.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+rig2.Key)
	client := http.Client{Timeout: budget, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		r.err = err
		return r
	}
	defer func() { _ = resp.Body.Close() }()
	r.status, r.seal = resp.StatusCode, resp.Header.Get(rig2.Wire.Seal)
	r.body, r.err = io.ReadAll(http.MaxBytesReader(nil, resp.Body, 1<<20))
	return r
}

// judge compares the answers with the whole ones and ends the run.
func judge(c *rig2.Case, results []result) {
	parts, whole := 0, 0
	for _, r := range results {
		switch {
		case r.status == http.StatusOK && r.err == nil && bytes.Equal(r.body, wholeAnswer(r.id)):
			whole++
		case r.status == http.StatusOK && r.err == nil:
			parts++
			c.Log("%s got status %d, seal %q, %d of %d bytes, complete: MIXED", r.id, r.status, r.seal, len(r.body), answerBytes)
		default:
			c.Log("%s got status %d, %d bytes, error %v", r.id, r.status, len(r.body), r.err)
		}
	}
	summary := fmt.Sprintf("%d requests, %d whole answers, %d broken off by servers, %d parts that looked whole", len(results), whole, brokenOff.Load(), parts)
	c.Log("%s", summary)
	fmt.Println(summary)
	switch {
	case parts > 0:
		c.Close(rig2.Broken)
	case whole < len(results)*4/5:
		c.Close(rig2.CouldntRun)
	}
	c.Close(rig2.Held)
}

// wholeAnswer is the body of the answer to a request.
func wholeAnswer(id string) []byte {
	return []byte(strings.Repeat("a line of the answer to "+id+". ", answerBytes)[:answerBytes])
}
