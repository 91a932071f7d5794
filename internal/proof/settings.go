package proof

// Steps of a setting, from its acceptance to its use.
const (
	stepAccept = "an operator's change is accepted"
	stepSpread = "the change spreads"
	stepStart  = "a process starts"
	stepReturn = "a process comes back"
	stepMember = "the list of hosts is followed"
)

// settingCells are the cells of the concern Settings.
var settingCells = []Cell{
	{Concern: Settings, Fault: "operators race on one setting", Step: stepAccept, Tests: []string{"TestConcurrentChangesAreLinearizable", "TestApplyOfAnOutdatedVersionConflicts"}},
	{Concern: Settings, Fault: "operators race on one subtree", Step: stepAccept, Tests: []string{"TestConcurrentChangesAreLinearizable"}},
	{Concern: Settings, Fault: "answer lost after the effect", Step: stepAccept, Tests: []string{"TestLostAnswerIsResolved"}},
	{Concern: Settings, Fault: "answer lost, another change on top", Step: stepAccept, Tests: []string{"TestLostAnswerBeforeALaterChangeIsResolved"}},
	{Concern: Settings, Fault: "platform down or hanging", Step: stepAccept, Tests: []string{"TestChangeFailsWhilePlatformIsDown"}},
	{Concern: Settings, Fault: "operator's mistake in a file", Step: stepAccept, Tests: []string{"TestFileErrorsNameFileFieldAndValidValue"}},
	{Concern: Settings, Fault: "operator of another team", Step: stepAccept, Tests: []string{"TestChangeOfAnotherTeamRequiresItsName"}},
	{Concern: Settings, Fault: "messages lost", Step: stepSpread, Tests: []string{"TestChangesReachAllProcessesDespiteMessageLoss"}},
	{Concern: Settings, Fault: "more settings than one message holds", Step: stepSpread, Tests: []string{"TestLargeSettingsFitIntoMessages"}},
	{Concern: Settings, Fault: "any order and repetition of messages", Step: stepSpread, Tests: []string{"TestMergeIsIndependentOfOrderAndRepetition", "TestRecordVersionsNeverDecrease"}},
	{Concern: Settings, Fault: "platform down for long", Step: stepSpread, Tests: []string{"TestPlatformCallRateIsBoundedDuringOutage"}},
	{Concern: Settings, Fault: "platform hangs, its watches among the calls", Step: stepSpread, Tests: []string{"TestProcessesRecoverFromHangingPlatform", "TestChangesPropagateAfterPlatformWasSilent"}},
	{Concern: Settings, Fault: "watch older than what the platform keeps", Step: stepSpread, Tests: []string{"TestSettingsAreListedAgainAfterWatchWindow"}},
	{Concern: Settings, Fault: "watchers die", Step: stepSpread, Tests: []string{"TestChangesPropagateAfterAllWatchersFail/die"}},
	{Concern: Settings, Fault: "watchers freeze", Step: stepSpread, Tests: []string{"TestChangesPropagateAfterAllWatchersFail/freeze"}},
	{Concern: Settings, Fault: "regions lose each other for an hour", Step: stepSpread, Tests: []string{"TestPartitionedRegionsStayReadyAndMerge"}},
	{Concern: Settings, Fault: "a process is behind the entry whose request it gets", Step: stepSpread, Tests: []string{"TestProcessThatIsBehindCatchesUp"}},
	{Concern: Settings, Fault: "place replaced at once while the platform is down", Step: stepStart, Tests: []string{"TestReplacedDataCentreStartsFromPeersDuringOutage", "TestProcessesReplacedDuringPlatformOutageBecomeReady"}},
	{Concern: Settings, Fault: "peers are behind while the platform is down", Step: stepStart, Tests: []string{"TestNewProcessIsNotReadyFromStalePeersAlone"}},
	{Concern: Settings, Fault: "nobody knows the settings while the platform is down", Step: stepStart, Tests: []string{"TestNoProcessIsReadyWithoutSettings"}},
	{Concern: Settings, Fault: "clock set back, so that an earlier life had a higher incarnation", Step: stepStart, Tests: []string{"TestRestartedHostOverridesHigherIncarnation"}},
	{Concern: Settings, Fault: "a relay with old state returns after a day", Step: stepReturn, Tests: []string{"TestReturningStaleProcessRevertsNothing/platform_up"}},
	{Concern: Settings, Fault: "a relay with old state returns while the platform is down", Step: stepReturn, Tests: []string{"TestReturningStaleProcessRevertsNothing/platform_down"}},
	{Concern: Settings, Fault: "host not listed for a while", Step: stepMember, Tests: []string{"TestRelistedHostIsKnownAgain"}},
	{Concern: Settings, Fault: "list read by several, fields in another order", Step: stepMember, Tests: []string{"TestUnchangedHostListProducesNoRecords"}},
	{Concern: Settings, Fault: "a listed host does not answer", Step: stepMember, Tests: []string{"TestChangeIsInForceAndCountedOnRealProcesses"}},
	{Concern: Settings, Fault: "clocks differ", Step: stepSpread, Tests: []string{"TestChangesReachAllProcessesDespiteMessageLoss"}},
	{Concern: Settings, Fault: "wall clock steps in a running process", Step: stepSpread, NotApplicable: "the reducers take differences of monotonic readings only; ages travel as durations, and the wall clock is written for people"},
	{Concern: Settings, Fault: "platform restored from an old backup", Step: stepSpread, Tests: []string{"TestSettingAppliedAfterRestoreOfTheObjectAPITakesEffect", "TestVersionsNeverGoBackAfterARestore"}},
	{Concern: Settings, Fault: "platform restored from an old backup", Step: "until operators write the settings again", Open: "the settings of the backup are in force meanwhile: a setting has no number of its operator's by which an older one could be told"},
	{Concern: Settings, Fault: "region without the platform gets changes for it", Step: stepSpread, NotApplicable: "a change is accepted only by the platform, so none is made on the side that can't reach it"},
}
