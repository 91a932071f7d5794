package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"

	"samphireweir.example/samphireweir/internal/demo/layout"
	"samphireweir.example/samphireweir/internal/demo/ledger"
)

const (
	vendorCount           = 5000 // different vendors that lookups ask for; also bounds a submission's credit
	sharedPrefixes        = 4    // long prefixes that prompts have in common
	prefixChars           = 320  // longer than the 256 characters that an engine's prefix cache compares
	prefixShare           = 0.5  // share of the prompts that start with a shared prefix
	streamShare           = 0.5  // share of the model requests that are streamed
	resendShare           = 0.05 // share of the submissions that are sent again
	concurrentResendShare = 0.5  // share of the resends that don't wait for the first response
	minTokens             = 8
	tokenSpread           = 24 // a model request asks for 8 to 31 tokens
	vendorsPath           = "/" + layout.Team + "/" + layout.PlainService + "/vendors"
	generatePath          = "/" + layout.Team + "/" + layout.ModelService + "/v1/generate"
)

// generateMessage is the body of a model request.
type generateMessage struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// vendorMessage is the body of a submission.
type vendorMessage struct {
	Name   string `json:"name"`
	Credit int    `json:"credit"` // whole dollars
}

// request is one planned request.
type request struct {
	kind     ledger.Kind
	id       string
	key      string // idempotency key; empty for none
	method   string
	path     string
	body     []byte
	entry    int // index of the entry that it is sent to
	generate generateMessage
	resend   resend
}

// resend is whether and when a submission is sent again through the next entry.
type resend int

const (
	noResend resend = iota
	resendConcurrently
	resendAfterResponse
)

// planner generates the requests of one kind. The same seed and stream produce the same requests in the same order.
type planner struct {
	kind    ledger.Kind
	seed    uint64
	random  *rand.Rand
	entries int
	count   int
}

func newPlanner(kind ledger.Kind, seed uint64, stream uint64, entries int) *planner {
	return &planner{kind: kind, seed: seed, random: rand.New(rand.NewPCG(seed, stream)), entries: entries}
}

func (p *planner) next() request {
	p.count++
	planned := request{
		kind:  p.kind,
		id:    fmt.Sprintf("demo-%d-%s-%d", p.seed, p.kind, p.count),
		entry: p.random.IntN(p.entries),
	}
	switch p.kind {
	case ledger.Lookup:
		p.lookup(&planned)
	case ledger.Submission:
		p.submission(&planned)
	case ledger.Generation:
		p.generation(&planned)
	}
	return planned
}

func (p *planner) lookup(planned *request) {
	planned.method = http.MethodGet
	planned.path = fmt.Sprintf("%s/%d", vendorsPath, p.random.IntN(vendorCount))
}

func (p *planner) submission(planned *request) {
	planned.method = http.MethodPost
	planned.path = vendorsPath
	planned.key = "key-" + planned.id
	planned.body = encode(vendorMessage{Name: planned.id, Credit: p.random.IntN(vendorCount)})
	planned.resend = p.resend()
}

func (p *planner) resend() resend {
	resent := p.random.Float64() < resendShare
	concurrent := p.random.Float64() < concurrentResendShare
	switch {
	case resent && concurrent:
		return resendConcurrently
	case resent:
		return resendAfterResponse
	default:
		return noResend
	}
}

func (p *planner) generation(planned *request) {
	planned.method = http.MethodPost
	planned.path = generatePath
	planned.generate = generateMessage{
		Prompt:    p.prompt(planned.id),
		MaxTokens: minTokens + p.random.IntN(tokenSpread),
		Stream:    p.random.Float64() < streamShare,
	}
	planned.body = encode(planned.generate)
}

// prompt returns a prompt that contains the request's id, so that each request has its own answer.
func (p *planner) prompt(requestID string) string {
	question := fmt.Sprintf("Summarise the account of vendor %d for %s.", p.random.IntN(vendorCount), requestID)
	if p.random.Float64() >= prefixShare {
		return question
	}
	return sharedPrefix(p.random.IntN(sharedPrefixes)) + question
}

// sharedPrefix returns one of the long texts that prompts have in common.
func sharedPrefix(number int) string {
	sentence := fmt.Sprintf("You answer for desk %d of the buyers' office, briefly. ", number)
	return strings.Repeat(sentence, prefixChars/len(sentence)+1)
}

// asResend returns the same request, with its key and body, for the next entry and with an id of its own.
func (r request) asResend(entries int) request {
	second := r
	second.id += "-again"
	second.entry = (r.entry + 1) % entries
	second.resend = noResend
	return second
}

func encode(message any) []byte {
	body, err := json.Marshal(message)
	if err != nil {
		panic(err) // can't happen: the messages consist of strings, numbers and booleans
	}
	return body
}
