package boundedread_test

import (
	"bufio"
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/boundedread"
)

// endless is an answer without an end. It counts the bytes read of it.
type endless struct{ read int }

// Read returns bytes without a line end.
func (e *endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	e.read += len(p)
	return len(p), nil
}

func free(int) error { return nil }

// TestEndlessInputIsGivenUpAtItsLimit guards against a limit that is checked only once all has been read.
func TestEndlessInputIsGivenUpAtItsLimit(t *testing.T) {
	const limit = 100 << 10
	body := &endless{}
	raw, err := boundedread.All(body, limit)
	require.ErrorIs(t, err, boundedread.ErrTooLarge)
	require.Nil(t, raw)
	require.LessOrEqual(t, body.read, 2*limit)

	line := &endless{}
	_, err = boundedread.AppendLine(nil, bufio.NewReader(line), limit, free)
	require.ErrorIs(t, err, boundedread.ErrTooLarge)
	require.LessOrEqual(t, line.read, 2*limit)
}

// TestInputUpToItsLimitIsRead guards against a limit that cuts what is as large as it allows.
func TestInputUpToItsLimitIsRead(t *testing.T) {
	raw, err := boundedread.All(strings.NewReader("12345"), 5)
	require.NoError(t, err)
	require.Equal(t, "12345", string(raw))
	line, err := boundedread.AppendLine([]byte("1"), bufio.NewReader(strings.NewReader("234\n5")), 5, free)
	require.NoError(t, err)
	require.Equal(t, "1234\n", string(line))
}

// TestBrokenAnswerIsNotTakenForAWholeOne guards against an answer that breaks off and is passed on as complete.
func TestBrokenAnswerIsNotTakenForAWholeOne(t *testing.T) {
	for _, size := range []int{0, 1, 4 << 10, 5 << 10, 100 << 10} {
		broken := io.MultiReader(bytes.NewReader(make([]byte, size)), iotest.ErrReader(io.ErrUnexpectedEOF))
		_, err := boundedread.All(broken, 1<<20)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF, "%d bytes", size)
		raw, err := boundedread.All(iotest.DataErrReader(bytes.NewReader(make([]byte, size))), 1<<20)
		require.NoError(t, err)
		require.Len(t, raw, size)
	}
}

// FuzzAppendLine checks that lines are read as they are, and that no more is reserved than there is.
func FuzzAppendLine(f *testing.F) {
	f.Add([]byte("a\nb"), 10)
	f.Add(bytes.Repeat([]byte("x"), 9000), 5000)
	f.Fuzz(func(t *testing.T, input []byte, limit int) {
		limit = max(0, limit%(16<<10))
		reserved := 0
		r := bufio.NewReader(bytes.NewReader(input))
		line, err := boundedread.AppendLine(nil, r, limit, func(n int) error {
			reserved += n
			return nil
		})
		require.LessOrEqual(t, len(line), limit)
		require.Equal(t, reserved, len(line))
		require.True(t, bytes.HasPrefix(input, line))
		if err == nil {
			require.Equal(t, byte('\n'), line[len(line)-1])
		}
		if err == io.EOF {
			require.Equal(t, len(input), len(line))
		}
	})
}
