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

// concurrentReadRounds is the number of requests that users send to each controller when
// they read concurrently.
const concurrentReadRounds = 4

// Reasons for which users read a job concurrently; they are part of the keys of random draws.
const (
	readAccepted  = "accepted"
	readEnded     = "ended"
	readCancelled = "cancelled"
)

// readConcurrently has users query a job at all controllers several times within
// milliseconds, if the fault is on. Some of the requests repeat the job's submission
// instead; under faultCancelOnAccept, some cancel a job that was just accepted. The world's
// lock is held by the caller.
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

// resubmit repeats a submission. If countsAsAcceptance is set, the user waits for the
// acceptance, and a success counts as the job's acceptance.
func (w *World) resubmit(node, jobID string, body []byte, countsAsAcceptance bool) {
	sentAt := time.Now()
	status, response := w.userRequest(node, "POST", submissionsPath, body, submitTimeout)
	w.checkAnswer(jobID, sentAt, status, response, countsAsAcceptance && isSuccess(status))
}

// handleJobFinished handles the completion of the last task of a job: users read the job
// concurrently, and two in five accepted jobs are cancelled, each under its fault. It does
// nothing while tasks of the job are left. The world's lock is held by the caller.
func (w *World) handleJobFinished(job *Job) {
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

// cancelAfter has a user cancel a job after a delay, and repeat the request until there is
// a definite answer. The world's lock is held by the caller.
func (w *World) cancelAfter(delay time.Duration, node, jobID string) {
	w.cancelRequested[jobID] = true
	go func() {
		if wait(w.ctx, delay) {
			w.RequestUntilAnswered(node, func(node string) int { return w.Cancel(node, jobID) })
		}
	}()
}

// maxHostsReturned is the maximum number of machines of cancelled jobs that CancelRunning
// returns.
const maxHostsReturned = 8

// CancelRunning has users cancel up to count running jobs within a fifth of a second, and
// returns the IDs of these jobs and up to eight of their machines.
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

// hostsOfCancellableJobs returns, by job, the machines of every accepted and running job
// whose cancellation no user has requested, in the order of their host names. The world's
// lock is held by the caller.
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

// sendInvalidRequests sends requests that users should not send, for as long as that fault
// lasts: repeated submissions, also of jobs that have ended, cancellations of jobs that are
// done, and submissions that fit no machine, exceed their team's limit, name an unknown
// team or dependency, or lack a field.
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
				w.Cancel(node, job.Spec.JobID) // checkAnswer checks that the job stays done
			case job != nil:
				w.resubmit(node, job.Spec.JobID, submissionBody(&job.Spec), false)
			}
		}()
	}
}

// drawAcceptedJob draws one of the accepted jobs, or returns nil if there is none. The
// world's lock is held by the caller.
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
	return accepted[int(w.drawNumber(parts...)%uint64(len(accepted)))]
}

// requiredFields are fields that a submission must have, as the protocol spells them.
var requiredFields = []string{"samePlace", "spread", "loaner", "snapshotEveryS", "snapshotS", "expectS", "cards", "rank", "owner"}

// invalidSubmission returns a submission that no controller may accept, selected by a
// number, and the field to remove from it if only the missing field makes it invalid.
func invalidSubmission(number int) (spec protocol.Submission, missingField string) {
	spec = protocol.Submission{JobID: fmt.Sprintf("wk-9%05d", number), Class: "odd", Team: "open", Shape: protocol.ShapeArray,
		PriorityClass: "normal", Tasks: 1, CPUs: 2, MemoryGB: 2, Image: "img-1", ImageGB: 1}
	switch number / 3 % 4 {
	case 0:
		spec.CPUs = 1e4 // more CPUs than any machine has
	case 1:
		spec.Team, spec.Shape, spec.Tasks = "tight", protocol.ShapeGang, 50 // more tasks than its team's limit allows
	case 2:
		if spec.Team = "nobody"; number%2 == 0 {
			spec.Team, spec.Dependencies = "open", []string{fmt.Sprintf("wk-8%05d", number)} // a job that was never submitted
		}
	default:
		missingField = requiredFields[number/12%len(requiredFields)]
	}
	return spec, missingField
}

// submitInvalid submits a job that no controller may accept, and records a violation if one
// does.
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
