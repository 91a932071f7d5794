package gateway

import (
	"bufio"
	"bytes"
	"io"
	"time"

	"github.com/pkg/errors"
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
type eventReader struct{ r *bufio.Reader }

func newEventReader(r io.Reader) *eventReader { return &eventReader{r: bufio.NewReader(r)} }

// next returns the next complete event. It returns io.ErrUnexpectedEOF for a stream that ends within an event.
func (e *eventReader) next() (event, error) {
	var ev event
	for {
		line, err := e.r.ReadBytes('\n')
		if errors.Is(err, io.EOF) && len(ev.raw)+len(line) > 0 {
			return event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return event{}, err
		}
		ev.raw = append(ev.raw, line...)
		if len(ev.raw) > maxEventBytes {
			return event{}, errors.Errorf("stream event exceeds %d bytes", maxEventBytes)
		}
		content := bytes.TrimRight(line, "\r\n")
		if id, ok := bytes.CutPrefix(content, []byte("id:")); ok {
			ev.id = string(bytes.TrimSpace(id))
		}
		if len(content) == 0 {
			ev.readAt = time.Now()
			return ev, nil
		}
	}
}
