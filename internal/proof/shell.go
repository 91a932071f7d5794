package proof

// shellCells are the cells of the concern Shell.
var shellCells = []Cell{
	{Concern: Shell, Fault: "settings that are unknown, bad or clash", Step: "start of an entry", Tests: []string{"TestInvalidFlagsOfEntriesAreRejected", "TestUnknownOrInvalidVariableIsRejected", "TestCheckNamesIncompleteTLSFilesAndMissingSecret"}},
	{Concern: Shell, Fault: "settings that are unknown, bad or clash", Step: "start of an agent", Tests: []string{"TestInvalidFlagsOfAgentsAreRejected", "TestUnknownOrInvalidVariableIsRejected", "TestCheckNamesIncompleteTLSFilesAndMissingSecret"}},
	{Concern: Shell, Fault: "malformed or too large input", Step: "head of a caller's request", Tests: []string{"TestMalformedRequestsAreIsolated/MalformedRequests", "TestMalformedRequestsAreIsolated/MalformedHeads", "TestCheckRefusesOversizedOrMalformedRequests"}},
	{Concern: Shell, Fault: "malformed or too large input", Step: "body of a caller's request", Tests: []string{"TestMalformedRequestsAreIsolated/BrokenConnections"}},
	{Concern: Shell, Fault: "malformed or too large input", Step: "control message", Tests: []string{"TestMalformedCallFailsAlone", "TestOversizedOrMalformedMessageClosesOnlyItsConnection", "FuzzReadObject"}},
	{Concern: Shell, Fault: "malformed or too large input", Step: "envelope or frame between entry and agent", Tests: []string{"FuzzReader", "FuzzParseEnvelope"}},
	{Concern: Shell, Fault: "malformed or too large input", Step: "manifest", Tests: []string{"TestParseRejectsInvalidFields", "FuzzParse"}},
	{Concern: Shell, Fault: "a link stalls", Step: "body of a caller's request", Tests: []string{"TestStalledBodyFailsWithCode", "TestBodyInPartsArrives", "TestPaceRefusesSlowBodiesOnly"}},
	{Concern: Shell, Fault: "a link stalls", Step: "answer to a caller", Tests: []string{"TestWriteToStalledReaderTimesOut", "TestStreamWithLongPausesIsNotCut"}},
	{Concern: Shell, Fault: "a fault of the program (panic)", Step: "caller's request", Tests: []string{"TestPanicEndsOnlyItsRequest"}},
	{Concern: Shell, Fault: "a fault of the program (panic)", Step: "run on an upstream", Tests: []string{"TestPanicFailsOnlyItsRun"}},
	{Concern: Shell, Fault: "a fault of the program (panic)", Step: "control message", Tests: []string{"TestPanicIsContained"}},
	{Concern: Shell, Fault: "a fault of the program (panic)", Step: "reading the platform, transfer of a chunk, commit of a claim", Open: "ends the process; hosts fail in any case, and a successor takes over"},
	{Concern: Shell, Fault: "a stranger", Step: "orders through callers' addresses", Tests: []string{"TestCallersCannotControlTheSystem", "TestForSystemRecognizesAllSpellingsOfAPath", "TestStripRemovesSystemAndHopByHopHeaders"}},
	{Concern: Shell, Fault: "a stranger", Step: "peers' and operators' addresses", Tests: []string{"TestMalformedRequestsAreIsolated/PeersWantTheSecret"}},
	{Concern: Shell, Fault: "a stranger", Step: "connection between processes, with mutual TLS", Tests: []string{"TestMutualTLSRequiresSameAuthority"}},
	{Concern: Shell, Fault: "a secret or certificate is replaced", Step: "while processes talk", Tests: []string{"TestOnlyCurrentAndPreviousSecretAreAccepted", "TestMutualTLSRequiresSameAuthority"}},
	{Concern: Shell, Fault: "what is measured grows without bound", Step: "labels of metrics", Tests: []string{"TestSeriesBeyondTheMaximumCountUnderOther", "TestMetricsCountAnsweredAndRefusedRequests"}},
}
