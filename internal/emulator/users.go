package emulator

import (
	"encoding/json"
	"slices"
	"time"

	"madderslip/internal/protocol"
	"madderslip/internal/transport"
)

// submissionBody is a submission as users send it: every field that may not be left out is there.
func submissionBody(s *protocol.Submission) []byte {
	raw, _ := json.Marshal(s)
	var all map[string]any
	_ = json.Unmarshal(raw, &all)
	for key, value := range map[string]any{"samePlace": s.SameZone, "spread": s.SpreadZones, "loaner": s.AllowSpot, "snapshotEveryS": s.CheckpointIntervalS, "snapshotS": s.CheckpointS} {
		all[key] = value
	}
	raw, _ = json.Marshal(all)
	return raw
}

// Submit sends a job to a node and waits for the answer.
func (w *World) Submit(node string, job *Job) int {
	w.mu.Lock()
	if old := w.jobs[job.Spec.JobID]; old != nil {
		job = old
	} else {
		job.tasksDone = make(map[int]bool)
		w.jobs[job.Spec.JobID] = job
	}
	w.mu.Unlock()
	body := submissionBody(&job.Spec)
	asked := time.Now()
	status, raw := w.Ask(node, "POST", "/submissions", body, 5*time.Second)
	w.checkAnswer(job.Spec.JobID, asked, status, raw, status == 200 || status == 201)
	return status
}

// Cancel asks a node to cancel a job.
func (w *World) Cancel(node, jobID string) int {
	w.mu.Lock()
	w.cancelRequested[jobID] = true
	w.mu.Unlock()
	asked := time.Now()
	status, raw := w.Ask(node, "POST", "/submissions/"+jobID+"/abort", nil, 5*time.Second)
	w.checkAnswer(jobID, asked, status, raw, false)
	return status
}

// Query asks a node for a job; phase is empty without an answer.
func (w *World) Query(node, jobID string) (status int, a protocol.JobStatus) {
	asked := time.Now()
	status, raw := w.Ask(node, "GET", "/submissions/"+jobID, nil, 2*time.Second)
	w.checkAnswer(jobID, asked, status, raw, false)
	_ = json.Unmarshal(raw, &a)
	return status, a
}

// RequestUntilAnswered repeats a request as a user does, at one node after the other, for up
// to a minute, until it has a definite answer.
func (w *World) RequestUntilAnswered(node string, request func(node string) int) int {
	w.mu.Lock()
	names := slices.Clone(w.controllers)
	w.mu.Unlock()
	began := time.Now()
	for i := slices.Index(names, node); time.Since(began) < time.Minute; i++ {
		switch status := request(names[max(i, 0)%len(names)]); status {
		case 200, 201, 400, 404, 422:
			return status
		}
		if !wait(w.ctx, time.Second+137*time.Microsecond) {
			break
		}
	}
	return 0
}

// Ask makes a user's request.
func (w *World) Ask(node, method, target string, body []byte, timeout time.Duration) (int, []byte) {
	w.mu.Lock()
	handler := w.handlers[node]
	if w.zonesPartitioned(w.controllerZones[node], "") {
		handler = nil // users are in no zone
	}
	there, back := w.between(100*time.Microsecond, time.Millisecond, node, target), w.between(100*time.Microsecond, time.Millisecond, node, target)
	w.mu.Unlock()
	if handler == nil || !wait(w.ctx, there) {
		return 0, nil
	}
	got := make(chan transport.Response, 1)
	go handler(method, target, body, func(r transport.Response) { got <- r })
	select {
	case r := <-got:
		if !wait(w.ctx, back) {
			return 0, nil
		}
		return r.Status, r.Body
	case <-time.After(timeout):
		return 0, nil
	case <-w.ctx.Done():
		return 0, nil
	}
}

// checkAnswer checks an answer against what users were told before they asked. What
// they were told while the question was on its way cannot be held against it.
func (w *World) checkAnswer(jobID string, asked time.Time, status int, raw []byte, accepted bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	job := w.jobs[jobID]
	if job == nil {
		if status == 200 {
			w.recordViolation("invented", "%s", jobID)
		}
		return
	}
	w.checkAcceptance(job, asked, status)
	if accepted && job.acceptedAt.IsZero() {
		job.acceptedAt = time.Now()
		w.readConcurrently(jobID, "accepted")
	}
	if (status == 404 || status == 400 || status == 422) && !job.acceptedAt.IsZero() && !job.acceptedAt.After(asked) {
		w.recordViolation("forgotten", "%s got %d", jobID, status)
	}
	var a protocol.JobStatus
	if (status != 200 && status != 201) || json.Unmarshal(raw, &a) != nil {
		return
	}
	final := func(p string) bool { return p == protocol.JobDone || p == protocol.JobCancelled }
	if final(job.lastPhase) && a.Phase != job.lastPhase && (final(a.Phase) || !job.lastPhaseAt.After(asked)) {
		w.recordViolation("went_back", "%s was %s, is %s", jobID, job.lastPhase, a.Phase)
	}
	w.checkPhase(jobID, a.Phase, asked)
	if a.Phase == protocol.JobDone && len(job.tasksDone) < job.Spec.Tasks {
		w.recordViolation("not_done", "%s has %d of %d", jobID, len(job.tasksDone), job.Spec.Tasks)
	}
	if a.Phase == protocol.JobCancelled && job.cancelledAt.IsZero() {
		job.cancelledAt = time.Now()
		w.recordEvent("%s is cancelled", jobID)
		w.readConcurrently(jobID, "cancelled")
	}
	if !final(job.lastPhase) && a.Phase != job.lastPhase {
		job.lastPhase, job.lastPhaseAt = a.Phase, time.Now()
	}
}
