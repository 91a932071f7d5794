package routing

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"time"
	"unicode/utf8"
)

const (
	// PrefixCharacters is the number of characters of a prompt that form its prefix.
	PrefixCharacters = 256
	// PeekBytes is the size of the beginning of a body that is searched for the prompt's prefix.
	PeekBytes = 4 << 10
	// HolderMaxAge is how long an upstream is assumed to have a prefix after the last request with the prefix or cache event
	// that confirmed it. It bounds the effect of a lost cache event.
	HolderMaxAge = 60 * time.Second
	// MaxPrefixes is the maximum number of prefixes in each of the two generations that an entry keeps for a service.
	MaxPrefixes = 4096
	// MaxHolders is the maximum number of upstreams that are remembered for a prefix.
	MaxHolders = 4
	// MaxCacheEvents is the maximum number of cache events in one report.
	MaxCacheEvents = 64
)

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Prefix uint64 `json:"p"`
	// Evicted is true for a prefix that was evicted and false for one that was stored.
	Evicted bool `json:"e,omitempty"`
}

// CacheChanges holds changes of an engine's prefix cache. They arrive with a delay and may be incomplete.
type CacheChanges struct {
	// BootID identifies the engine's instance. Another instance starts with an empty cache.
	BootID string `json:"boot,omitempty"`
	// Seq is the sequence number of the last change included.
	Seq uint64 `json:"seq"`
	// Incomplete reports whether earlier changes are missing because the agent no longer keeps them. Everything known of the
	// cache is then invalid. Changes that the engine itself lost can't be detected; HolderMaxAge bounds their effect.
	Incomplete bool         `json:"gap,omitempty"`
	Events     []CacheEvent `json:"events,omitempty"`
}

// CachePosition identifies the last change of an engine's prefix cache that an entry has received.
type CachePosition struct {
	BootID string `json:"boot,omitempty"`
	Seq    uint64 `json:"seq,omitempty"`
}

// PrefixHash returns the hash of the first PrefixCharacters characters of a prompt. Engines identify prefixes by the
// same hash in their cache events. It is never 0.
func PrefixHash(prompt string) uint64 {
	end := len(prompt)
	seen := 0
	for at := range prompt {
		if seen == PrefixCharacters {
			end = at
			break
		}
		seen++
	}
	sum := sha256.Sum256([]byte(prompt[:end]))
	return max(1, binary.BigEndian.Uint64(sum[:8]))
}

// ParsePrefix parses the hexadecimal prefix hash of an engine's cache event. It returns false if the hash is malformed.
func ParsePrefix(text string) (uint64, bool) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != 8 {
		return 0, false
	}
	return max(1, binary.BigEndian.Uint64(raw)), true
}

// PromptPrefix returns the prefix hash of the prompt, given the first bytes of a JSON body; 0 if they contain no
// prompt.
func PromptPrefix(body []byte) uint64 {
	const field = `"prompt"`
	for {
		at := bytes.Index(body, []byte(field))
		if at < 0 {
			return 0
		}
		body = body[at+len(field):]
		// Quotes inside a JSON string are escaped, so this match is a field name or a complete value. Only a name is
		// followed by a colon.
		rest, isName := bytes.CutPrefix(bytes.TrimLeft(body, " \t\r\n"), []byte(":"))
		if !isName {
			continue
		}
		text, ok := bytes.CutPrefix(bytes.TrimLeft(rest, " \t\r\n"), []byte(`"`))
		if !ok {
			return 0
		}
		return PrefixHash(unquote(text))
	}
}

// unquote decodes a JSON string without its opening quote. If text is truncated, it decodes as much as is complete.
func unquote(text []byte) string {
	end := len(text)
	for i := 0; i < len(text); i++ {
		if text[i] == '"' {
			end = i
			break
		}
		if text[i] == '\\' {
			i++
		}
	}
	for cut := end; cut >= 0 && cut > end-maxEscapeBytes; cut-- {
		var s string
		if json.Unmarshal(append(append([]byte{'"'}, text[:cut]...), '"'), &s) == nil && utf8.ValidString(s) {
			return s
		}
	}
	return ""
}

