// Package proof holds the fault matrix: for each fault that the users name and each step of the work, the test that proves that the fault is handled,
// or the reason why there is none. `cmd/proofs` generates docs/PROOFS.md from the matrix and the output of a test run. A cell counts as proved only
// if its tests passed in that run.
package proof

// Concern is a group of related cells.
type Concern string

// Concerns of the matrix.
const (
	Requests Concern = "requests"
	Claims   Concern = "at most once"
	Routing  Concern = "routing and limits"
	Weights  Concern = "weights"
	Orders   Concern = "orders and rollouts"
	Settings Concern = "settings and membership"
	Shell    Concern = "processes and messages"
	Platform Concern = "the users' platform"
)

// Cell is one fault at one step.
type Cell struct {
	Concern Concern
	// Fault is what fails, in the users' words where they name it.
	Fault string
	// Step is the step at which it fails.
	Step string
	// Tests are the names of top-level Go tests (TestX) or of subtests (TestX/case) that prove the cell. It is empty if the cell is not proved or not
	// applicable.
	Tests []string
	// NotApplicable is the reason why the fault can't happen at the step; otherwise empty.
	NotApplicable string
	// Open describes what is missing if the cell is not proved.
	Open string
}

// Matrix returns all cells, ordered by concern.
func Matrix() []Cell { return append(ProductCells(), PlatformCells()...) }

// ProductCells returns the cells of the product's own path.
func ProductCells() []Cell {
	var cells []Cell
	for _, part := range [][]Cell{requestCells, claimCells, routingCells, weightCells, orderCells, settingCells, shellCells} {
		cells = append(cells, part...)
	}
	return cells
}

// PlatformCells returns the cells of the users' platform.
func PlatformCells() []Cell { return platformCells }
