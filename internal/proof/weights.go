package proof

import "strings"

// weightSteps are the times in a burst at which a fault is injected. The suffix is part of the subtest's name.
var weightSteps = []struct{ step, suffix string }{
	{"before the first chunk", "0s"},
	{"early in the transfer", "192ms"},
	{"in the middle of the transfer", "960ms"},
}

// weightFaults are the faults that are injected alone at each step and in all pairs, with further tests of each.
var weightFaults = []struct {
	fault     string
	moreTests []string
}{
	{"chunk corrupt once", []string{"TestCorruptChunkIsNotStored"}},
	{"chunks always corrupt from one peer", []string{"TestCorruptPeerIsDistrusted"}},
	{"chunk always corrupt from the source for a while", []string{"TestNextSourceIsAskedAfterACorruptChunk"}},
	{"version at the source changes and comes back", []string{"TestChangedSourceIsNotReportedAsCorruption"}},
	{"delegate dies", nil},
	{"delegate freezes for a while", nil},
	{"delegate freezes for good", nil},
	{"link of a host stalls", []string{"TestStalledFetchIsHedged"}},
	{"a quarter of the hosts die", []string{"TestOriginTrafficIsBoundedWhenHostsDie"}},
	{"a place is cut and returns", nil},
	{"store refuses for rate", []string{"TestRateLimitedStoreFallsBackToTheOrigin"}},
	{"origin down for a while", []string{"TestUnavailableOriginIsRetriedWithBackoff"}},
	{"new version during the burst", []string{"TestSupersededTransferIsCancelled"}},
	{"agent restarts", []string{"TestRestartedHostFetchesFromPeers"}},
	{"origin fetchers die", nil},
}

// weightCells are the cells of the concern Weights.
var weightCells = append(burstCells(), []Cell{
	{Concern: Weights, Fault: "place cut off for good, the origin in reach", Step: "whole transfer", Tests: []string{"TestPartitionedDataCentreFetchesFromOrigin"}},
	{Concern: Weights, Fault: "rolled back", Step: "in the middle of the transfer", Tests: []string{"TestRollbackInTheMiddle", "TestRetiredVersionKeepsSharedChunks", "TestVersionWantedAgainIsNotRetired"}},
	{Concern: Weights, Fault: "chunk memory too small", Step: "manifest", Tests: []string{"TestMemoryTooSmallIsReportedAndRetried", "TestManifestThatDoesNotFitReportsItsCode"}},
	{Concern: Weights, Fault: "chunk memory too small", Step: "chunk", Tests: []string{"TestFullMemoryRejectsChunks"}},
	{Concern: Weights, Fault: "source corrupt, changed or away for good", Step: "whole transfer", Tests: []string{"TestBlockedBurstReportsCode"}},
	{Concern: Weights, Fault: "peer takes a chunk and sends nothing", Step: "chunk", Tests: []string{"TestCancelEndsAStuckFetch"}},
	{Concern: Weights, Fault: "peer asks for a chunk and stops reading", Step: "upload", Tests: []string{"TestUploadEndsWhenThePeerStopsReading"}},
	{Concern: Weights, Fault: "more peers ask than the link carries", Step: "upload", Tests: []string{"TestUploadsAreBounded", "TestUploadWaitsForItsSlot"}},
	{Concern: Weights, Fault: "live requests get slower", Step: "whole transfer", Tests: []string{"TestTransfersYield", "TestYieldEndsWhenItDoesNotHelp"}},
	{Concern: Weights, Fault: "neighbour does not answer", Step: "announcement", Tests: []string{"TestHelloIsRepeatedToASilentPeer"}},
}...)

// burstCells returns the cells of each fault alone at each step, and of each pair of faults.
func burstCells() []Cell {
	var cells []Cell
	for i, f := range weightFaults {
		name := strings.ReplaceAll(f.fault, " ", "_")
		for _, s := range weightSteps {
			tests := append([]string{"TestFaultAlone/" + name + "_at_" + s.suffix}, f.moreTests...)
			cells = append(cells, Cell{Concern: Weights, Fault: f.fault, Step: s.step, Tests: tests})
		}
		for _, other := range weightFaults[i+1:] {
			pair := name + "_and_" + strings.ReplaceAll(other.fault, " ", "_")
			cells = append(cells, Cell{
				Concern: Weights, Fault: f.fault + ", and " + other.fault, Step: "early in the transfer, both",
				Tests: []string{"TestFaultsInPairs/" + pair},
			})
		}
	}
	return cells
}
