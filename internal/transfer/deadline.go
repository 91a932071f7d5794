package transfer

import (
	"net/http"
	"time"
)

// defaultWriteStall is how long one piece may take to be written before the upload is given up, so that a peer that has
// stopped reading does not hold an upload slot.
const defaultWriteStall = 5 * time.Second

// stallWriter gives each write a deadline of its own.
type stallWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	limit      time.Duration
}

func newStallWriter(w http.ResponseWriter, limit time.Duration) *stallWriter {
	if limit == 0 {
		limit = defaultWriteStall
	}
	return &stallWriter{ResponseWriter: w, controller: http.NewResponseController(w), limit: limit}
}

// Write writes p within the limit. Where deadlines can't be set the write goes on without one.
func (w *stallWriter) Write(p []byte) (int, error) {
	_ = w.controller.SetWriteDeadline(time.Now().Add(w.limit))
	return w.ResponseWriter.Write(p)
}
