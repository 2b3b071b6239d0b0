package emulator

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"madderslip/internal/protocol"
	"madderslip/internal/transport"
)

// testJob returns an array job whose tasks take 2 CPUs and run for an hour.
func testJob(jobID string, tasks int) *Job {
	return &Job{Run: time.Hour, Spec: protocol.Submission{JobID: jobID, Team: "t", Shape: protocol.ShapeArray, Tasks: tasks, CPUs: 2, Image: "i"}}
}

// startTask has a worker carry out a start command, and waits until the task runs.
func startTask(w *World, host, task string, attempt uint64) {
	w.mu.Lock()
	w.machines[host].runCommands([]protocol.Command{protocol.StartCommand(task, attempt)})
	w.mu.Unlock()
	time.Sleep(2 * time.Second)
}

// confirmCancellation records that a user was told that a job is cancelled, and waits until
// after the cancel deadline.
func confirmCancellation(w *World, jobID string) {
	w.mu.Lock()
	w.jobs[jobID].cancelledAt = time.Now()
	w.mu.Unlock()
	time.Sleep(10 * time.Second)
}

// answerUsers connects a controller that refuses heartbeats and answers users' requests
// with one body after the other, with status 200; the body "404" stands for an answer with
// that status.
func answerUsers(w *World, answers ...string) {
	w.SetController("n", func(_, target string, _ []byte, reply func(transport.Response)) {
		if target == heartbeatPath {
			reply(transport.Response{Status: 503})
			return
		}
		status, body := 200, answers[0]
		if body == "404" {
			status = 404
		}
		answers = answers[1:]
		reply(transport.Response{Status: status, Body: []byte(body)})
	})
}

// acceptInvalidRequests connects a controller that accepts every submission, while users
// send invalid ones.
func acceptInvalidRequests(w *World) {
	w.SetController("n", func(_, target string, _ []byte, reply func(transport.Response)) {
		status := 503
		if target == submissionsPath {
			status = 201
		}
		reply(transport.Response{Status: status, Body: []byte(`{"phase":"pending"}`)})
	})
	w.SetFault("odd requests", true)
	time.Sleep(5 * time.Second)
}

// readStaleStateConcurrently submits a job to one of two controllers while users read
// concurrently. The other controller answers from older state that the job does not exist,
// milliseconds after the acceptance.
func readStaleStateConcurrently(w *World) {
	w.SetFault("close looks", true)
	for _, name := range []string{"n", "m"} {
		w.SetController(name, func(method, _ string, _ []byte, reply func(transport.Response)) {
			if method == "POST" && name == "n" {
				reply(transport.Response{Status: 201, Body: []byte(`{"phase":"pending"}`)})
			} else {
				reply(transport.Response{Status: 404, Body: []byte(`{}`)})
			}
		})
	}
	w.Submit("n", testJob("wk-3", 1))
	time.Sleep(time.Second)
}

