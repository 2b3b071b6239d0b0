package provisioning

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// MachineKind identifies machines whose boots are comparable: a machine type in a zone.
type MachineKind struct{ Type, Zone string }

// BootStats holds the observed boots of each kind of machine. The zero value is empty.
type BootStats struct {
	kinds map[MachineKind]*kindStats
}

// kindStats holds the boots of one kind in the current and the previous window. Older boots
// are dropped: they do not represent the current state of the cloud, and an unreliable kind
// has to be tried again.
type kindStats struct {
	durations   *hdrhistogram.WindowedHistogram // boot times in milliseconds
	windowStart time.Time
	booted      [windows]int // number of machines that booted, by window; index 0 is the current window
	failed      [windows]int // number of machines that became overdue, by window; index 0 is the current window
	merged      *hdrhistogram.Histogram
	outdated    bool // durations has changed since merged was computed
}

const (
	windows = 2
	window  = 90 * time.Second
	// maxBootMs is the longest boot time that the histograms hold; longer boots are recorded
	// with this time.
	maxBootMs = int64(time.Hour / time.Millisecond)
	// histogramDigits is the number of significant decimal digits of a boot time.
	histogramDigits = 2
	// minSamples is how many boots have to be observed before the statistics are used.
	minSamples = 5
	// A boot takes up to one and a half times the nominal time of the machine type; a few
	// boots never end.
	overdueFactor = 1.5 // smallest overdue age, as a multiple of the nominal boot time
	expiryFactor  = 4.0 // smallest expiry age, as a multiple of the nominal boot time
	// observedFactor multiplies the overduePercentile of the observed boot times, and the
	// product is a lower bound of the overdue age.
	observedFactor     = 1.3
	overduePercentile  = 90
	expectedPercentile = 50
	// expiryOverdueFactor multiplies the overdue age, and the product is a lower bound of the
	// expiry age.
	expiryOverdueFactor = 2
	// maxUnreliability bounds the price factor, so that an unreliable kind is tried again if
	// no other kind is available.
	maxUnreliability = 4
	// minUnreliability is the price factor above which a kind is listed as unreliable.
	minUnreliability = 1.25
)

// statsOf returns the statistics of a kind, without the windows that have expired by now.
func (b *BootStats) statsOf(kind MachineKind, now time.Time) *kindStats {
	if b.kinds == nil {
		b.kinds = make(map[MachineKind]*kindStats)
	}
	s := b.kinds[kind]
	if s == nil {
		s = &kindStats{durations: hdrhistogram.NewWindowed(windows, 1, maxBootMs, histogramDigits), windowStart: now}
		b.kinds[kind] = s
	}
	s.rotate(now)
	return s
}

// rotate starts a new window for each window length that has passed. Once all windows are
// empty, the current window starts now.
func (s *kindStats) rotate(now time.Time) {
	for i := 0; now.Sub(s.windowStart) >= window; i++ {
		if i == windows {
			s.windowStart = now
			break
		}
		s.durations.Rotate()
		s.booted, s.failed = [windows]int{0, s.booted[0]}, [windows]int{0, s.failed[0]}
		s.windowStart, s.outdated = s.windowStart.Add(window), true
	}
}

// histogram returns the boot times of all windows, in milliseconds.
func (s *kindStats) histogram() *hdrhistogram.Histogram {
	if s.merged == nil || s.outdated {
		s.merged, s.outdated = s.durations.Merge(), false
	}
	return s.merged
}

// RecordBoot records that a machine booted, and how long the boot took.
func (b *BootStats) RecordBoot(kind MachineKind, took time.Duration, now time.Time) {
	s := b.statsOf(kind, now)
	// RecordValue fails only outside the histogram's range, to which the value is clamped.
	_ = s.durations.Current.RecordValue(min(max(1, took.Milliseconds()), maxBootMs))
	s.outdated = true
	s.booted[0]++
}

// RecordOverdue records that a machine became overdue.
func (b *BootStats) RecordOverdue(kind MachineKind, now time.Time) { b.statsOf(kind, now).failed[0]++ }

// percentile returns the time within which the given percentage of the observed boots ended,
// and reports whether enough boots were observed.
func (b *BootStats) percentile(kind MachineKind, percent float64, now time.Time) (time.Duration, bool) {
	h := b.statsOf(kind, now).histogram()
	if h.TotalCount() < minSamples {
		return 0, false
	}
	return time.Duration(h.ValueAtQuantile(percent)) * time.Millisecond, true
}

// ExpectedBootTime returns the expected time of a boot: the observed median or, until enough
// boots were observed, nominal, the boot time that the cloud gives for the type.
func (b *BootStats) ExpectedBootTime(kind MachineKind, nominal time.Duration, now time.Time) time.Duration {
	if median, ok := b.percentile(kind, expectedPercentile, now); ok {
		return median
	}
	return nominal
}

// OverdueAge returns the age from which a machine that has not booted is overdue and no longer
// counts as supply for waiting work. Observed slow boots raise this age; fast boots never
// lower it below one and a half times nominal.
func (b *BootStats) OverdueAge(kind MachineKind, nominal time.Duration, now time.Time) time.Duration {
	overdue := time.Duration(float64(nominal) * overdueFactor)
	if slowBoot, ok := b.percentile(kind, overduePercentile, now); ok {
		overdue = max(overdue, time.Duration(float64(slowBoot)*observedFactor))
	}
	return overdue
}

// ExpiryAge returns the age from which a machine that has not booted is returned. It is at
// least twice the overdue age: a machine that boots late is still of use, although it costs
// money meanwhile.
func (b *BootStats) ExpiryAge(kind MachineKind, nominal time.Duration, now time.Time) time.Duration {
	return max(time.Duration(float64(nominal)*expiryFactor), expiryOverdueFactor*b.OverdueAge(kind, nominal, now))
}

// Unreliability returns the factor, from 1 to 4, by which the price of a kind is multiplied
// when kinds are compared: the number of booted and overdue machines divided by the number of
// booted machines. The factor is 1 until enough machines were observed, and 1 again once the
// failures are dropped.
func (b *BootStats) Unreliability(kind MachineKind, now time.Time) float64 {
	s := b.statsOf(kind, now)
	booted, failed := s.booted[0]+s.booted[1], s.failed[0]+s.failed[1]
	if booted+failed < minSamples {
		return 1
	}
	return min(maxUnreliability, float64(booted+failed)/max(1, float64(booted)))
}

// UnreliableKinds returns the kinds whose price factor is above 1.25, each with its factor.
func (b *BootStats) UnreliableKinds(now time.Time) map[MachineKind]float64 {
	out := make(map[MachineKind]float64)
	for kind := range b.kinds {
		if factor := b.Unreliability(kind, now); factor > minUnreliability {
			out[kind] = factor
		}
	}
	return out
}
