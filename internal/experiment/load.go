package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/entry"
	"samphireweir.example/samphireweir/internal/standin/engine"
)

// ClientAccount is a client account and its part of a load.
type ClientAccount struct {
	Name string
	// Rate is its number of requests a second.
	Rate     float64
	Priority int
}

// Load is an open-loop load: requests arrive at their times whether or not earlier ones have been answered.
type Load struct {
	Clients  []ClientAccount
	Duration time.Duration
	Seed     uint64
	// Prefixes is the number of different prompt prefixes, all equally frequent.
	Prefixes int
	// PromptChars is the length of a prompt; the first 256 characters are its prefix.
	PromptChars int
	// Tokens is the number of tokens of an answer.
	Tokens int
	// Deadline is the maximum time that callers wait.
	Deadline time.Duration
	// Plain sends the requests to the plain service instead of the engines.
	Plain bool
	// oneAccount sends all requests under the name of one client account, as a baseline.
	oneAccount bool
}

// Result is the outcome of one request.
type Result struct {
	// ID is the request's id, as the entry states it; empty if no response came.
	ID     string
	Client string
	// At is the time of arrival since the start of the load.
	At        time.Duration
	FirstByte time.Duration
	Total     time.Duration
	Status    int
	Code      code.Code
	Ran       code.Ran
	// RetryAfter is the Retry-After header of a refusal.
	RetryAfter string
	// Complete is set when the complete and correct answer arrived in time.
	Complete bool
	// Cut is set when an answer started but did not end properly, or when the connection failed.
	Cut bool
	// Received is what arrived of an answer that was cut.
	Received string
	// Address is the entry that the request was sent to, and Error the error that it ended with at the caller; empty for none.
	Address string
	Error   string
}

// arrival is one planned request.
type arrival struct {
	at     time.Duration
	client ClientAccount
	number int
	prefix int
	entry  int
}

// plan draws the arrivals of a load, with exponentially distributed gaps for each client account.
func (l Load) plan(entries int) []arrival {
	var list []arrival
	for i, c := range l.Clients {
		random := rand.New(rand.NewPCG(l.Seed, uint64(i)))
		at := time.Duration(0)
		for c.Rate > 0 {
			at += time.Duration(random.ExpFloat64() / c.Rate * float64(time.Second))
			if at > l.Duration {
				break
			}
			list = append(list, arrival{
				at: at, client: c, number: len(list), prefix: random.IntN(max(1, l.Prefixes)), entry: random.IntN(entries),
			})
		}
	}
	return list
}

// Run sends the load to randomly chosen entries and returns the results.
func (f *Fleet) Run(l Load) []Result {
	addresses := make([]string, 0, len(f.Entries))
	for _, e := range f.Entries {
		addresses = append(addresses, e.CallersAddress())
	}
	return f.RunAt(l, func(a int) string { return addresses[a%len(addresses)] })
}

// RunAt is Run with a balancer: pick returns the address of an entry for a random number.
func (f *Fleet) RunAt(l Load, pick func(random int) string) []Result {
	plan := l.plan(1 << 20)
	results := make([]Result, len(plan))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}}
	defer client.CloseIdleConnections()
	begin := time.Now()
	var all sync.WaitGroup
	for i, a := range plan {
		all.Go(func() {
			time.Sleep(time.Until(begin.Add(a.at)))
			results[i] = f.request(client, l, a, pick(a.entry))
		})
	}
	all.Wait()
	return results
}

func (l Load) prompt(a arrival) string {
	head := fmt.Sprintf("%d prefix %d ", l.Seed, a.prefix)
	text := strings.Repeat(head, l.PromptChars/len(head)+1)[:l.PromptChars]
	return text + fmt.Sprintf(" request %d", a.number)
}

func (f *Fleet) request(client *http.Client, l Load, a arrival, address string) Result {
	ctx, cancel := context.WithTimeout(context.Background(), l.Deadline)
	defer cancel()
	r := Result{Client: a.client.Name, At: a.at, Address: address}
	prompt := l.prompt(a)
	req, err := l.build(ctx, address, prompt, a)
	if err != nil {
		r.Cut = true
		return r
	}
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		r.Total = time.Since(start)
		r.Cut, r.Error = ctx.Err() == nil, err.Error()
		return r
	}
	defer func() { _ = resp.Body.Close() }()
	r.ID, r.Status = resp.Header.Get(entry.HeaderRequestID), resp.StatusCode
	first := make([]byte, 1)
	n, err := io.ReadFull(resp.Body, first)
	r.FirstByte = time.Since(start)
	rest, restErr := io.ReadAll(resp.Body)
	r.Total = time.Since(start)
	body := append(first[:n], rest...)
	if resp.StatusCode != http.StatusOK {
		r.parseRefusal(resp, body)
		return r
	}
	r.Complete = err == nil && restErr == nil && (l.Plain || completeAnswer(string(body), f.Digest, prompt, l.Tokens))
	r.Cut = !r.Complete && ctx.Err() == nil
	if r.Cut {
		r.Received, r.Error = string(body), errorText(err, restErr)
	}
	return r
}

// errorText returns the text of the first error in errs; empty if there is none.
func errorText(errs ...error) string {
	for _, err := range errs {
		if err != nil {
			return err.Error()
		}
	}
	return ""
}

func (l Load) build(ctx context.Context, address, prompt string, a arrival) (*http.Request, error) {
	url := "http://" + address + "/" + Team + "/" + ModelService + "/v1/generate"
	if l.Plain {
		url = "http://" + address + "/" + Team + "/" + PlainService + "/status"
	}
	body, err := json.Marshal(engine.GenerateRequest{Prompt: prompt, MaxTokens: l.Tokens, Stream: true})
	if err != nil {
		return nil, errors.Wrap(err, "encoding a request")
	}
	method := http.MethodPost
	if l.Plain {
		method, body = http.MethodGet, nil
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "building a request")
	}
	if !l.oneAccount {
		req.Header.Set(entry.HeaderClientAccount, a.client.Name)
	}
	req.Header.Set(entry.HeaderPriority, fmt.Sprint(a.client.Priority))
	req.Header.Set(entry.HeaderDeadline, fmt.Sprint(l.Deadline.Milliseconds()))
	return req, nil
}

func (r *Result) parseRefusal(resp *http.Response, body []byte) {
	var p entry.Problem
	if json.Unmarshal(body, &p) != nil {
		r.Cut = true
		return
	}
	r.Code, r.Ran = p.Code, p.Ran
	r.RetryAfter = resp.Header.Get("Retry-After")
}

// completeAnswer checks a stream token by token: it must hold the answer to this prompt by these weights exactly once, up to its end.
func completeAnswer(stream, digest, prompt string, tokens int) bool {
	var want strings.Builder
	for i := range tokens {
		fmt.Fprintf(&want, "id: %d\ndata: {\"index\":%d,\"token\":%q}\n\n", i, i, engine.Token(digest, prompt, i))
	}
	// Comments keep the connection of a slow answer alive, also before its first event; readers of event streams ignore them.
	stream = strings.ReplaceAll("\n\n"+stream, "\n\n: waiting", "")
	rest, ok := strings.CutPrefix(stream, "\n\n"+want.String())
	return ok && strings.HasPrefix(rest, "event: done\n")
}
