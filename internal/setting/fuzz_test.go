package setting_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/setting"
)

// FuzzParse checks that a setting that Parse accepts is accepted encoded after encoding, unless it then exceeds MaxBytes.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"kind":"engine","model":"m","version":"v1","places":{"perth-a":2}}`))
	f.Add([]byte(`{"kind":"plain","non_idempotent":["POST /bookings"]}`))
	f.Add([]byte(`{"kind":"engine","places":{"":-1}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := setting.Parse(raw)
		if err != nil {
			return
		}
		encoded, err := json.Marshal(s)
		require.NoError(t, err)
		if len(encoded) > setting.MaxBytes {
			return
		}
		_, err = setting.Parse(encoded)
		require.NoError(t, err)
	})
}
