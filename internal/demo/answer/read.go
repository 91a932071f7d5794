package answer

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"

	"github.com/pkg/errors"
)

const (
	maxLineBytes = 1 << 20 // bytes of one line of a stream
	doneEvent    = "done"
	dataPrefix   = "data:"
	eventPrefix  = "event:"
)

// Problem is a refusal by the product (application/problem+json).
type Problem struct {
	Title string `json:"title"`
	Code  int    `json:"code"`
	Ran   string `json:"ran"`
}

// jsonMessage is the body of an answer that is not streamed.
type jsonMessage struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
	Digest string `json:"digest"`
}

type tokenMessage struct {
	Index int    `json:"index"`
	Token string `json:"token"`
}

type doneMessage struct {
	Tokens int    `json:"tokens"`
	Digest string `json:"digest"`
}

// ReadJSON reads an answer that is not streamed.
func ReadJSON(body io.Reader) (Answer, error) {
	raw, err := io.ReadAll(body)
	if err != nil {
		return Answer{}, errors.Wrap(err, "reading a model answer")
	}
	var message jsonMessage
	if err := json.Unmarshal(raw, &message); err != nil {
		return Answer{}, errors.Wrap(err, "decoding a model answer")
	}
	return Answer{
		Text:    message.Text,
		Tokens:  strings.Count(message.Text, " "),
		Digest:  message.Digest,
		Ended:   true,
		Ordered: true,
	}, nil
}

// ReadStream reads a streamed answer to its end. An error means that the connection broke or that a message is malformed;
// the answer then holds what was received before.
func ReadStream(body io.Reader) (Answer, error) {
	reader := &streamReader{answer: Answer{Ordered: true}}
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if err := reader.line(scanner.Text()); err != nil {
			return reader.finish(), err
		}
	}
	return reader.finish(), errors.Wrap(scanner.Err(), "reading a stream")
}

type streamReader struct {
	answer Answer
	text   strings.Builder
	event  string // name of the current event; empty for a token
}

func (r *streamReader) line(line string) error {
	switch {
	case line == "":
		r.event = ""
		return nil
	case strings.HasPrefix(line, eventPrefix):
		r.event = strings.TrimSpace(strings.TrimPrefix(line, eventPrefix))
		return nil
	case strings.HasPrefix(line, dataPrefix):
		return r.data(strings.TrimSpace(strings.TrimPrefix(line, dataPrefix)))
	default:
		return nil // an id or a comment
	}
}

func (r *streamReader) data(data string) error {
	switch r.event {
	case "":
		return r.token(data)
	case doneEvent:
		return r.done(data)
	default:
		return r.problem(data)
	}
}

func (r *streamReader) token(data string) error {
	var message tokenMessage
	if err := json.Unmarshal([]byte(data), &message); err != nil {
		return errors.Wrap(err, "decoding a token")
	}
	if message.Index != r.answer.Tokens || r.answer.Ended {
		r.answer.Ordered = false
	}
	r.answer.Tokens++
	r.text.WriteString(message.Token)
	return nil
}

func (r *streamReader) done(data string) error {
	var message doneMessage
	if err := json.Unmarshal([]byte(data), &message); err != nil {
		return errors.Wrap(err, "decoding the end of a stream")
	}
	r.answer.Digest = message.Digest
	r.answer.Ended = true
	return nil
}

// problem reads an error message in the stream. Events of other kinds, which have no code, are ignored.
func (r *streamReader) problem(data string) error {
	var problem Problem
	if err := json.Unmarshal([]byte(data), &problem); err != nil {
		return errors.Wrapf(err, "decoding the event %q", r.event)
	}
	if problem.Code != 0 {
		r.answer.Problem = &problem
	}
	return nil
}

func (r *streamReader) finish() Answer {
	r.answer.Text = r.text.String()
	return r.answer
}
