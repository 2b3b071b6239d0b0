package emulator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"madderslip/internal/protocol"
)

// rule is the name of a rule of the protocol, as operators know it.
type rule string

const (
	ruleAccepted     rule = "accepted"      // a submission that cannot run or lacks a field is refused
	ruleForgotten    rule = "forgotten"     // an accepted job stays known to the controllers
	ruleGuarantee    rule = "guarantee"     // no task is preempted that its team's guarantee covers
	ruleInvented     rule = "invented"      // no answer implies the existence of a job that was not submitted
	ruleNotDone      rule = "not_done"      // all tasks of a job that is reported as done are done
	ruleOrphaned     rule = "orphaned"      // a job that depends on a cancelled one is cancelled too
	ruleQuota        rule = "quota"         // a team uses no more than its limits
	ruleRanCancelled rule = "ran_cancelled" // no task occupies a machine beyond its job's cancel deadline
	ruleRanTwice     rule = "ran_twice"     // no task occupies two machines at a time
	ruleTooEarly     rule = "too_early"     // no task starts before its job's dependencies are done
	ruleWentBack     rule = "went_back"     // a final phase never changes; jobs are cancelled on request only
	ruleWrongPlace   rule = "wrong_place"   // tasks run on the machines and in the zones that their submission allows
)

// SetTeam sets the guarantee and the limits of a team by which the rules are checked from
// now on.
func (w *World) SetTeam(t protocol.Team) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.formerLimits[t.Name] = w.Teams[t.Name]
	w.Teams[t.Name] = t
	w.recordEvent("team %s: %+v", t.Name, t)
}

// allowance returns the limits that apply to a team now. After a limit was lowered below
// the use, the tasks that run need not be stopped, and none may start beyond the limit: the
// allowance follows the use down to the new limit.
func (w *World) allowance(team string, use protocol.Resources) protocol.Team {
	limit := w.Teams[team]
	former, lowered := w.formerLimits[team]
	if !lowered {
		return limit
	}
	effectiveLimit := func(limit, former, use float64) float64 {
		if limit == 0 || former == 0 {
			return limit
		}
		return max(limit, min(former, use))
	}
	now := protocol.Team{MaxCPUs: effectiveLimit(limit.MaxCPUs, former.MaxCPUs, use.CPUs), MaxGPUs: effectiveLimit(limit.MaxGPUs, former.MaxGPUs, use.GPUs)}
	w.formerLimits[team] = now
	return now
}

// exceedsLimit reports whether a use of CPUs and GPUs is above a team's limits.
func exceedsLimit(limit protocol.Team, cpus, gpus float64) bool {
	return (limit.MaxCPUs > 0 && cpus > limit.MaxCPUs+roundingTolerance) || (limit.MaxGPUs > 0 && gpus > limit.MaxGPUs+roundingTolerance)
}

// ruleInterval is the interval of the periodic checks, which cover the rules that no single
// event breaks.
const ruleInterval = 500 * time.Millisecond

// checkRulesPeriodically checks, until the world's context ends, the rules that no single
// event breaks. It also updates the replica time of services and, once all faults have
// ended, the times since when jobs are unplaced.
func (w *World) checkRulesPeriodically() {
	for wait(w.ctx, ruleInterval+73*time.Nanosecond) {
		w.mu.Lock()
		if !w.RecordStartsOnly {
			use := w.teamUse()
			w.countReplicas(ruleInterval)
			if !w.faultsEndedAt.IsZero() {
				w.trackUnplaced(use)
			}
			w.checkCancelledTasks()
			w.checkTeamLimits(use)
		}
		w.mu.Unlock()
	}
}

// checkCancelledTasks records a violation for each task that occupies a machine beyond its
// job's cancel deadline, counted from the moment at which a user was first told that the
// job is cancelled. The world's lock is held by the caller.
func (w *World) checkCancelledTasks() {
	for _, host := range slices.Sorted(maps.Keys(w.machines)) {
		machine := w.machines[host]
		if machine.removed {
			continue
		}
		for _, name := range slices.Sorted(maps.Keys(machine.tasks)) {
			jobID, _, _ := protocol.ParseTaskName(name)
			job := w.jobs[jobID]
			if job != nil && machine.tasks[name].occupiesMachine() && w.pastCancelDeadline(job) {
				w.recordViolation(ruleRanCancelled, "%s on %s", name, machine.host)
			}
		}
	}
}

