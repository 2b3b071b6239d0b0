package controller

import (
	"fmt"

	"madderslip/internal/storage/records"
)

// Recount compares the indexes of the view with a count from scratch. It is for tests: it
// walks over everything.
func (n *Controller) Recount() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Recount()
}

// Residue lists what this node still keeps in memory although no job is open.
func (n *Controller) Residue() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	count := func(what string, k int) {
		if k > 0 {
			out = append(out, fmt.Sprintf("%d %s", k, what))
		}
	}
	count("jobs", len(n.view.Jobs))
	count("claims", len(n.view.Claims))
	count("claims without a job", len(n.view.OrphanClaims))
	count("wide claims", len(n.view.CrossShardClaims))
	count("jobs with waiting tasks", len(n.view.Unplaced))
	count("plans to displace", len(n.preemptions.plans))
	count("cancellations ahead of the watch", len(n.view.EarlyCancellations))
	count("answers that wait for the watch", len(n.pendingReplies))
	count("hires without an answer", len(n.view.Provisions))
	for _, s := range n.view.Shards {
		count("claims to look at in "+s.Name, len(s.Dirty))
	}
	for name, t := range n.view.Teams {
		if t.Writing {
			out = append(out, "team "+name+" is marked busy")
		}
	}
	for name, m := range n.view.Machines {
		if m.Lifecycle.Returning && m.Record.State == records.MachineGone {
			continue
		}
		if m.Lifecycle.Returning {
			out = append(out, name+" is marked as being returned")
		}
	}
	return out
}
