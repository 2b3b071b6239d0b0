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
	Spec      protocol.Submission
	Run       time.Duration // 0 for a service
	Fail      bool          // every task fails
	Fetch     time.Duration // of its image, if longer than usual
	accepted  time.Time     // when its user was told so
	told      string        // the latest phase a user was told
	toldAt    time.Time     // when it was first told that
	cancelled time.Time
	done      map[int]bool
	served    ServedShare // of a service
	waits     time.Time   // since when it waits beside room that it fits, once all is calm
	began     time.Time   // when its first task ran, of a gang all of them
	endedAt   time.Time   // when its last task was done
}

// Submit sends a job to a node and waits for the answer.
func (w *World) Submit(node string, j *Job) int {
	w.mu.Lock()
	if old := w.jobs[j.Spec.JobID]; old != nil {
		j = old
	} else {
		j.done = make(map[int]bool)
		w.jobs[j.Spec.JobID] = j
	}
	w.mu.Unlock()
	body := form(&j.Spec)
	asked := time.Now()
	status, raw := w.Ask(node, "POST", "/submissions", body, 5*time.Second)
	w.told(j.Spec.JobID, asked, status, raw, status == 200 || status == 201)
	return status
}

// Cancel asks a node to cancel a job.
func (w *World) Cancel(node, ref string) int {
	w.mu.Lock()
	w.aborted[ref] = true
	w.mu.Unlock()
	asked := time.Now()
	status, raw := w.Ask(node, "POST", "/submissions/"+ref+"/abort", nil, 5*time.Second)
	w.told(ref, asked, status, raw, false)
	return status
}

// Query asks a node for a job; phase is empty without an answer.
func (w *World) Query(node, ref string) (status int, a protocol.JobStatus) {
	asked := time.Now()
	status, raw := w.Ask(node, "GET", "/submissions/"+ref, nil, 2*time.Second)
	w.told(ref, asked, status, raw, false)
	_ = json.Unmarshal(raw, &a)
	return status, a
}

// RequestUntilAnswered repeats a request as a user does, at one node after the other, for up
// to a minute, until it has a definite answer.
func (w *World) RequestUntilAnswered(node string, request func(node string) int) int {
	w.mu.Lock()
	names := slices.Clone(w.names)
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
	h := w.nodes[node]
	if w.apart(w.zoneOf[node], "") {
		h = nil // users are in no zone
	}
	there, back := w.between(100*time.Microsecond, time.Millisecond, node, target), w.between(100*time.Microsecond, time.Millisecond, node, target)
	w.mu.Unlock()
	if h == nil || !wait(w.ctx, there) {
		return 0, nil
	}
	got := make(chan transport.Response, 1)
	go h(method, target, body, func(r transport.Response) { got <- r })
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

// told checks an answer against what users were told before they asked. What
// they were told while the question was on its way cannot be held against it.
func (w *World) told(ref string, asked time.Time, status int, raw []byte, accepted bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[ref]
	if j == nil {
		if status == 200 {
			w.breakRule("invented", "%s", ref)
		}
		return
	}
	w.judgeAcceptance(j, asked, status)
	if accepted && j.accepted.IsZero() {
		j.accepted = time.Now()
		w.look(ref, "accepted")
	}
	if (status == 404 || status == 400 || status == 422) && !j.accepted.IsZero() && !j.accepted.After(asked) {
		w.breakRule("forgotten", "%s got %d", ref, status)
	}
	var a protocol.JobStatus
	if (status != 200 && status != 201) || json.Unmarshal(raw, &a) != nil {
		return
	}
	final := func(p string) bool { return p == protocol.JobDone || p == protocol.JobCancelled }
	if final(j.told) && a.Phase != j.told && (final(a.Phase) || !j.toldAt.After(asked)) {
		w.breakRule("went_back", "%s was %s, is %s", ref, j.told, a.Phase)
	}
	w.judgePhase(ref, a.Phase, asked)
	if a.Phase == protocol.JobDone && len(j.done) < j.Spec.Tasks {
		w.breakRule("not_done", "%s has %d of %d", ref, len(j.done), j.Spec.Tasks)
	}
	if a.Phase == protocol.JobCancelled && j.cancelled.IsZero() {
		j.cancelled = time.Now()
		w.note("%s is cancelled", ref)
		w.look(ref, "cancelled")
	}
	if !final(j.told) && a.Phase != j.told {
		j.told, j.toldAt = a.Phase, time.Now()
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
	for _, ref := range slices.Sorted(maps.Keys(w.jobs)) {
		if j := w.jobs[ref]; !j.accepted.IsZero() {
			out = append(out, Known{ref, j.Spec.Shape, j.Spec.Tasks, j.Fail})
		}
	}
	return out
}

// SetTeam has the rules go by another guarantee or limit of a team from now on.
func (w *World) SetTeam(t protocol.Team) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.above[t.Name] = w.Teams[t.Name]
	w.Teams[t.Name] = t
	w.note("team %s: %+v", t.Name, t)
}

// permitted is what a team may use now: its limit or, since that was lowered below
// what ran, what still runs of it. Nothing need be stopped, and nothing may start
// that passes it.
func (w *World) permitted(team string, use protocol.Resources) protocol.Team {
	limit := w.Teams[team]
	was, lowered := w.above[team]
	if !lowered {
		return limit
	}
	most := func(limit, was, use float64) float64 {
		if limit == 0 || was == 0 {
			return limit
		}
		return max(limit, min(was, use))
	}
	now := protocol.Team{MaxCPUs: most(limit.MaxCPUs, was.MaxCPUs, use.CPUs), MaxGPUs: most(limit.MaxGPUs, was.MaxGPUs, use.GPUs)}
	w.above[team] = now
	return now
}

// check looks for cancelled tasks that stay, and for teams beyond their limit.
func (w *World) check() {
	for wait(w.ctx, 500*time.Millisecond+73*time.Nanosecond) {
		w.mu.Lock()
		if w.RecordStartsOnly {
			w.mu.Unlock()
			continue
		}
		use := w.teamUse()
		w.countReplicas(500 * time.Millisecond)
		if !w.calmAt.IsZero() {
			w.lookForWaiting(use)
		}
		for _, host := range slices.Sorted(maps.Keys(w.machines)) {
			m := w.machines[host]
			for _, name := range slices.Sorted(maps.Keys(m.tasks)) {
				ref, _, _ := protocol.ParseTaskName(name)
				j := w.jobs[ref]
				if m.gone || j == nil || !m.tasks[name].on() {
					continue
				}
				if !j.cancelled.IsZero() && time.Since(j.cancelled) > w.Workers.CancelDeadline {
					w.breakRule("ran_cancelled", "%s on %s", name, m.host)
				}
			}
		}
		for _, team := range slices.Sorted(maps.Keys(use)) {
			limit := w.permitted(team, use[team])
			if u := use[team]; (limit.MaxCPUs > 0 && u.CPUs > limit.MaxCPUs+1e-6) || (limit.MaxGPUs > 0 && u.GPUs > limit.MaxGPUs+1e-6) {
				w.breakRule("quota", "%s uses %v of %v CPUs and %v cards", team, u, limit.MaxCPUs, limit.MaxGPUs)
			}
		}
		w.mu.Unlock()
	}
}