// pastCancelDeadline reports whether the cancel deadline of a job has passed, after which
// none of its tasks may occupy a machine. The world's lock is held by the caller.
func (w *World) pastCancelDeadline(job *Job) bool {
	return !job.cancelledAt.IsZero() && time.Since(job.cancelledAt) > w.Workers.CancelDeadline
}

// checkTeamLimits records a violation for each team whose use exceeds its allowance. The
// world's lock is held by the caller.
func (w *World) checkTeamLimits(use map[string]protocol.Resources) {
	for _, team := range slices.Sorted(maps.Keys(use)) {
		limit, used := w.allowance(team, use[team]), use[team]
		if exceedsLimit(limit, used.CPUs, used.GPUs) {
			w.recordViolation(ruleQuota, "%s uses %v of %v CPUs and %v GPUs", team, used, limit.MaxCPUs, limit.MaxGPUs)
		}
	}
}

// checkStart checks the start of a task against the rules. The world's lock is held by the
// caller.
func (w *World) checkStart(machine *Machine, name string, task *taskAttempt, job *Job) {
	if w.RecordStartsOnly {
		w.onStart(job)
		return
	}
	w.checkPlacement(machine, name, task, &job.Spec)
	if w.pastCancelDeadline(job) {
		w.recordViolation(ruleRanCancelled, "%s starts on %s", name, machine.host)
	}
	if !w.dependenciesDone(job) {
		w.recordViolation(ruleTooEarly, "%s starts on %s before all that it needs is done", name, machine.host)
	}
	if !job.cancelledAt.IsZero() {
		w.wastedStarts++
		w.recordEvent("%s starts after its cancellation was confirmed", name)
	}
}

// checkPlacement checks that a task that starts occupies no other machine, and that its
// machine and the zones of its job's tasks are as the submission demands. The world's lock
// is held by the caller.
func (w *World) checkPlacement(machine *Machine, name string, task *taskAttempt, spec *protocol.Submission) {
	inZone := 1
	for _, host := range slices.Sorted(maps.Keys(w.machines)) {
		other := w.machines[host]
		if other.removed {
			continue
		}
		for otherName, otherTask := range other.tasks {
			jobID, _, _ := protocol.ParseTaskName(otherName)
			if jobID != spec.JobID || !otherTask.occupiesMachine() {
				continue
			}
			if otherName == name && otherTask != task {
				w.recordViolation(ruleRanTwice, "%s on %s and %s", name, other.host, machine.host)
			}
			if other.zone == machine.zone {
				inZone++
			} else if spec.SameZone {
				w.recordViolation(ruleWrongPlace, "%s in %s and %s", jobID, other.zone, machine.zone)
			}
		}
	}
	if spec.SpreadZones && inZone > (spec.Tasks+1)/2 {
		w.recordViolation(ruleWrongPlace, "%s has %d tasks in %s", spec.JobID, inZone, machine.zone)
	}
	if !machine.suits(spec) {
		w.recordViolation(ruleWrongPlace, "%s on %s: %s in %s, spot %v", spec.JobID, machine.host, machine.machineType, machine.zone, machine.spot)
	}
}

// recordViolation records the violation of a rule, once for the same details. The world's
// lock is held by the caller.
func (w *World) recordViolation(violated rule, format string, details ...any) {
	text := string(violated) + ": " + fmt.Sprintf(format, details...)
	if !slices.Contains(w.violations, text) {
		w.recordEvent("BROKEN %s", text)
		w.violations = append(w.violations, text)
	}
}

// Violations lists the recorded violations, each with the name of the rule and the details.
func (w *World) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.violations)
}

// WastedStarts counts the starts of tasks after their job's cancellation was confirmed to a
// user.
func (w *World) WastedStarts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.wastedStarts
}
