package storefeed

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/storerev"
)

// TestListIsCompressedOnceForAllReaders guards against a process that compresses the same list for each of its readers, and
// against compressed lists that are larger than a fifth of the original or can't be decompressed.
func TestListIsCompressedOnceForAllReaders(t *testing.T) {
	var objects []Object
	for i := range 700 {
		objects = append(objects, Object{
			Name: fmt.Sprintf("i-%08x", i*7919), Revision: int64(i + 2), Spec: json.RawMessage(fmt.Sprintf(
				`{"service":"m1","address":"10.1.%d.%d:8080","place":"perth-a","software":"v1","room":8,"condition":"taking work","holds":[{"name":"daka510000","number":1,"more":[]}],"count":4}`,
				i/250, i%250)),
		})
	}
	raw, err := json.Marshal(objects)
	require.NoError(t, err)
	p := packedResponses{}
	_, compressed := p.encode(storerev.Revision{}, objects)
	_, again := p.encode(storerev.Revision{}, objects)
	require.Same(t, &compressed[0], &again[0])
	require.Less(t, 5*len(compressed), len(raw), "%d of %d bytes", len(compressed), len(raw))
	unpacked, err := unpack(compressed)
	require.NoError(t, err)
	require.Equal(t, objects, unpacked)
	plain, none := packedResponses{}.encode(storerev.Revision{}, objects[:2])
	require.Len(t, plain, 2)
	require.Nil(t, none)
	_, err = unpack([]byte("no list"))
	require.Error(t, err)
	_, err = unpack([]byte(strings.Repeat("x", 10)))
	require.Error(t, err)
}
