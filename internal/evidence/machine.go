package evidence

import (
	"maps"
	"slices"
	"time"
)

const (
	// avoidFor is for how long a job stays away from a machine that failed it.
	avoidFor = 30 * time.Second
	// The weights of failures against a machine: of a job that goes well elsewhere,
	// of one that has done so again and again, and of one of which nothing is known.
	weightSound, weightAgain, weightUnknown = 2, 3, 1
	// sickAt is the weight that condemns. Two jobs of which nothing is known do not
	// reach it: both may have been submitted with a mistake.
	sickAt = 3
)

// Machine is what is known of one machine. The zero value is one that never failed.
type Machine struct {
	of map[string]spell // by job
}

// spell is a job's failures on a machine.
type spell struct {
	last  time.Time
	times int // tries that failed, those of one moment counted once
}

// Failed notes that a task of a job, begun at some time, failed there.
func (m *Machine) Failed(ref string, began, now time.Time) {
	if m.of == nil {
		m.of = make(map[string]spell)
	}
	s := m.of[ref]
	if s.times == 0 || began.After(s.last) {
		s.times++
	}
	s.last = now
	m.of[ref] = s
}

// Well notes that a task that began at some time went well there. Only what began
// after a failure speaks for the machine: a sick one may well complete what it
// began before.
func (m *Machine) Well(began time.Time) {
	maps.DeleteFunc(m.of, func(_ string, s spell) bool { return began.After(s.last) })
}

// Troubled tells that some job has failed there and nothing went well since.
func (m *Machine) Troubled() bool { return len(m.of) > 0 }

// Avoids tells that a job failed there lately and should be tried elsewhere.
func (m *Machine) Avoids(ref string, now time.Time) bool {
	s, ok := m.of[ref]
	return ok && now.Sub(s.last) < avoidFor
}

// Avoided lists the jobs that should be tried elsewhere.
func (m *Machine) Avoided(now time.Time) []string {
	var out []string
	for _, ref := range slices.Sorted(maps.Keys(m.of)) {
		if m.Avoids(ref, now) {
			out = append(out, ref)
		}
	}
	return out
}

// Sick weighs the failures by the standing of their jobs, and names the jobs on
// whose word the machine is condemned. It may be taken back when a job turns out to
// fail everywhere.
func (m *Machine) Sick(standing func(ref string) Standing, now time.Time) ([]string, bool) {
	weight := 0
	var on []string
	for _, ref := range slices.Sorted(maps.Keys(m.of)) {
		s := m.of[ref]
		if now.Sub(s.last) > oldAfter {
			delete(m.of, ref)
			continue
		}
		switch standing(ref) {
		case Suspect:
			continue
		case Unknown:
			weight += weightUnknown
		case Sound:
			if weight += weightSound; s.times > 1 {
				weight += weightAgain - weightSound
			}
		}
		on = append(on, ref)
	}
	return on, weight >= sickAt
}
