package emulator

import (
	"maps"
	"slices"
	"time"

	"madderslip/internal/protocol"
)

// freeCapacity returns the unallocated resources of the machine, none if the machine cannot
// exchange messages, fails tasks, is booting or has a preemption notice. The world's lock is
// held by the caller.
func (m *Machine) freeCapacity() resources {
	inContact := m.responsive() && !m.cannotReceive && !m.cannotSend
	if !inContact || m.failsTasks || m.booting() || !m.preemptionAt.IsZero() {
		return resources{}
	}
	return m.world.capacityOf(m.machineType).minus(m.allocated())
}

// countTasksThatFit returns how many of a job's tasks fit in the free capacity of suitable
// machines. If the tasks must share a zone, only the zone where most fit counts. The world's
// lock is held by the caller.
func (w *World) countTasksThatFit(spec *protocol.Submission) int {
	byZone, total := make(map[string]int), 0
	for _, machine := range w.machines {
		if !machine.suits(spec) {
			continue
		}
		if count := machine.freeCapacity().tasksThatFit(taskResources(spec)); count > 0 {
			tasks := int(min(count, float64(spec.Tasks)))
			byZone[machine.zone] += tasks
			total += tasks
		}
	}
	if !spec.SameZone {
		return total
	}
	maxInZone := 0
	for _, count := range byZone {
		maxInZone = max(maxInZone, count)
	}
	return maxInZone
}

// trackUnplaced records, once all faults have ended, since when each job that is expected to
// run has no task on any machine although one task, or all tasks of a gang, would fit in the
// free capacity and in the limits of the job's team. The world's lock is held by the caller.
func (w *World) trackUnplaced(use map[string]protocol.Resources) {
	placed := make(map[string]bool)
	for _, machine := range w.machines {
		for name, task := range machine.tasks {
			if jobID, _, _ := protocol.ParseTaskName(name); !machine.removed && task.phase != protocol.TaskExited {
				placed[jobID] = true
			}
		}
	}
	for jobID, job := range w.jobs {
		tasksNeeded := 1
		if job.isGang() {
			tasksNeeded = job.Spec.Tasks
		}
		mayRun := !placed[jobID] && !job.allTasksDone() && !w.needNotRun(job) && w.fitsTeamLimits(job, tasksNeeded, use)
		switch {
		case w.faultsEndedAt.IsZero() || !mayRun || w.countTasksThatFit(&job.Spec) < tasksNeeded:
			job.unplacedSince = time.Time{}
		case job.unplacedSince.IsZero():
			job.unplacedSince = time.Now()
		}
	}
}

// fitsTeamLimits reports whether the job's team stays within its limits with the given number of
// additional tasks of the job. The world's lock is held by the caller.
func (w *World) fitsTeamLimits(job *Job, tasks int, use map[string]protocol.Resources) bool {
	used, count := use[job.Spec.Team], float64(tasks)
	return !exceedsLimit(w.Teams[job.Spec.Team], used.CPUs+job.Spec.CPUs*count, used.GPUs+job.Spec.GPUs*count)
}

// UnplacedLongerThan lists the jobs that have been unplaced despite free capacity for longer
// than the given time, ordered by job ID; see trackUnplaced.
func (w *World) UnplacedLongerThan(limit time.Duration) (jobIDs []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, jobID := range slices.Sorted(maps.Keys(w.jobs)) {
		if j := w.jobs[jobID]; !j.unplacedSince.IsZero() && time.Since(j.unplacedSince) > limit {
			jobIDs = append(jobIDs, jobID)
		}
	}
	return jobIDs
}
