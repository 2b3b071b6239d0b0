package emulator

import (
	"maps"
	"math"
	"slices"
	"time"

	"madderslip/internal/protocol"
)

// free is what a machine that is well has left; nothing, if it is not. The world's lock
// is held.
func (m *Machine) free() (room [3]float64) {
	if m.gone || m.dead || m.hung || m.cutOff || m.deaf || m.mute || m.sick || m.away || !m.warning.IsZero() || time.Now().Before(m.up) {
		return room
	}
	typ := m.w.typeOf(m.typ)
	room = [3]float64{typ.CPUs, typ.GPUs, typ.MemoryGB}
	for name, t := range m.tasks {
		ref, _, _ := protocol.ParseTaskName(name)
		if j := m.w.jobs[ref]; j != nil && t.phase != protocol.TaskExited {
			room = [3]float64{room[0] - j.Spec.CPUs, room[1] - j.Spec.GPUs, room[2] - j.Spec.MemoryGB}
		}
	}
	return room
}

// fits tells how many of a job's tasks would fit what is free, in the zone where most do
// if they have to share one. The world's lock is held.
func (w *World) fits(s *protocol.Submission) int {
	byZone, all := make(map[string]int), 0
	for _, m := range w.machines {
		if (len(s.MachineTypes) > 0 && !slices.Contains(s.MachineTypes, m.typ)) || (s.Zone != "" && s.Zone != m.zone) || (m.spot && !s.AllowSpot) {
			continue
		}
		room, count := m.free(), math.Inf(1)
		for k, need := range [3]float64{s.CPUs, s.GPUs, s.MemoryGB} {
			if need > 0 {
				count = min(count, math.Floor((room[k]+1e-6)/need))
			}
		}
		if count > 0 {
			byZone[m.zone] += int(min(count, float64(s.Tasks)))
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

// lookForWaiting notes, once all troubles are over, since when a job waits with no task
// on any machine while one that fits has room and its team is under its limit. The
// world's lock is held.
func (w *World) lookForWaiting(use map[string]protocol.Resources) {
	there := make(map[string]bool)
	for _, m := range w.machines {
		for name, t := range m.tasks {
			if ref, _, _ := protocol.ParseTaskName(name); !m.gone && t.phase != protocol.TaskExited {
				there[ref] = true
			}
		}
	}
	for ref, j := range w.jobs {
		need := 1
		if j.Spec.Shape == protocol.ShapeGang {
			need = j.Spec.Tasks
		}
		limit, u := w.Teams[j.Spec.Team], use[j.Spec.Team]
		over := (limit.MaxCPUs > 0 && u.CPUs+j.Spec.CPUs*float64(need) > limit.MaxCPUs+1e-6) || (limit.MaxGPUs > 0 && u.GPUs+j.Spec.GPUs*float64(need) > limit.MaxGPUs+1e-6)
		switch {
		case w.calmAt.IsZero(), there[ref], j.finished(), over, w.idles(j), w.fits(&j.Spec) < need:
			j.waits = time.Time{}
		case j.waits.IsZero():
			j.waits = time.Now()
		}
	}
}

// Waiting lists the jobs that have waited for longer beside room that they fit.
func (w *World) Waiting(longer time.Duration) (refs []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, ref := range slices.Sorted(maps.Keys(w.jobs)) {
		if j := w.jobs[ref]; !j.waits.IsZero() && time.Since(j.waits) > longer {
			refs = append(refs, ref)
		}
	}
	return refs
}
