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

// checkPreemption tells what is wrong with a task's stop, or nothing: no task may be
// stopped for a team that has its guarantee. What of the team's other jobs runs, and what
// is reserved for the claim that the task is stopped for, must fit the guarantee together.
// The emulator calls it under the world's lock.
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
		for _, g := range [...]guaranteeUse{
			{teams[team].GuaranteedCPUs, claimed.CPUs, use[team].CPUs, own.CPUs},
			{teams[team].GuaranteedGPUs, claimed.GPUs, use[team].GPUs, own.GPUs},
		} {
			if g.isExceeded() {
				return fmt.Sprintf("%s is stopped for %s of %s, which has %v of %v and books %v", task, claimant, team, g.used, g.guarantee, g.claimed)
			}
		}
	}
	return ""
}

// claimantOf returns the key of the claim that a task is stopped for, if it is preempted,
// and the teams as they are configured.
func (c *cluster) claimantOf(task, host string) (claimant string, teams map[string]protocol.Team) {
	jobID, number, _ := protocol.ParseTaskName(task)
	c.checkerMu.Lock()
	defer c.checkerMu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(c.checked)) {
		claimant = cmp.Or(claimant, c.checked[name].PreemptedFor(jobID, number, host))
	}
	return claimant, maps.Clone(c.teams)
}

// guaranteeUse is how much of a team's guarantee, of CPUs or of GPUs, is taken.
type guaranteeUse struct {
	guarantee float64
	claimed   float64 // reserved for the claim
	used      float64 // by the team's running tasks
	own       float64 // of that by the claim's own
}

// isExceeded reports whether the claim takes the team beyond its guarantee.
func (g guaranteeUse) isExceeded() bool {
	const tolerance = 1e-6
	return g.guarantee > 0 && g.claimed > 0 && g.used-g.own+max(g.claimed, g.own) > g.guarantee+tolerance
}
