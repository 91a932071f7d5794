package faults

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/demo/ledger"
)

// maxExamples bounds the number of examples that are printed.
const maxExamples = 6

// writeEvidence prints examples of lost and malformed answers, and writes the evidence to the log folder if the logs are kept.
func (r *run) writeEvidence(e Evidence) error {
	printed := 0
	for _, record := range e.Records {
		failed := record.Outcome == ledger.Lost || record.Outcome == ledger.Incorrect
		if failed && printed < maxExamples {
			printed++
			r.logf("%s: %s %s at entry %d, %.1fs into the run, took %v: %s", record.Outcome, record.Kind, record.RequestID,
				record.Entry+1, record.Start.Sub(r.startedAt).Seconds(), record.Took, record.Note)
		}
	}
	if r.options.KeepLogs == "" {
		return nil
	}
	file, err := os.Create(filepath.Join(r.options.KeepLogs, "evidence.json"))
	if err != nil {
		return errors.Wrap(err, "creating the evidence file")
	}
	if err := json.NewEncoder(file).Encode(e); err != nil {
		_ = file.Close()
		return errors.Wrap(err, "writing the evidence file")
	}
	return errors.Wrap(file.Close(), "writing the evidence file")
}
