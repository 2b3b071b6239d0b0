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

// gpuMachineWait is how long an array waits with none of its tasks placed beside machines
// that are kept for jobs with GPUs. It prevents an array whose shard has only such machines
// from waiting for as long as jobs with GPUs arrive.
const gpuMachineWait = 75 * time.Second

// widenAfter is when a job may be claimed by shards that it is not queued at, since all of
// its own may be full, or without an owner.
const widenAfter = 4 * time.Second

// queue returns a shard's queue: by priority, then in the order of acceptance, with
// entitled work and arrays that start ahead of their turn first within a priority.
func (c *Controller) queue(shard *replica.Shard, now time.Time) []*placement.QueueEntry {
	var entries []*placement.QueueEntry
	for jobID, job := range c.view.Unplaced {
		if c.view.Jobs[jobID] != job || !isOpen(job) {
			delete(c.view.Unplaced, jobID)
			continue
		}
		onProbation := job.OnProbation(now)
		if now.Before(job.NotBefore) || job.Evidence.InBackoff(now) || (onProbation && job.HasPlacements()) {
			continue
		}
		var allPlaced bool
		if entries, allPlaced = c.appendEntries(entries, shard, job, onProbation, now); allPlaced {
			delete(c.view.Unplaced, jobID) // until a claim of it changes
		}
	}
	slices.SortFunc(entries, func(a, b *placement.QueueEntry) int {
		if order := compareJobs(a.Job, b.Job); order != 0 {
			return order
		}
		return a.Chunk - b.Chunk
	})
	c.prioritizeEntitled(entries)
	c.moveAheadOfTurn(entries, now)
	return entries
}

// isOpen reports whether a job's description is known and the job is not final.
func isOpen(job *replica.Job) bool {
	return job.Record != nil && job.Record.Spec != nil && !job.Record.IsFinal()
}

// appendEntries appends the entries of a job's chunks that a shard may place tasks of now.
// It reports whether no task of the job is left to be placed anywhere.
func (c *Controller) appendEntries(entries []*placement.QueueEntry, shard *replica.Shard, job *replica.Job, onProbation bool, now time.Time) (appended []*placement.QueueEntry, allPlaced bool) {
	queuedHere := slices.Contains(job.Record.Shards, shard.Name) || now.Sub(job.SeenAt) > widenAfter
	allPlaced = true
	for chunk := range job.Chunks {
		if job.Claims[chunk] == nil && !queuedHere {
			allPlaced = false
			continue
		}
		entry := &placement.QueueEntry{Job: job, Claim: c.view.ClaimOf(job, chunk), Chunk: chunk, Spec: job.Spec(), OnProbation: onProbation}
		if isPlaced(entry) {
			continue
		}
		allPlaced = false
		if mayPlace(shard, entry, now) {
			entries = append(entries, entry)
		}
	}
	return entries, allPlaced
}

// isPlaced reports whether no task of an entry is left to be placed, by the committed
// version of its claim.
func isPlaced(entry *placement.QueueEntry) bool {
	return entry.Claim != nil && entry.Claim.Pending == nil && entry.PlaceableTasks() == 0
}

// mayPlace reports whether a shard may commit placements of an entry now: the chunk is
// unclaimed and not left to another shard, or the shard holds its claim, no commit of it is
// under way, and no attempt of a gang is being ended.
func mayPlace(shard *replica.Shard, entry *placement.QueueEntry, now time.Time) bool {
	claim := entry.Claim
	if claim == nil {
		return now.After(entry.Job.DeferredUntil[entry.Chunk])
	}
	if claim.Record == nil || claim.Record.Shard != shard.Name || claim.Pending != nil || now.Before(claim.RetryAt) {
		return false
	}
	return !claim.Halted() || len(claim.Record.Placements) == 0
}

// compareJobs orders jobs by priority, the highest first, then by acceptance and ID.
func compareJobs(a, b *replica.Job) int {
	if order := cmp.Compare(b.Spec().Priority(), a.Spec().Priority()); order != 0 {
		return order
	}
	if order := cmp.Compare(a.Record.AcceptedAtMs, b.Record.AcceptedAtMs); order != 0 {
		return order
	}
	return strings.Compare(a.ID, b.ID)
}

// comparePrecedence orders queue entries by priority, within a priority those on a team's
// guarantee first, then those that start ahead of their turn.
func comparePrecedence(a, b *placement.QueueEntry) int {
	return cmp.Or(cmp.Compare(b.Spec.Priority(), a.Spec.Priority()), compareTrueFirst(a.WithinGuarantee, b.WithinGuarantee), compareTrueFirst(a.StartsAhead, b.StartsAhead))
}

// compareTrueFirst orders true before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// moveAheadOfTurn moves the arrays whose first task can't wait for its turn to the front of
// their priority, behind what is within a guarantee. Best-effort arrays have a share of
// their own instead (placement.BestEffortCapacity).
func (c *Controller) moveAheadOfTurn(queue []*placement.QueueEntry, now time.Time) {
	anyAhead := false
	for _, entry := range queue {
		entry.StartsAhead = mayStartAhead(entry) && placement.StartsAhead(now.Sub(entry.Job.QueuedAt()), c.policy.StartAheadAfter, len(entry.Job.Claims) > 0)
		anyAhead = anyAhead || entry.StartsAhead
	}
	if anyAhead {
		slices.SortStableFunc(queue, comparePrecedence)
	}
}

