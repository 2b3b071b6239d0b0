package emulator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"madderslip/internal/protocol"
)

// concurrentReadRounds is how often users ask each controller when they read
// concurrently.
const concurrentReadRounds = 4

// Reasons for which users read a job concurrently; they are part of the random draws.
const (
	readAccepted  = "accepted"
	readEnded     = "ended"
	readCancelled = "cancelled"
)

// readConcurrently has users ask about a job at all controllers within milliseconds, again
// and again, and repeat its submission; some cancel it in between if it was just accepted.
// The world's lock is held by the caller.
func (w *World) readConcurrently(jobID, reason string) {
	if !w.hasFault(faultConcurrentReads) {
		return
	}
	body := submissionBody(&w.jobs[jobID].Spec)
	w.recordEvent("%s: users look closely, %s", jobID, reason)
	for _, node := range w.controllers {
		for round := range concurrentReadRounds {
			roundKey := fmt.Sprint(round)
			delay := time.Duration(round)*3*time.Millisecond + w.between(50*time.Microsecond, 3*time.Millisecond, "look", jobID, reason, node, roundKey)
			resubmits := w.chance(25, "again", jobID, reason, node, roundKey)
			mayCancel := w.hasFault(faultCancelOnAccept) && reason == readAccepted && round == 1
			cancels := mayCancel && w.chance(10, "off", jobID, node)
			if cancels {
				w.cancelRequested[jobID] = true
			}
			go func() {
				if !wait(w.ctx, delay) {
					return
				}
				switch {
				case cancels:
					w.Cancel(node, jobID)
				case resubmits:
					w.resubmit(node, jobID, body, true)
				default:
					w.Query(node, jobID)
				}
			}()
		}
	}
}

// resubmit repeats a submission. A success counts as the job's acceptance if its user
// waits for one.
func (w *World) resubmit(node, jobID string, body []byte, countsAsAcceptance bool) {
	sentAt := time.Now()
	status, response := w.userRequest(node, "POST", submissionsPath, body, submitTimeout)
	w.checkAnswer(jobID, sentAt, status, response, countsAsAcceptance && isSuccess(status))
}

// jobFinished is the moment at which the last task of a job completes: its users read, and
// two of five cancel it. The world's lock is held by the caller.
func (w *World) jobFinished(job *Job) {
	if !job.allTasksDone() {
		return
	}
	job.finishedAt = time.Now()
	jobID := job.Spec.JobID
	w.readConcurrently(jobID, readEnded)
	if w.hasFault(faultCancelOnEnd) && !job.acceptedAt.IsZero() && w.chance(40, "at end", jobID) {
		node := w.drawController("at end", jobID)
		w.cancelAfter(w.between(time.Microsecond, 4*time.Millisecond, "at end", jobID), node, jobID)
	}
}

// cancelAfter has a user cancel a job after a while, and repeat that until there is a
// definite answer. The world's lock is held by the caller.
func (w *World) cancelAfter(delay time.Duration, node, jobID string) {
	w.cancelRequested[jobID] = true
	go func() {
		if wait(w.ctx, delay) {
			w.RequestUntilAnswered(node, func(node string) int { return w.Cancel(node, jobID) })
		}
	}()
}

// maxHostsReturned is how many machines of cancelled jobs CancelRunning returns.
const maxHostsReturned = 8

// CancelRunning has users cancel so many of the jobs that run, within a fifth of a second,
// and returns which, and up to eight of their machines.
func (w *World) CancelRunning(count int) (jobIDs, hosts []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	hostsOf := w.hostsOfCancellableJobs()
	for _, jobID := range slices.Sorted(maps.Keys(hostsOf)) {
		if len(jobIDs) == count {
			break
		}
		jobIDs = append(jobIDs, jobID)
		for _, host := range hostsOf[jobID] {
			if len(hosts) < maxHostsReturned && !slices.Contains(hosts, host) {
				hosts = append(hosts, host)
			}
		}
		node := w.drawController("off", jobID)
		w.cancelAfter(w.between(0, 200*time.Millisecond, "off", jobID), node, jobID)
	}
	return jobIDs, hosts
}

