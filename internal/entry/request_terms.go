package entry

import (
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/admission"
	"samphireweir.example/samphireweir/internal/core/request"
	"samphireweir.example/samphireweir/internal/core/routing"
	"samphireweir.example/samphireweir/internal/setting"
)

const (
	// HeaderClientAccount is the header with the client account that a request is counted for.
	HeaderClientAccount = "Client-Account"
	// HeaderPriority is the header with a request's priority, from 0 (highest) to 9.
	HeaderPriority = "Priority"
	// HeaderPrefixKey is the header that groups requests with a common prefix. Callers use it when the entry can't
	// parse their bodies.
	HeaderPrefixKey = "Prefix-Key"
	// defaultAccount is the client account of requests that name none. Its limits also apply to accounts that are not
	// listed in the setting.
	defaultAccount = "default"
	// lowestPriority is the largest valid priority number.
	lowestPriority = 9
	// maxAccountBytes is the maximum length of a client account's name in bytes.
	maxAccountBytes = 128
)

// requestTerms returns what admission and routing base their decisions on: client account, priority, limits and
// prefix.
func (e *Entry) requestTerms(c *call, s *setting.Setting) (request.Terms, *code.Error) {
	t := request.Terms{Account: c.r.Header.Get(HeaderClientAccount), Priority: admission.DefaultPriority}
	if t.Account == "" {
		t.Account = defaultAccount
	}
	if len(t.Account) > maxAccountBytes {
		return t, code.Errorf(code.BadHeader, HeaderClientAccount, "%d bytes, at most %d", len(t.Account), maxAccountBytes)
	}
	if text := c.r.Header.Get(HeaderPriority); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 || n > lowestPriority {
			return t, code.Errorf(code.BadHeader, HeaderPriority, "%q, want 0 (highest) to 9", text)
		}
		t.Priority = n
	}
	limits, listed := s.Clients[t.Account]
	if !listed {
		limits = s.Clients[defaultAccount]
	}
	t.Weight, t.Concurrency = max(1, limits.Weight), limits.Concurrency
	t.Prefix = prefixHash(c, s)
	return t, nil
}

// prefixHash returns a hash of the caller's Prefix-Key or, without one, of the start of the prompt. It returns 0 if
// the request has neither.
func prefixHash(c *call, s *setting.Setting) uint64 {
	if key := c.r.Header.Get(HeaderPrefixKey); key != "" {
		return max(1, xxhash.Sum64String(key))
	}
	if s.Kind != setting.Engine || c.r.Method != http.MethodPost || c.r.ContentLength <= 0 {
		return 0
	}
	return routing.PromptPrefix(c.body.peek(routing.PeekBytes))
}

// peek returns up to n of the first bytes of the body.
func (b *body) peek(n int64) []byte { return b.buffered[:min(int64(len(b.buffered)), n)] }
