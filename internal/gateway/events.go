package gateway

import (
	"bufio"
	"bytes"
	"io"
	"time"

	"github.com/pkg/errors"
)

// maxEvent bounds an event of a stream in bytes.
const maxEvent = 1 << 20

// event is one whole event of a stream.
type event struct {
	// raw are its bytes, the empty line at its end included.
	raw []byte
	// id is empty for an event without one.
	id string
	// at is when it was read.
	at time.Time
}

// eventReader cuts a stream into whole events.
type eventReader struct{ r *bufio.Reader }

func newEventReader(r io.Reader) *eventReader { return &eventReader{r: bufio.NewReader(r)} }

// next returns the next whole event. A stream that ends within an event gives io.ErrUnexpectedEOF.
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
		if len(ev.raw) > maxEvent {
			return event{}, errors.Errorf("an event of over %d bytes", maxEvent)
		}
		text := bytes.TrimRight(line, "\r\n")
		if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			ev.id = string(bytes.TrimSpace(id))
		}
		if len(text) == 0 {
			ev.at = time.Now()
			return ev, nil
		}
	}
}
