package demo

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"samphireweir.example/samphireweir/internal/demo/count"
	"samphireweir.example/samphireweir/internal/demo/ledger"
	"samphireweir.example/samphireweir/internal/demo/standinclient"
)

const (
	maxExamples   = 5 // printed examples per kind of fault
	ledgerFile    = "ledger.ndjson"
	engineLogFile = "engine-log.ndjson"
	plainLogFile  = "plain-log.ndjson"
)

// saveLogs writes the ledger and the stand-ins' logs into the directory that keeps the processes' output, if there is one.
func (r *run) saveLogs(engines []standinclient.EngineLine, plain []standinclient.PlainLine) error {
	folder := r.options.KeepLogs
	if folder == "" {
		return nil
	}
	if err := writeLines(filepath.Join(folder, ledgerFile), r.book.Records()); err != nil {
		return err
	}
	if err := writeLines(filepath.Join(folder, engineLogFile), engines); err != nil {
		return err
	}
	return writeLines(filepath.Join(folder, plainLogFile), plain)
}

func writeLines[T any](path string, lines []T) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "creating a log file")
	}
	encoder := json.NewEncoder(file)
	for _, line := range lines {
		if err := encoder.Encode(line); err != nil {
			_ = file.Close()
			return errors.Wrapf(err, "writing %s", path)
		}
	}
	return errors.Wrapf(file.Close(), "writing %s", path)
}

// printExamples prints a few of the requests behind each kind of fault.
func (r *run) printExamples(engines []standinclient.EngineLine, plain []standinclient.PlainLine) {
	records := r.book.Records()
	r.printRecords("lost", count.WithOutcome(records, ledger.Lost))
	r.printRecords("garbled", count.WithOutcome(records, ledger.Incorrect))
	r.printRecords("false not-run", count.FalseNotRun(records, plain, engines))
	for _, key := range limitExamples(count.DuplicateKeys(plain)) {
		_, _ = fmt.Fprintln(r.progress.out, "doubled:", key)
	}
}

func (r *run) printRecords(fault string, records []ledger.Record) {
	for _, record := range limitExamples(records) {
		_, _ = fmt.Fprintf(r.progress.out, "%s: %s %s after %v, status %d: %s\n",
			fault, record.Kind, record.RequestID, record.Took, record.Status, record.Note)
	}
}

// limitExamples returns the first maxExamples elements.
func limitExamples[T any](all []T) []T {
	return all[:min(len(all), maxExamples)]
}
