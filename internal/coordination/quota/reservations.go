package quota

import (
	"maps"
	"slices"

	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// Usage is what reservations are compared with: the caller's view of the claims. A claim
// is named by its key.
type Usage interface {
	// InUse returns what a team has placed or is placing.
	InUse(team string) Resources
	// Committed returns, of that, what stays placed however a commit under way ends.
	Committed(team string) Resources
	// PlacedBy returns what a claim has placed.
	PlacedBy(claim string) Resources
	// TaskUse returns what the placement of a task takes, named as in
	// records.Preemption; nothing once it is gone.
	TaskUse(task string) Resources
	// OwnerToken returns the fencing token with which this controller decides for a
	// shard; 0: it does not.
	OwnerToken(shard string) uint64
	// HoldsCapacity reports whether a claim's job is open and the capacity that is freed
	// for it in the shard is still kept for it.
	HoldsCapacity(claim, shard string) bool
}

// ReservationRequest is a reservation of a chunk on its team's guarantee, and the tasks to
// be preempted for it.
type ReservationRequest struct {
	Team         string
	ClaimKey     string // of the chunk
	Shard        string // whose owner asks
	FencingToken uint64 // of that owner
	Use          Resources
	Victims      map[string][]string // task names by team, as in records.Preemption
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
// its reservations are those that this controller knows. It reports false for other teams.
func (m *Manager) ReservationCompare(name string) (kv.Compare, bool) {
	if !m.HasGuarantee(name) {
		return kv.Compare{}, false
	}
	return kv.Compare{Key: records.ReservationPrefix + name, Version: m.team(name).reservationsVersion}, true
}

// Reserve returns the transaction that records a reservation at its team and at the teams
// that lose tasks. It fails if any of their records has changed, so no two claims count the
// same resources, and no two preempt the same team's tasks for them.
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

// Release returns the transaction that removes the claims' reservations, and what is
// recorded as preempted for them, at all teams.
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

// copyReservations returns a team's record for changing.
func (m *Manager) copyReservations(name string) *records.Reservations {
	known := m.team(name).reservations
	record := &records.Reservations{ByClaim: make(map[string]records.Reservation), Preempted: make(map[string]records.Preemption)}
	maps.Copy(record.ByClaim, known.ByClaim)
	maps.Copy(record.Preempted, known.Preempted)
	return record
}

// writeReservations returns the transaction that writes teams' records on the versions
// known. An empty record is written and not deleted: a start that is conditional on there
// being none could otherwise be carried out late, once there is none again.
func (m *Manager) writeReservations(changed map[string]*records.Reservations) (compares []kv.Compare, ops []kv.Op) {
	for _, name := range slices.Sorted(maps.Keys(changed)) {
		key := records.ReservationPrefix + name
		compares = append(compares, kv.Compare{Key: key, Version: m.team(name).reservationsVersion})
		ops = append(ops, kv.Op{Key: key, Value: changed[name]})
	}
	return compares, ops
}

// ExpiredReservations returns the claims whose reservations can be released, sorted, of the
// shards that this controller decides for.
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

// isExpired reports whether a reservation of a shard that this controller decides for has
// no use any more: an earlier owner made it, no capacity is kept for it, or all of it is
// placed.
func isExpired(claim string, reservation records.Reservation, usage Usage) bool {
	token := usage.OwnerToken(reservation.Shard)
	return token != 0 && (token != reservation.FencingToken || !usage.HoldsCapacity(claim, reservation.Shard) || reservation.Use.Within(usage.PlacedBy(claim)))
}

// isOrphaned reports whether the reservation that a preemption was recorded with is gone.
// Reserve and Release keep the two together; a preemption left alone would lower its
// team's surplus for ever.
func (m *Manager) isOrphaned(claim string, preemption records.Preemption) bool {
	beneficiary := m.teams[preemption.BeneficiaryTeam]
	return beneficiary == nil || beneficiary.reservations.ByClaim[claim].Shard == ""
}
