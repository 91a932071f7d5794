package setting_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/setting"
)

// TestFileErrorsNameFileFieldAndValidValue guards against errors for an operator's file that don't say where the mistake is
// and what a valid value is.
func TestFileErrorsNameFileFieldAndValidValue(t *testing.T) {
	cases := map[string][]string{
		`{"kind":"engin"}`:                                                                  {"s.json: kind", `want "engine" or "plain"`},
		`{"kind":"engine","modle":"risk"}`:                                                  {"s.json: modle", `did you mean "model"`},
		"{\"kind\":\"engine\",\n\"model\":7}":                                               {"s.json:2: model", "got number, want a text"},
		"{\"kind\":\"plain\",\n\"places\":{\"perth-a\":1,}}":                                {"s.json:2", "not JSON"},
		`{"kind":"plain","non_idempotent":["PSOT"]}`:                                        {"non_idempotent", `did you mean "POST"`},
		`{"kind":"plain","non_idempotent":["POST bookings"]}`:                               {"non_idempotent", "POST /bookings"},
		`{"kind":"engine","model":"m","version":"v1","places":{"p":2},"max_unavailable":5}`: {"max_unavailable", "want 1 to 2"},
		`{"kind":"plain","places":{"Perth":1}}`:                                             {"places", "not a place's name"},
		`{"kind":"plain","places":{"perth-a":1000001}}`:                                     {"places.perth-a", "want at most"},
		`{"kind":"plain"} {"kind":"plain"}`:                                                 {"s.json", "one JSON object"},
		`{"kind":"plain","places":[1]}`:                                                     {"s.json:1: places", "want an object"},
		``:                                                                                  {"s.json", "want one JSON object"},
		`{"kind":"engine","model":"m","version":"v","places":{"p":1},"clients":{"":{}}}`: {"clients", `such as "default"`},
		`{"kind":"engine","model":"m","version":"v1","places":{"p":1},"policy":"fast"}`:  {"policy", `want "time" or "origin"`},
	}
	for text, parts := range cases {
		_, err := setting.ParseFile("s.json", []byte(text))
		require.Error(t, err, text)
		for _, part := range parts {
			require.Contains(t, err.Error(), part, text)
		}
	}
}

// TestFileReadsIfVersionAndAppliesDefaults guards against a file whose condition on the version is ignored, or whose absent
// fields get no defaults.
func TestFileReadsIfVersionAndAppliesDefaults(t *testing.T) {
	f, err := setting.ParseFile("s.json", []byte(`{"kind":"plain","if_version":7}`))
	require.NoError(t, err)
	require.Equal(t, uint64(7), *f.IfVersion)
	require.Equal(t, []string{"POST"}, f.NonIdempotent)
}

// TestRelayedOmitsHistory guards against the relay of a setting's history to all processes, which need only the current
// setting.
func TestRelayedOmitsHistory(t *testing.T) {
	object := (&setting.Object{}).Next(0, &setting.Setting{Kind: setting.Plain}, setting.ChangeInfo{Change: "a"})
	object = object.Next(3, &setting.Setting{Kind: setting.Plain}, setting.ChangeInfo{Change: "b"})
	raw := mustJSON(t, object)
	value, deleted := setting.WithoutHistory(raw)
	require.False(t, deleted)
	require.NotContains(t, string(value), "history")
	s, err := setting.Parse(value)
	require.NoError(t, err)
	require.Equal(t, "b", s.Change)
}
