package agent

import (
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/frame"
	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/internal/node"
)

// relay writes the response to one connection, with heartbeats while the upstream sends nothing. If the connection
// breaks, the run continues for resumeWindow, so that the entry can resume it.
func (a *Agent) relay(w http.ResponseWriter, r *http.Request, x *execution, reader int, withHead bool) {
	conn := http.NewResponseController(w)
	node.LimitSendBuffer(r, maxSendBufferBytes)
	x.startRelay(conn)
	ended := a.relayFrames(w, r, x, reader, withHead)
	x.stopRelay(conn, ended)
}

// startRelay makes conn the connection that relays the response. It ends a write that blocks on the one that it replaces.
func (x *execution) startRelay(conn *http.ResponseController) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.resumeTimer != nil {
		x.resumeTimer.Stop()
	}
	if x.relayConn != nil {
		_ = x.relayConn.SetWriteDeadline(time.Now())
	}
	x.relayConn = conn
}

// stopRelay records that conn no longer relays the response, if no other connection has replaced it. The server may use conn for another call
// afterwards. Unless the response has ended, the run is cancelled after resumeWindow if no connection resumes it before.
func (x *execution) stopRelay(conn *http.ResponseController, ended bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.relayConn != conn {
		return
	}
	x.relayConn = nil
	if !ended {
		x.resumeTimer = time.AfterFunc(resumeWindow, func() { x.cancel(errAbandoned) })
	}
}

// relayFrames writes the frames of a response to one connection. It reports true if the response has ended or another
// connection has replaced this one, and false if the connection broke.
func (a *Agent) relayFrames(w http.ResponseWriter, r *http.Request, x *execution, reader int, withHead bool) bool {
	heartbeats := time.NewTicker(frame.HeartbeatInterval)
	defer heartbeats.Stop()
	control := http.NewResponseController(w)
	written := relayed{head: !withHead, silences: x.out.silenceCount()}
	for {
		s := x.out.next(reader, readBufferSize)
		if s.replaced {
			return true
		}
		_ = control.SetWriteDeadline(time.Now().Add(frame.ReaderTimeout))
		if err := a.writeSnapshot(w, x, s, &written); err != nil {
			return a.relayBroken(x, reader, err)
		}
		if err := control.Flush(); err != nil {
			return a.relayBroken(x, reader, err)
		}
		if s.ended {
			_ = control.SetWriteDeadline(time.Time{})
			return true
		}
		if len(s.data) > 0 {
			continue
		}
		select {
		case <-s.changed:
		case <-r.Context().Done():
			return x.out.replaced(reader)
		case <-heartbeats.C:
			if !writeHeartbeat(w) {
				return x.out.replaced(reader)
			}
		}
	}
}

// relayBroken reports whether another connection had replaced the one whose write failed with err. It logs an entry that accepted nothing
// for frame.ReaderTimeout, since the answer ends there unless the entry resumes it.
func (a *Agent) relayBroken(x *execution, reader int, err error) bool {
	if x.out.replaced(reader) {
		return true
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		logevent.Warn(a.Log, logevent.AttemptFailed).Str("request", x.env.Request).Str("upstream", x.start.Upstream).
			Str("entry", x.env.Entry).Err(err).Msg("the entry accepted nothing of the answer for too long")
	}
	return false
}

// relayed is what one connection has relayed of a response.
type relayed struct {
	// head is set once the head was written, or if the entry has it from an earlier connection.
	head bool
	// silences is the number of reports of a silent upstream that were written or came before the connection.
	silences int
}

// writeSnapshot writes the frames of a snapshot: the head and a report of silence if they were not written yet, the data, and the end.
func (a *Agent) writeSnapshot(w http.ResponseWriter, x *execution, s snapshot, written *relayed) error {
	id := x.start.ID
	if s.silences > written.silences && !s.ended && len(s.data) == 0 {
		written.silences = s.silences
		if err := frame.WriteJSON(w, frame.TypeSilent, x.silentFrame()); err != nil {
			return err
		}
	}
	if !written.head && s.status != 0 {
		written.head = true
		head := frame.Head{Request: id.Request, Attempt: id.Attempt, Status: s.status, Header: s.header, Load: a.loadReport(x, false)}
		head.Load.FirstByteUS = x.firstByte.took().Microseconds()
		head.Load.WasSilent = a.wasSilent(x)
		if err := frame.WriteJSON(w, frame.TypeHead, head); err != nil {
			return err
		}
	}
	if len(s.data) > 0 {
		if err := frame.Write(w, frame.TypeData, s.data); err != nil {
			return err
		}
	}
	if !s.ended {
		return nil
	}
	if s.fail != nil {
		return frame.WriteJSON(w, frame.TypeFail, failFrame(id, s.fail, a.loadReport(x, true)))
	}
	return frame.WriteJSON(w, frame.TypeEnd, frame.End{Request: id.Request, Attempt: id.Attempt, Bytes: s.total, Sum: s.sum, Load: a.loadReport(x, true)})
}
