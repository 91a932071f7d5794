package serve

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// MaxBody is the maximum size of a request body that ReadBody accepts, in bytes.
const MaxBody = 1 << 20

// Error is the body of an error response.
type Error struct {
	Error string `json:"error"`
}

// WriteJSON responds with a status and with body as JSON.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(body)
}

// Fail responds with a status and an error message.
func Fail(w http.ResponseWriter, status int, message string) {
	WriteJSON(w, status, Error{Error: message})
}

// Refuse responds with status 429 and a Retry-After delay of 1 second.
func Refuse(w http.ResponseWriter) {
	w.Header().Set("Retry-After", "1")
	Fail(w, http.StatusTooManyRequests, "over the rate")
}

// ReadBody reads a request body of at most MaxBody bytes. If that fails, it responds with status 413 or 400 and returns false.
func ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		Fail(w, http.StatusRequestEntityTooLarge, "body above 1 MiB")
		return nil, false
	}
	if err != nil {
		Fail(w, http.StatusBadRequest, "body cut short")
		return nil, false
	}
	return body, true
}

// ReadJSON decodes the JSON body of a request into target. If that fails, it responds with status 413 or 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	body, ok := ReadBody(w, r)
	if !ok {
		return false
	}
	if err := json.Unmarshal(body, target); err != nil {
		Fail(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}
