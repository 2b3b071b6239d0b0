package provisioning

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// MachineKind identifies machines that boot alike: a machine type in a zone.
type MachineKind struct{ Type, Zone string }

// BootStats holds the observed boots of each kind of machine. The zero value is empty.
type BootStats struct {
	kinds map[MachineKind]*kindStats
}

// kindStats holds the boots of one kind in the present and the previous window. Older ones
// are dropped: they say little of the present, and an unreliable kind is to be tried again.
type kindStats struct {
	durations   *hdrhistogram.WindowedHistogram // in milliseconds
	windowStart time.Time
	booted      [windows]int // machines that booted, by window, the present one first
	failed      [windows]int // machines that were overdue or given up, likewise
	merged      *hdrhistogram.Histogram
	outdated    bool // merged lacks observations
}

const (
	windows = 2
	window  = 90 * time.Second
	// maxBootMs is the longest boot time that is told apart from longer ones.
	maxBootMs = int64(time.Hour / time.Millisecond)
	// histogramDigits is the number of significant decimal digits of a boot time.
	histogramDigits = 2
	// minSamples is how many boots have to be observed for statistics to be used.
	minSamples = 5
	// Boots take up to one and a half times the nominal time of their type, and a few never
	// end.
	overdueFactor = 1.5 // of the nominal time
	expiryFactor  = 4.0 // of the nominal time
	// observedFactor multiplies the observed time that overduePercentile of the boots took.
	observedFactor     = 1.3
	overduePercentile  = 90
	expectedPercentile = 50
	// expiryOverdues is how many times the overdue age a machine is waited for at least.
	expiryOverdues = 2
	// maxUnreliability bounds the price factor, so that a kind is tried again where no other
	// is available.
	maxUnreliability = 4
	// minUnreliability is the factor above which a kind is listed as unreliable.
	minUnreliability = 1.25
)

// statsOf returns the statistics of a kind, with the windows that have passed by now dropped.
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

// rotate starts a new window for each one that has passed. Once all windows are empty the
// present one starts now.
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

// Booted records that a machine booted, and how long it took.
func (b *BootStats) Booted(kind MachineKind, took time.Duration, now time.Time) {
	s := b.statsOf(kind, now)
	// The value is within the histogram's range, so there is no error.
	_ = s.durations.Current.RecordValue(min(max(1, took.Milliseconds()), maxBootMs))
	s.outdated = true
	s.booted[0]++
}

// Failed records that a machine was overdue or was given up.
func (b *BootStats) Failed(kind MachineKind, now time.Time) { b.statsOf(kind, now).failed[0]++ }

// percentile returns the time within which a percentage of the boots ended, and false until
// enough boots were observed.
func (b *BootStats) percentile(kind MachineKind, percent float64, now time.Time) (time.Duration, bool) {
	h := b.statsOf(kind, now).histogram()
	if h.TotalCount() < minSamples {
		return 0, false
	}
	return time.Duration(h.ValueAtQuantile(percent)) * time.Millisecond, true
}

// Expected returns how long a boot should take: the observed median, or nominal, the
// cloud's figure for the type, until enough boots were observed.
func (b *BootStats) Expected(kind MachineKind, nominal time.Duration, now time.Time) time.Duration {
	if median, ok := b.percentile(kind, expectedPercentile, now); ok {
		return median
	}
	return nominal
}

// Overdue returns the age from which a machine that has not booted no longer counts as
// supply for waiting work. It follows slow boots upwards; fast boots never lower it below
// one and a half times nominal.
func (b *BootStats) Overdue(kind MachineKind, nominal time.Duration, now time.Time) time.Duration {
	overdue := time.Duration(float64(nominal) * overdueFactor)
	if most, ok := b.percentile(kind, overduePercentile, now); ok {
		overdue = max(overdue, time.Duration(float64(most)*observedFactor))
	}
	return overdue
}

// Expired returns the age from which a machine that has not booted is returned: at least
// twice the overdue age, since one that is only late is worth waiting for, though it costs
// money meanwhile.
func (b *BootStats) Expired(kind MachineKind, nominal time.Duration, now time.Time) time.Duration {
	return max(time.Duration(float64(nominal)*expiryFactor), expiryOverdues*b.Overdue(kind, nominal, now))
}

// Unreliability returns the factor, from 1 to 4, by which the price of a kind is multiplied
// when kinds are compared: the number of machines provisioned for each that boots. It is 1
// until enough machines were observed, and returns to 1 when the failures are forgotten.
func (b *BootStats) Unreliability(kind MachineKind, now time.Time) float64 {
	s := b.statsOf(kind, now)
	booted, failed := s.booted[0]+s.booted[1], s.failed[0]+s.failed[1]
	if booted+failed < minSamples {
		return 1
	}
	return min(maxUnreliability, float64(booted+failed)/max(1, float64(booted)))
}

// UnreliableKinds returns the kinds whose price factor is above 1.25, with the factor.
func (b *BootStats) UnreliableKinds(now time.Time) map[MachineKind]float64 {
	out := make(map[MachineKind]float64)
	for kind := range b.kinds {
		if factor := b.Unreliability(kind, now); factor > minUnreliability {
			out[kind] = factor
		}
	}
	return out
}
