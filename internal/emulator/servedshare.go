package emulator

import (
	"maps"
	"slices"
	"strings"
	"time"

	"madderslip/internal/protocol"
)

// ServedShare is what was served of all that could have been, in the class's own measure.
type ServedShare struct{ Could, Was float64 }

// Share is the part that was served; 1 where nothing could have been.
func (s ServedShare) Share() float64 {
	if s.Could == 0 {
		return 1
	}
	return s.Was / s.Could
}

// replicaGrace is from when on a replica counts as missed: a machine may have to boot.
const replicaGrace = 25 * time.Second

// countReplicas adds a moment to the replica time that services have had. The world's
// lock is held.
func (w *World) countReplicas(moment time.Duration) {
	running := make(map[string]int)
	for _, machine := range w.machines {
		for name, task := range machine.tasks {
			if ref, _, _ := protocol.ParseTaskName(name); !machine.removed && !machine.hung && !machine.crashed && task.phase == protocol.TaskRunning {
				running[ref]++
			}
		}
	}
	for _, job := range w.jobs {
		if job.Spec.Shape == protocol.ShapeService && !w.needNotRun(job) && time.Since(w.eligibleAt(job)) > replicaGrace {
			job.replicaTime.Could += float64(job.Spec.Tasks) * moment.Seconds()
			job.replicaTime.Was += float64(min(running[job.Spec.JobID], job.Spec.Tasks)) * moment.Seconds()
		}
	}
}

// largestJobs tells which jobs are a class's largest: whose tasks together take at least
// nine tenths of the CPUs that its largest job's do. The world's lock is held.
func (w *World) largestJobs() map[*Job]bool {
	size := func(j *Job) float64 { return j.Spec.CPUs * float64(j.Spec.Tasks) }
	most := make(map[string]float64)
	for _, j := range w.jobs {
		most[j.Spec.Class] = max(most[j.Spec.Class], size(j))
	}
	out := make(map[*Job]bool)
	for _, j := range w.jobs {
		out[j] = size(j) >= 0.9*most[j.Spec.Class]
	}
	return out
}

// Unbegun lists the jobs, of those that are their class's largest, that had not begun so
// long after they were accepted, by reference. Those that fail or that their users
// cancelled do not count.
func (w *World) Unbegun(within time.Duration) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	largest := w.largestJobs()
	for _, jobID := range slices.Sorted(maps.Keys(w.jobs)) {
		job := w.jobs[jobID]
		if !largest[job] || w.needNotRun(job) {
			continue
		}
		end := job.startedAt
		if end.IsZero() {
			end = time.Now()
		}
		if end.Sub(w.eligibleAt(job)) > within {
			out = append(out, jobID)
		}
	}
	return out
}

// Served tells by class, by team ("team NAME") and of a class's largest jobs alone
// ("largest of CLASS") what was served so far: of services the replica time, counted
// from some time after they were accepted; of arrays and gangs the tasks done, of jobs
// that were accepted at least early ago. Jobs that fail or that their users cancelled do
// not count.
func (w *World) Served(early time.Duration) map[string]ServedShare {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make(map[string]ServedShare)
	largest := w.largestJobs()
	for _, jobID := range slices.Sorted(maps.Keys(w.jobs)) {
		job := w.jobs[jobID]
		s := job.replicaTime
		if w.needNotRun(job) {
			continue
		}
		if job.Spec.Shape != protocol.ShapeService {
			if time.Since(w.eligibleAt(job)) < early {
				continue
			}
			s = ServedShare{float64(job.Spec.Tasks), float64(len(job.tasksDone))}
		}
		names := []string{job.Spec.Class}
		if largest[job] {
			names = append(names, "largest of "+job.Spec.Class)
		}
		for _, name := range append(names, "team "+job.Spec.Team) {
			// A class of one shape adds up; a team's classes count alike whatever their measure.
			if strings.HasPrefix(name, "team ") && s.Could > 0 {
				s = ServedShare{1, s.Was / s.Could}
			}
			sum := out[name]
			out[name] = ServedShare{sum.Could + s.Could, sum.Was + s.Was}
		}
	}
	return out
}
