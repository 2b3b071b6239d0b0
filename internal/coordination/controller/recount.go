package controller

import (
	"fmt"
	"maps"
	"math"

	"madderslip/internal/coordination/quota"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// Recount works out from the claims alone what the indexes should hold, and
// says where they differ. It is for tests: it walks over everything.
func (n *Controller) Recount() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	places := make(map[string]map[string]*claim)
	use := make(map[teamShard]quota.Resources)
	inShard := make(map[*claim]string)
	for _, c := range n.claims {
		for _, rec := range []*records.Claim{c.rec, c.pend} {
			if rec == nil {
				continue
			}
			for _, p := range rec.Placements {
				if places[p.Host] == nil {
					places[p.Host] = make(map[string]*claim)
				}
				places[p.Host][protocol.TaskName(c.ref, p.Task)] = c
			}
		}
		rec := c.rec
		if rec == nil {
			rec = c.pend
		}
		if rec == nil {
			continue
		}
		inShard[c] = rec.Shard
		if c.spec != nil {
			k := teamShard{c.spec.Team, rec.Shard}
			use[k] = use[k].Plus(unitOf(c.spec).Times(float64(c.booked())))
		}
	}
	for host, h := range n.hosts {
		if len(h.places) != len(places[host]) {
			return fmt.Errorf("%s has %d places, counted %d", host, len(h.places), len(places[host]))
		}
		for name, p := range h.places {
			if places[host][name] != p.c {
				return fmt.Errorf("%s: place of %s", host, name)
			}
		}
	}
	for host := range places {
		if n.hosts[host] == nil {
			return fmt.Errorf("%s is not known", host)
		}
	}
	for k, u := range use {
		if got := n.use[k]; math.Abs(got.CPUs-u.CPUs) > eps || math.Abs(got.GPUs-u.GPUs) > eps {
			return fmt.Errorf("%v uses %v, counted %v", k, got, u)
		}
	}
	sure := make(map[string]quota.Resources)
	for _, c := range n.claims {
		if c.sum.kept {
			sure[c.spec.Team] = sure[c.spec.Team].Plus(unitOf(c.spec).Times(float64(c.sure())))
		}
	}
	for team, got := range n.teamSure {
		if !got.Within(sure[team]) || !sure[team].Within(got) {
			return fmt.Errorf("%s has %v for sure, counted %v", team, got, sure[team])
		}
	}
	for k, got := range n.use {
		if _, counted := use[k]; !counted && (got.CPUs > eps || got.GPUs > eps) {
			return fmt.Errorf("%v uses %v, counted nothing", k, got)
		}
	}
	for _, s := range n.shards {
		for c := range s.claims {
			if inShard[c] != s.name {
				return fmt.Errorf("%s is not a claim of %s", c.key, s.name)
			}
			delete(inShard, c)
		}
		kinds := make(map[machineKind]int)
		for _, m := range s.machines {
			kinds[m.kind()]++
		}
		if !maps.Equal(kinds, s.kinds) {
			return fmt.Errorf("%s has %v, counted %v", s.name, s.kinds, kinds)
		}
		for _, m := range s.machines {
			kept := m.left
			if m.stale {
				continue
			}
			m.stale = true
			if n.free(m); m.left != kept {
				return fmt.Errorf("%s had %v free, counted %v", m.host, kept, m.left)
			}
		}
	}
	for c, shard := range inShard {
		if _, wide := n.wideClaims[c]; (shard == "") != wide {
			return fmt.Errorf("%s is in no index", c.key)
		}
	}
	return nil
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
	count("jobs", len(n.jobs))
	count("claims", len(n.claims))
	count("claims without a job", len(n.orphans))
	count("wide claims", len(n.wideClaims))
	count("jobs with waiting tasks", len(n.hungry))
	count("plans to displace", len(n.plans))
	count("cancellations ahead of the watch", len(n.ahead))
	count("answers that wait for the watch", len(n.untold))
	count("hires without an answer", len(n.hires))
	for _, s := range n.shards {
		count("claims to look at in "+s.name, len(s.dirty))
	}
	for name, t := range n.teams {
		if t.busy {
			out = append(out, "team "+name+" is marked busy")
		}
	}
	for name, m := range n.machines {
		if m.returning && m.rec.State == records.MachineGone {
			continue
		}
		if m.returning {
			out = append(out, name+" is marked as being returned")
		}
	}
	return out
}
