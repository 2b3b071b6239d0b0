package emulator

import (
	"maps"
	"slices"
	"time"

	"madderslip/internal/protocol"
)

// ServedShare is what was served of all that could have been, in the class's own measure.
type ServedShare struct{ Possible, Served float64 }

// Share is the part that was served; 1 where nothing could have been.
func (s ServedShare) Share() float64 {
	if s.Possible == 0 {
		return 1
	}
	return s.Served / s.Possible
}

// plus is the sum of two shares of the same measure.
func (s ServedShare) plus(other ServedShare) ServedShare {
	return ServedShare{s.Possible + other.Possible, s.Served + other.Served}
}

// normalized is the share with 1 for what could have been: a class of one shape adds up, a
// team's classes count alike whatever their measure.
func (s ServedShare) normalized() ServedShare {
	if s.Possible > 0 {
		return ServedShare{1, s.Served / s.Possible}
	}
	return s
}

// replicaGrace is from when on a replica counts as missed: a machine may have to boot.
const replicaGrace = 25 * time.Second

// countReplicas adds an interval to the replica time that services have had. The world's
// lock is held by the caller.
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

// largestJobs are the largest jobs of each class: those whose tasks together take at least
// nine tenths of the CPUs that the very largest one's do. The world's lock is held by the
// caller.
func (w *World) largestJobs() map[*Job]bool {
	size := func(job *Job) float64 { return job.Spec.CPUs * float64(job.Spec.Tasks) }
	most := make(map[string]float64)
	for _, job := range w.jobs {
		most[job.Spec.Class] = max(most[job.Spec.Class], size(job))
	}
	largest := make(map[*Job]bool)
	for _, job := range w.jobs {
		largest[job] = size(job) >= 0.9*most[job.Spec.Class]
	}
	return largest
}

// LargestNotStarted lists the jobs, of those that are their class's largest, that had not
// started so long after they were accepted, in the order of their IDs. Those that fail or
// that their users cancelled do not count.
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

// Served is, by class, by team ("team NAME") and of a class's largest jobs alone
// ("largest of CLASS"), what was served so far: of services the replica time, counted
// from some time after they were accepted; of arrays and gangs the tasks done, of jobs
// that were accepted at least early ago. Jobs that fail or that their users cancelled do
// not count.
func (w *World) Served(early time.Duration) map[string]ServedShare {
	w.mu.Lock()
	defer w.mu.Unlock()
	served := make(map[string]ServedShare)
	largest := w.largestJobs()
	for _, jobID := range slices.Sorted(maps.Keys(w.jobs)) {
		job := w.jobs[jobID]
		isService := job.Spec.Shape == protocol.ShapeService
		if w.needNotRun(job) || (!isService && time.Since(w.eligibleAt(job)) < early) {
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