// hostsOfCancellableJobs lists the machines of every accepted job that runs and that no
// user has asked to cancel, in order. The world's lock is held by the caller.
func (w *World) hostsOfCancellableJobs() map[string][]string {
	hostsOf := make(map[string][]string)
	for _, host := range slices.Sorted(maps.Keys(w.machines)) {
		machine := w.machines[host]
		if machine.removed {
			continue
		}
		for name, task := range machine.tasks {
			jobID, _, _ := protocol.ParseTaskName(name)
			job := w.jobs[jobID]
			cancellable := job != nil && !job.acceptedAt.IsZero() && !w.cancelRequested[jobID]
			if cancellable && task.occupiesMachine() && !slices.Contains(hostsOf[jobID], host) {
				hostsOf[jobID] = append(hostsOf[jobID], host)
			}
		}
	}
	return hostsOf
}

// sendInvalidRequests sends what users should not, for as long as that fault lasts: repeats
// of submissions, also of jobs that are over, cancellations of jobs that are done, jobs
// that fit no machine, exceed their team's limit or lack a field.
func (w *World) sendInvalidRequests() {
	for number := 0; wait(w.ctx, 300*time.Millisecond+61*time.Nanosecond); number++ {
		w.mu.Lock()
		if !w.hasFault(faultInvalidRequests) || len(w.controllers) == 0 {
			w.mu.Unlock()
			continue
		}
		key := fmt.Sprint(number)
		node := w.drawController("odd", key)
		job := w.drawAcceptedJob("odd job", key)
		done := job != nil && job.lastPhase == protocol.JobDone
		w.mu.Unlock()
		go func() {
			switch {
			case number%3 == 0:
				w.submitInvalid(node, number)
			case done && number%3 == 1:
				w.Cancel(node, job.Spec.JobID) // a job that is done stays so, which checkAnswer checks
			case job != nil:
				w.resubmit(node, job.Spec.JobID, submissionBody(&job.Spec), false)
			}
		}()
	}
}

// drawAcceptedJob draws one of the jobs that were accepted, nil without one. The world's
// lock is held by the caller.
func (w *World) drawAcceptedJob(parts ...string) *Job {
	var accepted []*Job
	for _, jobID := range slices.Sorted(maps.Keys(w.jobs)) {
		if job := w.jobs[jobID]; !job.acceptedAt.IsZero() {
			accepted = append(accepted, job)
		}
	}
	if len(accepted) == 0 {
		return nil
	}
	return accepted[int(w.roll(parts...)%uint64(len(accepted)))]
}

// requiredFields are fields that a submission may not lack, as the protocol spells them.
var requiredFields = []string{"samePlace", "spread", "loaner", "snapshotEveryS", "snapshotS", "expectS", "cards", "rank", "owner"}

// invalidSubmission is a submission that no controller may accept, by its number, and the
// field that it lacks, if that is why.
func invalidSubmission(number int) (spec protocol.Submission, missingField string) {
	spec = protocol.Submission{JobID: fmt.Sprintf("wk-9%05d", number), Class: "odd", Team: "open", Shape: protocol.ShapeArray,
		PriorityClass: "normal", Tasks: 1, CPUs: 2, MemoryGB: 2, Image: "img-1", ImageGB: 1}
	switch number / 3 % 4 {
	case 0:
		spec.CPUs = 1e4 // more than any machine has
	case 1:
		spec.Team, spec.Shape, spec.Tasks = "tight", protocol.ShapeGang, 50 // more than its team's limit
	case 2:
		if spec.Team = "nobody"; number%2 == 0 {
			spec.Team, spec.Dependencies = "open", []string{fmt.Sprintf("wk-8%05d", number)} // never submitted
		}
	default:
		missingField = requiredFields[number/12%len(requiredFields)]
	}
	return spec, missingField
}

// submitInvalid submits a job that no controller may accept.
func (w *World) submitInvalid(node string, number int) {
	spec, missingField := invalidSubmission(number)
	body := submissionBody(&spec)
	if missingField != "" {
		var fields map[string]any
		_ = json.Unmarshal(body, &fields)
		delete(fields, missingField)
		body, _ = json.Marshal(fields)
	}
	status, response := w.userRequest(node, "POST", submissionsPath, body, submitTimeout)
	if isSuccess(status) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.recordViolation(ruleAccepted, "%s, which can't run or lacks a field (%q): %s", spec.JobID, missingField, bytes.TrimSpace(response))
	}
}
