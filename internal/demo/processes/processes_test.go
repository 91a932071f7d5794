package processes_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"samphireweir.example/samphireweir/internal/demo/processes"
)

const shell = "/bin/sh"

// startShell starts a shell script as a child process and kills it at the end of the test.
func startShell(t *testing.T, script string) *processes.Process {
	t.Helper()
	process, err := processes.Start("child", t.TempDir(), shell, "-c", script)
	require.NoError(t, err)
	t.Cleanup(process.Kill)
	return process
}

// testContext returns a context that ends after 10 s.
func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// TestListeningReturnsTheAddressOfTheListeningLine guards against a stand-in whose address is not recognised in its output.
func TestListeningReturnsTheAddressOfTheListeningLine(t *testing.T) {
	process := startShell(t, "echo listening 127.0.0.1:4000; exec sleep 20")
	address, err := process.Listening(testContext(t))
	require.NoError(t, err)
	assert.Equal(t, "127.0.0.1:4000", address)
}

// TestAddressesAreReadFromTheStartLine guards against a start line that is overlooked between other output, confused with
// other events, or lost because it arrives in two writes.
func TestAddressesAreReadFromTheStartLine(t *testing.T) {
	process := startShell(t, `echo plain text >&2
echo '{"event":7,"callers":"x"}' >&2
printf '{"event":1001,"callers":"a:1",' >&2
echo '"peers":"b:2","operators":"c:3"}' >&2
exec sleep 20`)
	addresses, err := process.Addresses(testContext(t))
	require.NoError(t, err)
	assert.Equal(t, processes.Addresses{Callers: "a:1", Peers: "b:2", Operators: "c:3"}, addresses)
}

// TestExitBeforeListeningIsReported guards against a wait for a process that has ended, and against an error that hides
// the reason: the error must contain the process's error output.
func TestExitBeforeListeningIsReported(t *testing.T) {
	process := startShell(t, "echo no such flag >&2; exit 3")
	_, err := process.Addresses(testContext(t))
	assert.ErrorContains(t, err, "no such flag")
	assert.False(t, process.Running())
}

// TestStopKillsAfterTheTimeout guards against processes that survive Stop because they ignore SIGTERM, and against a
// SIGKILL for processes that end by themselves in time.
func TestStopKillsAfterTheTimeout(t *testing.T) {
	cooperative := startShell(t, "echo listening x; exec sleep 20")
	ignoresTerm := startShell(t, "trap '' TERM; echo listening x; while :; do sleep 0.05; done")
	for _, process := range []*processes.Process{cooperative, ignoresTerm} {
		_, err := process.Listening(testContext(t))
		require.NoError(t, err)
	}
	killed := processes.Stop([]*processes.Process{ignoresTerm, cooperative}, 300*time.Millisecond)
	assert.Equal(t, []string{"child"}, killed)
	assert.False(t, cooperative.Running())
	assert.False(t, ignoresTerm.Running())
	assert.Empty(t, processes.Stop([]*processes.Process{ignoresTerm, cooperative}, time.Second), "stopping again does nothing")
}
