package loadreport_test

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/loadreport"
)

func anyRegion(string) bool { return true }

// manySets returns demand bound to n sets, and unbound demand, with long names and large numbers.
func manySets(n int) []loadreport.Demand {
	list := []loadreport.Demand{{Work: 5.123456789}}
	for i := range n {
		list = append(list, loadreport.Demand{
			Homes: []string{fmt.Sprintf("region-with-a-long-name-%d", i), "another-region"}, Work: 100.123456789 + float64(i), Waiting: 2, WaitingByPriority: []int{0, 0, 0, 0, 0, 0, 0, 0, 0, 2},
		})
	}
	return list
}

// TestDemandFitsItsPartOfADatagram guards against heartbeats and load reports that exceed the size of a datagram with many sets of homes and
// data centres, and against demand that is lost when sets are summed.
func TestDemandFitsItsPartOfADatagram(t *testing.T) {
	total := func(list []loadreport.Demand) (work float64, waiting int) {
		for _, d := range list {
			work, waiting = work+d.Work, waiting+d.Waiting
		}
		return work, waiting
	}
	for _, n := range []int{0, 1, 16, 40} {
		given := manySets(n)
		list := loadreport.FitDemand(given)
		text, err := json.Marshal(list)
		require.NoError(t, err)
		require.LessOrEqual(t, len(text), 1024)
		require.True(t, loadreport.ValidDemand(list, anyRegion))
		work, waiting := total(given)
		fittedWork, fittedWaiting := total(list)
		require.InDelta(t, work, fittedWork, .01*float64(n+1))
		require.Equal(t, waiting, fittedWaiting)
	}
	var sums []loadreport.DemandSum
	for i := range 12 {
		sums = append(sums, loadreport.SumDemand(fmt.Sprintf("data-centre-%d", i), 900, [][]loadreport.Demand{manySets(3), manySets(16)}))
	}
	require.Equal(t, 2, sums[0].Entries)
	fitted := loadreport.FitSums(sums)
	require.NotEmpty(t, fitted)
	text, err := json.Marshal(loadreport.Message{DemandSums: fitted})
	require.NoError(t, err)
	require.Less(t, len(text), 1600)
}

// TestUnusableDemandIsRecognized guards against demand from a faulty or foreign sender that enters a plan.
func TestUnusableDemandIsRecognized(t *testing.T) {
	for name, d := range map[string]loadreport.Demand{
		"negative": {Work: -1}, "not a number": {Work: math.NaN()}, "infinite": {Work: math.Inf(1)}, "too large": {Work: 1e9}, "negative count": {Waiting: -1},
		"many homes": {Homes: make([]string, 17)}, "many priorities": {WaitingByPriority: make([]int, 11)}, "negative priority": {WaitingByPriority: []int{-1}}, "unknown region": {Homes: []string{"x"}},
	} {
		known := func(region string) bool { return region != "x" }
		require.False(t, loadreport.ValidDemand([]loadreport.Demand{d}, known), name)
		require.False(t, loadreport.DemandSum{DataCentre: "a", Sets: []loadreport.Demand{d}}.Valid(known), name)
	}
	require.False(t, loadreport.ValidDemand(make([]loadreport.Demand, 18), anyRegion), "too long")
	require.False(t, loadreport.DemandSum{AgeMS: -1}.Valid(anyRegion))
	require.False(t, loadreport.DemandSum{Entries: -1}.Valid(anyRegion))
	require.True(t, loadreport.DemandSum{DataCentre: "a", Entries: 2, Sets: []loadreport.Demand{{Homes: []string{"r"}, Work: 1.5}}}.Valid(anyRegion))
}
