package catalog_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/storerev"
)

// answered returns an answer to a watch of a topic as of a time and a revision.
func answered(topic catalog.Topic, asOf time.Duration, revision storerev.Revision) catalog.StoreAnswered {
	return catalog.StoreAnswered{Topic: topic, AsOf: begin.Add(asOf), Revision: revision, Watched: true}
}

func number(n int64) storerev.Revision { return storerev.Revision{Era: 1, Number: n} }

// watchedVersion is the activation of version 2 at revision 50, from a watch.
var watchedVersion = catalog.VersionActivated{Model: "m", Version: 2, Revision: number(50), Way: catalog.Watched}

// countedFrom plays events, each at its time, and returns from when version 2 counts.
func countedFrom(s *catalog.State, inputs ...step.Input) time.Duration {
	for _, in := range inputs {
		s.Reduce(in)
	}
	return s.Versions["m"].ActivatedAt.Sub(begin)
}

// TestVersionAfterAFailureCountsFromTheLastProof guards against a version that counts from its receipt although calls failed since the store
// was last known not to have it. Answers on other topics prove it as well; one as of a later revision proves nothing.
func TestVersionAfterAFailureCountsFromTheLastProof(t *testing.T) {
	got := countedFrom(catalog.NewState(),
		at(time.Second, answered(catalog.VersionTopic, time.Second, number(40))),
		at(2*time.Second, catalog.StoreFailed{}),
		at(3*time.Second, answered(catalog.ManifestTopic, 3*time.Second, number(49))),
		at(4*time.Second, answered(catalog.UpstreamTopic, 4*time.Second, number(50))),
		at(5*time.Second, answered(catalog.VersionTopic, 5*time.Second, number(51))),
		at(5*time.Second, watchedVersion))
	require.Equal(t, 3*time.Second, got)
}

// TestVersionAfterAnOutageCountsFromItsEnd guards against versions that count as active since before an outage during which nothing could
// be activated, so that engines with the old one stand idle at once.
func TestVersionAfterAnOutageCountsFromItsEnd(t *testing.T) {
	got := countedFrom(catalog.NewState(),
		at(time.Second, answered(catalog.VersionTopic, time.Second, number(40))),
		at(5*time.Second, catalog.StoreFailed{SentAt: begin.Add(4 * time.Second), Lost: true}),
		at(9*time.Second, catalog.StoreFailed{SentAt: begin.Add(8 * time.Second), Lost: true}),
		at(9*time.Second, answered(catalog.VersionTopic, 9*time.Second, number(51))),
		at(9*time.Second, watchedVersion))
	require.Equal(t, 8*time.Second, got)
}

// TestRejectedCallsMakeNoVersionYounger guards against a version that counts from a call which the store rejected because of a limit, or cut
// off while it waited: neither shows that the store was disturbed.
func TestRejectedCallsMakeNoVersionYounger(t *testing.T) {
	got := countedFrom(catalog.NewState(),
		at(time.Second, answered(catalog.VersionTopic, time.Second, number(40))),
		at(5*time.Second, catalog.StoreFailed{SentAt: begin.Add(4 * time.Second)}),
		at(6*time.Second, answered(catalog.VersionTopic, 6*time.Second, number(51))),
		at(6*time.Second, watchedVersion))
	require.Equal(t, time.Second, got)
}

// TestVersionInTimeCountsFromItsReceiptAgainAfterAFailure guards against a failure that makes all later versions count as older than they are.
func TestVersionInTimeCountsFromItsReceiptAgainAfterAFailure(t *testing.T) {
	got := countedFrom(catalog.NewState(),
		at(time.Second, catalog.StoreFailed{}),
		at(2*time.Second, answered(catalog.VersionTopic, 2*time.Second, number(40))),
		at(4*time.Second, answered(catalog.VersionTopic, 4*time.Second, number(51))),
		at(4*time.Second, watchedVersion))
	require.Equal(t, 4*time.Second, got)
}

// TestDelayedAnswerDoesNotTellTheAge guards against a process that stood still and counts a version from the moment at which it went on.
func TestDelayedAnswerDoesNotTellTheAge(t *testing.T) {
	late := answered(catalog.VersionTopic, 2*time.Second, number(51))
	late.Delayed = true
	got := countedFrom(catalog.NewState(), at(time.Second, answered(catalog.VersionTopic, time.Second, number(40))), at(9*time.Second, late), at(9*time.Second, watchedVersion))
	require.Equal(t, time.Second, got)
}

// TestAssumedAgeOfAnotherProcessIsBoundedByOwnProof guards against a process that has just started, assumes that a version is old, and makes
// the whole fleet give up the version before it. A known age is taken as it is reported.
func TestAssumedAgeOfAnotherProcessIsBoundedByOwnProof(t *testing.T) {
	report := catalog.VersionActivated{Model: "m", Version: 2, Revision: number(50), Age: 7 * time.Second, Assumed: true}
	s := catalog.NewState()
	got := countedFrom(s, at(3*time.Second, answered(catalog.VersionTopic, 3*time.Second, number(40))), at(4*time.Second, report))
	require.Equal(t, 3*time.Second, got)
	report.Age, report.Assumed = 500*time.Millisecond, false
	require.Equal(t, 3500*time.Millisecond, countedFrom(s, at(4*time.Second, report)))
}

// TestRestoredStoreProvesNothingAtFirst guards against a version that counts as new because a restored store had lost it, and had answered
// without it until the operator wrote it again.
func TestRestoredStoreProvesNothingAtFirst(t *testing.T) {
	again := watchedVersion
	again.Revision = storerev.Revision{Era: 2, Number: 30}
	got := countedFrom(catalog.NewState(),
		at(time.Second, answered(catalog.VersionTopic, time.Second, number(40))),
		at(2*time.Second, answered(catalog.ManifestTopic, 2*time.Second, number(48))),
		at(5*time.Second, answered(catalog.VersionTopic, 5*time.Second, storerev.Revision{Era: 2, Number: 20})),
		at(7*time.Second, answered(catalog.VersionTopic, 7*time.Second, storerev.Revision{Era: 2, Number: 31})),
		at(7*time.Second, again))
	require.Equal(t, time.Second, got)
}

// TestVersionAfterAStartInAnOutageCountsFromTheList guards against a process that starts while the store is disturbed and counts a version
// from its receipt, although nothing but its first list shows when the version was not active yet.
func TestVersionAfterAStartInAnOutageCountsFromTheList(t *testing.T) {
	got := countedFrom(catalog.NewState(),
		at(time.Second, catalog.StoreFailed{}),
		at(2*time.Second, catalog.StoreAnswered{Topic: catalog.VersionTopic, AsOf: begin.Add(2 * time.Second), Revision: number(40)}),
		at(4*time.Second, answered(catalog.VersionTopic, 3*time.Second, number(51))),
		at(4*time.Second, watchedVersion))
	require.Equal(t, 2*time.Second, got)
}
