package silence

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// testSlice is the length of a counter's slices in tests.
const testSlice = 250 * time.Millisecond

// newCountedPipe returns both ends of a connection whose local end is attached to a counter.
func newCountedPipe(t *testing.T) (local *Conn, remote *remoteEnd, w *Watch) {
	t.Helper()
	local, far, limited, _ := newWatchedPipe(t)
	limited.Stop()
	w = NewCounter(testSlice)
	w.Attach(local)
	w.recordSend()
	return local, &remoteEnd{far.Write}, w
}

// remoteEnd is the other side of a connection, which only writes.
type remoteEnd struct{ write func([]byte) (int, error) }

// writeAfter writes data once d has passed.
func (r *remoteEnd) writeAfter(d time.Duration, data string) {
	time.AfterFunc(d, func() { _, _ = r.write([]byte(data)) })
}

// TestCounterCountsSilenceOfReadsOnly guards against silence that includes the time for which this process did not read, and against a counter
// that gives up by itself.
func TestCounterCountsSilenceOfReadsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, remote, w := newCountedPipe(t)
		for range 2 {
			remote.writeAfter(0, "data")
			time.Sleep(time.Minute)
			_, err := read(local)
			require.NoError(t, err)
		}
		silent, attached := w.Silence()
		require.Zero(t, silent)
		require.True(t, attached)
		remote.writeAfter(10*testSlice+testSlice/2, "data")
		_, err := read(local)
		require.NoError(t, err)
		silent, _ = w.Silence()
		require.Equal(t, 10*testSlice, silent)
		w.Progress(0)
		silent, _ = w.Silence()
		require.Zero(t, silent)
		w.Stop()
		_, attached = w.Silence()
		require.False(t, attached)
	})
}

// TestCounterGivesUpAfterLastLook guards against a peer that is given up although its data has arrived, or for silence that has ended, and
// against one that is never given up.
func TestCounterGivesUpAfterLastLook(t *testing.T) {
	for name, c := range map[string]struct {
		// readAfter is when this process reads, dataAfter when data arrives, and givenUpAfter when the peer is given up.
		readAfter, dataAfter, givenUpAfter time.Duration
		// demanded is the silence that must be counted.
		demanded time.Duration
		silent   bool
	}{
		"nothing comes":                   {0, time.Hour, 4*testSlice + testSlice/2, 4 * testSlice, true},
		"data comes before the last look": {0, 5*testSlice + lastLookTimeout/2, 4*testSlice + testSlice/2, 4 * testSlice, false},
		"data lies unread":                {time.Minute, 0, time.Second, 0, false},
		"less silence than demanded":      {0, 20 * testSlice, testSlice + testSlice/2, 4 * testSlice, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				local, remote, w := newCountedPipe(t)
				calls := 0
				remote.writeAfter(c.dataAfter, "data")
				time.AfterFunc(c.givenUpAfter, func() { w.GiveUp(c.demanded, func() { calls++ }) })
				time.Sleep(c.readAfter)
				_, err := read(local)
				if c.silent {
					require.ErrorIs(t, err, ErrSilent)
					require.Equal(t, 1, calls)
					require.True(t, w.Expired())
					return
				}
				require.NoError(t, err)
				require.Zero(t, calls)
			})
		})
	}
}

// TestProgressWithdrawsGiveUp guards against a peer that is given up for silence before its last data.
func TestProgressWithdrawsGiveUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, remote, w := newCountedPipe(t)
		w.GiveUp(0, func() { t.Error("given up") })
		w.Progress(0)
		remote.writeAfter(20*testSlice, "data")
		_, err := read(local)
		require.NoError(t, err)
	})
}
