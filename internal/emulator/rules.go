package emulator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"madderslip/internal/protocol"
)

// SetTeam has the rules go by another guarantee or limit of a team from now on.
func (w *World) SetTeam(t protocol.Team) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.formerLimits[t.Name] = w.Teams[t.Name]
	w.Teams[t.Name] = t
	w.recordEvent("team %s: %+v", t.Name, t)
}

// allowance is what a team may use now: its limit or, since that was lowered below
// what ran, what still runs of it. Nothing need be stopped, and nothing may start
// that passes it.
func (w *World) allowance(team string, use [2]float64) protocol.Team {
	limit := w.Teams[team]
	was, lowered := w.formerLimits[team]
	if !lowered {
		return limit
	}
	most := func(limit, was, use float64) float64 {
		if limit == 0 || was == 0 {
			return limit
		}
		return max(limit, min(was, use))
	}
	now := protocol.Team{MaxCPUs: most(limit.MaxCPUs, was.MaxCPUs, use[0]), MaxGPUs: most(limit.MaxGPUs, was.MaxGPUs, use[1])}
	w.formerLimits[team] = now
	return now
}

// checkRulesPeriodically looks for cancelled tasks that stay, and for teams beyond their limit.
func (w *World) checkRulesPeriodically() {
	for wait(w.ctx, 500*time.Millisecond+73*time.Nanosecond) {
		w.mu.Lock()
		if w.RecordStartsOnly {
			w.mu.Unlock()
			continue
		}
		use := w.teamUse()
		w.countReplicas(500 * time.Millisecond)
		if !w.faultsEndedAt.IsZero() {
			w.trackUnplaced(use)
		}
		for _, host := range slices.Sorted(maps.Keys(w.machines)) {
			machine := w.machines[host]
			for _, name := range slices.Sorted(maps.Keys(machine.tasks)) {
				jobID, _, _ := protocol.ParseTaskName(name)
				job := w.jobs[jobID]
				if machine.removed || job == nil || !machine.tasks[name].occupiesMachine() {
					continue
				}
				if !job.cancelledAt.IsZero() && time.Since(job.cancelledAt) > w.Workers.CancelDeadline {
					w.recordViolation("ran_cancelled", "%s on %s", name, machine.host)
				}
			}
		}
		for _, team := range slices.Sorted(maps.Keys(use)) {
			limit := w.allowance(team, use[team])
			if u := use[team]; (limit.MaxCPUs > 0 && u[0] > limit.MaxCPUs+1e-6) || (limit.MaxGPUs > 0 && u[1] > limit.MaxGPUs+1e-6) {
				w.recordViolation("quota", "%s uses %v of %v CPUs and %v cards", team, u, limit.MaxCPUs, limit.MaxGPUs)
			}
		}
		w.mu.Unlock()
	}
}

// checkStart judges a start by the rules.
func (w *World) checkStart(machine *Machine, name string, task *taskAttempt, job *Job) {
	if w.RecordStartsOnly {
		w.onStart(job)
		return
	}
	s := &job.Spec
	inZone := 1
	for _, host := range slices.Sorted(maps.Keys(w.machines)) {
		o := w.machines[host]
		if o.removed {
			continue
		}
		for other, x := range o.tasks {
			jobID, _, _ := protocol.ParseTaskName(other)
			if jobID != s.JobID || !x.occupiesMachine() {
				continue
			}
			if other == name && x != task {
				w.recordViolation("ran_twice", "%s on %s and %s", name, o.host, machine.host)
			}
			if o.zone == machine.zone {
				inZone++
			} else if s.SameZone {
				w.recordViolation("wrong_place", "%s in %s and %s", jobID, o.zone, machine.zone)
			}
		}
	}
	if s.SpreadZones && inZone > (s.Tasks+1)/2 {
		w.recordViolation("wrong_place", "%s has %d tasks in %s", s.JobID, inZone, machine.zone)
	}
	if (len(s.MachineTypes) > 0 && !slices.Contains(s.MachineTypes, machine.machineType)) || (s.Zone != "" && s.Zone != machine.zone) || (machine.spot && !s.AllowSpot) {
		w.recordViolation("wrong_place", "%s on %s: %s in %s, cheap %v", s.JobID, machine.host, machine.machineType, machine.zone, machine.spot)
	}
	if !job.cancelledAt.IsZero() && time.Since(job.cancelledAt) > w.Workers.CancelDeadline {
		w.recordViolation("ran_cancelled", "%s starts on %s", name, machine.host)
	}
	if !w.dependenciesDone(job) {
		w.recordViolation("too_early", "%s starts on %s before all that it needs is done", name, machine.host)
	}
	if !job.cancelledAt.IsZero() {
		w.wastedStarts++
		w.recordEvent("%s starts after its cancellation was confirmed", name)
	}
}

func (w *World) recordViolation(rule, format string, a ...any) {
	text := rule + ": " + fmt.Sprintf(format, a...)
	if !slices.Contains(w.violations, text) {
		w.recordEvent("BROKEN %s", text)
		w.violations = append(w.violations, text)
	}
}

// Broken lists the rules that were broken.
func (w *World) Broken() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.violations)
}

// WastedStarts counts the starts after a confirmed cancellation.
func (w *World) WastedStarts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.wastedStarts
}
