package placement

import "madderslip/internal/protocol"

// isIdleGPUMachine reports whether a machine with GPUs runs nothing.
func (c *Capacity) isIdleGPUMachine() bool {
	return c.Usable && c.Type.GPUs > 0 && c.Free.GPUs+tolerance >= c.Type.GPUs && c.Free.CPUs+tolerance >= c.Type.CPUs
}

// KeepGPUMachines keeps some idle machines with GPUs for jobs that need the GPUs:
// preempting an array's tasks for each of them throws work away. More of them are kept
// from best-effort arrays, which may run for as long as they like: a gang behind them
// waits until they have saved a checkpoint, and then for its image.
func KeepGPUMachines(capacities []*Capacity, fromArrays, fromBestEffort int) {
	for _, capacity := range capacities {
		if !capacity.isIdleGPUMachine() {
			continue
		}
		capacity.KeptForGPUJobs, capacity.KeptFromBestEffort = fromArrays > 0, fromBestEffort > 0
		fromArrays--
		fromBestEffort--
	}
}

// ReleaseGPUMachine no longer keeps one of those machines in this pass, for an array that
// has waited beside it for too long, and reports whether there was one that takes it.
func ReleaseGPUMachine(spec *protocol.Submission, jobID string, capacities []*Capacity, zones *ZoneConstraint) bool {
	for _, capacity := range capacities {
		kept := capacity.KeptForGPUJobs || capacity.KeptFromBestEffort
		if kept && capacity.Reservation.JobID == "" && capacity.Accepts(spec, zones) && capacity.Fits(spec) && !capacity.AvoidedBy[jobID] {
			capacity.KeptForGPUJobs, capacity.KeptFromBestEffort = false, false
			return true
		}
	}
	return false
}
