package engine

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"samphireweir.example/samphireweir/internal/standin/serve"
)

// maxKV is the maximum size of an imported KV cache, in bytes.
const maxKV = 64 << 10

// loadPath is the path of orders to load. Their bodies are large, and are not buffered.
const loadPath = "/orders/load"

// NewServer returns a handler that simulates the engines called names, and starts their step loops, which end with ctx.
func NewServer(ctx context.Context, names []string, config Config) http.Handler {
	mux := http.NewServeMux()
	log := &serve.Log[any]{}
	faults := serve.NamedFaults[Faults]{}
	engines := map[string]*engine{}
	for _, name := range names {
		e := newEngine(name, config, log)
		engines[name] = e
		faults[name] = e.faults
		mux.Handle("/"+name+"/", http.StripPrefix("/"+name, e.process.Guard(e.handler())))
		go e.loop(ctx)
	}
	mux.Handle("GET /admin/log", log)
	mux.Handle("/admin/faults", faults)
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) {
		stats := map[string]Stats{}
		for name, e := range engines {
			stats[name] = e.counts()
		}
		serve.WriteJSON(w, http.StatusOK, stats)
	})
	return mux
}

// handler returns the handler of the calls to one engine. Calls block while the engine is frozen.
func (e *engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/generate", e.generate)
	mux.HandleFunc("POST /v1/cancel", e.cancelCall)
	mux.HandleFunc("PUT "+loadPath, e.load)
	mux.HandleFunc("POST /orders/role", e.setRole)
	mux.HandleFunc("GET /state", e.state)
	mux.HandleFunc("GET /events", e.listEvents)
	mux.HandleFunc("GET /v1/kv", e.exportKV)
	mux.HandleFunc("PUT /v1/kv", e.importKV)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != loadPath && !bufferBody(w, r) {
			return
		}
		if e.waitWhileFrozen(r.Context()) == nil {
			mux.ServeHTTP(w, r)
		}
	})
}

// bufferBody reads a small request body into memory, because net/http detects a client's disconnect only after the body has been read.
func bufferBody(w http.ResponseWriter, r *http.Request) bool {
	body, ok := serve.ReadBody(w, r)
	r.Body = io.NopCloser(bytes.NewReader(body))
	return ok
}

func (e *engine) cancelCall(w http.ResponseWriter, r *http.Request) {
	var call CancelRequest
	if !serve.ReadJSON(w, r, &call) {
		return
	}
	found := e.cancel(func(run *request) bool { return run.id == call.RequestID })
	serve.WriteJSON(w, http.StatusOK, CancelResponse{RequestID: call.RequestID, Cancelled: found})
}

func (e *engine) setRole(w http.ResponseWriter, r *http.Request) {
	var order RoleOrder
	if !serve.ReadJSON(w, r, &order) {
		return
	}
	if order.Role != rolePrefill && order.Role != roleDecode && order.Role != roleBoth {
		serve.Fail(w, http.StatusBadRequest, "no such role")
		return
	}
	e.mu.Lock()
	accepted := e.acceptFencing(order.FencingNumber)
	if accepted {
		e.role = order.Role
	}
	e.mu.Unlock()
	if !accepted {
		serve.WriteJSON(w, http.StatusConflict, FencingResponse{Fencing: e.highestFencing()})
		return
	}
	serve.WriteJSON(w, http.StatusOK, RoleResponse{Role: order.Role})
}

func (e *engine) state(w http.ResponseWriter, _ *http.Request) {
	serve.WriteJSON(w, http.StatusOK, e.snapshot())
}

func (e *engine) listEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	if err != nil && r.FormValue("after") != "" {
		serve.Fail(w, http.StatusBadRequest, "bad after")
		return
	}
	e.mu.Lock()
	events := e.events.after(after, time.Now())
	e.mu.Unlock()
	serve.WriteJSON(w, http.StatusOK, events)
}

func (e *engine) exportKV(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	kv, ok := e.kv.get(r.FormValue("request_id"))
	e.mu.Unlock()
	if !ok {
		serve.Fail(w, http.StatusNotFound, "no KV cache of this request")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(kv)
}

func (e *engine) importKV(w http.ResponseWriter, r *http.Request) {
	kv, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxKV))
	if err != nil {
		serve.Fail(w, http.StatusBadRequest, "bad KV cache")
		return
	}
	e.mu.Lock()
	e.kv.put(r.URL.Query().Get("request_id"), kv)
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
