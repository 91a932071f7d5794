package forecast

import "time"

const (
	// meterBuckets of bucketLength make up the second over which rates are measured.
	meterBuckets = 10
	bucketLength = 100 * time.Millisecond
)

// meter measures a rate over the last second. The zero value has measured nothing.
type meter struct {
	// sums are the amounts of the last buckets; that of the present one, which is not complete, is at index current.
	sums    [meterBuckets + 1]float64
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
		if n > meterBuckets {
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

// rate returns the amount per second over the complete buckets, or over those since the first measurement if there are fewer.
func (m *meter) rate(now time.Time) float64 {
	if m.since.IsZero() {
		return 0
	}
	m.advance(now)
	var sum float64
	for i, amount := range m.sums {
		if i != m.current {
			sum += amount
		}
	}
	measured := min(max(m.bucketStart.Sub(m.since), bucketLength), meterBuckets*bucketLength)
	return sum / measured.Seconds()
}

// complete reports whether a whole second was measured.
func (m *meter) complete(now time.Time) bool {
	return !m.since.IsZero() && now.Sub(m.since) >= meterBuckets*bucketLength
}
