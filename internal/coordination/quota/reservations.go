package quota

import (
	"maps"
	"slices"

	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// Usage is the caller's view of the claims, with which reservations are compared. Claims are
// identified by their keys.
type Usage interface {
	// InUse returns the use of a team's tasks that are placed or whose placement is being
	// committed.
	InUse(team string) Resources
	// Committed returns the part of InUse that stays placed whatever the outcome of pending
	// commits.
	Committed(team string) Resources
	// PlacedBy returns the use of a claim's placements.
	PlacedBy(claim string) Resources
	// TaskUse returns the use of a task's placement, or zero once the placement has ended.
	// The task is named as in records.Preemption.
	TaskUse(task string) Resources
	// OwnerToken returns the fencing token with which this controller owns a shard, or 0
	// if it does not own the shard.
	OwnerToken(shard string) uint64
	// HoldsCapacity reports whether a claim's job is open and the shard still reserves the
	// capacity that is freed for the claim.
	HoldsCapacity(claim, shard string) bool
}

// ReservationRequest is a reservation of a chunk on its team's guarantee, and the tasks to
// be preempted for it.
type ReservationRequest struct {
	Team         string
	ClaimKey     string // key of the chunk's claim
	Shard        string // shard whose owner makes the reservation
	FencingToken uint64 // fencing token of the shard's owner
	Use          Resources
	Victims      map[string][]string // names of the tasks to be preempted, as in records.Preemption, by team
}

// HasReservation reports whether a claim has a reservation on its team's guarantee.
func (m *Manager) HasReservation(name, claim string) bool {
	team := m.teams[name]
	if team == nil {
		return false
	}
	_, has := team.reservations.ByClaim[claim]
	return has
}

// PreemptedFor returns the tasks of all teams that are preempted for a claim, sorted.
func (m *Manager) PreemptedFor(claim string) []string {
	var tasks []string
	for _, team := range m.teams {
		tasks = append(tasks, team.reservations.Preempted[claim].Tasks...)
	}
	slices.Sort(tasks)
	return tasks
}

// ReservationCompare returns the condition of every start of a team with a guarantee: that
// its reservations record still has the version cached here. It returns false for teams
// without a guarantee.
func (m *Manager) ReservationCompare(name string) (kv.Compare, bool) {
	if !m.HasGuarantee(name) {
		return kv.Compare{}, false
	}
	return kv.Compare{Key: records.ReservationPrefix + name, Version: m.team(name).reservationsVersion}, true
}

// Reserve returns the transaction that writes a reservation to the records of its team and of
// the teams that lose tasks. The transaction fails if any of these records has changed, so two
// claims never use the same part of a guarantee or of another team's surplus.
func (m *Manager) Reserve(request ReservationRequest) ([]kv.Compare, []kv.Op) {
	changed := map[string]*records.Reservations{request.Team: m.copyReservations(request.Team)}
	changed[request.Team].ByClaim[request.ClaimKey] = records.Reservation{Shard: request.Shard, Use: request.Use, FencingToken: request.FencingToken}
	for team, tasks := range request.Victims {
		if changed[team] == nil {
			changed[team] = m.copyReservations(team)
		}
		changed[team].Preempted[request.ClaimKey] = records.Preemption{BeneficiaryTeam: request.Team, Shard: request.Shard, Tasks: tasks}
	}
	return m.writeReservations(changed)
}

// Release returns the transaction that removes the reservations of claims, and the
// preemptions for them, from the records of all teams.
func (m *Manager) Release(claims []string) ([]kv.Compare, []kv.Op) {
	changed := make(map[string]*records.Reservations)
	for name, team := range m.teams {
		for _, claim := range claims {
			_, reserved := team.reservations.ByClaim[claim]
			_, preempted := team.reservations.Preempted[claim]
			if !reserved && !preempted {
				continue
			}
			if changed[name] == nil {
				changed[name] = m.copyReservations(name)
			}
			delete(changed[name].ByClaim, claim)
			delete(changed[name].Preempted, claim)
		}
	}
	return m.writeReservations(changed)
}

// copyReservations returns a copy of a team's record, to be changed and written.
func (m *Manager) copyReservations(name string) *records.Reservations {
	known := m.team(name).reservations
	record := &records.Reservations{ByClaim: make(map[string]records.Reservation), Preempted: make(map[string]records.Preemption)}
	maps.Copy(record.ByClaim, known.ByClaim)
	maps.Copy(record.Preempted, known.Preempted)
	return record
}

// writeReservations returns the transaction that writes teams' records, on the condition
// that they have the versions cached here. An empty record is written, not deleted:
// otherwise a delayed start whose condition is that no record exists could succeed after the
// deletion.
func (m *Manager) writeReservations(changed map[string]*records.Reservations) (compares []kv.Compare, ops []kv.Op) {
	for _, name := range slices.Sorted(maps.Keys(changed)) {
		key := records.ReservationPrefix + name
		compares = append(compares, kv.Compare{Key: key, Version: m.team(name).reservationsVersion})
		ops = append(ops, kv.Op{Key: key, Value: changed[name]})
	}
	return compares, ops
}

// ExpiredReservations returns the claims whose reservations or preemptions can be released,
// sorted, for the shards that this controller owns.
func (m *Manager) ExpiredReservations(usage Usage) []string {
	expired := make(map[string]bool)
	for _, team := range m.teams {
		for claim, reservation := range team.reservations.ByClaim {
			if isExpired(claim, reservation, usage) {
				expired[claim] = true
			}
		}
		for claim, preemption := range team.reservations.Preempted {
			if usage.OwnerToken(preemption.Shard) != 0 && m.isOrphaned(claim, preemption) {
				expired[claim] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(expired))
}

// isExpired reports whether a reservation can be released. The result is true only for
// reservations of shards that this controller owns, if an earlier owner made the reservation,
// no capacity is kept for the claim, or all of the reserved amount is placed.
func isExpired(claim string, reservation records.Reservation, usage Usage) bool {
	token := usage.OwnerToken(reservation.Shard)
	return token != 0 && (token != reservation.FencingToken || !usage.HoldsCapacity(claim, reservation.Shard) || reservation.Use.Within(usage.PlacedBy(claim)))
}

// isOrphaned reports whether the reservation that belongs to a preemption no longer exists.
// Reserve and Release write a reservation together with its preemptions; a preemption without
// its reservation would reduce its team's surplus forever.
func (m *Manager) isOrphaned(claim string, preemption records.Preemption) bool {
	beneficiary := m.teams[preemption.BeneficiaryTeam]
	return beneficiary == nil || beneficiary.reservations.ByClaim[claim].Shard == ""
}
