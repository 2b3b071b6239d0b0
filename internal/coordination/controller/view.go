package controller

import (
	"math"
	"time"

	"madderslip/internal/protocol"
)

const (
	// mostWaves is how often a chunk's placements may fill a value at the most, and
	// wavesWithin for how long, before the job is cut into more chunks.
	mostWaves   = 5
	wavesWithin = 20 * time.Second
)

// wavesOf is how often the placements of a chunk of a job may fill a value.
func (n *Controller) wavesOf(s *protocol.Submission) int {
	return max(1, min(mostWaves, int(wavesWithin/max(n.estimate(s), time.Second))))
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
		cpus = min(cpus, n.loads[name].Load.CPUs)
	}
	small := n.cfg.RecordLimits().MaxPlacements()
	if s.CPUs > 0 {
		small = int(min(float64(small), cpus/4/s.CPUs))
	}
	// A chunk has no more placements at a time than fit a value: 25,000 tasks of 4 s in
	// two chunks took longer than 400 s beside free room, and where values are small an
	// array of 350 tasks of 25 s ran 138 of them at a time.
	parts := min(max(1, n.pol.Copies, (s.Tasks-1)/(n.wavesOf(s)*n.cfg.RecordLimits().MaxPlacements())+1), maxChunks)
	return min(s.Tasks, max(n.pol.TasksPerChunk, (s.Tasks+parts-1)/parts, small))
}
