package placement

import (
	"strings"
	"time"

	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
)

// QueueEntry is a chunk of a job in the queue of one shard: an unclaimed chunk, or a claimed
// chunk with unplaced tasks.
type QueueEntry struct {
	Job                  *replica.Job
	Claim                *replica.Claim // nil if the chunk is unclaimed
	Chunk                int
	Spec                 *protocol.Submission
	WithinGuarantee      bool // the entry is within the guarantee of its team
	OnProbation          bool // the job fails wherever it runs, so that one of its tasks is started at a time
	StartsAhead          bool // one task of the entry starts ahead of its turn
	BestEffort           bool // the entry uses the capacity that other work leaves
	MaxBestEffortTasks   int  // number of tasks that may start now, if BestEffort is set
	OverdueForGPUMachine bool // the entry is an array that has waited so long that it may use a machine kept for GPU jobs
}

// TaskRange returns the index of the entry's first task and the number of its tasks.
func (e *QueueEntry) TaskRange() (first, count int) {
	if e.Claim != nil && e.Claim.Record != nil {
		return e.Claim.Record.FirstTask, e.Claim.Record.TaskCount
	}
	first = e.Chunk * e.Job.ChunkSize
	return first, min(e.Job.ChunkSize, e.Spec.Tasks-first)
}

// PlaceableTasks counts the entry's tasks that may be placed now.
func (e *QueueEntry) PlaceableTasks() int {
	if e.StartsAhead {
		return min(e.UnplacedTasks(), 1)
	}
	return e.UnplacedTasks()
}

// UnplacedTasks counts the entry's tasks that are neither placed nor completed. For a job on
// probation that is not a gang the count is at most one.
func (e *QueueEntry) UnplacedTasks() int {
	_, count := e.TaskRange()
	if e.Claim != nil && e.Claim.Latest() != nil {
		record := e.Claim.Latest()
		count = max(0, count-record.CompletedCount()-len(record.Placements))
	}
	if e.isLimitedToOneTask() {
		return min(count, 1)
	}
	return count
}

// isLimitedToOneTask reports whether only one task of the entry may start at a time: the job
// is on probation, and not a gang, whose tasks can only start all together.
func (e *QueueEntry) isLimitedToOneTask() bool {
	return e.OnProbation && e.Spec.Shape != protocol.ShapeGang
}

// MaxStarts returns limit, lowered to the number of tasks that the entry's own fields allow
// to start now.
func (e *QueueEntry) MaxStarts(limit int) int {
	if e.StartsAhead || e.isLimitedToOneTask() {
		limit = min(limit, 1)
	}
	if e.BestEffort {
		limit = min(limit, e.MaxBestEffortTasks)
	}
	return limit
}

// StartsTogether reports whether all of the entry's tasks must start at the same time.
func (e *QueueEntry) StartsTogether() bool {
	return e.Spec.Shape == protocol.ShapeGang && e.Spec.Tasks > 1
}

// MinTasks returns the smallest number of tasks that may start: all placeable tasks of a
// gang, otherwise one.
func (e *QueueEntry) MinTasks() int {
	if e.Spec.Shape == protocol.ShapeGang {
		return e.PlaceableTasks()
	}
	return 1
}

// ClaimKey returns the key of the chunk's claim. Reservations on a guarantee are identified
// by claim rather than by job: the chunks of an array are claimed by several shards, and with
// a single reservation per job the reservation of one chunk would hide those of the others.
func (e *QueueEntry) ClaimKey() string { return e.Job.ClaimKey(e.Chunk) }

// WaitedUnplaced returns how long the entry has waited with none of its tasks placed. For a
// claimed chunk the wait starts at the first call that finds the chunk without placements.
func (e *QueueEntry) WaitedUnplaced(now time.Time) time.Duration {
	if e.Claim == nil || e.Claim.Latest() == nil {
		return now.Sub(e.Job.SeenAt)
	}
	if len(e.Claim.Latest().Placements) > 0 {
		return 0
	}
	if e.Claim.UnplacedSince.IsZero() {
		e.Claim.UnplacedSince = now
	}
	return now.Sub(e.Claim.UnplacedSince)
}

// IsBestEffort reports whether a job is an array of the lowest priority. Services and gangs
// are never best-effort, since all of their tasks are needed.
func IsBestEffort(spec *protocol.Submission) bool {
	return spec.Priority() == 0 && spec.Shape == protocol.ShapeArray
}

// RequestKey identifies the resources and constraints that a job requests, so that a pass
// that found no capacity for one job skips the jobs with an equal request.
type RequestKey struct {
	resources    protocol.MachineResources
	image        string
	priority     int
	zone         string
	shape        protocol.Shape
	allowSpot    bool
	sameZone     bool
	spreadTasks  int // number of tasks of a job that must spread over zones; 0 for others
	gangTasks    int
	machineTypes string
}

// RequestKeyOf returns the key of a job's request.
func RequestKeyOf(spec *protocol.Submission) RequestKey {
	key := RequestKey{
		resources: protocol.MachineResources{CPUs: spec.CPUs, GPUs: spec.GPUs, MemoryGB: spec.MemoryGB},
		image:     spec.Image, priority: spec.Priority(), zone: spec.Zone, shape: spec.Shape, allowSpot: spec.AllowSpot,
		sameZone: spec.SameZone,
	}
	if spec.Shape == protocol.ShapeGang {
		key.gangTasks = spec.Tasks
	}
	if spec.SpreadZones {
		key.spreadTasks = spec.Tasks
	}
	if len(spec.MachineTypes) > 0 {
		key.machineTypes = strings.Join(spec.MachineTypes, " ")
	}
	return key
}
