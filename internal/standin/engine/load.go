package engine

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/standin/serve"
)

// loadBufferSize is the size of the buffer for reading weights, in bytes. The weights are only hashed, not kept in memory.
const loadBufferSize = 64 << 10

// Outcomes of a load, in addition to serve.OutcomeDone and serve.OutcomeCrashed.
const (
	outcomeRefused    = "refused"
	outcomeTruncated  = "cut"
	outcomeSuperseded = "superseded"
)

// errLoadSuperseded aborts a load when a later one has started.
var errLoadSuperseded = errors.New("superseded")

// loadOrder is an order to load weights.
type loadOrder struct {
	id         string
	digest     string
	generation int64
	fencing    int64
	start      time.Time
	// number is the value of the engine's load counter for this load. bootID identifies the instance of the engine that started it.
	number int64
	bootID string
}

func readOrder(r *http.Request) (*loadOrder, error) {
	fencing, err := headerNumber(r, headerFencingNumber, 0)
	if err != nil {
		return nil, err
	}
	generation, err := headerNumber(r, headerLoadGeneration, 0)
	if err != nil {
		return nil, err
	}
	digest := r.Header.Get(headerWeightsDigest)
	if digest == "" {
		return nil, errors.New("no " + headerWeightsDigest)
	}
	return &loadOrder{
		id:         r.Header.Get(headerOrderID),
		digest:     digest,
		generation: generation,
		fencing:    fencing,
		start:      time.Now(),
	}, nil
}

// headerNumber returns the number in a header, or defaultValue if the header is absent.
func headerNumber(r *http.Request, name string, defaultValue int64) (int64, error) {
	text := r.Header.Get(name)
	if text == "" {
		return defaultValue, nil
	}
	number, err := strconv.ParseInt(text, 10, 64)
	return number, errors.Wrapf(err, "header %s", name)
}

// beginLoad starts a load and drops the current weights. It returns false if the order's fencing number is stale.
func (e *engine) beginLoad(o *loadOrder) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.acceptFencing(o.fencing) {
		return false
	}
	e.loads++
	o.number = e.loads
	o.bootID = e.process.BootID()
	e.loading = true
	e.digest = ""
	e.generation = 0
	return true
}

// endLoad switches to the new weights if readErr, the error of reading the body, is nil. It returns the outcome of the load.
func (e *engine) endLoad(o *loadOrder, readErr error) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.bootID != e.process.BootID() {
		return serve.OutcomeCrashed
	}
	if o.number != e.loads {
		return outcomeSuperseded
	}
	e.loading = false
	if readErr != nil {
		return outcomeTruncated
	}
	e.digest = o.digest
	e.generation = o.generation
	e.stats.Loads++
	e.wakeUp()
	return serve.OutcomeDone
}

func (e *engine) isLastLoad(o *loadOrder) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return o.number == e.loads
}

// highestFencing returns the fencing number of the last accepted order.
func (e *engine) highestFencing() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fencing
}

// load handles PUT /orders/load.
func (e *engine) load(w http.ResponseWriter, r *http.Request) {
	o, err := readOrder(r)
	if err != nil {
		serve.Fail(w, http.StatusBadRequest, err.Error())
		return
	}
	if !e.beginLoad(o) {
		e.logLoad(o, "", outcomeRefused)
		serve.WriteJSON(w, http.StatusConflict, FencingResponse{Fencing: e.highestFencing()})
		return
	}
	stop := interruptRead(w, r)
	defer stop()
	content, readErr := e.hashBody(r, o)
	outcome := e.endLoad(o, readErr)
	e.logLoad(o, content, outcome)
	e.writeLoadResponse(w, o, outcome)
}

// interruptRead makes a blocked read of the request body fail when the call's context ends, for example by a crash. The returned stop
// disables this.
func interruptRead(w http.ResponseWriter, r *http.Request) (stop func() bool) {
	return context.AfterFunc(r.Context(), func() {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now())
	})
}

// hashBody reads the weights to the end and returns their SHA-256 in hexadecimal. If the body is truncated, the hash covers the bytes that
// were received, and the error is not nil.
func (e *engine) hashBody(r *http.Request, o *loadOrder) (string, error) {
	hash := sha256.New()
	body := &loadReader{engine: e, order: o, ctx: r.Context(), body: r.Body}
	size, err := io.CopyBuffer(hash, body, make([]byte, loadBufferSize))
	if err == nil && size == 0 {
		err = io.ErrUnexpectedEOF
	}
	return hex.EncodeToString(hash.Sum(nil)), err
}

func (e *engine) logLoad(o *loadOrder, content, outcome string) {
	e.log.Add(LoadEntry{
		Engine:        e.name,
		Kind:          "load",
		OrderID:       o.id,
		Digest:        o.digest,
		ContentSHA256: content,
		Generation:    o.generation,
		FencingNumber: o.fencing,
		StartMS:       o.start.UnixMilli(),
		EndMS:         time.Now().UnixMilli(),
		Outcome:       outcome,
	})
}

func (e *engine) writeLoadResponse(w http.ResponseWriter, o *loadOrder, outcome string) {
	switch outcome {
	case serve.OutcomeCrashed:
		return
	case outcomeSuperseded:
		serve.WriteJSON(w, http.StatusConflict, FencingResponse{Fencing: e.highestFencing()})
	case outcomeTruncated:
		serve.Fail(w, http.StatusBadRequest, "body cut short")
	default:
		if e.faults.Take(func(f *Faults) *int { return &f.DropLoadResponse }) {
			serve.Reset(w)
			return
		}
		serve.WriteJSON(w, http.StatusOK, LoadResponse{Digest: o.digest, Generation: o.generation})
	}
}

// loadReader reads the body of a load. It fails when a later load has started, and waits while the engine is frozen.
type loadReader struct {
	engine *engine
	order  *loadOrder
	ctx    context.Context
	body   io.Reader
}

// Read reads the next bytes of the body.
func (l *loadReader) Read(p []byte) (int, error) {
	if err := l.engine.waitWhileFrozen(l.ctx); err != nil {
		return 0, errors.Wrap(err, "frozen load")
	}
	if !l.engine.isLastLoad(l.order) {
		return 0, errLoadSuperseded
	}
	n, err := l.body.Read(p)
	return n, err
}
