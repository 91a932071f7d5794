package answer_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"samphireweir.example/samphireweir/internal/demo/answer"
)

const (
	prompt          = "hello"
	requestedTokens = 4
)

var known = []string{"d1", "d2"}

// stream returns the stream messages of the tokens with the given indexes, as the engines write them.
func stream(digest string, indexes ...int) string {
	var text strings.Builder
	for _, index := range indexes {
		token := answer.Token(digest, prompt, index)
		fmt.Fprintf(&text, "id: %d\ndata: {\"index\":%d,\"token\":%q}\n\n", index, index, token)
	}
	return text.String()
}

// end returns the message that ends a stream.
func end(digest string) string {
	return fmt.Sprintf("event: done\ndata: {\"tokens\":4,\"digest\":%q,\"generation\":1}\n\n", digest)
}

func verdict(t *testing.T, text string) answer.Verdict {
	t.Helper()
	got, err := answer.ReadStream(strings.NewReader(text))
	require.NoError(t, err)
	return answer.Check(got, prompt, requestedTokens, known)
}

// TestTokenMatchesTheContract guards against a token function that differs from the engines'. The expected values were
// computed with the commands above them.
func TestTokenMatchesTheContract(t *testing.T) {
	// printf 'd1\nhello\n0' | sha256sum
	assert.Equal(t, "659cc861 ", answer.Token("d1", prompt, 0))
	// printf 'd1\nhello\n12' | sha256sum
	assert.Equal(t, "65f51655 ", answer.Token("d1", prompt, 12))
}

// TestStreamedAnswersAreChecked guards against a stream that counts as complete although tokens are missing, repeated, in
// the wrong order or from several versions.
func TestStreamedAnswersAreChecked(t *testing.T) {
	cases := map[string]struct {
		text string
		want answer.Verdict
	}{
		"whole":                  {stream("d1", 0, 1, 2, 3) + end("d1"), answer.Complete},
		"without its end":        {stream("d1", 0, 1, 2, 3), answer.Truncated},
		"empty":                  {"", answer.Truncated},
		"too short":              {stream("d1", 0, 1, 2) + end("d1"), answer.Truncated},
		"too long":               {stream("d1", 0, 1, 2, 3, 4) + end("d1"), answer.Incorrect},
		"a token twice":          {stream("d1", 0, 1, 1, 2, 3) + end("d1"), answer.Incorrect},
		"a token left out":       {stream("d1", 0, 2, 3) + end("d1"), answer.Incorrect},
		"tokens after the end":   {stream("d1", 0, 1, 2) + end("d1") + stream("d1", 3), answer.Incorrect},
		"two versions":           {stream("d1", 0, 1) + stream("d2", 2, 3) + end("d2"), answer.Incorrect},
		"another version's name": {stream("d1", 0, 1, 2, 3) + end("d2"), answer.Incorrect},
		"an unknown version":     {stream("d3", 0, 1, 2, 3) + end("d3"), answer.Incorrect},
		"a problem":              {stream("d1", 0, 1) + "event: problem\ndata: {\"code\":7,\"ran\":\"ran\"}\n\n", answer.Failed},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.want, verdict(t, test.text))
		})
	}
}

// TestProblemInStreamIsRead guards against an error message in a stream whose code gets lost.
func TestProblemInStreamIsRead(t *testing.T) {
	got, err := answer.ReadStream(strings.NewReader("event: problem\ndata: {\"code\":7,\"ran\":\"ran\"}\n\n"))
	require.NoError(t, err)
	assert.Equal(t, &answer.Problem{Code: 7, Ran: "ran"}, got.Problem)
}

// TestTruncatedStreamMessageIsAnError guards against a stream that ends in the middle of a message without an error.
func TestTruncatedStreamMessageIsAnError(t *testing.T) {
	_, err := answer.ReadStream(strings.NewReader("id: 0\ndata: {\"index\":0,\"tok"))
	assert.Error(t, err)
}

// TestJSONAnswersAreChecked guards against an answer that counts as complete although it is truncated, belongs to another
// prompt or mixes versions.
func TestJSONAnswersAreChecked(t *testing.T) {
	cases := map[string]struct {
		text string
		want answer.Verdict
	}{
		"whole":        {answer.Text("d2", prompt, requestedTokens), answer.Complete},
		"too short":    {answer.Text("d2", prompt, requestedTokens-1), answer.Truncated},
		"empty":        {"", answer.Truncated},
		"two versions": {answer.Text("d2", prompt, requestedTokens-1) + answer.Token("d1", prompt, requestedTokens-1), answer.Incorrect},
		"of another":   {answer.Text("d2", "other", requestedTokens), answer.Incorrect},
		"half a token": {answer.Text("d2", prompt, requestedTokens)[:30], answer.Truncated},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			body, err := json.Marshal(map[string]any{"text": test.text, "tokens": requestedTokens, "digest": "d2"})
			require.NoError(t, err)
			got, err := answer.ReadJSON(strings.NewReader(string(body)))
			require.NoError(t, err)
			assert.Equal(t, test.want, answer.Check(got, prompt, requestedTokens, known))
		})
	}
}

// TestTruncatedJSONAnswerIsAnError guards against a truncated body that is read as a short answer.
func TestTruncatedJSONAnswerIsAnError(t *testing.T) {
	_, err := answer.ReadJSON(strings.NewReader("{\"text\":\"ab"))
	assert.Error(t, err)
}
