package proof

// Steps in the lifecycle of an order.
const (
	stepIncarnation = "taking the incarnation"
	stepSlot        = "taking or giving back a slot"
	stepDrain       = "draining"
	stepLoad        = "a load order"
	stepServing     = "serving a pinned version"
)

// orderCells are the cells of the concern Orders. Tests with the subtests checked and ignored ran on engines that check fencing numbers and on
// engines that don't.
var orderCells = []Cell{
	{Concern: Orders, Fault: "answer lost after the effect", Step: stepIncarnation, Tests: []string{"TestIncarnationWriteWithLostResponse/checked", "TestIncarnationWriteWithLostResponse/ignored", "TestAtMostOneProcessMaySendOrders"}},
	{Concern: Orders, Fault: "answer lost after the effect", Step: stepSlot, Tests: []string{"TestSlotWritesWithLostResponses/checked", "TestSlotWritesWithLostResponses/ignored", "TestLostWriteAnswerIsResolvedByRead"}},
	{Concern: Orders, Fault: "answer lost after the effect", Step: stepLoad, Tests: []string{"TestLoadWithLostResponseIsNotRepeated/checked", "TestLoadWithLostResponseIsNotRepeated/ignored"}},
	{Concern: Orders, Fault: "platform down", Step: stepIncarnation, Tests: []string{"TestAgentStartsDuringPlatformOutage/checked", "TestAgentStartsDuringPlatformOutage/ignored"}},
	{Concern: Orders, Fault: "platform down", Step: stepSlot, Tests: []string{"TestPlatformOutageDuringRollout/checked", "TestPlatformOutageDuringRollout/ignored", "TestSlotOfDeadHolderExpires"}},
	{Concern: Orders, Fault: "platform slow", Step: stepSlot, Open: "no test with a platform that answers after seconds for long"},
	{Concern: Orders, Fault: "lease lapses while its holder is paused", Step: stepIncarnation, Tests: []string{"TestAtMostOneProcessMaySendOrders", "TestPausedHolderMustRenewLeaseBeforeOrders", "TestLateAnswerDoesNotExtendLease"}},
	{Concern: Orders, Fault: "lease lapses while its holder is paused", Step: stepSlot, Tests: []string{"TestValidSlotsNeverExceedMaxUnavailable", "TestRolloutContinuesAfterSlotExpires/checked", "TestRolloutContinuesAfterSlotExpires/ignored"}},
	{Concern: Orders, Fault: "lease lapses while its holder is paused", Step: stepLoad, Tests: []string{"TestAgentPausedMidOrderChangesNothing/checked", "TestAgentPausedMidOrderChangesNothing/ignored"}},
	{Concern: Orders, Fault: "lease lapses while its holder is paused", Step: stepServing, Tests: []string{"TestReplacedAgentSendsNoOrders/checked", "TestReplacedAgentSendsNoOrders/ignored"}},
	{Concern: Orders, Fault: "order late from a paused former agent", Step: stepLoad, Tests: []string{"TestOrderOfReplacedAgentHasNoEffect/checked", "TestOrderOfReplacedAgentHasNoEffect/ignored"}},
	{Concern: Orders, Fault: "order late from a paused former agent", Step: stepServing, Tests: []string{"TestDelayedOrderOfReplacedAgent/checked", "TestDelayedOrderOfReplacedAgent/ignored", "TestWeightsAreVerifiedAfterRun"}},
	{Concern: Orders, Fault: "order lost", Step: stepLoad, Tests: []string{"TestLostLoadOrderIsRepeated/checked", "TestLostLoadOrderIsRepeated/ignored"}},
	{Concern: Orders, Fault: "order repeated", Step: stepServing, Tests: []string{"TestDuplicateLoadOrder/checked", "TestDuplicateLoadOrder/ignored"}},
	{Concern: Orders, Fault: "engine dies", Step: stepLoad, Tests: []string{"TestEngineCrashDuringLoadIsRetried/checked", "TestEngineCrashDuringLoadIsRetried/ignored"}},
	{Concern: Orders, Fault: "engine dies", Step: stepServing, Tests: []string{"TestRestartedEngineIsReloaded/checked", "TestRestartedEngineIsReloaded/ignored"}},
	{Concern: Orders, Fault: "engine dies", Step: stepDrain, Tests: []string{"TestAnswersMatchTheirPinsAndHostsConverge"}},
	{Concern: Orders, Fault: "engine does not answer", Step: stepServing, Tests: []string{"TestFrozenEngineReturnsWithoutLoad"}},
	{Concern: Orders, Fault: "engine does not answer", Step: stepLoad, Open: "a load that an engine neither reads nor refuses is bounded by three failed readings; only the model TestAnswersMatchTheirPinsAndHostsConverge loses readings in a load"},
	{Concern: Orders, Fault: "agent dies", Step: stepLoad, Tests: []string{"TestReplacementRepeatsUnfinishedLoad/checked", "TestReplacementRepeatsUnfinishedLoad/ignored"}},
	{Concern: Orders, Fault: "agent dies", Step: stepSlot, Tests: []string{"TestReplacementFinishesLoadOfSlotHolder/checked", "TestReplacementFinishesLoadOfSlotHolder/ignored", "TestRestartedAgentKeepsSlot"}},
	{Concern: Orders, Fault: "agent dies", Step: stepServing, Tests: []string{"TestRestartedAgentAdoptsLoadedEngine/checked", "TestRestartedAgentAdoptsLoadedEngine/ignored"}},
	{Concern: Orders, Fault: "two agents of one host", Step: stepIncarnation, Tests: []string{"TestAtMostOneProcessMaySendOrders", "TestNewHolderWaitsForFormerOrders"}},
	{Concern: Orders, Fault: "version changes", Step: stepLoad, Tests: []string{"TestLoadOfSupersededVersionIsCancelled/checked", "TestLoadOfSupersededVersionIsCancelled/ignored"}},
	{Concern: Orders, Fault: "version rolled back", Step: stepSlot, Tests: []string{"TestRollbackDuringRollout/checked", "TestRollbackDuringRollout/ignored"}},
	{Concern: Orders, Fault: "version rolled back", Step: stepDrain, Tests: []string{"TestAnswersMatchTheirPinsAndHostsConverge"}},
	{Concern: Orders, Fault: "request longer than the drain's bound", Step: stepDrain, Tests: []string{"TestDrainDoesNotAbortRequests/checked", "TestDrainDoesNotAbortRequests/ignored"}},
	{Concern: Orders, Fault: "chunk missing from the set", Step: stepLoad, Tests: []string{"TestAnswersMatchTheirPinsAndHostsConverge"}},
	{Concern: Orders, Fault: "none", Step: "a rollout in waves", Tests: []string{"TestRolloutRespectsMaxUnavailable/checked", "TestRolloutRespectsMaxUnavailable/ignored"}},
	{Concern: Orders, Fault: "none", Step: "a change of role", Tests: []string{"TestRoleChangeNeedsNoLoad/checked", "TestRoleChangeNeedsNoLoad/ignored"}},
	{Concern: Orders, Fault: "none", Step: "a change of adapter", Tests: []string{"TestAdapterChangeIsRolledOut/checked", "TestAdapterChangeIsRolledOut/ignored"}},
	{Concern: Orders, Fault: "host suspended as a whole", Step: stepIncarnation, Open: "the monotonic clock of a suspended machine stands still; only the pin protects then, and no test suspends a machine"},
}
