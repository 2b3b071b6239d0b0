package provisioning

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// MachineKind is what boots alike.
type MachineKind struct{ Type, Zone string }

// BootStats is what was seen. The zero value is empty. Times come in; it has no clock.
type BootStats struct {
	kinds map[MachineKind]*kindStats
}

// kindStats holds the boots of two spells, the present one and the one before: what was
// long ago says little, and a kind in trouble should be tried again.
type kindStats struct {
	durations   *hdrhistogram.WindowedHistogram // of milliseconds
	windowStart time.Time
	booted      [2]int // in time, in each spell
	failed      [2]int
	merged      *hdrhistogram.Histogram
	outdated    bool
}

const (
	window    = 90 * time.Second
	maxBootMs = int64(time.Hour / time.Millisecond)
	// minSamples boots to go by what was seen of them.
	minSamples = 5
	// The cloud's figure is good for this much and no more: boots take up to one and a
	// half times as long as usual, and a few never end.
	overdueFactor  = 1.5
	expiryFactor   = 4.0
	observedFactor = 1.3 // of what nine in ten took
)

func (b *BootStats) statsOf(k MachineKind, now time.Time) *kindStats {
	if b.kinds == nil {
		b.kinds = make(map[MachineKind]*kindStats)
	}
	s := b.kinds[k]
	if s == nil {
		s = &kindStats{durations: hdrhistogram.NewWindowed(2, 1, maxBootMs, 2), windowStart: now}
		b.kinds[k] = s
	}
	for i := 0; now.Sub(s.windowStart) >= window; i++ {
		if i == 2 {
			s.windowStart = now
			break
		}
		s.durations.Rotate()
		s.booted, s.failed = [2]int{0, s.booted[0]}, [2]int{0, s.failed[0]}
		s.windowStart, s.outdated = s.windowStart.Add(window), true
	}
	return s
}

// histogram is the histogram of both spells.
func (s *kindStats) histogram() *hdrhistogram.Histogram {
	if s.merged == nil || s.outdated {
		s.merged, s.outdated = s.durations.Merge(), false
	}
	return s.merged
}

// Booted notes that a machine came up after so long.
func (b *BootStats) Booted(k MachineKind, took time.Duration, now time.Time) {
	s := b.statsOf(k, now)
	// One that is out of range says only that it was late.
	_ = s.durations.Current.RecordValue(min(max(1, took.Milliseconds()), maxBootMs))
	s.outdated = true
	s.booted[0]++
}

// Failed notes that a machine was late or was given up.
func (b *BootStats) Failed(k MachineKind, now time.Time) { b.statsOf(k, now).failed[0]++ }

// quantile is what so many of a hundred took; ok is false until enough was seen.
func (b *BootStats) quantile(k MachineKind, percent float64, now time.Time) (time.Duration, bool) {
	h := b.statsOf(k, now).histogram()
	if h.TotalCount() < minSamples {
		return 0, false
	}
	return time.Duration(h.ValueAtQuantile(percent)) * time.Millisecond, true
}

// Expected is how long a boot should take. nominal is what the cloud says of the type.
func (b *BootStats) Expected(k MachineKind, nominal time.Duration, now time.Time) time.Duration {
	if half, ok := b.quantile(k, 50, now); ok {
		return half
	}
	return nominal
}

// Overdue is the age from which a machine that is not up does not count any more for the
// work that waits. Boots that were fast for a while make none late.
func (b *BootStats) Overdue(k MachineKind, nominal time.Duration, now time.Time) time.Duration {
	late := time.Duration(float64(nominal) * overdueFactor)
	if most, ok := b.quantile(k, 90, now); ok {
		late = max(late, time.Duration(float64(most)*observedFactor))
	}
	return late
}

// Expired is the age at which a machine that is not up is returned. It costs money all
// the while; one that is only late is worth waiting for.
func (b *BootStats) Expired(k MachineKind, nominal time.Duration, now time.Time) time.Duration {
	return max(time.Duration(float64(nominal)*expiryFactor), 2*b.Overdue(k, nominal, now))
}

// Unreliability is the factor by which a kind seems dearer than it is: one of which half are
// missing costs twice as much for each that comes. Never more than fourfold, so that
// it is tried again where nothing else is to be had, and only for as long as the
// trouble was seen of late.
func (b *BootStats) Unreliability(k MachineKind, now time.Time) float64 {
	s := b.statsOf(k, now)
	came, missing := s.booted[0]+s.booted[1], s.failed[0]+s.failed[1]
	if came+missing < minSamples {
		return 1
	}
	return min(4, float64(came+missing)/max(1, float64(came)))
}

// UnreliableKinds lists the kinds that seem dearer than they are, with the factor.
func (b *BootStats) UnreliableKinds(now time.Time) map[MachineKind]float64 {
	out := make(map[MachineKind]float64)
	for k := range b.kinds {
		if shy := b.Unreliability(k, now); shy > 1.25 {
			out[k] = shy
		}
	}
	return out
}

// ReplacementCount is how many of the late machines stop counting at once, of so many that
// are on their way: each may cause another to be rented, and when a whole zone boots
// slowly the fleet would be rented twice.
func ReplacementCount(late, coming int) int { return min(late, 1+coming/4) }
