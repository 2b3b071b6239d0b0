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
func (c *Controller) queue(shard *replica.Shard, now time.Time) []*placement.QueueEntry {
	var q []*placement.QueueEntry
	for jobID, job := range c.view.Unplaced {
		if c.view.Jobs[jobID] != job || job.Record == nil || job.Record.Spec == nil || job.Record.IsFinal() {
			delete(c.view.Unplaced, jobID)
			continue
		}
		trial := job.OnProbation(now)
		if now.Before(job.NotBefore) || job.Evidence.InBackoff(now) || (trial && job.ProbationRunning()) {
			continue
		}
		queued := slices.Contains(job.Record.Shards, shard.Name) || now.Sub(job.SeenAt) > widenAfter
		fed := true
		for i := range job.Chunks {
			claim := job.Claims[i]
			if claim == nil && !queued {
				fed = false
				continue
			}
			if claim == nil {
				claim = c.view.ClaimOf(job, i)
			}
			if claim == nil {
				fed = false
				if now.After(job.LeftUntil[i]) {
					q = append(q, &placement.QueueEntry{Job: job, Chunk: i, Spec: job.Spec(), OnProbation: trial})
				}
				continue
			}
			entry := &placement.QueueEntry{Job: job, Claim: claim, Chunk: i, Spec: job.Spec(), OnProbation: trial}
			if claim.Pending == nil && entry.PlaceableTasks() == 0 {
				continue
			}
			fed = false
			if claim.Record != nil && claim.Record.Shard == shard.Name && claim.Pending == nil && !now.Before(claim.RetryAt) && (!claim.Halted() || len(claim.Record.Placements) == 0) {
				q = append(q, entry)
			}
		}
		if fed {
			delete(c.view.Unplaced, jobID) // until a claim of it changes
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
	c.prioritizeEntitled(q)
	c.moveAheadOfTurn(q, now)
	return q
}

// moveAheadOfTurn moves the arrays whose beginning can't wait for its turn to the front of
// their rank, behind what is within a guarantee. Those of the lowest rank have a share
// of their own (package leftover).
func (c *Controller) moveAheadOfTurn(queue []*placement.QueueEntry, now time.Time) {
	some := false
	for _, entry := range queue {
		entry.StartsAhead = entry.Spec.Shape == protocol.ShapeArray && !placement.IsBestEffort(entry.Spec) && entry.Chunk == 0 && !entry.OnProbation &&
			placement.StartsAhead(now.Sub(entry.Job.QueuedAt()), c.policy.StartAheadAfter, len(entry.Job.Claims) > 0)
		some = some || entry.StartsAhead
	}
	if some {
		slices.SortStableFunc(queue, func(a, b *placement.QueueEntry) int {
			return cmp.Or(cmp.Compare(b.Spec.Priority(), a.Spec.Priority()), cmp.Compare(boolToInt(b.WithinGuarantee), boolToInt(a.WithinGuarantee)), cmp.Compare(boolToInt(b.StartsAhead), boolToInt(a.StartsAhead)))
		})
	}
}

// chooseShards picks the K least-loaded shards for a job. A shard counts as
// loaded by what runs, what waits there, and what this node has queued there
// since the shard's latest figure, so that a burst spreads. A shard with room
// on a machine that holds the image goes first, this node's own before others.
func (c *Controller) chooseShards(spec *protocol.Submission, now time.Time) []string {
	type scored struct {
		name  string
		score float64
	}
	var all []scored
	for _, name := range c.view.ShardNames() {
		shard := c.view.Shards[name]
		if shard.Record == nil {
			continue
		}
		reported, ok := c.shardLoads.reported[name]
		if c.view.IsActive(shard) {
			reported, ok = replica.ReportedLoad{Load: c.shardLoad(shard), At: now}, true
		}
		score := 0.5 // unknown or stale: neither sought nor shunned
		if ok && now.Sub(reported.At) < 5*time.Second {
			total := max(reported.Load.CPUs, 1)
			score = (reported.Load.UsedCPUs + reported.Load.QueuedCPUs + c.shardLoads.queuedSince[name]) / total
			if reported.Load.FreeCPUsByImage[spec.Image]+tolerance >= spec.CPUs {
				score -= 1
			}
		}
		if c.view.IsActive(shard) {
			score -= 0.05
		}
		if _, live := c.view.Nodes[shard.Record.Owner]; !live {
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
	for _, x := range all[:min(len(all), c.policy.Copies)] {
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
func (c *Controller) placementWaves(spec *protocol.Submission) int {
	return max(1, min(maxWaves, int(maxWavesTime/max(c.estimateRuntime(spec), time.Second))))
}

// chunkSize is how many tasks of a job are claimed together. Gangs, services
// and jobs whose tasks depend on one another's zones are claimed whole, so
// that one record decides where their tasks may go. Other arrays make as few
// chunks as they well can, since each costs its own writes: as many as they have
// copies, or fewer where a chunk is small beside the shards that may claim it.
// On small shards a whole array in one of them waited while others had room.
func (c *Controller) chunkSize(spec *protocol.Submission, at []string) int {
	const maxChunks = 24 // finishing a job compares them all
	if spec.Shape != protocol.ShapeArray || spec.SameZone || spec.SpreadZones {
		return spec.Tasks
	}
	cpus := math.Inf(1)
	for _, name := range at {
		cpus = min(cpus, c.shardLoads.reported[name].Load.CPUs)
	}
	small := c.settings.RecordLimits().MaxPlacements()
	if spec.CPUs > 0 {
		small = int(min(float64(small), cpus/4/spec.CPUs))
	}
	// A chunk has no more placements at a time than fit a value: 25,000 tasks of 4 s in
	// two chunks took longer than 400 s beside free room, and where values are small an
	// array of 350 tasks of 25 s ran 138 of them at a time.
	parts := min(max(1, c.policy.Copies, (spec.Tasks-1)/(c.placementWaves(spec)*c.settings.RecordLimits().MaxPlacements())+1), maxChunks)
	return min(spec.Tasks, max(c.policy.TasksPerChunk, (spec.Tasks+parts-1)/parts, small))
}
