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
	{Concern: Orders, Fault: "answer lost after the effect", Step: stepIncarnation, Tests: []string{"TestLostIncarnationAnswer/checked", "TestLostIncarnationAnswer/ignored", "TestAtMostOneProcessMaySendOrders"}},
	{Concern: Orders, Fault: "answer lost after the effect", Step: stepSlot, Tests: []string{"TestLostSlotAnswers/checked", "TestLostSlotAnswers/ignored", "TestLostWriteAnswerIsResolvedByRead"}},
	{Concern: Orders, Fault: "answer lost after the effect", Step: stepLoad, Tests: []string{"TestLostLoadAnswer/checked", "TestLostLoadAnswer/ignored"}},
	{Concern: Orders, Fault: "platform down", Step: stepIncarnation, Tests: []string{"TestOutageBeforeTheIncarnation/checked", "TestOutageBeforeTheIncarnation/ignored"}},
	{Concern: Orders, Fault: "platform down", Step: stepSlot, Tests: []string{"TestOutageInARollout/checked", "TestOutageInARollout/ignored", "TestSlotOfDeadHolderExpires"}},
	{Concern: Orders, Fault: "platform slow", Step: stepSlot, Open: "no test with a platform that answers after seconds for long"},
	{Concern: Orders, Fault: "lease lapses while its holder is paused", Step: stepIncarnation, Tests: []string{"TestAtMostOneProcessMaySendOrders", "TestPausedHolderMustRenewLeaseBeforeOrders", "TestLateAnswerDoesNotExtendLease"}},
	{Concern: Orders, Fault: "lease lapses while its holder is paused", Step: stepSlot, Tests: []string{"TestValidSlotsNeverExceedMaxUnavailable", "TestSlotHolderDies/checked", "TestSlotHolderDies/ignored"}},
	{Concern: Orders, Fault: "lease lapses while its holder is paused", Step: stepLoad, Tests: []string{"TestPausedInTheMiddleOfAnOrder/checked", "TestPausedInTheMiddleOfAnOrder/ignored"}},
	{Concern: Orders, Fault: "lease lapses while its holder is paused", Step: stepServing, Tests: []string{"TestPausedAgentIsReplaced/checked", "TestPausedAgentIsReplaced/ignored"}},
	{Concern: Orders, Fault: "order late from a paused former agent", Step: stepLoad, Tests: []string{"TestLateOrderIsRefused/checked", "TestLateOrderIsRefused/ignored"}},
	{Concern: Orders, Fault: "order late from a paused former agent", Step: stepServing, Tests: []string{"TestLateOrderPastItsChecks/checked", "TestLateOrderPastItsChecks/ignored", "TestAnswerIsConfirmed"}},
	{Concern: Orders, Fault: "order lost", Step: stepLoad, Tests: []string{"TestLostOrder/checked", "TestLostOrder/ignored"}},
	{Concern: Orders, Fault: "order repeated", Step: stepServing, Tests: []string{"TestRepeatedOrder/checked", "TestRepeatedOrder/ignored"}},
	{Concern: Orders, Fault: "engine dies", Step: stepLoad, Tests: []string{"TestEngineDiesWhileLoading/checked", "TestEngineDiesWhileLoading/ignored"}},
	{Concern: Orders, Fault: "engine dies", Step: stepServing, Tests: []string{"TestEngineRestartLeavesService/checked", "TestEngineRestartLeavesService/ignored"}},
	{Concern: Orders, Fault: "engine dies", Step: stepDrain, Tests: []string{"TestOrders"}},
	{Concern: Orders, Fault: "engine does not answer", Step: stepServing, Tests: []string{"TestSilentEngineIsDown"}},
	{Concern: Orders, Fault: "engine does not answer", Step: stepLoad, Open: "a load that an engine neither reads nor refuses is bounded by three failed readings; only the model TestOrders loses readings in a load"},
	{Concern: Orders, Fault: "agent dies", Step: stepLoad, Tests: []string{"TestAgentDiesWhileLoading/checked", "TestAgentDiesWhileLoading/ignored"}},
	{Concern: Orders, Fault: "agent dies", Step: stepSlot, Tests: []string{"TestSlotHolderIsReplaced/checked", "TestSlotHolderIsReplaced/ignored", "TestRestartedAgentKeepsSlot"}},
	{Concern: Orders, Fault: "agent dies", Step: stepServing, Tests: []string{"TestRestartedAgentAdopts/checked", "TestRestartedAgentAdopts/ignored"}},
	{Concern: Orders, Fault: "two agents of one host", Step: stepIncarnation, Tests: []string{"TestAtMostOneProcessMaySendOrders", "TestNewHolderWaitsForFormerOrders"}},
	{Concern: Orders, Fault: "version changes", Step: stepLoad, Tests: []string{"TestVersionChangesWhileLoading/checked", "TestVersionChangesWhileLoading/ignored"}},
	{Concern: Orders, Fault: "version rolled back", Step: stepSlot, Tests: []string{"TestRollbackInTheMiddle/checked", "TestRollbackInTheMiddle/ignored"}},
	{Concern: Orders, Fault: "version rolled back", Step: stepDrain, Tests: []string{"TestOrders"}},
	{Concern: Orders, Fault: "request longer than the drain's bound", Step: stepDrain, Tests: []string{"TestDrainCutsNothing/checked", "TestDrainCutsNothing/ignored"}},
	{Concern: Orders, Fault: "chunk missing from the set", Step: stepLoad, Tests: []string{"TestOrders"}},
	{Concern: Orders, Fault: "none", Step: "a rollout in waves", Tests: []string{"TestRolloutInWaves/checked", "TestRolloutInWaves/ignored"}},
	{Concern: Orders, Fault: "none", Step: "a change of role", Tests: []string{"TestRoleRollsOut/checked", "TestRoleRollsOut/ignored"}},
	{Concern: Orders, Fault: "none", Step: "a change of adapter", Tests: []string{"TestAdapterRollsOut/checked", "TestAdapterRollsOut/ignored"}},
	{Concern: Orders, Fault: "host suspended as a whole", Step: stepIncarnation, Open: "the monotonic clock of a suspended machine stands still; only the pin protects then, and no test suspends a machine"},
}
