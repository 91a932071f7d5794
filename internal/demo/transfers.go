package demo

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/demo/report"
	"samphireweir.example/samphireweir/internal/logevent"
)

const (
	// cpuTicksPerSecond is the unit of the processor times in /proc/PID/stat.
	cpuTicksPerSecond = 100
	// userTimeField and systemTimeField are the indexes of the processor times among the fields after the command name,
	// which ends with a closing bracket and may contain spaces itself.
	userTimeField, systemTimeField = 11, 12
	maxLogLineBytes                = 1 << 20
)

// burstLine is the line that an agent logs when it has finished its part of a burst.
type burstLine struct {
	Event           int     `json:"event"`
	Digest          string  `json:"digest"`
	BytesByTier     []int64 `json:"bytes_by_tier"`
	Wasted          int64   `json:"wasted"`
	ControlMessages int64   `json:"control_messages"`
	ControlBytes    int64   `json:"control_bytes"`
}

// transfers sums up what the agents logged about a version. Copies are totals over all hosts; the figures of control
// traffic are means per host.
func (r *run) transfers(digest string, size int64) (report.Transfers, error) {
	var total report.Transfers
	hosts := 0
	for _, host := range r.hosts {
		lines, err := readBurstLines(filepath.Join(r.fleet.logs, host.Name+".stderr"))
		if err != nil {
			return total, err
		}
		for _, line := range lines {
			if line.Event != int(logevent.BurstComplete) || line.Digest != digest || len(line.BytesByTier) < 4 {
				continue
			}
			hosts++
			total.BetweenPlaces += float64(line.BytesByTier[1]) / float64(size)
			total.BetweenRegions += float64(line.BytesByTier[2]) / float64(size)
			total.Wasted += float64(line.Wasted) / float64(size)
			total.ControlBytes += float64(line.ControlBytes)
			total.ControlMessages += float64(line.ControlMessages)
		}
	}
	if hosts > 0 {
		total.ControlBytes /= float64(hosts)
		total.ControlMessages /= float64(hosts)
	}
	return total, nil
}

func readBurstLines(path string) ([]burstLine, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "opening an agent's log")
	}
	defer func() { _ = file.Close() }()
	var lines []burstLine
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		var line burstLine
		if json.Unmarshal(scanner.Bytes(), &line) == nil && line.Event != 0 {
			lines = append(lines, line)
		}
	}
	return lines, errors.Wrapf(scanner.Err(), "reading %s", path)
}

// cpuSeconds returns the total processor time that the running agents have used so far, in seconds.
func (f *fleet) cpuSeconds() float64 {
	total := 0.0
	for _, agent := range f.agents {
		total += processCPUSeconds(agent.PID())
	}
	return total
}

// processCPUSeconds returns the processor time of one process in seconds; 0 when it has ended.
func processCPUSeconds(pid int) float64 {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(after)
	if len(fields) <= systemTimeField {
		return 0
	}
	user, _ := strconv.ParseFloat(fields[userTimeField], 64)
	system, _ := strconv.ParseFloat(fields[systemTimeField], 64)
	return (user + system) / cpuTicksPerSecond
}

// memoryMB returns the mean resident memory of the running agents in MB; 0 when none runs.
func (f *fleet) memoryMB() float64 {
	total, count := 0.0, 0
	for _, agent := range f.agents {
		text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(agent.PID()), "statm"))
		fields := strings.Fields(string(text))
		if err != nil || len(fields) < 2 {
			continue
		}
		pages, _ := strconv.ParseFloat(fields[1], 64)
		total += pages * float64(os.Getpagesize()) / 1e6
		count++
	}
	if count == 0 {
		return 0
	}
	return total / float64(count)
}
