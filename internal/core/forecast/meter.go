package forecast

import "time"

const (
	// Rates are measured over rateBuckets of bucketLength, which are one second, or over keptBuckets. Arrivals vary too much within a
	// second: waits that were decided by them ended before their time.
	rateBuckets  = 10
	keptBuckets  = 40
	bucketLength = 100 * time.Millisecond
)

// meter counts amounts over time and measures their rate. The zero value has measured nothing.
type meter struct {
	// sums are the amounts of the last buckets; that of the present one, which is not complete, is at index current.
	sums    [keptBuckets + 1]float64
	current int
	// bucketStart is the start of the present bucket, and since the time of the first measurement.
	bucketStart, since time.Time
}

// advance moves on to the bucket of now.
func (m *meter) advance(now time.Time) {
	if m.since.IsZero() {
		m.since, m.bucketStart = now, now
		return
	}
	for n := 0; now.Sub(m.bucketStart) >= bucketLength; n++ {
		if n > keptBuckets {
			m.bucketStart = now
			return
		}
		m.current = (m.current + 1) % len(m.sums)
		m.sums[m.current] = 0
		m.bucketStart = m.bucketStart.Add(bucketLength)
	}
}

func (m *meter) add(now time.Time, amount float64) {
	m.advance(now)
	m.sums[m.current] += amount
}

// rate returns the amount per second over the last n complete buckets, or over those since the first measurement if there are fewer.
func (m *meter) rate(now time.Time, n int) float64 {
	if m.since.IsZero() {
		return 0
	}
	m.advance(now)
	sum := m.recent(now, n) - m.sums[m.current]
	measured := min(max(m.bucketStart.Sub(m.since), bucketLength), time.Duration(n)*bucketLength)
	return sum / measured.Seconds()
}

// recent returns the amount in the present bucket and the n buckets before it.
func (m *meter) recent(now time.Time, n int) float64 {
	if m.since.IsZero() {
		return 0
	}
	m.advance(now)
	var sum float64
	for i := range min(n, keptBuckets) + 1 {
		sum += m.sums[(m.current+len(m.sums)-i)%len(m.sums)]
	}
	return sum
}

// complete reports whether a whole second was measured.
func (m *meter) complete(now time.Time) bool {
	return !m.since.IsZero() && now.Sub(m.since) >= rateBuckets*bucketLength
}
