package proof

// platformCells are the cells of the concern Platform.
var platformCells = []Cell{
	{Concern: Platform, Fault: "an upstream declines, or another has its address", Step: "request that runs once", Tests: []string{"TestADeclinedRequestGoesToAnotherUpstream", "TestFaultsOfUpstreams/a_call_that_runs_once_survives_a_refusal", "TestFaultsOfUpstreams/and_another_upstream_at_the_address"}},
	{Concern: Platform, Fault: "an answer is lost, foreign, cut or unmarked", Step: "request that runs once", Tests: []string{"TestARequestThatMayRunOnceIsNotSentAgainAfterItMayHaveRun", "TestFaultsOfUpstreams/its_lost_answer_is_not_hidden_by_a_second_run", "TestFaultsOfUpstreams/nor_one_to_another_request", "TestFaultsOfUpstreams/nor_one_that_is_cut", "TestFaultsOfUpstreams/nor_one_without_the_upstream's_mark"}},
	{Concern: Platform, Fault: "an answer is lost, foreign, cut, or does not come", Step: "request that may run again", Tests: []string{"TestFaultsOfUpstreams/a_call_that_may_run_again_is_sent_again_after_a_loss", "TestFaultsOfUpstreams/after_silence", "TestFaultsOfUpstreams/after_an_answer_to_another_request", "TestFaultsOfUpstreams/after_one_that_is_cut"}},
	{Concern: Platform, Fault: "any ends of sends, time-outs and departures", Step: "any request", Tests: []string{"TestWhatIsSaidOfARunIsTrue"}},
	{Concern: Platform, Fault: "an engine breaks off", Step: "in the middle of an event", Tests: []string{"TestABrokenStreamGoesOnAtAnotherEngine", "TestAnotherUpstreamGoesOnWithAStream"}},
	{Concern: Platform, Fault: "a request's time ends", Step: "in the middle of a stream", Tests: []string{"TestAStreamWhoseTimeEndsIsCut", "TestAStreamWhoseTimeEndsIsCutAndNotEnded"}},
	{Concern: Platform, Fault: "a caller leaves", Step: "in the middle of a stream", Tests: []string{"TestWorkEndsWhenItsCallerLeaves"}},
	{Concern: Platform, Fault: "a service answers errors", Step: "budget of repeats over all entries", Tests: []string{"TestRepeatsStayWithinTheFleetsBudget"}},
	{Concern: Platform, Fault: "a request brings its upstreams down", Step: "at several entries", Tests: []string{"TestARequestThatBringsUpstreamsDownIsRefusedEverywhere", "TestLostAnswersMakeNoSuspect"}},
	{Concern: Platform, Fault: "an agent or its host goes quiet", Step: "choice of an engine", Tests: []string{"TestAnEngineWhoseAgentWentQuietIsTheLastResort"}},
	{Concern: Platform, Fault: "a watch is cut, silent or without history; the store is away", Step: "manifest and upstreams at an entry", Tests: []string{"TestChangesComeInForceWhateverTheWatchDoes", "TestAWatchOverASilentConnectionIsGivenUp", "TestALargeAnswerMayTakeLong"}},
	{Concern: Platform, Fault: "news arrive in another order, or twice", Step: "beliefs", Tests: []string{"TestBeliefsFollowTheStoreInAnyOrder", "TestAnOlderManifestNeverComesBack", "TestARemovedUpstreamStaysRemovedWhateverAnOlderListSays"}},
	{Concern: Platform, Fault: "entries lapse in an outage of the store", Step: "its return", Tests: []string{"TestEntriesThatLapsedInAnOutageHaveTimeToComeBack", "TestAQuietStoreIsNoOutage", "TestADrainingUpstreamThatLapsedIsGone"}},
	{Concern: Platform, Fault: "a process starts while the store is away", Step: "readiness", Tests: []string{"TestAProcessThatKnowsNothingIsNotReady"}},
	{Concern: Platform, Fault: "a planned stop", Step: "open streams and new requests", Tests: []string{"TestAGracefulShutdownCutsNothing"}},
	{Concern: Platform, Fault: "versions in quick succession", Step: "which one a request may begin on", Tests: []string{"TestEachVersionHasItsOwnTime", "TestADueVersionIsInsistedOn", "TestANewerVersionThanTheDueOneIsNamedAsItIs"}},
	{Concern: Platform, Fault: "versions in quick succession", Step: "which one an engine loads", Tests: []string{"TestAVersionThatIsSoonOvertakenIsGivenUp", "TestTheVersionThatIsDueFirstIsFinished", "TestHalfOfTheEnginesLeaveOutAnOvertakenVersion"}},
	{Concern: Platform, Fault: "a piece rots, is missing or spoilt", Step: "before an order", Tests: []string{"TestPiecesThatRotAreReplacedBeforeTheNextLoad", "TestNoOrderWithoutAFreshCheck", "TestSpoiltAnswersOfTheOriginAreNotUsed"}},
	{Concern: Platform, Fault: "an answer to an order is lost", Step: "load", Tests: []string{"TestALostAnswerToAnOrderIsSettledByReading", "TestAnOrderThatShowsNoEffectIsPreparedAnew"}},
	{Concern: Platform, Fault: "an engine or its agent ends", Step: "load", Tests: []string{"TestAnEngineThatCameBackEmptyLoadsAgain", "TestAnEngineThatLostPowerIsFilledAgain", "TestAnAgentThatIsStartedAnewTakesOverWhatLiesThere"}},
	{Concern: Platform, Fault: "kills, stops, freezes, outages and faults of upstreams by a seed", Step: "whole programs", Tests: []string{"TestSoak"}},
	{Concern: Platform, Fault: "the log's reader stops", Step: "any line", Tests: []string{"TestAStoppedReaderCostsLinesAndNoTime"}},
	{Concern: Platform, Fault: "connections are delayed, reset or silenced between entries, agents and engines", Step: "whole programs", Open: "the soak has no proxy for connections yet"},
	{Concern: Platform, Fault: "a host is suspended", Step: "between the check of pieces and the order", Open: "both clocks are compared before the order; no test suspends a host"},
}
