package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/core"
	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/record"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/watch"
	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/internal/objectapi"
	"samphireweir.example/samphireweir/internal/setting"
)

// platformTimeout bounds a call to the platform, in addition to the time that the call asks the platform to wait. It
// ends a watch whose connection no longer answers; the watch is then repeated on a new connection.
const platformTimeout = 2 * time.Second

// readPlatform carries out an effect of the reducer that watches the platform.
func (p *Process) readPlatform(e step.Effect) {
	switch e := e.(type) {
	case watch.List:
		go p.listSettings()
	case watch.Watch:
		go p.watchSettings(e)
	case watch.ReadHosts:
		go p.readHosts()
	}
}

func (p *Process) readHosts() {
	ctx, cancel := context.WithTimeout(p.runCtx, platformTimeout)
	defer cancel()
	hosts, err := p.Hosts.Hosts(ctx)
	if err != nil {
		if p.hostListLost.CompareAndSwap(false, true) && p.runCtx.Err() == nil {
			logevent.Warn(p.Log, logevent.HostListLost).Err(err).Msg("host list lost")
		}
		p.Loop.Step(watch.HostsFailed{})
		return
	}
	if p.hostListLost.CompareAndSwap(true, false) {
		logevent.Info(p.Log, logevent.HostListRecovered).Msg("host list recovered")
	}
	p.Loop.Step(member.ListRead{Hosts: hosts})
}

func (p *Process) listSettings() {
	ctx, cancel := context.WithTimeout(p.runCtx, platformTimeout)
	defer cancel()
	l, err := p.Objects.List(ctx, setting.Prefix)
	if err != nil {
		p.settingsReadFailed(errors.Wrap(err, "listing settings"))
		return
	}
	p.noteObjectAPIReachable()
	p.Loop.Step(core.PlatformListed{Revision: l.Revision, Records: toRecords(l.Items)})
}

func (p *Process) watchSettings(e watch.Watch) {
	ctx, cancel := context.WithTimeout(p.runCtx, e.Wait+platformTimeout)
	defer cancel()
	l, err := p.Objects.Watch(ctx, setting.Prefix, e.After, e.Wait)
	if err != nil {
		p.settingsReadFailed(errors.Wrap(err, "watching settings"))
		return
	}
	p.noteObjectAPIReachable()
	p.Loop.Step(core.PlatformWatched{Revision: l.Revision, Records: toRecords(l.Items)})
}

func (p *Process) settingsReadFailed(err error) {
	gone := errors.Is(err, objectapi.ErrGone)
	if !gone && p.objectAPILost.CompareAndSwap(false, true) && p.runCtx.Err() == nil {
		logevent.Warn(p.Log, logevent.PlatformLost).Err(err).Msg("platform lost")
	}
	p.Loop.Step(watch.ReadFailed{Compacted: gone})
}

func (p *Process) noteObjectAPIReachable() {
	if p.objectAPILost.CompareAndSwap(true, false) {
		logevent.Info(p.Log, logevent.PlatformRecovered).Msg("platform recovered")
	}
}

// toRecords converts objects of the object API to records. It leaves out the settings' history, and it converts a
// tombstone to a deleted record.
func toRecords(items []objectapi.Item) []record.Record {
	list := make([]record.Record, 0, len(items))
	for _, i := range items {
		r := record.Record{Key: i.Key, Version: record.Version{Major: i.Version}, Deleted: i.Deleted}
		if !i.Deleted {
			r.Value, r.Deleted = setting.WithoutHistory(i.Value)
		}
		list = append(list, r)
	}
	return list
}
