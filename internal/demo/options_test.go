package demo_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"samphireweir.example/samphireweir/internal/demo"
)

// TestByteSizeSuffixes guards against a size flag that is read with the wrong unit, such as MiB for MB.
func TestByteSizeSuffixes(t *testing.T) {
	cases := map[string]int64{
		"123": 123, "5B": 5, "16MiB": 16 << 20, "1.5KiB": 1536, "2GiB": 2 << 30, "3kB": 3000, "4MB": 4e6, "1GB": 1e9, "8M": 8 << 20,
	}
	for text, want := range cases {
		var size demo.ByteSize
		require.NoError(t, size.Set(text), text)
		assert.Equal(t, want, int64(size), text)
	}
	var size demo.ByteSize
	assert.Error(t, size.Set("many"))
	assert.Error(t, size.Set("MiB"))
}

// TestDefaultLinkRates guards against link rates that don't follow from the window: a host's link must carry two copies
// in it and the origin's link four.
func TestDefaultLinkRates(t *testing.T) {
	options, err := demo.ParseOptions(nil)
	require.NoError(t, err)
	assert.Equal(t, 12, options.Hosts)
	assert.Equal(t, 8*time.Second, options.Window)
	assert.Equal(t, int64(options.Size)/4, options.LinkRate(), "one copy in four seconds")
	assert.Equal(t, 2*options.LinkRate(), options.OriginRate())
}

// TestInvalidOptionsAreRejected guards against a run that starts with options it can't work with, such as no hosts or a
// kill share that leaves no agent.
func TestInvalidOptionsAreRejected(t *testing.T) {
	cases := [][]string{
		{"-hosts", "0"}, {"-size", "0"}, {"-chunk-size", "0"}, {"-policy", "none"}, {"-window", "0s"},
		{"-kill-share", "1"}, {"-kill-share", "-0.1"}, {"-unknown"},
	}
	for _, args := range cases {
		_, err := demo.ParseOptions(args)
		assert.Error(t, err, args)
	}
}
