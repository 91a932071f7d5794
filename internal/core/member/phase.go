package member

import (
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"samphireweir.example/samphireweir/internal/core/record"
	"samphireweir.example/samphireweir/internal/core/weights"
	"samphireweir.example/samphireweir/internal/setting"
)

// Phases is the part of an advertisement that changes often, in a compact encoding: each change is sent to every entry.
// It repeats no name from the fixed part and holds each digest only once. Digests are not shortened, because entries
// need the exact version: they report it to agents (see core.State.Served) and compare it when another engine
// continues a broken response.
type Phases struct {
	// Offer is the hash of the upstreams in the fixed part. Upstreams follows their order, so a receiver that holds
	// another fixed part (for example of an earlier instance) must not apply the phases.
	Offer string `json:"o"`
	// Upstreams holds one word for each upstream, separated by spaces. The fields of a word are separated by dots:
	// the letter of the phase, the index of the digest in Digests, the generation in base 36 and the letter of the
	// role. All but the first may be empty.
	Upstreams string `json:"u,omitempty"`
	// Digests holds the digests that Upstreams refers to by index, encoded by packDigest.
	Digests []string          `json:"d,omitempty"`
	Leaving bool              `json:"l,omitempty"`
	Weights []weights.Summary `json:"w,omitempty"`
}

const (
	// generationBase is the numeric base of generations and hashes.
	generationBase = 36
	emptyField     = ""
	// literalPrefix marks a digest that is not the lower-case hex of digestBytes bytes and is stored unchanged.
	literalPrefix = "="
	digestBytes   = 32
)

var (
	phaseLetters  = map[Phase]string{Idle: "i", Loading: "l", Serving: "s", Down: "d"}
	roleLetters   = map[setting.Role]string{setting.RolePrefill: "p", setting.RoleDecode: "d", setting.RoleBoth: "b"}
	phaseByLetter = inverse(phaseLetters)
	roleByLetter  = inverse(roleLetters)
)

func inverse[K comparable](letters map[K]string) map[string]K {
	byLetter := make(map[string]K, len(letters))
	for k, letter := range letters {
		byLetter[letter] = k
	}
	return byLetter
}

// Phases returns the part of an advertisement that changes often, encoded.
func (a Advert) Phases() Phases {
	p := Phases{Offer: offerHash(a.Upstreams), Leaving: a.Leaving, Weights: a.Weights}
	words := make([]string, len(a.Upstreams))
	for i, u := range a.Upstreams {
		words[i] = p.encode(u)
	}
	p.Upstreams = strings.Join(words, " ")
	return p
}

// encode returns the word for an upstream and adds its digest to Digests.
func (p *Phases) encode(u Upstream) string {
	digest, generation := emptyField, emptyField
	if u.Digest != "" {
		digest = strconv.Itoa(p.digestIndex(packDigest(u.Digest)))
	}
	if u.Generation != 0 {
		generation = strconv.FormatUint(u.Generation, generationBase)
	}
	word := strings.Join([]string{phaseLetters[u.Phase], digest, generation, roleLetters[u.Role]}, ".")
	return strings.TrimRight(word, ".")
}

// digestIndex returns the index of an encoded digest in Digests, and adds it if it is new.
func (p *Phases) digestIndex(digest string) int {
	for i, known := range p.Digests {
		if known == digest {
			return i
		}
	}
	p.Digests = append(p.Digests, digest)
	return len(p.Digests) - 1
}

// Routing returns a string of those parts of an advertisement that the routing of requests depends on. Two
// advertisements with equal strings are routed alike.
func (a Advert) Routing() string {
	words := []string{strconv.FormatBool(a.Leaving)}
	for _, u := range a.Upstreams {
		if u.Phase == Serving {
			words = append(words, u.Name, u.Digest, strconv.FormatUint(u.Generation, generationBase), string(u.Role))
		}
	}
	return strings.Join(words, " ")
}

// applyTo fills the phases into an advertisement. If they belong to another fixed part, it leaves the upstreams
// unchanged and sets only Leaving and Weights.
func (p *Phases) applyTo(a *Advert) {
	a.Leaving = p.Leaving
	a.Weights = p.Weights
	words := strings.Split(p.Upstreams, " ")
	if p.Offer != offerHash(a.Upstreams) || len(words) != len(a.Upstreams) {
		return
	}
	for i, word := range words {
		p.decode(&a.Upstreams[i], word)
	}
}

// decode fills in an upstream from its word. A malformed word leaves the upstream without a phase, so that no request
// is sent to it.
func (p *Phases) decode(u *Upstream, word string) {
	fields := append(strings.Split(word, "."), emptyField, emptyField, emptyField)
	phase := phaseByLetter[fields[0]]
	digest, known := p.digest(fields[1])
	generation, err := parseGeneration(fields[2])
	if phase == "" || !known || err != nil {
		return
	}
	u.Phase, u.Digest, u.Generation, u.Role = phase, digest, generation, roleByLetter[fields[3]]
}

func parseGeneration(field string) (uint64, error) {
	if field == emptyField {
		return 0, nil
	}
	return strconv.ParseUint(field, generationBase, 64)
}

// digest returns the digest that a field of a word refers to. An empty field stands for no digest; known is false if
// the field is malformed.
func (p *Phases) digest(field string) (digest string, known bool) {
	if field == emptyField {
		return "", true
	}
	n, err := strconv.Atoi(field)
	if err != nil || n < 0 || n >= len(p.Digests) {
		return "", false
	}
	return unpackDigest(p.Digests[n])
}

// packDigest encodes a digest in lower-case hex as base64, and marks any other digest with literalPrefix.
func packDigest(digest string) string {
	raw, err := hex.DecodeString(digest)
	if err != nil || len(raw) != digestBytes || hex.EncodeToString(raw) != digest {
		return literalPrefix + digest
	}
	return base64.RawURLEncoding.EncodeToString(raw)
}

func unpackDigest(packed string) (digest string, known bool) {
	if rest, found := strings.CutPrefix(packed, literalPrefix); found {
		return rest, true
	}
	raw, err := base64.RawURLEncoding.DecodeString(packed)
	if err != nil || len(raw) != digestBytes {
		return "", false
	}
	return hex.EncodeToString(raw), true
}

// offerHash returns a hash of the upstreams that a host offers. 32 bits suffice: it only has to distinguish the few
// fixed parts that one host has advertised.
func offerHash(list []Upstream) string {
	d := xxhash.New()
	for _, u := range list {
		_, _ = d.WriteString(u.Name + "\x00" + u.Team + "\x00" + u.Service + "\x00" + string(u.Kind) + "\x00")
	}
	return strconv.FormatUint(d.Sum64()>>32, generationBase)
}

func parsePhases(r record.Record) *Phases {
	p := &Phases{}
	if r.Deleted || json.Unmarshal(r.Value, p) != nil {
		return nil
	}
	return p
}
