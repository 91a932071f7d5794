package count

import (
	"time"

	"samphireweir.example/samphireweir/internal/demo/standinclient"
)

// RunsAcrossVersions counts the engine runs that started on one version and ended on another.
func RunsAcrossVersions(lines []standinclient.EngineLine) int {
	mixed := 0
	for _, line := range lines {
		if line.IsRun() && line.DigestStart != line.DigestEnd && !crashedWithoutWeights(line) {
			mixed++
		}
	}
	return mixed
}

// crashedWithoutWeights reports whether a crash ended the run. The engine then has no version, which is not a mix.
func crashedWithoutWeights(line standinclient.EngineLine) bool {
	return line.Outcome == standinclient.OutcomeCrashed && line.DigestEnd == ""
}

// LoadsWithWrongContent counts the finished loads whose content doesn't belong to their digest. The map holds the SHA-256 of the
// content by digest; a load of a digest that is not in the map counts as well.
func LoadsWithWrongContent(lines []standinclient.EngineLine, content map[string]string) int {
	mixed := 0
	for _, line := range lines {
		if !finishedLoad(line) {
			continue
		}
		if want, known := content[line.Digest]; !known || line.ContentSHA256 != want {
			mixed++
		}
	}
	return mixed
}

func finishedLoad(line standinclient.EngineLine) bool {
	return line.IsLoad() && line.Outcome == standinclient.OutcomeDone
}

// ServeTimes returns, by engine, the time from since to the end of the engine's first finished load of the digest.
// Engines without such a load are left out.
func ServeTimes(lines []standinclient.EngineLine, digest string, since time.Time) map[string]time.Duration {
	times := map[string]time.Duration{}
	for _, line := range lines {
		if !finishedLoad(line) || line.Digest != digest {
			continue
		}
		took := time.UnixMilli(line.EndMS).Sub(since)
		if earliest, found := times[line.Engine]; !found || took < earliest {
			times[line.Engine] = took
		}
	}
	return times
}

// Ratio returns part/whole; 0 when the whole is not positive.
func Ratio(part, whole time.Duration) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
