package node

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/control"
	"samphireweir.example/samphireweir/internal/core"
	"samphireweir.example/samphireweir/internal/fleet"
	"samphireweir.example/samphireweir/internal/setting"
)

// fleetRoutes registers the handlers for this process's view of the whole fleet, for operators and, with the secret, for
// peers.
func (p *Process) fleetRoutes() {
	for _, mux := range []*http.ServeMux{p.OperatorsMux, p.PeersMux} {
		mux.HandleFunc("GET "+fleet.StatusPath, p.handleStatus)
		mux.HandleFunc("GET "+fleet.InForcePath, p.handleInForce)
		mux.HandleFunc("POST "+fleet.PreviewPath, p.handlePreview)
	}
}

func (p *Process) handleStatus(w http.ResponseWriter, _ *http.Request) {
	var status fleet.Status
	p.Loop.View(func(s *core.State) { status = s.Status(time.Now()) })
	status.Process.ControlIn, status.Process.ControlOut = control.TransferredBytes()
	writeJSON(w, status)
}

func (p *Process) handleInForce(w http.ResponseWriter, r *http.Request) {
	revision, err := strconv.ParseUint(r.FormValue("revision"), 10, 64)
	if err != nil {
		http.Error(w, code.Errorf(code.BadMessage, "revision", "%q, want a number", r.FormValue("revision")).Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), countTimeout)
	defer cancel()
	writeJSON(w, p.CountInForce(ctx, r.FormValue("key"), revision))
}

func (p *Process) handlePreview(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, setting.MaxBytes+1))
	if err != nil {
		return
	}
	target, err := setting.Parse(raw)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var preview fleet.Preview
	p.Loop.View(func(s *core.State) { preview = s.Preview(r.FormValue("key"), target) })
	writeJSON(w, preview)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
