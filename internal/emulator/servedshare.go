package emulator

import (
	"maps"
	"slices"
	"time"

	"madderslip/internal/protocol"
)

// ServedShare is how much could have been served and how much was: replica time in seconds
// for services, tasks for arrays and gangs, and sums of normalized shares for teams.
type ServedShare struct{ Possible, Served float64 }

// Share returns the fraction that was served, 1 if nothing could have been served.
func (s ServedShare) Share() float64 {
	if s.Possible == 0 {
		return 1
	}
	return s.Served / s.Possible
}

// plus returns the sum of two shares in the same unit.
func (s ServedShare) plus(other ServedShare) ServedShare {
	return ServedShare{s.Possible + other.Possible, s.Served + other.Served}
}

// normalized scales the share to a Possible of 1, unless that is 0. Shares within a class
// can be added as they are, because its jobs have one shape; the jobs of a team may differ
// in shape, so their shares count alike whatever their unit.
func (s ServedShare) normalized() ServedShare {
	if s.Possible > 0 {
		return ServedShare{1, s.Served / s.Possible}
	}
	return s
}

// replicaGrace is how long after its service could have started a replica begins to count as
// missed: a machine may have to boot first.
const replicaGrace = 25 * time.Second

// countReplicas adds an interval to the possible and the served replica time of all services.
// The world's lock is held by the caller.
func (w *World) countReplicas(interval time.Duration) {
	running := make(map[string]int)
	for _, machine := range w.machines {
		if machine.removed || machine.hung || machine.crashed {
			continue
		}
		for name, task := range machine.tasks {
			if task.phase == protocol.TaskRunning {
				jobID, _, _ := protocol.ParseTaskName(name)
				running[jobID]++
			}
		}
	}
	for _, job := range w.jobs {
		if job.Spec.Shape == protocol.ShapeService && !w.needNotRun(job) && time.Since(w.eligibleAt(job)) > replicaGrace {
			job.replicaTime.Possible += float64(job.Spec.Tasks) * interval.Seconds()
			job.replicaTime.Served += float64(min(running[job.Spec.JobID], job.Spec.Tasks)) * interval.Seconds()
		}
	}
}

// largestJobs returns the largest jobs of each class: those whose tasks together use at least
// nine tenths of the CPUs of the largest job in the class. The world's lock is held by the
// caller.
func (w *World) largestJobs() map[*Job]bool {
	size := func(job *Job) float64 { return job.Spec.CPUs * float64(job.Spec.Tasks) }
	maxSize := make(map[string]float64)
	for _, job := range w.jobs {
		maxSize[job.Spec.Class] = max(maxSize[job.Spec.Class], size(job))
	}
	largest := make(map[*Job]bool)
	for _, job := range w.jobs {
		largest[job] = size(job) >= 0.9*maxSize[job.Spec.Class]
	}
	return largest
}

// LargestNotStarted lists those of the largest jobs of each class that did not start within
// the given time after they were accepted and their dependencies were done, ordered by job
// ID. Jobs that fail or that users cancelled do not count.
func (w *World) LargestNotStarted(within time.Duration) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var notStarted []string
	largest := w.largestJobs()
	for _, jobID := range slices.Sorted(maps.Keys(w.jobs)) {
		job := w.jobs[jobID]
		if !largest[job] || w.needNotRun(job) {
			continue
		}
		waitedUntil := job.startedAt
		if waitedUntil.IsZero() {
			waitedUntil = time.Now()
		}
		if waitedUntil.Sub(w.eligibleAt(job)) > within {
			notStarted = append(notStarted, jobID)
		}
	}
	return notStarted
}

// Served returns how much was served so far by class, by team ("team NAME") and for the
// largest jobs of each class alone ("largest of CLASS"). Services count by replica time, from
// replicaGrace after they could have started; arrays and gangs count by tasks done, if they
// could have started at least minAge ago. A job can start once it is accepted and its
// dependencies are done. Jobs that fail or that users cancelled do not count.
func (w *World) Served(minAge time.Duration) map[string]ServedShare {
	w.mu.Lock()
	defer w.mu.Unlock()
	served := make(map[string]ServedShare)
	largest := w.largestJobs()
	for _, jobID := range slices.Sorted(maps.Keys(w.jobs)) {
		job := w.jobs[jobID]
		isService := job.Spec.Shape == protocol.ShapeService
		if w.needNotRun(job) || (!isService && time.Since(w.eligibleAt(job)) < minAge) {
			continue
		}
		share := job.replicaTime
		if !isService {
			share = ServedShare{float64(job.Spec.Tasks), float64(len(job.tasksDone))}
		}
		class := job.Spec.Class
		served[class] = served[class].plus(share)
		if largest[job] {
			served["largest of "+class] = served["largest of "+class].plus(share)
		}
		team := "team " + job.Spec.Team
		served[team] = served[team].plus(share.normalized())
	}
	return served
}
