package burst

import (
	"encoding/csv"
	"io"
	"os"
	"path/filepath"
	"strconv"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/demo"
	"samphireweir.example/samphireweir/internal/demo/report"
)

// ratioNotMeasured is written as the ratio of a run in which not all hosts served the version.
const ratioNotMeasured = -1

const dirMode = 0o755

// row holds the results of one version in one run, in the order of columns.
type row []string

var columns = []string{
	"variant", "version", "hosts", "live", "serving", "seed", "size", "chunk_size", "copy_ms", "time_ratio", "p90_ratio",
	"origin_copies", "between_places", "between_regions", "wasted", "slow_p95_ratio", "p95_before_ms", "p95_during_ms",
	"control_bytes", "control_messages", "processor_seconds", "memory_mb", "lost", "mixed",
}

// newRows returns the rows of a run, one for each version.
func newRows(variant string, o demo.Options, r report.Report) []row {
	spreads := []report.Spread{r.Spread}
	if r.Second != nil {
		spreads = append(spreads, *r.Second)
	}
	var rows []row
	for _, s := range spreads {
		copyMS := float64(r.SizeBytes) / float64(r.LinkRate) * 1000
		rows = append(rows, row{
			variant, s.Version, number(float64(r.Hosts)), number(float64(r.Live)), number(float64(s.Serving)),
			strconv.FormatUint(r.Seed, 10), number(float64(o.Size)), number(float64(o.ChunkSize)), number(copyMS),
			ratio(s.TimeRatio), ratio(s.P90Ratio), number(s.OriginCopies), number(s.BetweenPlaces),
			number(s.BetweenRegions), number(s.Wasted), number(s.SlowP95Ratio), number(s.P95BeforeMS),
			number(s.P95DuringMS), number(s.ControlBytes), number(s.ControlMessages), number(s.ProcessorSeconds),
			number(s.MemoryMB), number(float64(r.Lost)), number(float64(r.Mixed)),
		})
	}
	return rows
}

func number(v float64) string { return strconv.FormatFloat(v, 'g', 5, 64) }

// ratio formats a ratio; nil becomes ratioNotMeasured.
func ratio(v *float64) string {
	if v == nil {
		return number(ratioNotMeasured)
	}
	return number(*v)
}

// appendRows appends rows to the CSV file at path and writes the header if the file is empty. With an empty path it writes
// to standard output, without a header.
func appendRows(path string, rows []row) error {
	if path == "" {
		return writeRows(os.Stdout, rows, false)
	}
	if err := os.MkdirAll(filepath.Dir(path), dirMode); err != nil {
		return errors.Wrap(err, "creating the directory of the results")
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "opening the results")
	}
	info, err := file.Stat()
	if err == nil {
		err = writeRows(file, rows, info.Size() == 0)
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrapf(err, "writing %s", path)
}

func writeRows(out io.Writer, rows []row, withHeader bool) error {
	w := csv.NewWriter(out)
	if withHeader {
		_ = w.Write(columns) // w.Error returns a failed write.
	}
	for _, r := range rows {
		_ = w.Write(r)
	}
	w.Flush()
	return w.Error()
}
