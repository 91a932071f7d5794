package agent

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/core/incarnation"
	"samphireweir.example/samphireweir/internal/core/slot"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/internal/objectapi"
)

// objectTimeout bounds a call to the object API. A call that takes longer has failed with unknown outcome.
const objectTimeout = 3 * time.Second

// executeObjectEffect carries out an effect that reads or writes the incarnation or the slots in the object API, or that
// reports the incarnation as held or lost. It reports whether e was one of them.
func (a *Agent) executeObjectEffect(e step.Effect) bool {
	switch e := e.(type) {
	case incarnation.Read:
		go func() { a.Loop.Step(a.readIncarnation(e)) }()
	case incarnation.Write:
		go func() { a.Loop.Step(a.writeIncarnation(e)) }()
	case slot.Read:
		go func() { a.Loop.Step(a.readSlots(e)) }()
	case slot.Write:
		go func() { a.Loop.Step(a.writeSlots(e)) }()
	case incarnation.Held:
		logevent.Info(a.Log, logevent.IncarnationHeld).Uint64("number", e.Number).Msg("incarnation held")
	case incarnation.Lost:
		logevent.Warn(a.Log, logevent.IncarnationLost).Uint64("number", e.Number).Msg("incarnation lost")
	default:
		return false
	}
	return true
}

func (a *Agent) readIncarnation(e incarnation.Read) step.Event {
	item, err := a.readObject(e.Key)
	if err != nil {
		return incarnation.Failed{}
	}
	return incarnation.Present{Version: item.Version, Value: item.Value}
}

func (a *Agent) writeIncarnation(e incarnation.Write) step.Event {
	item, _, err := a.writeObject(e.Key, e.Value, e.IfVersion)
	if err != nil {
		return incarnation.Failed{}
	}
	return incarnation.Present{Version: item.Version, Value: item.Value}
}

func (a *Agent) readSlots(e slot.Read) step.Event {
	item, err := a.readObject(e.Key)
	if err != nil {
		return slot.Failed(e)
	}
	return slot.Present{Key: e.Key, Version: item.Version, Value: item.Value}
}

func (a *Agent) writeSlots(e slot.Write) step.Event {
	item, conflict, err := a.writeObject(e.Key, e.Value, e.IfVersion)
	if err != nil {
		return slot.Failed{Key: e.Key}
	}
	return slot.Present{Key: e.Key, Version: item.Version, Value: item.Value, Conflict: conflict}
}

// readObject reads an object. An object that does not exist is returned with version 0.
func (a *Agent) readObject(key string) (objectapi.Item, error) {
	ctx, cancel := context.WithTimeout(context.Background(), objectTimeout)
	defer cancel()
	item, err := a.Objects.Get(ctx, key)
	if errors.Is(err, objectapi.ErrNotFound) {
		return objectapi.Item{Key: key}, nil
	}
	return item, err
}

// writeObject writes an object if its version is ifVersion. On a version conflict it returns the object that is present
// and sets conflict; else it returns the object as written.
func (a *Agent) writeObject(key string, value []byte, ifVersion uint64) (item objectapi.Item, conflict bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), objectTimeout)
	defer cancel()
	item, err = a.Objects.Put(ctx, key, value, ifVersion)
	var other *objectapi.ConflictError
	if errors.As(err, &other) {
		return other.Current, true, nil
	}
	item.Value = value
	return item, false, err
}