// mayStartAhead reports whether an entry is the first chunk of an array that is neither
// best effort nor on probation.
func mayStartAhead(entry *placement.QueueEntry) bool {
	return entry.Spec.Shape == protocol.ShapeArray && !placement.IsBestEffort(entry.Spec) && entry.Chunk == 0 && !entry.OnProbation
}

// scoredShard is a shard and how loaded it is; the lower score is better.
type scoredShard struct {
	name  string
	score float64
}

// The parts of a shard's score. A fully used shard with nothing queued scores 1.
const (
	unknownLoadScore = 0.5  // neither preferred nor avoided
	imageBonus       = 1    // for free capacity on a machine that holds the image
	ownShardBonus    = 0.05 // for a shard of this node
	noOwnerPenalty   = 10   // for a shard without a live owner
)

// maxReportedLoadAge is the age at which a shard's reported load no longer counts.
const maxReportedLoadAge = 5 * time.Second

// chooseShards chooses the least loaded shards for a job, as many as it has copies. A shard
// with capacity on a machine that holds the image goes first, this node's own before
// others.
func (c *Controller) chooseShards(spec *protocol.Submission, now time.Time) []string {
	var all []scoredShard
	for _, name := range c.view.ShardNames() {
		if shard := c.view.Shards[name]; shard.Record != nil {
			all = append(all, scoredShard{name, c.shardScore(shard, spec, now)})
		}
	}
	slices.SortStableFunc(all, func(a, b scoredShard) int { return cmp.Compare(a.score, b.score) })
	var chosen []string
	for _, shard := range all[:min(len(all), c.policy.Copies)] {
		chosen = append(chosen, shard.name)
	}
	return chosen
}

// shardScore returns how loaded a shard is for a job. What runs counts, what is queued
// there, and what this node has queued there since the shard last reported its load, so
// that a burst spreads.
func (c *Controller) shardScore(shard *replica.Shard, spec *protocol.Submission, now time.Time) float64 {
	reported, known := c.shardLoads.reported[shard.Name]
	if c.view.IsActive(shard) {
		reported, known = replica.ReportedLoad{Load: c.shardLoad(shard), At: now}, true
	}
	score := unknownLoadScore
	if known && now.Sub(reported.At) < maxReportedLoadAge {
		total := max(reported.Load.CPUs, 1)
		score = (reported.Load.UsedCPUs + reported.Load.QueuedCPUs + c.shardLoads.queuedSince[shard.Name]) / total
		if reported.Load.FreeCPUsByImage[spec.Image]+tolerance >= spec.CPUs {
			score -= imageBonus
		}
	}
	if c.view.IsActive(shard) {
		score -= ownShardBonus
	}
	if _, live := c.view.Nodes[shard.Record.Owner]; !live {
		score += noOwnerPenalty
	}
	return score
}

const (
	// maxWaves is how many times a chunk's placements may fill a record's value at most,
	// and maxWavesTime how long that may take, before the job is cut into more chunks.
	maxWaves     = 5
	maxWavesTime = 20 * time.Second
	// maxChunks bounds the chunks of a job: finishing the job compares them all.
	maxChunks = 24
	// chunksPerShard is how many chunks of a job fill a shard, the smallest that may claim
	// them.
	chunksPerShard = 4
)

// placementWaves returns how many times the placements of a job's chunk may fill a value.
func (c *Controller) placementWaves(spec *protocol.Submission) int {
	return max(1, min(maxWaves, int(maxWavesTime/max(c.estimateRuntime(spec), time.Second))))
}

// chunkSize returns how many tasks of a job are claimed together. Gangs, services and jobs
// whose tasks depend on one another's zones are claimed whole, so that one record decides
// where their tasks may go. Other arrays make as few chunks as they well can, since each
// costs writes of its own: as many as they have copies, or fewer where a chunk is small
// beside the shards that may claim it. More chunks than one prevent a whole array from
// waiting at one small shard while others have capacity.
//
// A chunk has no more placements at a time than fit a value, which bounds how many of its
// tasks run at once. placementWaves therefore limits its size: too few chunks leave
// capacity unused when tasks are short or values small.
func (c *Controller) chunkSize(spec *protocol.Submission, shardNames []string) int {
	if spec.Shape != protocol.ShapeArray || spec.SameZone || spec.SpreadZones {
		return spec.Tasks
	}
	maxPlacements := c.settings.RecordLimits().MaxPlacements()
	chunks := min(max(1, c.policy.Copies, (spec.Tasks-1)/(c.placementWaves(spec)*maxPlacements)+1), maxChunks)
	return min(spec.Tasks, max(c.policy.TasksPerChunk, (spec.Tasks+chunks-1)/chunks, c.smallChunk(spec, shardNames)))
}

// smallChunk returns how many tasks of a job are few beside each of the shards that may
// claim them, and fit a value.
func (c *Controller) smallChunk(spec *protocol.Submission, shardNames []string) int {
	maxPlacements := c.settings.RecordLimits().MaxPlacements()
	if spec.CPUs <= 0 {
		return maxPlacements
	}
	shardCPUs := math.Inf(1)
	for _, name := range shardNames {
		shardCPUs = min(shardCPUs, c.shardLoads.reported[name].Load.CPUs)
	}
	return int(min(float64(maxPlacements), shardCPUs/chunksPerShard/spec.CPUs))
}
