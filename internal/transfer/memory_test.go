package transfer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/transfer"
)

func putChunks(t *testing.T, m *transfer.Memory, chunks ...string) {
	t.Helper()
	for _, p := range chunks {
		require.NoError(t, m.Put(digestOf(p), []byte(p)))
	}
}

// TestRetiredVersionKeepsSharedChunks checks that a new version reuses the chunks that it shares
// with a retired one, and that a retired version is evicted when memory is needed.
func TestRetiredVersionKeepsSharedChunks(t *testing.T) {
	m := transfer.NewMemory(12)
	v1, raw1 := contentOf(t, "aaaabbbb")
	v2, raw2 := contentOf(t, "aaaacccc")
	_, err := m.AddVersion("v1", raw1, v1)
	require.NoError(t, err)
	putChunks(t, m, "aaaa", "bbbb")
	m.Retire("v1")
	held, err := m.AddVersion("v2", raw2, v2)
	require.NoError(t, err)
	require.Equal(t, []int{0}, held)
	putChunks(t, m, "cccc")
	_, _, err = m.Content("v2")
	require.NoError(t, err)
	require.NotNil(t, m.Chunk(digestOf("bbbb")), "not evicted while there is free memory")
	v3, raw3 := contentOf(t, "dddd")
	_, err = m.AddVersion("v3", raw3, v3)
	require.NoError(t, err)
	putChunks(t, m, "dddd")
	require.Nil(t, m.Chunk(digestOf("bbbb")), "evicted with the retired version")
	require.NotNil(t, m.Chunk(digestOf("aaaa")), "kept because v2 shares it")
}

// TestFullMemoryRejectsChunks guards against growing over the budget and against evicting chunks of
// a wanted version.
func TestFullMemoryRejectsChunks(t *testing.T) {
	m := transfer.NewMemory(8)
	v1, raw1 := contentOf(t, "aaaabbbb")
	v2, raw2 := contentOf(t, "cccc")
	_, err := m.AddVersion("v1", raw1, v1)
	require.NoError(t, err)
	_, err = m.AddVersion("v2", raw2, v2)
	require.NoError(t, err)
	putChunks(t, m, "aaaa", "bbbb")
	require.Error(t, m.Put(digestOf("cccc"), []byte("cccc")))
	_, _, err = m.Content("v1")
	require.NoError(t, err)
}

// TestVersionWantedAgainIsNotRetired guards against evicting a version that was retired and is
// wanted again, as after a rollback.
func TestVersionWantedAgainIsNotRetired(t *testing.T) {
	m := transfer.NewMemory(8)
	v1, raw1 := contentOf(t, "aaaabbbb")
	_, err := m.AddVersion("v1", raw1, v1)
	require.NoError(t, err)
	putChunks(t, m, "aaaa", "bbbb")
	m.Retire("v1")
	held, err := m.AddVersion("v1", raw1, v1)
	require.NoError(t, err)
	require.Equal(t, []int{0, 1}, held)
	v2, raw2 := contentOf(t, "cccc")
	_, err = m.AddVersion("v2", raw2, v2)
	require.NoError(t, err)
	require.Error(t, m.Put(digestOf("cccc"), []byte("cccc")))
	_, _, err = m.Content("v1")
	require.NoError(t, err)
}
