// Package speed predicts how long engines take for the first event of an answer, from the times that they took lately. The package is
// pure: see package step. Package forward uses it for services of model engines where the host setting uneven-engines is on.
//
// A Service learns the usual times of all engines of a service, by the number of running requests and of pending prompt tokens. A Model
// learns one engine's deviation from them. Each observation ages with a half-life of 5 s, so an engine without recent observations is
// predicted like its service.
package speed

import (
	"math"
	"time"
)

const (
	// halfLife is the time in which the weight of an observation halves.
	halfLife = 5 * time.Second
	// fixedTime and promptRate are the times that observations are divided by before they are combined: a time for any request, and
	// the prompt tokens processed per second. They only give the shape between two observations; the level is learned.
	fixedTime  = 50 * time.Millisecond
	promptRate = 30000.0
	// runningCells and pendingCells are the numbers of cells by running requests and by pending prompt tokens.
	runningCells, pendingCells = 16, 4
	// firstPendingBound is the number of pending tokens from which the second cell applies. It doubles with each further cell.
	firstPendingBound = 1500
	// maxStep bounds how far one observation moves a cell, as a natural logarithm: a factor of 1.5. A lost packet costs 0.2 s, which
	// is several times the usual time.
	maxStep = 0.4
	// maxCellWeight bounds the weight of the earlier observations of a cell, so that it follows a change of the whole service.
	maxCellWeight = 20
	// minObservations is the number of a service's observations from which it is used for predictions.
	minObservations = 5
)

// cell is the usual time at some load, as a logarithm relative to nominal.
type cell struct {
	level, weight float64
	at            time.Time
}

// Service holds the usual times of a service's engines. The zero value knows nothing.
type Service struct {
	cells [runningCells][pendingCells]cell
	count int
}

// nominal returns the time in seconds that a request would take at a usual engine without other requests.
func nominal(pendingTokens int) float64 {
	return fixedTime.Seconds() + float64(max(0, pendingTokens))/promptRate
}

// aged returns the factor by which a weight shrinks within a time.
func aged(d time.Duration) float64 {
	if d <= 0 {
		return 1
	}
	return math.Exp2(-float64(d) / float64(halfLife))
}

func runningCell(running int) int { return min(max(running, 0), runningCells-1) }

func pendingCell(pendingTokens int) int {
	i := 0
	for bound := firstPendingBound; i < pendingCells-1 && pendingTokens >= bound; bound *= 2 {
		i++
	}
	return i
}

// observe adds one engine's time, as a logarithm relative to nominal. The cell's level moves by at most maxStep, so it is close to the
// median and not to the mean.
func (s *Service) observe(now time.Time, running, pendingTokens int, level float64) {
	s.count++
	c := &s.cells[runningCell(running)][pendingCell(pendingTokens)]
	c.weight = min(c.weight*aged(now.Sub(c.at)), maxCellWeight) + 1
	c.at = now
	if c.weight == 1 {
		c.level = level
		return
	}
	// With a weight of barely more than 1, everything known before is old, and the level follows in larger steps.
	c.level += min(max(level-c.level, -maxStep), maxStep) / min(c.weight-1, c.weight/2)
}

// level returns the usual time at a load, as a logarithm relative to nominal. Without an observation at this load, that of the nearest
// number of running requests applies, and then that of other numbers of pending tokens. It reports false if nothing is known.
func (s *Service) level(running, pendingTokens int) (float64, bool) {
	if s == nil || s.count < minObservations {
		return 0, false
	}
	row, column := runningCell(running), pendingCell(pendingTokens)
	for distance := range runningCells {
		for shift := range pendingCells {
			for _, r := range [2]int{row - distance, row + distance} {
				for _, p := range [2]int{column - shift, column + shift} {
					if r >= 0 && r < runningCells && p >= 0 && p < pendingCells && s.cells[r][p].weight > 0 {
						return s.cells[r][p].level, true
					}
				}
			}
		}
	}
	return 0, false
}

// Predict returns the usual time to the first event for a request with that many prompt tokens pending, itself included, at an engine
// that has that many running requests without it. It reports false if too little is known.
func (s *Service) Predict(running, pendingTokens int) (time.Duration, bool) {
	level, known := s.level(running, pendingTokens)
	return seconds(nominal(pendingTokens) * math.Exp(level)), known
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
