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

// concurrentReadRounds is how often users ask each node in a close look.
const concurrentReadRounds = 4

// readConcurrently has users ask about a job at all nodes within milliseconds, again and again, and
// repeat its submission; hasty ones cancel it in between. The world's lock is held.
func (w *World) readConcurrently(jobID, why string) {
	if !w.activeFaults["close looks"] {
		return
	}
	job := w.jobs[jobID]
	body := submissionBody(&job.Spec)
	w.recordEvent("%s: users look closely, %s", jobID, why)
	for _, node := range w.controllers {
		for i := range concurrentReadRounds {
			n := fmt.Sprint(i)
			after := time.Duration(i)*3*time.Millisecond + w.between(50*time.Microsecond, 3*time.Millisecond, "look", jobID, why, node, n)
			again, off := w.chance(25, "again", jobID, why, node, n), w.activeFaults["hasty users"] && why == "accepted" && i == 1 && w.chance(10, "off", jobID, node)
			if off {
				w.cancelRequested[jobID] = true
			}
			go func() {
				if !wait(w.ctx, after) {
					return
				}
				switch asked := time.Now(); {
				case off:
					w.Cancel(node, jobID)
				case again:
					status, raw := w.Ask(node, "POST", "/submissions", body, 5*time.Second)
					w.checkAnswer(jobID, asked, status, raw, status == 200 || status == 201)
				default:
					w.Query(node, jobID)
				}
			}()
		}
	}
}

// jobFinished is the moment at which the last task of a job completes: its users look, and
// two of five call it off. The world's lock is held.
func (w *World) jobFinished(job *Job) {
	if !job.allTasksDone() {
		return
	}
	job.finishedAt = time.Now()
	jobID := job.Spec.JobID
	w.readConcurrently(jobID, "ended")
	if w.activeFaults["cancel at end"] && !job.acceptedAt.IsZero() && w.chance(40, "at end", jobID) {
		node := w.controllers[int(w.roll("at end", jobID)%uint64(len(w.controllers)))]
		after := w.between(time.Microsecond, 4*time.Millisecond, "at end", jobID)
		w.cancelRequested[jobID] = true
		go func() {
			if wait(w.ctx, after) {
				w.RequestUntilAnswered(node, func(node string) int { return w.Cancel(node, jobID) })
			}
		}()
	}
}

// CancelRunning has users cancel so many of the jobs that run, within a fifth of a second, and
// tells which, and up to eight of their machines.
func (w *World) CancelRunning(count int) (jobIDs, hosts []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	on := make(map[string][]string)
	for _, host := range slices.Sorted(maps.Keys(w.machines)) {
		machine := w.machines[host]
		for name, task := range machine.tasks {
			jobID, _, _ := protocol.ParseTaskName(name)
			job := w.jobs[jobID]
			if job != nil && !machine.removed && task.occupiesMachine() && !job.acceptedAt.IsZero() && !w.cancelRequested[jobID] && !slices.Contains(on[jobID], host) {
				on[jobID] = append(on[jobID], host)
			}
		}
	}
	for _, jobID := range slices.Sorted(maps.Keys(on)) {
		if len(jobIDs) == count {
			break
		}
		jobIDs = append(jobIDs, jobID)
		for _, host := range on[jobID] {
			if len(hosts) < 8 && !slices.Contains(hosts, host) {
				hosts = append(hosts, host)
			}
		}
		w.cancelRequested[jobID] = true
		node, after := w.controllers[int(w.roll("off", jobID)%uint64(len(w.controllers)))], w.between(0, 200*time.Millisecond, "off", jobID)
		go func() {
			if wait(w.ctx, after) {
				w.RequestUntilAnswered(node, func(node string) int { return w.Cancel(node, jobID) })
			}
		}()
	}
	return jobIDs, hosts
}

// sendInvalidRequests sends what users should not, for as long as that trouble lasts: repeats of
// submissions, also of jobs that are over, cancellations of jobs that are done, jobs that
// fit no machine, exceed their team's limit or lack a field.
func (w *World) sendInvalidRequests() {
	for k := 0; wait(w.ctx, 300*time.Millisecond+61*time.Nanosecond); k++ {
		w.mu.Lock()
		if !w.activeFaults["odd requests"] || len(w.controllers) == 0 {
			w.mu.Unlock()
			continue
		}
		n := fmt.Sprint(k)
		node := w.controllers[int(w.roll("odd", n)%uint64(len(w.controllers)))]
		var known []*Job
		for _, jobID := range slices.Sorted(maps.Keys(w.jobs)) {
			if j := w.jobs[jobID]; !j.acceptedAt.IsZero() {
				known = append(known, j)
			}
		}
		var job *Job
		if len(known) > 0 {
			job = known[int(w.roll("odd job", n)%uint64(len(known)))]
		}
		done := job != nil && job.lastPhase == protocol.JobDone
		w.mu.Unlock()
		go func() {
			switch {
			case k%3 == 0:
				w.submitInvalid(node, k)
			case done && k%3 == 1:
				w.Cancel(node, job.Spec.JobID) // which it will not be, and told says so
			case job != nil:
				asked := time.Now()
				status, raw := w.Ask(node, "POST", "/submissions", submissionBody(&job.Spec), 5*time.Second)
				w.checkAnswer(job.Spec.JobID, asked, status, raw, false)
			}
		}()
	}
}

// submitInvalid submits a job that no node may accept.
func (w *World) submitInvalid(node string, k int) {
	s := protocol.Submission{JobID: fmt.Sprintf("wk-9%05d", k), Class: "odd", Team: "open", Shape: protocol.ShapeArray, PriorityClass: "normal", Tasks: 1, CPUs: 2, MemoryGB: 2, Image: "img-1", ImageGB: 1}
	lacks := ""
	switch fields := []string{"samePlace", "spread", "loaner", "snapshotEveryS", "snapshotS", "expectS", "cards", "rank", "owner"}; k / 3 % 4 {
	case 0:
		s.CPUs = 1e4
	case 1:
		s.Team, s.Shape, s.Tasks = "tight", protocol.ShapeGang, 50
	case 2:
		if s.Team = "nobody"; k%2 == 0 {
			s.Team, s.Dependencies = "open", []string{fmt.Sprintf("wk-8%05d", k)} // never submitted
		}
	default:
		lacks = fields[k/12%len(fields)]
	}
	body := submissionBody(&s)
	if lacks != "" {
		var all map[string]any
		_ = json.Unmarshal(body, &all)
		delete(all, lacks)
		body, _ = json.Marshal(all)
	}
	status, raw := w.Ask(node, "POST", "/submissions", body, 5*time.Second)
	if status == 200 || status == 201 {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.recordViolation("accepted", "%s, which can't run or lacks a field (%q): %s", s.JobID, lacks, bytes.TrimSpace(raw))
	}
}
