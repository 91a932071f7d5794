// Package answer reads a model's answers and checks them. The stand-in engines compute an answer as a pure function of the
// version's digest and the prompt, so that each token can be verified.
package answer

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strconv"
	"strings"
)

const tokenDigits = 8 // hex digits of a token; a space follows them

// Verdict is the result of checking an answer.
type Verdict string

// Results of checking an answer.
const (
	Complete  Verdict = "whole"
	Truncated Verdict = "truncated" // fewer tokens than requested, or without the message that ends it
	Incorrect Verdict = "garbled"   // tokens that don't follow from the prompt and the digest that the answer names
	Failed    Verdict = "failed"    // ended by an error message
)

// Answer is what a caller received in response to a model request.
type Answer struct {
	Text    string
	Tokens  int      // tokens received
	Digest  string   // digest of the version that served the request, as the answer names it at its end
	Ended   bool     // the message that ends the answer was received
	Ordered bool     // the tokens were received with the indexes 0, 1, 2, ... and before the end
	Problem *Problem // the error that ended the answer; nil for none
}

// Token returns the token with the given index (from 0) of a version's answer to a prompt.
func Token(digest, prompt string, index int) string {
	sum := sha256.Sum256([]byte(digest + "\n" + prompt + "\n" + strconv.Itoa(index)))
	return hex.EncodeToString(sum[:])[:tokenDigits] + " "
}

// Text returns the first count tokens of a version's answer to a prompt.
func Text(digest, prompt string, count int) string {
	var text strings.Builder
	for index := range count {
		text.WriteString(Token(digest, prompt, index))
	}
	return text.String()
}

// BelongsTo reports whether every token of an answer is the prompt's token for one of the known digests. It
// is true for an answer that mixes versions and false for an answer to another prompt.
func BelongsTo(got Answer, prompt string, known []string) bool {
	for index, token := range strings.SplitAfter(strings.TrimSuffix(got.Text, " "), " ") {
		token = strings.TrimSuffix(token, " ") + " "
		isToken := func(digest string) bool { return Token(digest, prompt, index) == token }
		if !slices.ContainsFunc(known, isToken) {
			return false
		}
	}
	return true
}

// Check compares an answer with the expected tokens. The known digests are those of the run's versions.
func Check(got Answer, prompt string, wantTokens int, known []string) Verdict {
	switch {
	case got.Problem != nil:
		return Failed
	case !got.Ended:
		return Truncated
	case !got.Ordered || !slices.Contains(known, got.Digest):
		return Incorrect
	case !strings.HasPrefix(Text(got.Digest, prompt, wantTokens), got.Text):
		return Incorrect
	case got.Tokens < wantTokens:
		return Truncated
	case got.Text != Text(got.Digest, prompt, wantTokens):
		return Incorrect
	default:
		return Complete
	}
}
