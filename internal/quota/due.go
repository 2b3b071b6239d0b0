package quota

import "math"

// Standing is how a team stands with its guarantee: a snapshot of the records.
type Standing struct {
	Guarantee Amount
	Use       Amount // placed, or being placed
	Sure      Amount // placed for sure
	Booked    Amount // promised to jobs and not placed yet
	Leaving   Amount // placed, and being stopped for others
}

// Due is how many tasks of a size a team may still claim on its guarantee, beside
// what it uses and what is booked. A guarantee of cards alone gives work without
// cards no claim on others; one of CPUs alone gives none on cards.
func (s Standing) Due(unit Amount) int {
	main := kind(unit)
	if s.Guarantee[main] == 0 {
		return 0
	}
	due := math.MaxInt32
	taken := s.Use.Plus(s.Booked)
	for k := range unit {
		if unit[k] > 0 && s.Guarantee[k] > 0 {
			due = min(due, int((s.Guarantee[k]-taken[k]+eps)/unit[k]))
		}
	}
	return max(0, due)
}

// kind is the resource by which work is counted: cards, if it uses any.
func kind(unit Amount) int {
	if unit[1] > 0 {
		return 1
	}
	return 0
}

// Lends is how much a team uses beyond its own guarantee, of the resource that some
// claimant's work is counted by. What leaves already is lent no more, so that two
// teams do not both stop the same team's work, nor is what is only being placed: a
// team whose displaced tasks tried to start elsewhere was taken for one with more to
// lend, and lost what it was guaranteed. A team without any guarantee lends all.
func (s Standing) Lends(claimed Amount) float64 {
	k := kind(claimed)
	return rest(s.Sure[k] - s.Leaving[k] - s.Guarantee[k])
}

// Taker counts what one displacement takes from other teams, so that it stops short
// of pushing one below its guarantee.
type Taker struct {
	Claimed Amount // one task of the claimant
	Of      func(team string) Standing
	taken   map[string]float64
}

// May tells whether one more task of a team may be stopped for the claimant, beside
// what is chosen already and not noted yet. The whole task must be lent: a task that
// reaches into the guarantee stays.
func (t *Taker) May(team string, task, beside Amount) bool {
	k := kind(t.Claimed)
	if task[k] == 0 {
		return false // stopping it frees nothing of what is claimed
	}
	return t.taken[team]+beside[k]+task[k] <= t.Of(team).Lends(t.Claimed)+eps
}

// Take notes that it is.
func (t *Taker) Take(team string, task Amount) {
	if t.taken == nil {
		t.taken = make(map[string]float64)
	}
	t.taken[team] += task[kind(t.Claimed)]
}
