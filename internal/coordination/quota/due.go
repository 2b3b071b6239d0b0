package quota

// Standing is how a team stands with its guarantee: a snapshot of the records.
type Standing struct {
	Guarantee Resources
	Use       Resources // placed, or being placed
	Committed Resources // placed for sure
	Reserved  Resources // promised to jobs and not placed yet
	Leaving   Resources // placed, and being stopped for others
}

// Entitled is how many tasks of a size a team may still claim on its guarantee, beside
// what it uses and what is booked. A guarantee of cards alone gives work without
// cards no claim on others; one of CPUs alone gives none on cards.
func (s Standing) Entitled(unit Resources) int {
	if mainResource(unit).of(s.Guarantee) == 0 {
		return 0
	}
	return TasksThatFit(s.Guarantee.Difference(s.Use.Plus(s.Reserved)), unit, s.Guarantee)
}

// Surplus is how much a team uses beyond its own guarantee, of the resource that some
// claimant's work is counted by. What leaves already is lent no more, so that two
// teams do not both stop the same team's work, nor is what is only being placed: a
// team whose displaced tasks tried to start elsewhere was taken for one with more to
// lend, and lost what it was guaranteed. A team without any guarantee lends all.
func (s Standing) Surplus(claimed Resources) float64 {
	return mainResource(claimed).of(s.Committed.Difference(s.Leaving).Minus(s.Guarantee))
}

// Preemptor counts what one displacement takes from other teams, so that it stops short
// of pushing one below its guarantee.
type Preemptor struct {
	ClaimedTask Resources // one task of the claimant
	StandingOf  func(team string) Standing
	taken       map[string]float64
}

// MayPreempt tells whether one more task of a team may be stopped for the claimant, beside
// what is chosen already and not noted yet. The whole task must be lent: a task that
// reaches into the guarantee stays.
func (t *Preemptor) MayPreempt(team string, task, beside Resources) bool {
	main := mainResource(t.ClaimedTask)
	if main.of(task) == 0 {
		return false // stopping it frees nothing of what is claimed
	}
	return t.taken[team]+main.of(beside)+main.of(task) <= t.StandingOf(team).Surplus(t.ClaimedTask)+tolerance
}

// RecordPreemption notes that it is.
func (t *Preemptor) RecordPreemption(team string, task Resources) {
	if t.taken == nil {
		t.taken = make(map[string]float64)
	}
	t.taken[team] += mainResource(t.ClaimedTask).of(task)
}
