package controller

import (
	"fmt"

	"madderslip/internal/storage/records"
)

// Recount recomputes the indexes of the view and returns an error that lists where the
// maintained indexes differ. It is meant for tests, since it walks the whole view.
func (c *Controller) Recount() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Recount()
}

// Residue lists the state of jobs and of work in progress that this controller still holds in
// memory. It is meant for tests, which expect an empty list once no job is open.
func (c *Controller) Residue() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	count := func(what string, number int) {
		if number > 0 {
			out = append(out, fmt.Sprintf("%d %s", number, what))
		}
	}
	count("jobs", len(c.view.Jobs))
	count("claims", len(c.view.Claims))
	count("claims without a job", len(c.view.OrphanClaims))
	count("cross-shard claims", len(c.view.CrossShardClaims))
	count("jobs with unplaced tasks", len(c.view.Unplaced))
	count("preemption plans", len(c.preemptions.plans))
	count("cancellations ahead of the watch", len(c.view.EarlyCancellations))
	count("pending replies", len(c.pendingReplies))
	count("provisions without an answer", len(c.view.Provisions))
	for _, shard := range c.view.Shards {
		count("dirty claims in "+shard.Name, len(shard.Dirty))
	}
	for name, usage := range c.view.Teams {
		if usage.Writing {
			out = append(out, "a change of the usage of team "+name+" in progress")
		}
	}
	for name, machine := range c.view.Machines {
		if machine.Lifecycle.Returning && machine.Record.State != records.MachineGone {
			out = append(out, "a return of "+name+" in progress")
		}
	}
	return out
}
