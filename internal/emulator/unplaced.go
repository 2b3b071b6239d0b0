package emulator

import (
	"maps"
	"math"
	"slices"
	"time"

	"madderslip/internal/protocol"
)

// freeCapacity is what a machine that is well has left; nothing, if it is not. The world's lock
// is held.
func (m *Machine) freeCapacity() (room [3]float64) {
	if m.removed || m.crashed || m.hung || m.partitioned || m.cannotReceive || m.cannotSend || m.failsTasks || m.rebooting || !m.preemptionAt.IsZero() || time.Now().Before(m.upAt) {
		return room
	}
	machineType := m.world.typeOf(m.machineType)
	room = [3]float64{machineType.CPUs, machineType.GPUs, machineType.MemoryGB}
	for name, task := range m.tasks {
		jobID, _, _ := protocol.ParseTaskName(name)
		if j := m.world.jobs[jobID]; j != nil && task.phase != protocol.TaskExited {
			room = [3]float64{room[0] - j.Spec.CPUs, room[1] - j.Spec.GPUs, room[2] - j.Spec.MemoryGB}
		}
	}
	return room
}

// capacityFor tells how many of a job's tasks would fit what is free, in the zone where most do
// if they have to share one. The world's lock is held.
func (w *World) capacityFor(s *protocol.Submission) int {
	byZone, all := make(map[string]int), 0
	for _, machine := range w.machines {
		if (len(s.MachineTypes) > 0 && !slices.Contains(s.MachineTypes, machine.machineType)) || (s.Zone != "" && s.Zone != machine.zone) || (machine.spot && !s.AllowSpot) {
			continue
		}
		room, count := machine.freeCapacity(), math.Inf(1)
		for k, need := range [3]float64{s.CPUs, s.GPUs, s.MemoryGB} {
			if need > 0 {
				count = min(count, math.Floor((room[k]+1e-6)/need))
			}
		}
		if count > 0 {
			byZone[machine.zone] += int(min(count, float64(s.Tasks)))
			all += int(min(count, float64(s.Tasks)))
		}
	}
	if !s.SameZone {
		return all
	}
	most := 0
	for _, count := range byZone {
		most = max(most, count)
	}
	return most
}

// trackUnplaced notes, once all troubles are over, since when a job waits with no task
// on any machine while one that fits has room and its team is under its limit. The
// world's lock is held.
func (w *World) trackUnplaced(use map[string][2]float64) {
	there := make(map[string]bool)
	for _, machine := range w.machines {
		for name, task := range machine.tasks {
			if ref, _, _ := protocol.ParseTaskName(name); !machine.removed && task.phase != protocol.TaskExited {
				there[ref] = true
			}
		}
	}
	for jobID, job := range w.jobs {
		need := 1
		if job.Spec.Shape == protocol.ShapeGang {
			need = job.Spec.Tasks
		}
		limit, u := w.Teams[job.Spec.Team], use[job.Spec.Team]
		over := (limit.MaxCPUs > 0 && u[0]+job.Spec.CPUs*float64(need) > limit.MaxCPUs+1e-6) || (limit.MaxGPUs > 0 && u[1]+job.Spec.GPUs*float64(need) > limit.MaxGPUs+1e-6)
		switch {
		case w.faultsEndedAt.IsZero(), there[jobID], job.allTasksDone(), over, w.needNotRun(job), w.capacityFor(&job.Spec) < need:
			job.unplacedSince = time.Time{}
		case job.unplacedSince.IsZero():
			job.unplacedSince = time.Now()
		}
	}
}

// Waiting lists the jobs that have waited for longer beside room that they fit.
func (w *World) Waiting(longer time.Duration) (jobIDs []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, jobID := range slices.Sorted(maps.Keys(w.jobs)) {
		if j := w.jobs[jobID]; !j.unplacedSince.IsZero() && time.Since(j.unplacedSince) > longer {
			jobIDs = append(jobIDs, jobID)
		}
	}
	return jobIDs
}
