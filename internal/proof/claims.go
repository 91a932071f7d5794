package proof

import "strings"

// claimSteps are the steps of a claim at the owner of its partition, as TestCallRunsOnceWhenAFaultHitsItsClaim names them.
var claimSteps = []string{
	"before the head is read", "after the head is read", "before the head is written", "after the head is written",
}

// claimFaults are the faults that are injected at these steps.
var claimFaults = []string{
	"connection cut", "outage", "platform hangs", "platform slow", "answer lost after the effect", "another owner writes",
	"another owner is asked the same", "owner paused", "owner killed",
}

// claimCells are the cells of the concern Claims.
var claimCells = append(claimCellsByFault(), []Cell{
	{Concern: Claims, Fault: "any order of the faults of claims, clocks that differ", Step: "each step of a claim, any order",
		Tests: []string{"TestNoKeyRunsTwiceInRandomHistories"}},
	{Concern: Claims, Fault: "faults drawn with fixed seeds, callers resend through all entries", Step: "each step, under load",
		Tests: []string{"TestRandomHistoriesUnderFaultsAreConsistent"}},
	{Concern: Claims, Fault: "rate limit of the platform", Step: "claim",
		Tests: []string{"TestRateLimitRejectsClaimsImmediately", "TestRefusedWriteRejectsClaimsImmediately"}},
	{Concern: Claims, Fault: "outage of the platform", Step: "before the claim, with other requests going on",
		Tests: []string{"TestPlatformOutageRefusesOnlyKeyedCalls", "TestOutageRejectsClaimsImmediately"}},
	{Concern: Claims, Fault: "slow platform", Step: "claims that come behind a slow one",
		Tests: []string{"TestSlowPlatformRejectsFurtherClaims", "TestClaimIsNotGrantedAfterItsDeadline"}},
	{Concern: Claims, Fault: "a lost write arrives late", Step: "after its claim was given up",
		Tests: []string{"TestUncertainClaimIsNotReportedAsUnrecorded", "TestNoKeyRunsTwiceInRandomHistories"}},
	{Concern: Claims, Fault: "a claim arrives after its own release", Step: "claim", Tests: []string{"TestReleaseBlocksItsLateClaim"}},
	{Concern: Claims, Fault: "a release arrives twice or late", Step: "after another request holds the key",
		Tests: []string{"TestReleasedKeyCanBeClaimedByAnotherRequest"}},
	{Concern: Claims, Fault: "a lease lapses while its holder is paused", Step: "claim",
		NotApplicable: "a partition's owner holds no lease: the head's version decides, also after a pause (owner paused)"},
	{Concern: Claims, Fault: "answer lost after the effect, then an outage", Step: "claim", Tests: []string{"TestClaimThatMayBeRecordedIsReleased"}},
	{Concern: Claims, Fault: "owner paused for long", Step: "claims of its partition", Tests: []string{"TestUnresponsiveOwnerIsBypassed", "TestPausedOwnerLosesTheConditionalWrite"}},
	{Concern: Claims, Fault: "outage of the platform", Step: "recording of the outcome, for long", Tests: []string{"TestSettlementIsRetriedThroughAnOutage"}},
	{Concern: Claims, Fault: "entry killed", Step: "while its claimed call runs", Tests: []string{"TestCallOfACrashedEntryIsNotRunAgain"}},
	{Concern: Claims, Fault: "all entries replaced", Step: "after the run", Tests: []string{"TestNewOwnerReadsTheRecordsOfEarlierOwners", "TestNewOwnerLoadsALargePartition"}},
	{Concern: Claims, Fault: "upstream's answer lost after the run", Step: "run, with a key or without, with a body or without",
		Tests: []string{"TestCallWithLostAnswerIsNotRepeated", "TestTransportDoesNotRetryRequests"}},
	{Concern: Claims, Fault: "caller resends through other entries", Step: "before, during and after the run",
		Tests: []string{"TestConcurrentUseOfOneKeyRunsOnce", "TestRepeatDuringRunIsRefusedThenReplayed", "TestRepeatedKeyReplaysStoredAnswer"}},
	{Concern: Claims, Fault: "key used for another request", Step: "claim", Tests: []string{"TestKeyReuseForAnotherRequestIsRefused"}},
	{Concern: Claims, Fault: "key past the retention, or ahead of time", Step: "claim",
		Tests: []string{"TestKeysOutsideRetentionAreRefused", "TestRecordsAreSealedAndSweptAfterRetention"}},
	{Concern: Claims, Fault: "too many keys without a time", Step: "claim", Tests: []string{"TestUntimedRecordsAreBounded"}},
	{Concern: Claims, Fault: "platform restored from an old backup", Step: "after the run", Tests: []string{"TestCallRunsOnceThoughItsClaimIsLostByARestore", "TestKeysFromBeforeARestoreAreNotGranted", "TestUntimedKeysAreRefusedForTheTimeOfResendsAfterARestore"}},
	{Concern: Claims, Fault: "platform restored from an old backup", Step: "a write of the head that was sent before and arrives after",
		Open: "its condition is a bare number on the wire, which the restored platform may have given to another write of that head"},
	{Concern: Claims, Fault: "entry or owner stopped by SIGSTOP as a process", Step: "each step of a claim",
		Open: "pauses are played inside one test process (owner paused); with real processes only trials were made"},
	{Concern: Claims, Fault: "a process dies between a segment and its head", Step: "sealing",
		Open: "the segment stays as waste: nothing looks for segments that no head names"},
}...)

func claimCellsByFault() []Cell {
	var cells []Cell
	for _, fault := range claimFaults {
		for _, step := range claimSteps {
			cells = append(cells, Cell{Concern: Claims, Fault: fault, Step: "claim, " + step, Tests: []string{claimSubtest("TestCallRunsOnceWhenAFaultHitsItsClaim", fault, step)}})
		}
		for _, step := range claimSteps[2:] {
			cells = append(cells, Cell{Concern: Claims, Fault: fault, Step: "recording of the outcome, " + step, Tests: []string{claimSubtest("TestCallRunsOnceWhenAFaultHitsItsSettlement", fault, step)}})
		}
	}
	return cells
}

// claimSubtest returns the name of a subtest as `go test` prints it.
func claimSubtest(test, fault, step string) string {
	return test + "/" + strings.ReplaceAll(fault+"/"+step, " ", "_")
}
