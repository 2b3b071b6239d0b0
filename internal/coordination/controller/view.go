package controller

import (
	"math"
	"time"

	"madderslip/internal/protocol"
)

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
