package quota

import (
	"maps"
	"slices"

	"madderslip/internal/ledger"
)

// World is what bookings are weighed against: the cache of the caller.
type World interface {
	Run(team string) Amount      // all that a team has placed, or may have
	Sure(team string) Amount     // of that, what does not hang on a commit under way
	Placed(id string) Amount     // what of a chunk is placed
	Open(task string) Amount     // what a task's placement takes, nothing once it is gone
	Owns(shard string) uint64    // the token with which this controller decides for a shard, or 0
	Keeps(id, shard string) bool // the chunk's job is open, and the room made for it there is still held
}

// Guaranteed tells whether a team has a guarantee.
func (k *Keeper) Guaranteed(name string) bool {
	g := k.set[name]
	return g.CPUs > 0 || g.GPUs > 0
}

// Standing is how a team stands, the job of its own that is looked at left out.
func (k *Keeper) Standing(name, but string, w World) Standing {
	g := k.set[name]
	s := Standing{Guarantee: Amount{g.CPUs, g.GPUs}, Use: w.Run(name), Sure: w.Sure(name)}
	t := k.teams[name]
	if t == nil {
		return s
	}
	// In order: sums of fractions depend on it.
	for _, ref := range slices.Sorted(maps.Keys(t.book.Due)) {
		if b := t.book.Due[ref]; ref != but {
			s.Booked = s.Booked.Plus(Amount(b.Use).Less(w.Placed(ref)))
		}
	}
	for _, ref := range slices.Sorted(maps.Keys(t.book.Taken)) {
		for _, task := range t.book.Taken[ref].Tasks {
			s.Leaving = s.Leaving.Plus(w.Open(task))
		}
	}
	return s
}

// StandingBut is Standing for a lender, what leaves for that job left out: it is
// weighed once more before it is carried out.
func (k *Keeper) StandingBut(name, ref string, w World) Standing {
	s := k.Standing(name, ref, w)
	if t := k.teams[name]; t != nil {
		for _, task := range t.book.Taken[ref].Tasks {
			s.Leaving = s.Leaving.Less(w.Open(task))
		}
	}
	return s
}

// TakenFor lists the tasks that are stopped for a job.
func (k *Keeper) TakenFor(ref string) []string {
	var out []string
	for _, t := range k.teams {
		out = append(out, t.book.Taken[ref].Tasks...)
	}
	slices.Sort(out)
	return out
}

// Booked tells whether a job has a claim on its team's guarantee on record.
func (k *Keeper) Booked(name, ref string) bool {
	t := k.teams[name]
	if t == nil {
		return false
	}
	_, has := t.book.Due[ref]
	return has
}

// BookCond is the condition of every start of a team with a guarantee: that its
// bookings are as this controller knows them.
func (k *Keeper) BookCond(name string) (ledger.Cond, bool) {
	if !k.Guaranteed(name) {
		return ledger.Cond{}, false
	}
	return ledger.Cond{Key: ledger.BookKeys + name, Stamp: k.team(name).books}, true
}

// Claim is what is to be booked: a job's claim on its team's guarantee, and the
// tasks that it has stopped, by their teams.
type Claim struct {
	Team, ID, Shard string // ID: the chunk, by the key of its claim
	Token           uint64
	Use             Amount
	Victims         map[string][]string
}

// Book makes the transaction that books a claim at the team and at the lenders. It
// fails if any of their bookings has changed, so two claimants never count the same
// room, and two never stop the same team's work for it.
func (k *Keeper) Book(c Claim) ([]ledger.Cond, []ledger.Op) {
	recs := map[string]*ledger.Bookings{c.Team: k.copyOf(c.Team)}
	recs[c.Team].Due[c.ID] = ledger.Booking{Shard: c.Shard, Use: c.Use, Token: c.Token}
	for lender, tasks := range c.Victims {
		if recs[lender] == nil {
			recs[lender] = k.copyOf(lender)
		}
		recs[lender].Taken[c.ID] = ledger.Taking{By: c.Team, Shard: c.Shard, Tasks: tasks}
	}
	return k.write(recs)
}

// Unbook makes the transaction that frees what a job has booked anywhere.
func (k *Keeper) Unbook(refs []string) ([]ledger.Cond, []ledger.Op) {
	recs := make(map[string]*ledger.Bookings)
	for name, t := range k.teams {
		for _, ref := range refs {
			_, due := t.book.Due[ref]
			_, taken := t.book.Taken[ref]
			if !due && !taken {
				continue
			}
			if recs[name] == nil {
				recs[name] = k.copyOf(name)
			}
			delete(recs[name].Due, ref)
			delete(recs[name].Taken, ref)
		}
	}
	return k.write(recs)
}

func (k *Keeper) copyOf(name string) *ledger.Bookings {
	t := k.team(name)
	b := &ledger.Bookings{Due: make(map[string]ledger.Booking), Taken: make(map[string]ledger.Taking)}
	maps.Copy(b.Due, t.book.Due)
	maps.Copy(b.Taken, t.book.Taken)
	return b
}

func (k *Keeper) write(recs map[string]*ledger.Bookings) (conds []ledger.Cond, ops []ledger.Op) {
	for _, name := range slices.Sorted(maps.Keys(recs)) {
		// Never dropped when empty: a start that was conditional on there being no record
		// could be carried out late once there is none again.
		key := ledger.BookKeys + name
		conds = append(conds, ledger.Cond{Key: key, Stamp: k.team(name).books})
		ops = append(ops, ledger.Op{Key: key, Value: recs[name]})
	}
	return conds, ops
}

// Spent lists the jobs whose bookings can go, of the shards that this controller
// decides for: made by an earlier owner, placed, over, or without room held any more.
func (k *Keeper) Spent(w World) []string {
	out := make(map[string]bool)
	for _, t := range k.teams {
		for ref, b := range t.book.Due {
			if token := w.Owns(b.Shard); token != 0 && (token != b.Token || !w.Keeps(ref, b.Shard) || Amount(b.Use).Within(w.Placed(ref))) {
				out[ref] = true
			}
		}
		for ref, taken := range t.book.Taken {
			// Its claim has gone by itself; nothing should be left alone, but a record
			// that nobody tidies would lend less for ever.
			if by := k.teams[taken.By]; w.Owns(taken.Shard) != 0 && (by == nil || by.book.Due[ref].Shard == "") {
				out[ref] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(out))
}
