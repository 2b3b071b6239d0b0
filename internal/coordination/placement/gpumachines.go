package placement

import "madderslip/internal/protocol"

// isIdleGPUMachine reports whether the machine has GPUs, is usable and runs no task.
func (c *Capacity) isIdleGPUMachine() bool {
	return c.Usable && c.Type.GPUs > 0 && c.Free.GPUs+tolerance >= c.Type.GPUs && c.Free.CPUs+tolerance >= c.Type.CPUs
}

// KeepGPUMachines keeps idle machines with GPUs for jobs that need GPUs, since preempting an
// array's tasks for such a job loses their work. It keeps fromArrays machines from all arrays
// without GPUs and fromBestEffort machines from best-effort arrays without GPUs. More machines
// are kept from best-effort arrays, whose run time is not bounded: a gang that preempts them
// waits for their checkpoints and then for the fetch of its image.
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

// ReleaseGPUMachine makes one machine that KeepGPUMachines keeps available for the rest of the
// pass, for an array that has waited too long. It reports whether a kept machine has capacity
// for the array.
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
