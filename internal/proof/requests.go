package proof

import "strings"

// requestSteps are the states of requests in which each fault is applied, as the test names them.
var requestSteps = []string{"before it is sent", "sent", "answering", "ending"}

// wireFaults are the faults that a network, or a process that is killed or stopped, causes on a hop.
var wireFaults = []string{
	"cut", "silent up", "silent down", "silent both ways", "half-open", "killed", "frozen", "frozen and resumed",
}

// requestHops are the hops between processes.
var requestHops = []string{"entry-agent", "agent-upstream"}

// requestCells are the cells of the concern Requests.
var requestCells = append(append(wireFaultCells(), answerCells...), lifecycleCells...)

// wireFaultCells returns the cells of TestRequestsUnderFaults.
func wireFaultCells() []Cell {
	var faults []string
	for _, hop := range requestHops {
		for _, f := range wireFaults {
			faults = append(faults, hop+" "+f)
		}
	}
	faults = append(faults, "upstream crashed", "upstream frozen", "upstream frozen and resumed", "agent restarted")
	var cells []Cell
	for _, f := range faults {
		for _, s := range requestSteps {
			name := strings.ReplaceAll("TestRequestsUnderFaults/"+f+"/"+s, " ", "_")
			cells = append(cells, Cell{Concern: Requests, Fault: f, Step: s, Tests: []string{name}})
		}
	}
	return cells
}

// answerCells are the cells of faulty answers.
var answerCells = []Cell{
	{Concern: Requests, Fault: "answer crossed, late, doubled, garbled or cut", Step: "between agent and entry", Tests: []string{"TestTamperedAnswersAreDetected"}},
	{Concern: Requests, Fault: "answer cut or without an end", Step: "at the upstream", Tests: []string{"TestPlainAnswersAreForwardedUnchanged", "TestEngineStreamWithoutEndEventIsContinued"}},
	{Concern: Requests, Fault: "answer of mixed weights", Step: "ending", Tests: []string{"TestAnswerWithOtherWeightsIsRefused"}},
	{Concern: Requests, Fault: "answer cut", Step: "towards an HTTP/1.0 caller", Tests: []string{"TestHTTP10ConnectionIsResetOnIncompleteAnswer"}},
	{Concern: Requests, Fault: "503 of an engine", Step: "sent", Tests: []string{"TestEngine503MeansNotRunOnlyForDefinedErrors"}},
	{Concern: Requests, Fault: "kept connection closes under a call", Step: "sent", Tests: []string{"TestTransportDoesNotRepeatRunsWithoutBody"}},
	{Concern: Requests, Fault: "kept connections silent", Step: "before it is sent", Tests: []string{"TestSilentPooledConnectionsAreReplaced"}},
}

// lifecycleCells are the cells of the other faults in a request's lifecycle.
var lifecycleCells = []Cell{
	{Concern: Requests, Fault: "message late, doubled or reordered; agent restarted", Step: "any state at the agent", Tests: []string{"TestNotRunIsNeverReportedForStartedAttempt"}},
	{Concern: Requests, Fault: "any event, late ones too", Step: "any state at the entry", Tests: []string{"TestEachRequestSettlesOnceWithTrueRunStatus"}},
	{Concern: Requests, Fault: "two faults", Step: "any state", Tests: []string{"TestRequestsUnderPairsOfFaults"}},
	{Concern: Requests, Fault: "agent restarted", Step: "under a call that runs at most once", Tests: []string{"TestRestartedAgentReportsUnknownOutcome"}},
	{Concern: Requests, Fault: "entry killed", Step: "answering", Tests: []string{"TestRunIsCancelledWhenEntryIsLost"}},
	{Concern: Requests, Fault: "entry killed", Step: "receiving the body", Tests: []string{"TestInterruptedUploadNeverRuns"}},
	{Concern: Requests, Fault: "entry killed", Step: "sent", Open: "the caller resends on another entry: only the demo does so, no test of this concern"},
	{Concern: Requests, Fault: "caller gone", Step: "answering", Tests: []string{"TestCallerDisconnectCancelsRun"}},
	{Concern: Requests, Fault: "caller gone", Step: "receiving the body", Tests: []string{"TestInterruptedUploadNeverRuns"}},
	{Concern: Requests, Fault: "caller stops reading", Step: "answering", Open: "cut after 30 s without progress; no test waits so long"},
	{Concern: Requests, Fault: "deadline passes", Step: "sent", Tests: []string{"TestDeadlineEndsAttemptWithTrueRunStatus"}},
	{Concern: Requests, Fault: "body over the limit", Step: "receiving the body", Tests: []string{"TestOversizedChunkedBodyNeverRuns"}},
	{Concern: Requests, Fault: "request crashes upstreams", Step: "alone, resent to one entry", Tests: []string{"TestCrashingRequestIsQuarantinedAfterTwoUpstreams"}},
	{Concern: Requests, Fault: "request crashes upstreams", Step: "resent through several entries", Tests: []string{"TestResentCrashingRequestCrashesAtMostTwoUpstreams"}},
	{Concern: Requests, Fault: "request crashes upstreams", Step: "sent through several entries at once", Tests: []string{"TestConcurrentCrashingRequestsAreBoundedByEntries"}},
	{Concern: Requests, Fault: "request crashes upstreams", Step: "with bystanders", Tests: []string{"TestCrashDoesNotFailOtherRequestsInFlight"}},
	{Concern: Requests, Fault: "request crashes upstreams", Step: "by a part of its prompt, no two requests alike", Open: "each such request crashes up to two; the interface lists no parts; not tested"},
	{Concern: Requests, Fault: "request crashes upstreams", Step: "entries cut off from each other", Open: "each part loses up to two; not tested"},
	{Concern: Requests, Fault: "connection cut, no crash", Step: "answering", Tests: []string{"TestConnectionFailureIsNotCountedAsCrash"}},
	{Concern: Requests, Fault: "slow engine", Step: "answering", Tests: []string{"TestIdleEventStreamGetsKeepaliveComments"}},
}
