package emulator

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"madderslip/internal/protocol"
	"madderslip/internal/transport"
)

// Job is a job as the world knows it: what was submitted and how its tasks
// really run.
type Job struct {
	Spec          protocol.Submission
	Run           time.Duration // 0 for a service
	Fail          bool          // every task fails
	Fetch         time.Duration // of its image, if longer than usual
	acceptedAt    time.Time     // when its user was told so
	lastPhase     string        // the latest phase a user was told
	lastPhaseAt   time.Time     // when it was first told that
	cancelledAt   time.Time
	tasksDone     map[int]bool
	replicaTime   ServedShare // of a service
	unplacedSince time.Time   // since when it waits beside room that it fits, once all is calm
	startedAt     time.Time   // when its first task ran, of a gang all of them
	finishedAt    time.Time   // when its last task was done
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

// Known is a job that was accepted, for checks once a test's work is over.
type Known struct {
	Ref   string
	Shape protocol.Shape
	Tasks int
	Fails bool
}

// Accepted lists the jobs that users were told are accepted.
func (w *World) Accepted() []Known {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []Known
	for _, jobID := range slices.Sorted(maps.Keys(w.jobs)) {
		if j := w.jobs[jobID]; !j.acceptedAt.IsZero() {
			out = append(out, Known{jobID, j.Spec.Shape, j.Spec.Tasks, j.Fail})
		}
	}
	return out
}

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
