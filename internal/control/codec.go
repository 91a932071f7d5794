package control

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"samphireweir.example/samphireweir/internal/code"
)

// MaxMessage is the maximum size of a message, in bytes. A larger message closes its connection.
const MaxMessage = 4 << 20

// lengthSize is the size of the length prefix of each message, in bytes.
const lengthSize = 4

// boundedCodec encodes a message as its length (big endian) followed by its JSON. It rejects a length above MaxMessage
// before it reads the message.
type boundedCodec struct{ meter Meter }

// WriteObject writes one message.
func (c boundedCodec) WriteObject(w io.Writer, obj any) error {
	raw, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	if len(raw) > MaxMessage {
		return code.Errorf(code.BadMessage, "length", "%d bytes, at most %d", len(raw), MaxMessage)
	}
	buf := make([]byte, lengthSize, lengthSize+len(raw))
	binary.BigEndian.PutUint32(buf, uint32(len(raw)))
	c.count(DirectionOut, len(raw))
	_, err = w.Write(append(buf, raw...))
	return err
}

// ReadObject reads one message into v.
func (c boundedCodec) ReadObject(r *bufio.Reader, v any) error {
	var prefix [lengthSize]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(prefix[:])
	if n > MaxMessage {
		return code.Errorf(code.BadMessage, "length", "%d bytes, at most %d", n, MaxMessage)
	}
	raw := make([]byte, n)
	if _, err := io.ReadFull(r, raw); err != nil {
		return err
	}
	c.count(DirectionIn, len(raw))
	if err := json.Unmarshal(raw, v); err != nil {
		return code.Errorf(code.BadMessage, "message", "not JSON: %v", err)
	}
	return nil
}

// count adds a message to the meter, including its length prefix.
func (c boundedCodec) count(direction string, length int) {
	if c.meter != nil {
		c.meter.CountControlBytes(direction, lengthSize+length)
	}
}