// maxEscapeBytes is one more than the length of the longest JSON escape, a surrogate pair, which may be truncated.
const maxEscapeBytes = 13

// holder is an upstream that probably has a prefix in its cache. That was last confirmed at the time at, when epoch was the
// upstream's cacheEpoch.
type holder struct {
	upstream *upstream
	epoch    int
	at       time.Time
}

func (h holder) valid(now time.Time) bool {
	return h.epoch == h.upstream.cacheEpoch && now.Sub(h.at) < HolderMaxAge
}

// prefixIndex maps prefix hashes to the upstreams that probably have the prefix in their cache. It keeps two
// generations. When the current one is full, it becomes the previous one and the old previous one is dropped. This
// bounds the memory and keeps the prefixes that are in use.
type prefixIndex struct {
	current, previous map[uint64][]holder
}

func newPrefixIndex() prefixIndex {
	return prefixIndex{current: map[uint64][]holder{}, previous: map[uint64][]holder{}}
}

func (p *prefixIndex) get(prefix uint64) []holder {
	if list, ok := p.current[prefix]; ok {
		return list
	}
	return p.previous[prefix]
}

func (p *prefixIndex) put(prefix uint64, list []holder) {
	if len(p.current) >= MaxPrefixes {
		p.previous = p.current
		p.current = make(map[uint64][]holder, MaxPrefixes)
	}
	p.current[prefix] = list
}

// add records that u has the prefix as of now.
func (p *prefixIndex) add(now time.Time, prefix uint64, u *upstream) {
	list := make([]holder, 0, MaxHolders)
	list = append(list, holder{upstream: u, epoch: u.cacheEpoch, at: now})
	for _, h := range p.get(prefix) {
		if h.upstream != u && h.valid(now) && len(list) < MaxHolders {
			list = append(list, h)
		}
	}
	p.put(prefix, list)
}

// remove removes u from the holders of a prefix, unless it was recorded after the time before.
func (p *prefixIndex) remove(prefix uint64, u *upstream, before time.Time) {
	var list []holder
	for _, h := range p.get(prefix) {
		if h.upstream != u || h.at.After(before) {
			list = append(list, h)
		}
	}
	p.put(prefix, list)
}

// bestHolder returns the upstream with the lowest load among those that probably have the prefix and that ok accepts;
// nil for none.
func (p *prefixIndex) bestHolder(now time.Time, prefix uint64, ok func(*upstream) bool) *upstream {
	var best *upstream
	for _, h := range p.get(prefix) {
		if !h.valid(now) || !ok(h.upstream) {
			continue
		}
		if best == nil || h.upstream.load(now) < best.load(now) {
			best = h.upstream
		}
	}
	return best
}

// MaxEventDelay is the maximum delay of a cache event. An eviction does not remove a holder that was recorded within
// MaxEventDelay before the event arrived, because the prefix may have been stored again since the eviction.
const MaxEventDelay = 2 * time.Second

// apply applies an engine's cache changes to the index. It skips prefixes that are not in the index. Otherwise the memory
// would fill with prefixes that this entry never gets requests for.
func (p *prefixIndex) apply(now time.Time, u *upstream, changes *CacheChanges) {
	if changes == nil {
		return
	}
	if changes.Incomplete || changes.BootID != u.cache.BootID && u.cache.BootID != "" {
		u.cacheEpoch++
	}
	u.cache = CachePosition{BootID: changes.BootID, Seq: changes.Seq}
	for _, e := range changes.Events {
		if p.get(e.Prefix) == nil {
			continue
		}
		if e.Evicted {
			p.remove(e.Prefix, u, now.Add(-MaxEventDelay))
			continue
		}
		p.add(now, e.Prefix, u)
	}
}
