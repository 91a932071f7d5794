package storewatch

import (
	"github.com/rs/zerolog"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/storerev"
	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/platform"
)

// manifestName is the name of the object that holds the configuration manifest in force.
const manifestName = "main"

// Decoder converts objects of the store to events of package catalog. It logs and skips objects that can't be decoded, so
// that the state in force stays.
type Decoder struct {
	// Step receives the events.
	Step func(step.Event)
	Log  zerolog.Logger

	// recovery is shared by the followers.
	recovery *recovery
	// loggedRevisions holds the revision at which an object was last logged as malformed, by its name. Every list contains
	// the object again, which must not be logged again.
	loggedRevisions map[string]storerev.Revision
}

// topics are the topics of the kinds of objects.
var topics = map[string]catalog.Topic{
	platform.ConfigKind: catalog.ManifestTopic, platform.ServerKind: catalog.UpstreamTopic, platform.VersionKind: catalog.VersionTopic,
	platform.EvacuationKind: catalog.EvacuationTopic,
}

// NewDecoder returns a decoder that passes events to step. All its followers must follow the same store.
func NewDecoder(step func(step.Event), log zerolog.Logger) Decoder {
	return Decoder{Step: step, Log: log, recovery: newRecovery()}
}

// Follower returns a follower of a kind that passes the kind's events to Step.
func (d Decoder) Follower(store Store, kind string) *Follower {
	d.loggedRevisions = map[string]storerev.Revision{}
	f := &Follower{
		Store: store, Kind: kind, Wait: maxWait, Log: d.Log, recovery: d.recovery,
		OnFailure: func(ev catalog.StoreFailed) { d.Step(ev) }, OnHistoryGone: func() { d.Step(catalog.StoreHistoryGone{}) },
	}
	f.OnResponse = func(ev catalog.StoreAnswered) {
		ev.Topic = topics[kind]
		d.Step(ev)
	}
	switch kind {
	case platform.ConfigKind:
		f.OnList, f.OnChanges = func(_ storerev.Revision, o []platform.Object) { d.manifestsChanged(o) }, d.manifestsChanged
	case platform.ServerKind:
		f.OnList, f.OnChanges = d.upstreamsListed, d.upstreamsChanged
	case platform.VersionKind:
		f.OnList, f.OnChanges = d.versionsListed, d.versionsChanged
	case platform.EvacuationKind:
		f.OnList, f.OnChanges = d.evacuationsListed, d.evacuationsChanged
	}
	return f
}

func (d Decoder) manifestsChanged(objects []platform.Object) {
	for _, o := range objects {
		if o.Name != manifestName || o.Deleted {
			continue
		}
		m, err := platform.DecodeManifest(o.Spec)
		if err != nil {
			d.logMalformed(o, err)
			continue
		}
		d.Step(catalog.ManifestRead{Revision: o.Revision, Manifest: m})
	}
}

func (d Decoder) upstreamsListed(revision storerev.Revision, objects []platform.Object) {
	var list []*catalog.Upstream
	var malformed []platform.Object
	for _, o := range objects {
		u, err := platform.DecodeUpstream(o)
		if err != nil {
			d.logMalformed(o, err)
			malformed = append(malformed, o)
			continue
		}
		list = append(list, u)
	}
	d.Step(catalog.UpstreamsListed{Revision: revision, Upstreams: list})
	for _, o := range malformed {
		d.Step(catalog.UpstreamUnreadable{ID: o.Name, Revision: o.Revision})
	}
	d.Step(catalog.TopicListed{Topic: catalog.UpstreamTopic})
}

func (d Decoder) upstreamsChanged(objects []platform.Object) {
	for _, o := range objects {
		if o.Deleted {
			d.Step(catalog.UpstreamRemoved{ID: o.Name, Revision: o.Revision})
			continue
		}
		u, err := platform.DecodeUpstream(o)
		if err != nil {
			d.logMalformed(o, err)
			d.Step(catalog.UpstreamUnreadable{ID: o.Name, Revision: o.Revision})
			continue
		}
		d.Step(catalog.UpstreamChanged{Upstream: u})
	}
}

func (d Decoder) versionsListed(_ storerev.Revision, objects []platform.Object) {
	d.stepVersions(objects, catalog.Listed)
	d.Step(catalog.TopicListed{Topic: catalog.VersionTopic})
}

func (d Decoder) versionsChanged(objects []platform.Object) { d.stepVersions(objects, catalog.Watched) }

func (d Decoder) stepVersions(objects []platform.Object, way catalog.Way) {
	for _, o := range objects {
		if o.Deleted {
			continue
		}
		v, err := platform.DecodeVersion(o)
		if err != nil {
			d.logMalformed(o, err)
			continue
		}
		v.Way = way
		d.Step(v)
	}
}

// evacuationsListed reports the data centres that are being evacuated. Each object is named after a data centre; its
// content is not used.
func (d Decoder) evacuationsListed(revision storerev.Revision, objects []platform.Object) {
	ev := catalog.EvacuationsListed{Revision: revision}
	for _, o := range objects {
		if o.Name != "" {
			ev.DataCentres = append(ev.DataCentres, o.Name)
		}
	}
	d.Step(ev)
	d.Step(catalog.TopicListed{Topic: catalog.EvacuationTopic})
}

func (d Decoder) evacuationsChanged(objects []platform.Object) {
	for _, o := range objects {
		switch {
		case o.Name == "":
		case o.Deleted:
			d.Step(catalog.EvacuationEnded{DataCentre: o.Name, Revision: o.Revision})
		default:
			d.Step(catalog.EvacuationStarted{DataCentre: o.Name, Revision: o.Revision})
		}
	}
}

// maxLoggedRevisions is the maximum number of malformed objects whose logged revision is remembered.
const maxLoggedRevisions = 1000

// logMalformed logs an object that can't be decoded, once for each of its revisions.
func (d Decoder) logMalformed(o platform.Object, err error) {
	if revision, known := d.loggedRevisions[o.Name]; known && revision == o.Revision {
		return
	}
	if len(d.loggedRevisions) >= maxLoggedRevisions {
		clear(d.loggedRevisions)
	}
	d.loggedRevisions[o.Name] = o.Revision
	logevent.Warn(d.Log, logevent.MalformedObject).Str("entry", o.Name).Int64("era", o.Revision.Era).Int64("revision", o.Revision.Number).Err(err).Msg("malformed object")
}