// TestEveryRuleCanBreak breaks rules on purpose and expects a violation: a check that
// cannot fail guards nothing.
func TestEveryRuleCanBreak(t *testing.T) {
	for _, c := range []struct {
		name    string
		want    string // text that a violation contains
		violate func(w *World)
	}{
		{"a task starts on two machines", "ran_twice:", func(w *World) {
			w.jobs["wk-1"] = testJob("wk-1", 2)
			startTask(w, "vm-000001", "wk-1/0", 1)
			startTask(w, "vm-000002", "wk-1/0", 2)
		}},
		{"a job that spreads has all tasks in a zone", "wrong_place:", func(w *World) {
			job := testJob("wk-1", 2)
			job.Spec.SpreadZones = true
			w.jobs["wk-1"] = job
			startTask(w, "vm-000001", "wk-1/0", 1)
			startTask(w, "vm-000002", "wk-1/1", 1)
		}},
		{"a team uses more than its limit", "quota:", func(w *World) {
			w.jobs["wk-1"] = testJob("wk-1", 2)
			startTask(w, "vm-000001", "wk-1/0", 1)
			startTask(w, "vm-000002", "wk-1/1", 1)
		}},
		{"a cancelled task goes on", "ran_cancelled:", func(w *World) {
			w.jobs["wk-1"] = testJob("wk-1", 1)
			startTask(w, "vm-000001", "wk-1/0", 1)
			confirmCancellation(w, "wk-1")
		}},
		{"a cancelled task goes on after its machine hung", "ran_cancelled: wk-2", func(w *World) {
			w.jobs["wk-2"] = testJob("wk-2", 1)
			startTask(w, "vm-000001", "wk-2/0", 1)
			w.SetMachineFault("vm-000001", "hang")
			confirmCancellation(w, "wk-2")
		}},
		{"an accepted job is unknown", "forgotten:", func(w *World) {
			answerUsers(w, `{"phase":"pending"}`, "404")
			w.Submit("n", testJob("wk-1", 1))
			w.Query("n", "wk-1")
		}},
		{"an accepted job is unknown to another controller", "forgotten: wk-3", readStaleStateConcurrently},
		{"a job that nobody submitted is known", "invented:", func(w *World) {
			answerUsers(w, `{"phase":"pending"}`)
			w.Query("n", "wk-9")
		}},
		{"a job is called done whose task was not", "not_done:", func(w *World) {
			answerUsers(w, `{"phase":"pending"}`, `{"phase":"done"}`)
			w.Submit("n", testJob("wk-1", 1))
			w.Query("n", "wk-1")
		}},
		{"a cancelled job is called running", "went_back:", func(w *World) {
			answerUsers(w, `{"phase":"cancelled"}`, `{"phase":"running"}`)
			w.jobs["wk-1"] = testJob("wk-1", 1)
			w.Cancel("n", "wk-1")
			w.Query("n", "wk-1")
		}},
		{"what can't run or lacks a field is accepted", "accepted:", acceptInvalidRequests},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer func() { cancel(); time.Sleep(2 * time.Hour) }()
				w := NewWorld(ctx, 1, protocol.WorkerSettings{HeartbeatInterval: time.Second, LeaseDuration: time.Hour, CancelDeadline: 5 * time.Second},
					map[string]protocol.Team{"t": {MaxCPUs: 3}})
				w.AddMachines(2, "a")
				time.Sleep(time.Second)
				if got := w.Violations(); len(got) > 0 {
					t.Fatalf("violations before the rule is broken: %v", got)
				}
				c.violate(w)
				if got := w.Violations(); len(got) == 0 || !strings.Contains(strings.Join(got, " "), c.want) {
					t.Fatalf("violation not recorded: %v", got)
				}
			})
		})
	}
}

// TestUnplacedJobsAndWastedStartsAreNoticed checks that, once all faults have ended, a job
// that stays unplaced beside free capacity that it fits is listed, that a job whose team is
// at its limit or that fits on no free capacity is not, and that a start after a confirmed
// cancellation is counted.
func TestUnplacedJobsAndWastedStartsAreNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(2 * time.Hour) }()
		w := NewWorld(ctx, 1, protocol.WorkerSettings{HeartbeatInterval: time.Second, LeaseDuration: time.Hour, CancelDeadline: 50 * time.Second},
			map[string]protocol.Team{"t": {}, "none": {MaxCPUs: 1}})
		w.AddMachines(2, "a")
		w.mu.Lock()
		for jobID, s := range map[string]protocol.Submission{
			"wk-1": {Team: "t", Shape: protocol.ShapeArray, Tasks: 1, CPUs: 8},
			"wk-2": {Team: "none", Shape: protocol.ShapeArray, Tasks: 1, CPUs: 2},
			"wk-3": {Team: "t", Shape: protocol.ShapeGang, Tasks: 3, CPUs: 8},
			"wk-4": {Team: "t", Shape: protocol.ShapeGang, Tasks: 2, CPUs: 8, SameZone: true},
			"wk-5": {Team: "t", Shape: protocol.ShapeService, Tasks: 1, CPUs: 2, Zone: "b"},
		} {
			s.JobID, s.Image = jobID, "i"
			w.jobs[jobID] = &Job{Spec: s, Run: time.Hour, acceptedAt: time.Now(), tasksDone: make(map[int]bool)}
		}
		w.mu.Unlock()
		time.Sleep(2 * time.Minute)
		if got := w.UnplacedLongerThan(90 * time.Second); len(got) != 0 {
			t.Errorf("before all faults have ended: %v", got)
		}
		w.EndFaults(0)
		time.Sleep(2 * time.Minute)
		if got := strings.Join(w.UnplacedLongerThan(90*time.Second), " "); got != "wk-1 wk-4" {
			t.Errorf("unplaced beside free capacity: %s", got)
		}
		w.mu.Lock()
		w.jobs["wk-1"].cancelledAt = time.Now()
		w.machines["vm-000001"].runCommands([]protocol.Command{protocol.StartCommand("wk-1/0", 1)})
		w.mu.Unlock()
		time.Sleep(2 * time.Second)
		if got := w.WastedStarts(); got != 1 {
			t.Errorf("%d starts after a cancellation, wanted 1", got)
		}
	})
}
