package emulator

import (
	"encoding/json"
	"slices"
	"time"

	"madderslip/internal/protocol"
	"madderslip/internal/transport"
)

// Paths at which controllers accept submissions and answer health checks.
const (
	submissionsPath = "/submissions"
	readyPath       = "/ready"
)

// Time limits of users' requests.
const (
	submitTimeout = 5 * time.Second
	queryTimeout  = 2 * time.Second
	readyTimeout  = time.Second // of the load balancer
)

// isSuccess reports whether a status is that of an accepted submission, new or repeated, or
// of an answer with a job's status.
func isSuccess(status int) bool { return status == 200 || status == 201 }

// isRejection reports whether a status says that a job does not exist or is not allowed.
func isRejection(status int) bool { return status == 400 || status == 404 || status == 422 }

// isFinal reports whether a job never leaves a phase.
func isFinal(phase string) bool { return phase == protocol.JobDone || phase == protocol.JobCancelled }

// submissionBody returns a submission as users send it: every required field is present,
// even if its value is empty.
func submissionBody(spec *protocol.Submission) []byte {
	body, _ := json.Marshal(spec)
	var fields map[string]any
	_ = json.Unmarshal(body, &fields)
	fields["samePlace"] = spec.SameZone
	fields["spread"] = spec.SpreadZones
	fields["loaner"] = spec.AllowSpot
	fields["snapshotEveryS"] = spec.CheckpointIntervalS
	fields["snapshotS"] = spec.CheckpointS
	body, _ = json.Marshal(fields)
	return body
}

// Submit has a user submit a job to a controller. It waits for the answer and returns its
// status, or 0 if there is none.
func (w *World) Submit(node string, job *Job) int {
	w.mu.Lock()
	if existing := w.jobs[job.Spec.JobID]; existing != nil {
		job = existing
	} else {
		job.tasksDone = make(map[int]bool)
		w.jobs[job.Spec.JobID] = job
	}
	w.mu.Unlock()
	body := submissionBody(&job.Spec)
	sentAt := time.Now()
	status, response := w.userRequest(node, "POST", submissionsPath, body, submitTimeout)
	w.checkAnswer(job.Spec.JobID, sentAt, status, response, isSuccess(status))
	return status
}

// Cancel has a user request the cancellation of a job from a controller. It returns the
// answer's status, or 0 if there is none.
func (w *World) Cancel(node, jobID string) int {
	w.mu.Lock()
	w.cancelRequested[jobID] = true
	w.mu.Unlock()
	sentAt := time.Now()
	status, response := w.userRequest(node, "POST", submissionsPath+"/"+jobID+"/abort", nil, submitTimeout)
	w.checkAnswer(jobID, sentAt, status, response, false)
	return status
}

// Query has a user request the status of a job from a controller. Without an answer, the
// status is 0 and the phase is empty.
func (w *World) Query(node, jobID string) (status int, job protocol.JobStatus) {
	sentAt := time.Now()
	status, response := w.userRequest(node, "GET", submissionsPath+"/"+jobID, nil, queryTimeout)
	w.checkAnswer(jobID, sentAt, status, response, false)
	_ = json.Unmarshal(response, &job)
	return status, job
}

// IsReady reports whether a controller answers the load balancer's health check in time and
// that it is ready.
func (w *World) IsReady(node string) bool {
	status, _ := w.userRequest(node, "GET", readyPath, nil, readyTimeout)
	return status == 200
}

// RequestUntilAnswered repeats a request as a user does, at one controller after the other
// beginning with node, for up to a minute, until it gets a definite answer. It returns the
// status of this answer, or 0 if there is none.
func (w *World) RequestUntilAnswered(node string, request func(node string) int) int {
	w.mu.Lock()
	controllers := slices.Clone(w.controllers)
	w.mu.Unlock()
	began := time.Now()
	for i := slices.Index(controllers, node); time.Since(began) < time.Minute; i++ {
		status := request(controllers[max(i, 0)%len(controllers)])
		if isSuccess(status) || isRejection(status) {
			return status
		}
		if !wait(w.ctx, time.Second+137*time.Microsecond) {
			break
		}
	}
	return 0
}

// userRequest sends a request from a user, who is in no zone, to a controller. The status
// is 0 if no answer arrives within the timeout.
func (w *World) userRequest(node, method, target string, body []byte, timeout time.Duration) (status int, response []byte) {
	w.mu.Lock()
	handler := w.handlers[node]
	if w.zonesPartitioned(w.controllerZones[node], "") {
		handler = nil
	}
	requestDelay := w.between(100*time.Microsecond, time.Millisecond, node, target)
	responseDelay := w.between(100*time.Microsecond, time.Millisecond, node, target)
	w.mu.Unlock()
	if handler == nil || !wait(w.ctx, requestDelay) {
		return 0, nil
	}
	received := make(chan transport.Response, 1)
	go handler(method, target, body, func(answer transport.Response) { received <- answer })
	select {
	case answer := <-received:
		if !wait(w.ctx, responseDelay) {
			return 0, nil
		}
		return answer.Status, answer.Body
	case <-time.After(timeout):
		return 0, nil
	case <-w.ctx.Done():
		return 0, nil
	}
}

// checkAnswer checks an answer against the answers that users had received before the
// request was sent. Answers received while the request was under way do not count, except
// that two different final phases always contradict each other. A successful answer to a
// submission is the acceptance of the job.
func (w *World) checkAnswer(jobID string, sentAt time.Time, status int, response []byte, accepted bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	job := w.jobs[jobID]
	if job == nil {
		if status == 200 {
			w.recordViolation(ruleInvented, "%s", jobID)
		}
		return
	}
	w.checkAcceptance(job, sentAt, status)
	if accepted && job.acceptedAt.IsZero() {
		job.acceptedAt = time.Now()
		w.readConcurrently(jobID, readAccepted)
	}
	if isRejection(status) && !job.acceptedAt.IsZero() && !job.acceptedAt.After(sentAt) {
		w.recordViolation(ruleForgotten, "%s got %d", jobID, status)
	}
	var answer protocol.JobStatus
	if isSuccess(status) && json.Unmarshal(response, &answer) == nil {
		w.checkPhaseAnswer(job, answer.Phase, sentAt)
	}
}

// checkPhaseAnswer checks the phase in an answer about a job and records it. The world's
// lock is held by the caller.
func (w *World) checkPhaseAnswer(job *Job, phase string, sentAt time.Time) {
	jobID := job.Spec.JobID
	reportedBefore := !job.lastPhaseAt.After(sentAt)
	if isFinal(job.lastPhase) && phase != job.lastPhase && (isFinal(phase) || reportedBefore) {
		w.recordViolation(ruleWentBack, "%s was %s, is %s", jobID, job.lastPhase, phase)
	}
	w.checkCancelledPhase(jobID, phase, sentAt)
	if phase == protocol.JobDone && len(job.tasksDone) < job.Spec.Tasks {
		w.recordViolation(ruleNotDone, "%s has %d of %d", jobID, len(job.tasksDone), job.Spec.Tasks)
	}
	if phase == protocol.JobCancelled && job.cancelledAt.IsZero() {
		job.cancelledAt = time.Now()
		w.recordEvent("%s is cancelled", jobID)
		w.readConcurrently(jobID, readCancelled)
	}
	if !isFinal(job.lastPhase) && phase != job.lastPhase {
		job.lastPhase, job.lastPhaseAt = phase, time.Now()
	}
}
