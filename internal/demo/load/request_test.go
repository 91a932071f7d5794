package load

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"samphireweir.example/samphireweir/internal/demo/ledger"
)

func plan(kind ledger.Kind, seed uint64, count int) []request {
	planner := newPlanner(kind, seed, 1, 2)
	requests := make([]request, 0, count)
	for range count {
		requests = append(requests, planner.next())
	}
	return requests
}

// TestSameSeedPlansTheSameRequests guards against runs that can't be repeated because the requests don't depend on the
// seed alone.
func TestSameSeedPlansTheSameRequests(t *testing.T) {
	for _, kind := range []ledger.Kind{ledger.Lookup, ledger.Submission, ledger.Generation} {
		assert.Equal(t, plan(kind, 7, 50), plan(kind, 7, 50))
		assert.NotEqual(t, plan(kind, 7, 50), plan(kind, 8, 50))
	}
}

// TestSubmissionsHaveUniqueKeysAndSomeAreResent guards against submissions that share an idempotency key, and against a
// load without resends, which would never exercise the idempotency of the product.
func TestSubmissionsHaveUniqueKeysAndSomeAreResent(t *testing.T) {
	keys := map[string]bool{}
	resends := map[resend]int{}
	for _, planned := range plan(ledger.Submission, 1, 2000) {
		keys[planned.key] = true
		resends[planned.resend]++
	}
	assert.Len(t, keys, 2000)
	assert.InDelta(t, 100, resends[resendConcurrently]+resends[resendAfterResponse], 40)
	assert.Positive(t, resends[resendConcurrently])
	assert.Positive(t, resends[resendAfterResponse])
}

// TestResendKeepsKeyAndBodyAndChangesEntry guards against a resend that the product can't recognise by its key, that goes
// through the same entry, or that is sent again itself.
func TestResendKeepsKeyAndBodyAndChangesEntry(t *testing.T) {
	first := plan(ledger.Submission, 1, 1)[0]
	first.resend = resendAfterResponse
	second := first.asResend(2)
	assert.Equal(t, first.key, second.key)
	assert.Equal(t, first.body, second.body)
	assert.NotEqual(t, first.entry, second.entry)
	assert.NotEqual(t, first.id, second.id)
	assert.Equal(t, noResend, second.resend)
}

// TestSharedPrefixIsLongerThanTheEnginesPrefix guards against prompts that never hit an engine's prefix cache, which
// compares the first 256 characters.
func TestSharedPrefixIsLongerThanTheEnginesPrefix(t *testing.T) {
	assert.GreaterOrEqual(t, len(sharedPrefix(0)), 256)
	assert.NotEqual(t, sharedPrefix(0)[:256], sharedPrefix(1)[:256])
}

// TestLookupsAreReads guards against lookups that are not plain reads because they have a body, a key or another
// method than GET.
func TestLookupsAreReads(t *testing.T) {
	for _, planned := range plan(ledger.Lookup, 1, 20) {
		assert.Equal(t, http.MethodGet, planned.method)
		assert.Empty(t, planned.key)
		assert.Nil(t, planned.body)
	}
}
