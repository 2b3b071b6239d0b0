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

// gpuMachineWait is how long an array without placed tasks waits before it may use a machine
// that is kept for jobs with GPUs. Without this bound an array whose shard has only such
// machines would wait for as long as jobs with GPUs arrive.
const gpuMachineWait = 75 * time.Second

// claimAnywhereAfter is the time after which a job may be claimed by shards at which it is
// not queued, since all of its own shards may be full or unowned.
const claimAnywhereAfter = 4 * time.Second

// queue returns a shard's queue, ordered by priority and then by the time of acceptance.
// Within a priority, work within its team's guarantee comes first, then arrays that start
// ahead of their turn.
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
			delete(c.view.Unplaced, jobID) // a change of one of the job's claims adds the job again
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

// isOpen reports whether a job's description is cached and the job is not final.
func isOpen(job *replica.Job) bool {
	return job.Record != nil && job.Record.Spec != nil && !job.Record.IsFinal()
}

// appendEntries appends an entry for each chunk of a job of which a shard may place tasks
// now. allPlaced reports whether no task of the job is left to be placed in any shard.
func (c *Controller) appendEntries(entries []*placement.QueueEntry, shard *replica.Shard, job *replica.Job, onProbation bool, now time.Time) (appended []*placement.QueueEntry, allPlaced bool) {
	queuedHere := slices.Contains(job.Record.Shards, shard.Name) || now.Sub(job.SeenAt) > claimAnywhereAfter
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

// isPlaced reports whether the committed version of an entry's claim leaves no task to be placed.
// It returns false while another version is being committed.
func isPlaced(entry *placement.QueueEntry) bool {
	return entry.Claim != nil && entry.Claim.Pending == nil && entry.PlaceableTasks() == 0
}

// mayPlace reports whether a shard may commit placements of an entry now. Either the chunk is
// unclaimed and not left to another shard; or the shard holds its claim, the claim is neither
// being committed nor waiting for a retry, and no attempt of a gang is being ended.
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

// compareJobs orders jobs by priority, the highest first, then by the time of acceptance
// and by ID.
func compareJobs(a, b *replica.Job) int {
	if order := cmp.Compare(b.Spec().Priority(), a.Spec().Priority()); order != 0 {
		return order
	}
	if order := cmp.Compare(a.Record.AcceptedAtMs, b.Record.AcceptedAtMs); order != 0 {
		return order
	}
	return strings.Compare(a.ID, b.ID)
}

// comparePrecedence orders queue entries by priority, within a priority those within their
// team's guarantee first, then those that start ahead of their turn.
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

// moveAheadOfTurn moves the first chunk of each array that is still unclaimed after the
// policy's StartAheadAfter to the front of its priority, behind work within a guarantee.
// Best-effort arrays have their own share of the capacity instead
// (placement.BestEffortCapacity).
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

// scoredShard is a shard with its score, of which the lowest is the best.
type scoredShard struct {
	name  string
	score float64
}

// The parts of a shard's score. A fully used shard with nothing queued scores 1.
const (
	unknownLoadScore = 0.5  // score of a shard whose load is unknown: the shard is neither preferred nor avoided
	imageBonus       = 1    // subtracted for free capacity on a machine that holds the image
	ownShardBonus    = 0.05 // subtracted for a shard that this node owns
	noOwnerPenalty   = 10   // added for a shard without a live owner
)

// maxReportedLoadAge is the age at which a shard's reported load no longer counts.
const maxReportedLoadAge = 5 * time.Second

// chooseShards chooses the shards at which a job is queued: those with the best scores, as
// many as the policy's ShardsPerJob. Shards with free capacity on a machine that holds the image
// are preferred and, at a similar load, shards that this node owns.
func (c *Controller) chooseShards(spec *protocol.Submission, now time.Time) []string {
	var all []scoredShard
	for _, name := range c.view.ShardNames() {
		if shard := c.view.Shards[name]; shard.Record != nil {
			all = append(all, scoredShard{name, c.shardScore(shard, spec, now)})
		}
	}
	slices.SortStableFunc(all, func(a, b scoredShard) int { return cmp.Compare(a.score, b.score) })
	var chosen []string
	for _, shard := range all[:min(len(all), c.policy.ShardsPerJob)] {
		chosen = append(chosen, shard.name)
	}
	return chosen
}

// shardScore returns the score of a shard for a job, which rises with the shard's load. The
// load is the CPUs in use, the CPUs queued, and the CPUs that this controller has queued there
// since the shard last reported its load. The last part spreads a burst of jobs over the
// shards.
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
	// A claim's record holds a bounded number of placements, so the tasks of a larger chunk
	// run in waves. A job is cut into more chunks rather than run a chunk in more than
	// maxWaves waves, or in waves that take longer than maxWavesTime altogether.
	maxWaves     = 5
	maxWavesTime = 20 * time.Second
	// maxChunks bounds the chunks of a job, since finishing the job checks all of their claims.
	maxChunks = 24
	// chunksPerShard is how many small chunks (see smallChunkSize) it takes to fill the
	// smallest of the shards that may claim them.
	chunksPerShard = 4
)

// placementWaves returns in how many waves, each as large as a record may hold, the tasks of
// a job's chunk may run.
func (c *Controller) placementWaves(spec *protocol.Submission) int {
	return max(1, min(maxWaves, int(maxWavesTime/max(c.estimateRuntime(spec), time.Second))))
}

// chunkSize returns how many tasks of a job are claimed together. Gangs, services and jobs
// whose tasks depend on one another's zones are claimed whole, so that one record decides
// where their tasks may go. Other arrays are cut into few chunks, since each chunk costs
// writes of its own: as many as the policy's ShardsPerJob, or fewer where a chunk would be small
// compared with the shards that may claim it. Having several chunks prevents a whole array
// from waiting at one small shard while others have capacity.
//
// A claim's record holds only as many placements as fit a value, which bounds how many tasks
// of a chunk run at once. placementWaves therefore bounds the size of a chunk: too few chunks
// would leave capacity unused when tasks are short or values are small.
func (c *Controller) chunkSize(spec *protocol.Submission, shardNames []string) int {
	if spec.Shape != protocol.ShapeArray || spec.SameZone || spec.SpreadZones {
		return spec.Tasks
	}
	maxPlacements := c.settings.RecordLimits().MaxPlacements()
	chunks := min(max(1, c.policy.ShardsPerJob, (spec.Tasks-1)/(c.placementWaves(spec)*maxPlacements)+1), maxChunks)
	return min(spec.Tasks, max(c.policy.TasksPerChunk, (spec.Tasks+chunks-1)/chunks, c.smallChunkSize(spec, shardNames)))
}

// smallChunkSize returns how many tasks of a job make a chunk that is small compared with
// each shard that may claim the chunk, and whose placements fit into one value of the state
// service.
func (c *Controller) smallChunkSize(spec *protocol.Submission, shardNames []string) int {
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
