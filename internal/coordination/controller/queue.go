package controller

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"madderslip/internal/coordination/placement"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
)

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// gpuMachineWait is how long an array waits with none of its tasks placed beside machines that
// are kept for jobs with cards. Where all that its shard has are such machines it waited
// for as long as jobs with cards had come of late.
const gpuMachineWait = 75 * time.Second

// widenAfter is when a job may be taken by shards it was not queued at, since
// all of its own may be full, or without an owner.
const widenAfter = 4 * time.Second

// queue is a shard's queue: by priority, then first come.
func (n *Controller) queue(s *replica.Shard, now time.Time) []*placement.QueueEntry {
	var q []*placement.QueueEntry
	for ref, j := range n.view.Unplaced {
		if n.view.Jobs[ref] != j || j.Record == nil || j.Record.Spec == nil || j.Record.IsFinal() {
			delete(n.view.Unplaced, ref)
			continue
		}
		trial := j.OnProbation(now)
		if now.Before(j.NotBefore) || j.Evidence.InBackoff(now) || (trial && j.ProbationRunning()) {
			continue
		}
		queued := slices.Contains(j.Record.Shards, s.Name) || now.Sub(j.SeenAt) > widenAfter
		fed := true
		for i := range j.Chunks {
			c := j.Claims[i]
			if c == nil && !queued {
				fed = false
				continue
			}
			if c == nil {
				c = n.view.ClaimOf(j, i)
			}
			if c == nil {
				fed = false
				if now.After(j.LeftUntil[i]) {
					q = append(q, &placement.QueueEntry{Job: j, Chunk: i, Spec: j.Spec(), OnProbation: trial})
				}
				continue
			}
			u := &placement.QueueEntry{Job: j, Claim: c, Chunk: i, Spec: j.Spec(), OnProbation: trial}
			if c.Pending == nil && u.PlaceableTasks() == 0 {
				continue
			}
			fed = false
			if c.Record != nil && c.Record.Shard == s.Name && c.Pending == nil && !now.Before(c.RetryAt) && (!c.Halted() || len(c.Record.Placements) == 0) {
				q = append(q, u)
			}
		}
		if fed {
			delete(n.view.Unplaced, ref) // until a claim of it changes
		}
	}
	slices.SortFunc(q, func(a, b *placement.QueueEntry) int {
		if a.Spec.Priority() != b.Spec.Priority() {
			return b.Spec.Priority() - a.Spec.Priority()
		}
		if a.Job.Record.AcceptedAtMs != b.Job.Record.AcceptedAtMs {
			if a.Job.Record.AcceptedAtMs < b.Job.Record.AcceptedAtMs {
				return -1
			}
			return 1
		}
		if a.Job != b.Job {
			return strings.Compare(a.Job.ID, b.Job.ID)
		}
		return a.Chunk - b.Chunk
	})
	n.prioritizeEntitled(q)
	n.moveAheadOfTurn(q, now)
	return q
}

// moveAheadOfTurn moves the arrays whose beginning can't wait for its turn to the front of
// their rank, behind what is within a guarantee. Those of the lowest rank have a share
// of their own (package leftover).
func (n *Controller) moveAheadOfTurn(q []*placement.QueueEntry, now time.Time) {
	some := false
	for _, u := range q {
		u.StartsAhead = u.Spec.Shape == protocol.ShapeArray && !placement.IsBestEffort(u.Spec) && u.Chunk == 0 && !u.OnProbation &&
			placement.StartsAhead(now.Sub(u.Job.QueuedAt()), n.policy.StartAheadAfter, len(u.Job.Claims) > 0)
		some = some || u.StartsAhead
	}
	if some {
		slices.SortStableFunc(q, func(a, b *placement.QueueEntry) int {
			return cmp.Or(cmp.Compare(b.Spec.Priority(), a.Spec.Priority()), cmp.Compare(boolToInt(b.WithinGuarantee), boolToInt(a.WithinGuarantee)), cmp.Compare(boolToInt(b.StartsAhead), boolToInt(a.StartsAhead)))
		})
	}
}

// chooseShards picks the K least-loaded shards for a job. A shard counts as
// loaded by what runs, what waits there, and what this node has queued there
// since the shard's latest figure, so that a burst spreads. A shard with room
// on a machine that holds the image goes first, this node's own before others.
func (n *Controller) chooseShards(s *protocol.Submission, now time.Time) []string {
	type scored struct {
		name  string
		score float64
	}
	var all []scored
	for _, name := range n.view.ShardNames() {
		sh := n.view.Shards[name]
		if sh.Record == nil {
			continue
		}
		l, ok := n.shardLoads.reported[name]
		if n.view.IsActive(sh) {
			l, ok = replica.ReportedLoad{Load: n.shardLoad(sh), At: now}, true
		}
		score := 0.5 // unknown or stale: neither sought nor shunned
		if ok && now.Sub(l.At) < 5*time.Second {
			total := max(l.Load.CPUs, 1)
			score = (l.Load.UsedCPUs + l.Load.QueuedCPUs + n.shardLoads.queuedSince[name]) / total
			if l.Load.FreeCPUsByImage[s.Image]+tolerance >= s.CPUs {
				score -= 1
			}
		}
		if n.view.IsActive(sh) {
			score -= 0.05
		}
		if _, live := n.view.Nodes[sh.Record.Owner]; !live {
			score += 10
		}
		all = append(all, scored{name, score})
	}
	slices.SortStableFunc(all, func(a, b scored) int {
		switch {
		case a.score < b.score:
			return -1
		case a.score > b.score:
			return 1
		}
		return 0
	})
	var at []string
	for _, x := range all[:min(len(all), n.policy.Copies)] {
		at = append(at, x.name)
	}
	return at
}

const (
	// maxWaves is how often a chunk's placements may fill a value at the most, and
	// maxWavesTime for how long, before the job is cut into more chunks.
	maxWaves     = 5
	maxWavesTime = 20 * time.Second
)

// placementWaves is how often the placements of a chunk of a job may fill a value.
func (n *Controller) placementWaves(s *protocol.Submission) int {
	return max(1, min(maxWaves, int(maxWavesTime/max(n.estimateRuntime(s), time.Second))))
}

// chunkSize is how many tasks of a job are claimed together. Gangs, services
// and jobs whose tasks depend on one another's zones are claimed whole, so
// that one record decides where their tasks may go. Other arrays make as few
// chunks as they well can, since each costs its own writes: as many as they have
// copies, or fewer where a chunk is small beside the shards that may claim it.
// On small shards a whole array in one of them waited while others had room.
func (n *Controller) chunkSize(s *protocol.Submission, at []string) int {
	const maxChunks = 24 // finishing a job compares them all
	if s.Shape != protocol.ShapeArray || s.SameZone || s.SpreadZones {
		return s.Tasks
	}
	cpus := math.Inf(1)
	for _, name := range at {
		cpus = min(cpus, n.shardLoads.reported[name].Load.CPUs)
	}
	small := n.settings.RecordLimits().MaxPlacements()
	if s.CPUs > 0 {
		small = int(min(float64(small), cpus/4/s.CPUs))
	}
	// A chunk has no more placements at a time than fit a value: 25,000 tasks of 4 s in
	// two chunks took longer than 400 s beside free room, and where values are small an
	// array of 350 tasks of 25 s ran 138 of them at a time.
	parts := min(max(1, n.policy.Copies, (s.Tasks-1)/(n.placementWaves(s)*n.settings.RecordLimits().MaxPlacements())+1), maxChunks)
	return min(s.Tasks, max(n.policy.TasksPerChunk, (s.Tasks+parts-1)/parts, small))
}
