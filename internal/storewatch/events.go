package storewatch

import (
	"github.com/rs/zerolog"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/platform"
)

// manifestName is the name of the object that holds the manifest in force.
const manifestName = "main"

// Decoder converts objects of the store to events of package catalog. It logs and skips objects that can't be decoded, so
// that the state in force stays.
type Decoder struct {
	// Step receives the events.
	Step func(step.Event)
	Log  zerolog.Logger

	// loggedRevisions holds the revision at which an object was last logged as malformed, by its name. Every list contains
	// the object again, which must not be logged again.
	loggedRevisions map[string]int64
}

// Follower returns a follower of a kind that passes the kind's events to Step.
func (b Decoder) Follower(store Store, kind string) *Follower {
	b.loggedRevisions = map[string]int64{}
	f := &Follower{Store: store, Kind: kind, Wait: shortWait, Log: b.Log, OnResponse: func() { b.Step(catalog.StoreAnswered{}) }, OnFailure: func() { b.Step(catalog.StoreFailed{}) }}
	switch kind {
	case platform.ConfigKind:
		f.OnList, f.OnChanges = func(_ int64, o []platform.Object) { b.manifestsChanged(o) }, b.manifestsChanged
	case platform.ServerKind:
		f.OnList, f.OnChanges = b.upstreamsListed, b.upstreamsChanged
	case platform.VersionKind:
		f.Wait = longWait
		f.OnList, f.OnChanges = b.versionsListed, b.versionsChanged
	case platform.EvacuationKind:
		f.OnList, f.OnChanges = b.evacuationsListed, b.evacuationsChanged
	}
	return f
}

func (b Decoder) manifestsChanged(objects []platform.Object) {
	for _, o := range objects {
		if o.Name != manifestName || o.Deleted {
			continue
		}
		m, err := platform.DecodeManifest(o.Spec)
		if err != nil {
			b.logMalformed(o, err)
			continue
		}
		b.Step(catalog.ManifestRead{Revision: o.Revision, Manifest: m})
	}
}

func (b Decoder) upstreamsListed(revision int64, objects []platform.Object) {
	var list []*catalog.Upstream
	var malformed []platform.Object
	for _, o := range objects {
		u, err := platform.DecodeUpstream(o)
		if err != nil {
			b.logMalformed(o, err)
			malformed = append(malformed, o)
			continue
		}
		list = append(list, u)
	}
	b.Step(catalog.UpstreamsListed{Revision: revision, Upstreams: list})
	for _, o := range malformed {
		b.Step(catalog.UpstreamUnreadable{ID: o.Name, Revision: o.Revision})
	}
	b.Step(catalog.TopicListed{Topic: catalog.UpstreamTopic})
}

func (b Decoder) upstreamsChanged(objects []platform.Object) {
	for _, o := range objects {
		if o.Deleted {
			b.Step(catalog.UpstreamRemoved{ID: o.Name, Revision: o.Revision})
			continue
		}
		u, err := platform.DecodeUpstream(o)
		if err != nil {
			b.logMalformed(o, err)
			b.Step(catalog.UpstreamUnreadable{ID: o.Name, Revision: o.Revision})
			continue
		}
		b.Step(catalog.UpstreamChanged{Upstream: u})
	}
}

func (b Decoder) versionsListed(_ int64, objects []platform.Object) {
	b.stepVersions(objects, true)
	b.Step(catalog.TopicListed{Topic: catalog.VersionTopic})
}

func (b Decoder) versionsChanged(objects []platform.Object) { b.stepVersions(objects, false) }

func (b Decoder) stepVersions(objects []platform.Object, listed bool) {
	for _, o := range objects {
		if o.Deleted {
			continue
		}
		v, err := platform.DecodeVersion(o)
		if err != nil {
			b.logMalformed(o, err)
			continue
		}
		v.Listed = listed
		b.Step(v)
	}
}

// evacuationsListed reports the data centres that are being evacuated. Each object is named after a data centre; its
// content is not used.
func (b Decoder) evacuationsListed(revision int64, objects []platform.Object) {
	ev := catalog.EvacuationsListed{Revision: revision}
	for _, o := range objects {
		if o.Name != "" {
			ev.DataCentres = append(ev.DataCentres, o.Name)
		}
	}
	b.Step(ev)
	b.Step(catalog.TopicListed{Topic: catalog.EvacuationTopic})
}

func (b Decoder) evacuationsChanged(objects []platform.Object) {
	for _, o := range objects {
		switch {
		case o.Name == "":
		case o.Deleted:
			b.Step(catalog.EvacuationEnded{DataCentre: o.Name, Revision: o.Revision})
		default:
			b.Step(catalog.EvacuationStarted{DataCentre: o.Name, Revision: o.Revision})
		}
	}
}

// maxLoggedRevisions is the maximum number of malformed objects whose logged revision is remembered.
const maxLoggedRevisions = 1000

// logMalformed logs an object that can't be decoded, once for each of its revisions.
func (b Decoder) logMalformed(o platform.Object, err error) {
	if revision, known := b.loggedRevisions[o.Name]; known && revision == o.Revision {
		return
	}
	if len(b.loggedRevisions) >= maxLoggedRevisions {
		clear(b.loggedRevisions)
	}
	b.loggedRevisions[o.Name] = o.Revision
	logevent.Warn(b.Log, logevent.MalformedObject).Str("entry", o.Name).Int64("revision", o.Revision).Err(err).Msg("malformed object")
}
