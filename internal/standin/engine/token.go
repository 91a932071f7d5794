package engine

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
)

// Parameters of the tokens and hashes that the engine computes from prompts.
const (
	tokenDigits        = 8
	prefixCharacters   = 256
	prefixDigits       = 16
	charactersPerToken = 4
)

// Token returns token i of the response to prompt that the weights with this digest generate. It is deterministic.
func Token(digest, prompt string, i int) string {
	sum := sha256.Sum256([]byte(digest + "\n" + prompt + "\n" + strconv.Itoa(i)))
	return hex.EncodeToString(sum[:tokenDigits/2]) + " "
}

// PrefixHash returns the key of the first 256 characters of prompt in the prefix cache and its events.
func PrefixHash(prompt string) string {
	sum := sha256.Sum256([]byte(firstCharacters(prompt, prefixCharacters)))
	return hex.EncodeToString(sum[:prefixDigits/2])
}

func firstCharacters(text string, n int) string {
	seen := 0
	for at := range text {
		if seen == n {
			return text[:at]
		}
		seen++
	}
	return text
}

// kvBytes returns the KV cache of a request in the form in which it is exported and imported.
func kvBytes(digest, prompt string) []byte {
	sum := sha256.Sum256([]byte(prompt))
	return []byte("kv " + digest + " " + hex.EncodeToString(sum[:]))
}
