package controller

import (
	"fmt"

	"madderslip/internal/storage/records"
)

// Recount compares the indexes of the view with a count from scratch. It is for tests: it
// walks over everything.
func (c *Controller) Recount() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Recount()
}

// Residue lists what this node still keeps in memory although no job is open.
func (c *Controller) Residue() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	count := func(what string, k int) {
		if k > 0 {
			out = append(out, fmt.Sprintf("%d %s", k, what))
		}
	}
	count("jobs", len(c.view.Jobs))
	count("claims", len(c.view.Claims))
	count("claims without a job", len(c.view.OrphanClaims))
	count("wide claims", len(c.view.CrossShardClaims))
	count("jobs with waiting tasks", len(c.view.Unplaced))
	count("plans to displace", len(c.preemptions.plans))
	count("cancellations ahead of the watch", len(c.view.EarlyCancellations))
	count("answers that wait for the watch", len(c.pendingReplies))
	count("hires without an answer", len(c.view.Provisions))
	for _, shard := range c.view.Shards {
		count("claims to look at in "+shard.Name, len(shard.Dirty))
	}
	for name, usage := range c.view.Teams {
		if usage.Writing {
			out = append(out, "team "+name+" is marked busy")
		}
	}
	for name, machine := range c.view.Machines {
		if machine.Lifecycle.Returning && machine.Record.State == records.MachineGone {
			continue
		}
		if machine.Lifecycle.Returning {
			out = append(out, name+" is marked as being returned")
		}
	}
	return out
}
