// Package proof holds the fault matrix: each fault that the users name against each step of the work, with the
// test that proves that it is handled, or the reason why there is none. `cmd/proofs` prints docs/PROOFS.md from
// it and from the output of a test run, so that a cell counts as proved only when its tests passed in that run.
package proof

// Concern groups the cells of one matter.
type Concern string

// The concerns.
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
	// Step is when it fails.
	Step string
	// Tests are names of top-level Go tests (TestX) or of subtests (TestX/case) that prove the cell. Empty when
	// the cell is not proved or not applicable.
	Tests []string
	// NotApplicable says why the fault can't happen at the step; empty otherwise.
	NotApplicable string
	// Open says what is missing when the cell is not proved.
	Open string
}

// Matrix returns every cell, in the order of the concerns.
func Matrix() []Cell { return append(Product(), OnPlatform()...) }

// Product returns the cells of the product's own path.
func Product() []Cell {
	var cells []Cell
	for _, part := range [][]Cell{requestCells, claimCells, routingCells, weightCells, orderCells, settingCells, shellCells} {
		cells = append(cells, part...)
	}
	return cells
}

// OnPlatform returns the cells of the users' platform.
func OnPlatform() []Cell { return platformCells }
