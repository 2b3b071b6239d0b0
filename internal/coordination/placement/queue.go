package placement

import (
	"strings"
	"time"

	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
)

// QueueEntry is a queued chunk at one shard: unclaimed, or claimed with tasks left.
type QueueEntry struct {
	Job                  *replica.Job
	Claim                *replica.Claim // nil: unclaimed
	Chunk                int
	Spec                 *protocol.Submission
	WithinGuarantee      bool // of its team
	OnProbation          bool // the job fails wherever it runs: one task of it is tried at a time
	StartsAhead          bool // one task of it starts ahead of its turn
	BestEffort           bool // it takes what others leave
	MaxBestEffortTasks   int  // that may start now, where BestEffort is set
	OverdueForGPUMachine bool // it has waited for too long beside machines kept for GPU jobs
}

// TaskRange returns the entry's first task and their number.
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

// UnplacedTasks counts the entry's tasks that have no machine, at most one of a job on
// probation that is not a gang.
func (e *QueueEntry) UnplacedTasks() int {
	_, count := e.TaskRange()
	if e.Claim != nil && e.Claim.Latest() != nil {
		record := e.Claim.Latest()
		count = max(0, count-record.CompletedCount()-len(record.Placements))
	}
	if e.triesOneTask() {
		return min(count, 1)
	}
	return count
}

// triesOneTask reports whether only one task at a time may start: of a job on probation,
// but not of a gang, of which nothing less than all can start.
func (e *QueueEntry) triesOneTask() bool { return e.OnProbation && e.Spec.Shape != protocol.ShapeGang }

// MaxStarts bounds how many tasks may start now by what the entry itself allows.
func (e *QueueEntry) MaxStarts(limit int) int {
	if e.StartsAhead || e.triesOneTask() {
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

// MinTasks returns how many tasks must start for any to start: all of a gang, else one.
func (e *QueueEntry) MinTasks() int {
	if e.Spec.Shape == protocol.ShapeGang {
		return e.PlaceableTasks()
	}
	return 1
}

// ClaimKey returns the key of the chunk's claim. Reservations on a guarantee go by it, not
// by job: chunks of an array are claimed by several shards, and with one reservation for
// all of them one chunk's would hide the others'.
func (e *QueueEntry) ClaimKey() string { return e.Job.ClaimKey(e.Chunk) }

// WaitedUnplaced returns for how long the entry has waited with none of its tasks placed.
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

// IsBestEffort reports whether work is of the lowest priority and an array: services and
// gangs start whole or are missed.
func IsBestEffort(spec *protocol.Submission) bool {
	return spec.Priority() == 0 && spec.Shape == protocol.ShapeArray
}

// RequestKey names what a job asks for, so that a pass does not try the same again for
// every job alike.
type RequestKey struct {
	resources    protocol.MachineResources
	image        string
	priority     int
	zone         string
	shape        protocol.Shape
	allowSpot    bool
	gangTasks    int
	machineTypes string
}

// RequestKeyOf returns the key of a job's request.
func RequestKeyOf(spec *protocol.Submission) RequestKey {
	key := RequestKey{
		resources: protocol.MachineResources{CPUs: spec.CPUs, GPUs: spec.GPUs, MemoryGB: spec.MemoryGB},
		image:     spec.Image, priority: spec.Priority(), zone: spec.Zone, shape: spec.Shape, allowSpot: spec.AllowSpot,
	}
	if spec.Shape == protocol.ShapeGang {
		key.gangTasks = spec.Tasks
	}
	if len(spec.MachineTypes) > 0 {
		key.machineTypes = strings.Join(spec.MachineTypes, " ")
	}
	return key
}
