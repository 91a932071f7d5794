package boundedread

import (
	"bufio"
	"io"
	"math"
	"net/http"

	"github.com/pkg/errors"
)

// ReadResponse reads the head of an answer from a connection, within MaxHeadBytes, beyond which it returns ErrTooLarge. What follows the head is read,
// without a limit, from the reader that it returns.
func ReadResponse(conn io.Reader, req *http.Request) (*http.Response, *bufio.Reader, error) {
	limited := &io.LimitedReader{R: conn, N: MaxHeadBytes}
	r := bufio.NewReader(limited)
	resp, err := http.ReadResponse(r, req)
	if err != nil && limited.N <= 0 {
		return nil, nil, errors.Wrapf(ErrTooLarge, "a head of more than %d bytes", MaxHeadBytes)
	}
	if err != nil {
		return nil, nil, err
	}
	limited.N = math.MaxInt64
	return resp, r, nil
}
