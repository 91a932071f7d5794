package transfer

import (
	"net/http"
	"time"
)

// defaultWriteTimeout bounds the write of one block of an upload. It ends the upload to a peer that
// stopped reading; otherwise that upload would continue to occupy an upload slot.
const defaultWriteTimeout = 5 * time.Second

// deadlineWriter sets a new deadline for each write.
type deadlineWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
}

func newDeadlineWriter(w http.ResponseWriter, timeout time.Duration) *deadlineWriter {
	if timeout == 0 {
		timeout = defaultWriteTimeout
	}
	return &deadlineWriter{ResponseWriter: w, controller: http.NewResponseController(w), timeout: timeout}
}

// Write writes p within the timeout. If the connection does not support deadlines, it writes
// without one.
func (w *deadlineWriter) Write(p []byte) (int, error) {
	_ = w.controller.SetWriteDeadline(time.Now().Add(w.timeout))
	return w.ResponseWriter.Write(p)
}
