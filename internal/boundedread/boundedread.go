// Package boundedread limits what the process reads from outside: an answer without an end must not take more memory than any sound one. The
// limits hold while an answer is read, not after it. docs/design/28-bounded-reads.md lists them.
package boundedread

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// MaxHeadBytes is the limit of the head of an answer, with all heads of status 1xx before it, in bytes. Transports use it as
// MaxResponseHeaderBytes. It is several times what the callers of the users' platform may send as a head.
const MaxHeadBytes = 64 << 10

// ErrTooLarge is returned for what exceeds its limit.
var ErrTooLarge = errors.New("exceeds its limit")

// Sizes of the parts in which All reads, in bytes. Each part is twice as large as the one before.
const (
	minPartBytes = 4 << 10
	maxPartBytes = 256 << 10
)

// All reads r to its end. It returns ErrTooLarge, and nothing of what was read, if that is more than limit bytes. Until the end it holds
// little more than it has read: what it read is not copied before.
func All(r io.Reader, limit int64) ([]byte, error) {
	var parts [][]byte
	total := int64(0)
	for size := minPartBytes; ; size = min(2*size, maxPartBytes) {
		part := make([]byte, min(int64(size), limit+1-total))
		n, err := fill(part, r)
		parts = append(parts, part[:n])
		total += int64(n)
		switch {
		case total > limit:
			return nil, errors.Wrapf(ErrTooLarge, "more than %d bytes", limit)
		case errors.Is(err, io.EOF):
			return join(parts), nil
		case err != nil:
			return nil, err
		}
	}
}

// fill reads until part is full or an error, which it returns as it is. io.ReadFull does not tell an end from a broken answer.
func fill(part []byte, r io.Reader) (n int, err error) {
	for n < len(part) && err == nil {
		var read int
		read, err = r.Read(part[n:])
		n += read
	}
	return n, err
}

func join(parts [][]byte) []byte {
	if len(parts) == 1 {
		return parts[0]
	}
	return bytes.Join(parts, nil)
}

// AppendLine reads a line, with its end, and appends it to b. It returns ErrTooLarge as soon as b has more than limit bytes, and io.EOF with
// what was read if r ends within the line. reserve is called for each part before it is appended.
func AppendLine(b []byte, r *bufio.Reader, limit int, reserve func(n int) error) ([]byte, error) {
	for {
		part, err := r.ReadSlice('\n')
		if len(b)+len(part) > limit {
			return b, errors.Wrapf(ErrTooLarge, "more than %d bytes", limit)
		}
		if reserveErr := reserve(len(part)); reserveErr != nil {
			return b, reserveErr
		}
		b = append(b, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return b, err
		}
	}
}
