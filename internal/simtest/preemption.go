package simtest

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// checkPreemption checks that a stopped task is not preempted for a team that already has
// its guarantee: the use of the team's other jobs and the resources reserved for the claim
// for which the task is stopped must fit into the guarantee together. Tasks of the claim that
// were placed when the reservation was recorded, and are done by now, use none of it. It returns a
// description of the violation, or an empty string if there is none. The emulator calls it
// with the world's lock held.
func (c *cluster) checkPreemption(task, host string, use map[string]protocol.Resources) string {
	claimant, teams := c.claimantOf(task, host)
	if claimant == "" {
		return ""
	}
	stored := c.records()
	jobID, _, _ := records.ParseClaimKey(claimant)
	var claim records.Claim
	_ = json.Unmarshal(stored[claimant], &claim)
	own := c.world.JobUse(jobID, claim.FirstTask, claim.FirstTask+claim.TaskCount)
	for _, key := range slices.Sorted(maps.Keys(stored)) {
		team, isReservation := strings.CutPrefix(key, records.ReservationPrefix)
		var reservations records.Reservations
		if !isReservation || json.Unmarshal(stored[key], &reservations) != nil {
			continue
		}
		claimed := reservations.ByClaim[claimant].Use
		if claimed != (protocol.Resources{}) {
			claimed = claimed.Minus(c.world.DoneUse(jobID, c.placedAtReservation(key, claimant, claimed)))
		}
		for _, g := range [...]guaranteeUse{
			{teams[team].GuaranteedCPUs, claimed.CPUs, use[team].CPUs, own.CPUs},
			{teams[team].GuaranteedGPUs, claimed.GPUs, use[team].GPUs, own.GPUs},
		} {
			if g.isExceeded() {
				return fmt.Sprintf("%s is preempted for %s of team %s, which uses %v of its guarantee of %v and reserves %v", task, claimant, team, g.used, g.guarantee, g.claimed)
			}
		}
	}
	return ""
}

// placedAtReservation lists the tasks of a claim that were placed when its present reservation was
// recorded.
func (c *cluster) placedAtReservation(reservationKey, claimKey string, reserved protocol.Resources) (indexes []int) {
	recordedAt := uint64(0) // 0: the last change seen does not have the reservation
	for _, change := range c.world.State.ChangesOf(updateKeyPrefix + reservationKey) {
		var reservations records.Reservations
		if json.Unmarshal(change.Value, &reservations) != nil || reservations.ByClaim[claimKey].Use != reserved {
			recordedAt = 0
		} else if recordedAt == 0 {
			recordedAt = change.Version
		}
	}
	var claim records.Claim
	for _, change := range c.world.State.ChangesOf(updateKeyPrefix + claimKey) {
		if change.Version < recordedAt {
			claim = records.Claim{}
			_ = json.Unmarshal(change.Value, &claim)
		}
	}
	for _, placement := range claim.Placements {
		indexes = append(indexes, placement.Task)
	}
	return indexes
}

// claimantOf returns the key of the claim for which a task is preempted, empty if the task
// is not preempted, and the teams as they are configured.
func (c *cluster) claimantOf(task, host string) (claimant string, teams map[string]protocol.Team) {
	jobID, number, _ := protocol.ParseTaskName(task)
	c.checkerMu.Lock()
	defer c.checkerMu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(c.checked)) {
		claimant = cmp.Or(claimant, c.checked[name].PreemptedFor(jobID, number, host))
	}
	return claimant, maps.Clone(c.teams)
}

// guaranteeUse is how a claim and the running tasks of its team use the team's guarantee of
// one resource, CPUs or GPUs.
type guaranteeUse struct {
	guarantee float64
	claimed   float64 // amount reserved for the claim
	used      float64 // amount used by the team's running tasks
	own       float64 // part of used that is used by the claim's own tasks
}

// isExceeded reports whether the claim takes the team beyond its guarantee.
func (g guaranteeUse) isExceeded() bool {
	const tolerance = 1e-6
	return g.guarantee > 0 && g.claimed > 0 && g.used-g.own+max(g.claimed, g.own) > g.guarantee+tolerance
}
