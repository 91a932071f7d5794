package gateway

import (
	"bufio"
	"bytes"
	"io"
	"time"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/boundedread"
)

// maxEventBytes is the size limit of one event of a stream, in bytes.
const maxEventBytes = 1 << 20

// event is one complete event of a stream.
type event struct {
	// raw holds the event's bytes, including the empty line at its end.
	raw []byte
	// id is empty for an event without an id.
	id string
	// readAt is when the event was read completely.
	readAt time.Time
}

// eventReader splits a stream into complete events.
type eventReader struct {
	r *bufio.Reader
	// reserve requests memory for n bytes that were read.
	reserve func(n int) error
}

func newEventReader(r io.Reader, reserve func(n int) error) *eventReader {
	return &eventReader{r: bufio.NewReader(r), reserve: reserve}
}

// next returns the next complete event. It returns io.ErrUnexpectedEOF for a stream that ends within an event. With an error it returns what
// was read of the event, for which memory is reserved.
func (e *eventReader) next() (ev event, err error) {
	for {
		begin := len(ev.raw)
		ev.raw, err = boundedread.AppendLine(ev.raw, e.r, maxEventBytes, e.reserve)
		if errors.Is(err, io.EOF) && len(ev.raw) > 0 {
			return ev, io.ErrUnexpectedEOF
		}
		if err != nil {
			return ev, errors.WithMessage(err, "stream event")
		}
		content := bytes.TrimRight(ev.raw[begin:], "\r\n")
		if id, ok := bytes.CutPrefix(content, []byte("id:")); ok {
			ev.id = string(bytes.TrimSpace(id))
		}
		if len(content) == 0 {
			ev.readAt = time.Now()
			return ev, nil
		}
	}
}
