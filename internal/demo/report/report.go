// Package report holds the figures of a demo run, prints them and decides whether the run passed.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Spread describes how one version reached the hosts. A ratio is nil unless all live hosts serve the version.
type Spread struct {
	Version      string   `json:"version"`
	Serving      int      `json:"serving"`        // live hosts that serve the version
	TimeRatio    *float64 `json:"time_ratio"`     // time until all live hosts serve / (size / link rate of a host)
	P90Ratio     *float64 `json:"p90_ratio"`      // the same for the 90th percentile of the hosts
	OriginCopies float64  `json:"origin_copies"`  // data bytes from origin and store / size
	SlowP95Ratio float64  `json:"slow_p95_ratio"` // lookup p95 during the spread / p95 before
	P95BeforeMS  float64  `json:"p95_before_ms"`  // of lookups before the spreads
	P95DuringMS  float64  `json:"p95_during_ms"`  // of lookups during the spread
	Transfers
	ProcessorSeconds float64 `json:"processor_seconds"` // mean per live agent, from just before the setting is applied to the end of the spread
	MemoryMB         float64 `json:"memory_mb"`         // mean per agent at the end of the spread, with the version's chunks
}

// Transfers is the traffic between the hosts, from the agents' logs. Copies are multiples of the version's size.
type Transfers struct {
	BetweenPlaces   float64 `json:"between_places"`   // copies sent between data centres of a region
	BetweenRegions  float64 `json:"between_regions"`  // copies sent between regions
	Wasted          float64 `json:"wasted"`           // copies received and discarded
	ControlBytes    float64 `json:"control_bytes"`    // announcements sent, mean per host
	ControlMessages float64 `json:"control_messages"` // announcements sent, mean per host
}

// Report holds all results of a run.
type Report struct {
	Hosts int `json:"hosts"`
	Live  int `json:"live"` // hosts that were not killed
	Spread
	Second         *Spread        `json:"second,omitempty"`
	Requests       int            `json:"requests"`
	Complete       int            `json:"complete"`
	Refused        int            `json:"refused"`
	RefusedLookups int            `json:"refused_lookups"`
	RefusedByCode  map[string]int `json:"refused_by_code"`
	Generations    int            `json:"generations"` // complete model requests, each checked token by token
	Resends        int            `json:"resends"`
	Skipped        int64          `json:"held_back"` // not sent, because too many were in flight
	Lost           int            `json:"lost"`
	Doubled        int            `json:"doubled"`       // idempotency keys that ran more than once
	FalseNotRun    int            `json:"false_not_run"` // refusals that said "not run" although the request ran
	Mixed          int            `json:"mixed"`         // answers, runs or loads with mixed or wrong content
	Exited         []string       `json:"died"`          // processes that ended without being killed or stopped by the run
	Killed         []string       `json:"killed"`        // processes that did not end in time after SIGTERM
	Policy         string         `json:"policy"`
	Seed           uint64         `json:"seed"`
	SizeBytes      int64          `json:"size_bytes"`
	LinkRate       int64          `json:"link_rate"` // bytes per second
}

// Failures returns the reasons why the run did not pass; none if it passed.
func (r Report) Failures() []string {
	var failures []string
	counts := []struct {
		name  string
		count int
	}{
		{"lost", r.Lost},
		{"doubled", r.Doubled},
		{"false_not_run", r.FalseNotRun},
		{"mixed", r.Mixed},
	}
	for _, check := range counts {
		if check.count > 0 {
			failures = append(failures, fmt.Sprintf("%s: %d", check.name, check.count))
		}
	}
	if r.Serving < r.Live {
		failures = append(failures, fmt.Sprintf("%s serves on %d of %d live hosts", r.Version, r.Serving, r.Live))
	}
	if r.Second != nil && r.Second.Serving < r.Live {
		failures = append(failures, fmt.Sprintf("%s serves on %d of %d live hosts", r.Second.Version, r.Second.Serving, r.Live))
	}
	if len(r.Exited) > 0 {
		failures = append(failures, fmt.Sprintf("exited unexpectedly: %v", r.Exited))
	}
	return failures
}

// WriteJSON writes the report as one line of JSON.
func (r Report) WriteJSON(out io.Writer) error {
	return errors.Wrap(json.NewEncoder(out).Encode(r), "writing the report")
}

// WriteTable writes the report as a short table.
func (r Report) WriteTable(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, row := range r.rows() {
		_, _ = fmt.Fprintf(table, "%s\t%s\n", row[0], row[1]) // Flush returns a failed write
	}
	return errors.Wrap(table.Flush(), "writing the report")
}

func (r Report) rows() [][2]string {
	rows := [][2]string{
		{"policy, seed", fmt.Sprintf("%s, %d", r.Policy, r.Seed)},
		{"hosts (live)", fmt.Sprintf("%d (%d)", r.Hosts, r.Live)},
		{"size, host link", fmt.Sprintf("%d bytes, %d bytes/s", r.SizeBytes, r.LinkRate)},
	}
	rows = append(rows, r.Spread.rows(r.Live)...)
	if r.Second != nil {
		rows = append(rows, r.Second.rows(r.Live)...)
	}
	return append(rows, [][2]string{
		{"requests", fmt.Sprint(r.Requests)},
		{"complete", fmt.Sprintf("%d (%d model requests)", r.Complete, r.Generations)},
		{"refused", fmt.Sprintf("%d (%d lookups), by code %v", r.Refused, r.RefusedLookups, r.RefusedByCode)},
		{"resent with the same key", fmt.Sprint(r.Resends)},
		{"not sent, too many in flight", fmt.Sprint(r.Skipped)},
		{"lost", fmt.Sprint(r.Lost)},
		{"doubled", fmt.Sprint(r.Doubled)},
		{"false not-run", fmt.Sprint(r.FalseNotRun)},
		{"mixed", fmt.Sprint(r.Mixed)},
		{"exited unexpectedly", fmt.Sprint(r.Exited)},
		{"killed after the stop timeout", fmt.Sprint(r.Killed)},
	}...)
}

func (s Spread) rows(live int) [][2]string {
	return [][2]string{
		{s.Version + " serving", fmt.Sprintf("%d of %d", s.Serving, live)},
		{s.Version + " time ratio, p90", ratio(s.TimeRatio) + ", " + ratio(s.P90Ratio)},
		{s.Version + " origin copies", fmt.Sprintf("%.2f", s.OriginCopies)},
		{s.Version + " copies between data centres, regions", fmt.Sprintf("%.2f, %.2f (%.3f wasted)", s.BetweenPlaces, s.BetweenRegions, s.Wasted)},
		{s.Version + " announcements per host", fmt.Sprintf("%.0f bytes in %.0f messages", s.ControlBytes, s.ControlMessages)},
		{s.Version + " processor time, memory per agent", fmt.Sprintf("%.2f s, %.0f MB", s.ProcessorSeconds, s.MemoryMB)},
		{s.Version + " lookups' p95", fmt.Sprintf("%.1f ms before, %.1f ms during, ratio %.2f", s.P95BeforeMS, s.P95DuringMS, s.SlowP95Ratio)},
	}
}

func ratio(value *float64) string {
	if value == nil {
		return "-"
	}
	return fmt.Sprintf("%.2f", *value)
}
