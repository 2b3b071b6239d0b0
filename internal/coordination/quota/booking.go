package quota

import (
	"maps"
	"slices"

	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// Usage is what bookings are weighed against: the cache of the caller.
type Usage interface {
	InUse(team string) Resources         // all that a team has placed, or may have
	Committed(team string) Resources     // of that, what does not hang on a commit under way
	PlacedBy(id string) Resources        // what of a chunk is placed
	TaskUse(task string) Resources       // what a task's placement takes, nothing once it is gone
	OwnerToken(shard string) uint64      // the token with which this controller decides for a shard, or 0
	HoldsCapacity(id, shard string) bool // the chunk's job is open, and the room made for it there is still held
}

// HasGuarantee tells whether a team has a guarantee.
func (k *Manager) HasGuarantee(name string) bool {
	g := k.configured[name]
	return g.GuaranteedCPUs > 0 || g.GuaranteedGPUs > 0
}

// Standing is how a team stands, the job of its own that is looked at left out.
func (k *Manager) Standing(name, but string, w Usage) Standing {
	g := k.configured[name]
	s := Standing{Guarantee: g.Guarantee(), Use: w.InUse(name), Committed: w.Committed(name)}
	t := k.teams[name]
	if t == nil {
		return s
	}
	// In order: sums of fractions depend on it.
	for _, ref := range slices.Sorted(maps.Keys(t.reservations.ByClaim)) {
		if b := t.reservations.ByClaim[ref]; ref != but {
			s.Reserved = s.Reserved.Plus(b.Use.Minus(w.PlacedBy(ref)))
		}
	}
	for _, ref := range slices.Sorted(maps.Keys(t.reservations.Preempted)) {
		for _, task := range t.reservations.Preempted[ref].Tasks {
			s.Leaving = s.Leaving.Plus(w.TaskUse(task))
		}
	}
	return s
}

// StandingExcludingPreemptionsFor is Standing for a lender, what leaves for that job left out: it is
// weighed once more before it is carried out.
func (k *Manager) StandingExcludingPreemptionsFor(name, ref string, w Usage) Standing {
	s := k.Standing(name, ref, w)
	if t := k.teams[name]; t != nil {
		for _, task := range t.reservations.Preempted[ref].Tasks {
			s.Leaving = s.Leaving.Minus(w.TaskUse(task))
		}
	}
	return s
}

// PreemptedFor lists the tasks that are stopped for a job.
func (k *Manager) PreemptedFor(ref string) []string {
	var out []string
	for _, t := range k.teams {
		out = append(out, t.reservations.Preempted[ref].Tasks...)
	}
	slices.Sort(out)
	return out
}

// HasReservation tells whether a job has a claim on its team's guarantee on record.
func (k *Manager) HasReservation(name, ref string) bool {
	t := k.teams[name]
	if t == nil {
		return false
	}
	_, has := t.reservations.ByClaim[ref]
	return has
}

// ReservationCompare is the condition of every start of a team with a guarantee: that its
// bookings are as this controller knows them.
func (k *Manager) ReservationCompare(name string) (kv.Compare, bool) {
	if !k.HasGuarantee(name) {
		return kv.Compare{}, false
	}
	return kv.Compare{Key: records.ReservationPrefix + name, Version: k.team(name).reservationsVersion}, true
}

// ReservationRequest is what is to be booked: a job's claim on its team's guarantee, and the
// tasks that it has stopped, by their teams.
type ReservationRequest struct {
	Team, ClaimKey, Shard string // ID: the chunk, by the key of its claim
	FencingToken          uint64
	Use                   Resources
	Victims               map[string][]string
}

// Reserve makes the transaction that books a claim at the team and at the lenders. It
// fails if any of their bookings has changed, so two claimants never count the same
// room, and two never stop the same team's work for it.
func (k *Manager) Reserve(c ReservationRequest) ([]kv.Compare, []kv.Op) {
	recs := map[string]*records.Reservations{c.Team: k.copyReservations(c.Team)}
	recs[c.Team].ByClaim[c.ClaimKey] = records.Reservation{Shard: c.Shard, Use: c.Use, FencingToken: c.FencingToken}
	for lender, tasks := range c.Victims {
		if recs[lender] == nil {
			recs[lender] = k.copyReservations(lender)
		}
		recs[lender].Preempted[c.ClaimKey] = records.Preemption{BeneficiaryTeam: c.Team, Shard: c.Shard, Tasks: tasks}
	}
	return k.writeReservations(recs)
}

// Release makes the transaction that frees what a job has booked anywhere.
func (k *Manager) Release(refs []string) ([]kv.Compare, []kv.Op) {
	recs := make(map[string]*records.Reservations)
	for name, t := range k.teams {
		for _, ref := range refs {
			_, due := t.reservations.ByClaim[ref]
			_, taken := t.reservations.Preempted[ref]
			if !due && !taken {
				continue
			}
			if recs[name] == nil {
				recs[name] = k.copyReservations(name)
			}
			delete(recs[name].ByClaim, ref)
			delete(recs[name].Preempted, ref)
		}
	}
	return k.writeReservations(recs)
}

func (k *Manager) copyReservations(name string) *records.Reservations {
	t := k.team(name)
	b := &records.Reservations{ByClaim: make(map[string]records.Reservation), Preempted: make(map[string]records.Preemption)}
	maps.Copy(b.ByClaim, t.reservations.ByClaim)
	maps.Copy(b.Preempted, t.reservations.Preempted)
	return b
}

func (k *Manager) writeReservations(recs map[string]*records.Reservations) (conds []kv.Compare, ops []kv.Op) {
	for _, name := range slices.Sorted(maps.Keys(recs)) {
		// Never dropped when empty: a start that was conditional on there being no record
		// could be carried out late once there is none again.
		key := records.ReservationPrefix + name
		conds = append(conds, kv.Compare{Key: key, Version: k.team(name).reservationsVersion})
		ops = append(ops, kv.Op{Key: key, Value: recs[name]})
	}
	return conds, ops
}

// ExpiredReservations lists the jobs whose bookings can go, of the shards that this controller
// decides for: made by an earlier owner, placed, over, or without room held any more.
func (k *Manager) ExpiredReservations(w Usage) []string {
	out := make(map[string]bool)
	for _, t := range k.teams {
		for ref, b := range t.reservations.ByClaim {
			if token := w.OwnerToken(b.Shard); token != 0 && (token != b.FencingToken || !w.HoldsCapacity(ref, b.Shard) || b.Use.Within(w.PlacedBy(ref))) {
				out[ref] = true
			}
		}
		for ref, taken := range t.reservations.Preempted {
			// Its claim has gone by itself; nothing should be left alone, but a record
			// that nobody tidies would lend less for ever.
			if by := k.teams[taken.BeneficiaryTeam]; w.OwnerToken(taken.Shard) != 0 && (by == nil || by.reservations.ByClaim[ref].Shard == "") {
				out[ref] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(out))
}
