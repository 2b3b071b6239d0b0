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

// TestChecksCanFail breaks each rule on purpose: a check that can't fail
// guards nothing.
func TestChecksCanFail(t *testing.T) {
	job := func(ref string, tasks int) *Job {
		return &Job{Run: time.Hour, Spec: protocol.Submission{JobID: ref, Team: "t", Shape: protocol.ShapeArray, Tasks: tasks, CPUs: 2, Image: "i"}}
	}
	start := func(w *World, host, task string, attempt uint64) {
		w.mu.Lock()
		w.machines[host].runCommands([]protocol.Command{protocol.StartCommand(task, attempt)})
		w.mu.Unlock()
		time.Sleep(2 * time.Second)
	}
	says := func(w *World, answers ...string) {
		w.SetNode("n", func(_, target string, _ []byte, reply func(transport.Response)) {
			if target == "/v1/report" {
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
	cases := map[string]func(w *World){
		"ran_twice": func(w *World) {
			w.jobs["wk-1"] = job("wk-1", 2)
			start(w, "vm-000001", "wk-1/0", 1)
			start(w, "vm-000002", "wk-1/0", 2)
		},
		"wrong_place": func(w *World) {
			j := job("wk-1", 2)
			j.Spec.SpreadZones = true
			w.jobs["wk-1"] = j
			start(w, "vm-000001", "wk-1/0", 1)
			start(w, "vm-000002", "wk-1/1", 1)
		},
		"quota": func(w *World) {
			w.jobs["wk-1"] = job("wk-1", 2)
			start(w, "vm-000001", "wk-1/0", 1)
			start(w, "vm-000002", "wk-1/1", 1)
		},
		"ran_cancelled": func(w *World) {
			w.jobs["wk-1"] = job("wk-1", 1)
			start(w, "vm-000001", "wk-1/0", 1)
			w.mu.Lock()
			w.jobs["wk-1"].cancelledAt = time.Now()
			w.mu.Unlock()
			time.Sleep(10 * time.Second)
		},
		"forgotten": func(w *World) {
			says(w, `{"phase":"pending"}`, "404")
			w.Submit("n", job("wk-1", 1))
			w.Query("n", "wk-1")
		},
		"invented": func(w *World) {
			says(w, `{"phase":"pending"}`)
			w.Query("n", "wk-9")
		},
		"not_done": func(w *World) {
			says(w, `{"phase":"pending"}`, `{"phase":"done"}`)
			w.Submit("n", job("wk-1", 1))
			w.Query("n", "wk-1")
		},
		"went_back": func(w *World) {
			says(w, `{"phase":"cancelled"}`, `{"phase":"running"}`)
			w.jobs["wk-1"] = job("wk-1", 1)
			w.Cancel("n", "wk-1")
			w.Query("n", "wk-1")
		},
	}
	// A task goes on after its machine hung.
	cases["ran_cancelled: wk-2"] = func(w *World) {
		w.jobs["wk-2"] = job("wk-2", 1)
		start(w, "vm-000001", "wk-2/0", 1)
		w.Set("vm-000001", "hang")
		w.mu.Lock()
		w.jobs["wk-2"].cancelledAt = time.Now()
		w.mu.Unlock()
		time.Sleep(10 * time.Second)
	}
	// What can't run, or lacks a field, is accepted.
	cases["accepted"] = func(w *World) {
		w.SetNode("n", func(_, target string, _ []byte, reply func(transport.Response)) {
			status := 503
			if target == "/submissions" {
				status = 201
			}
			reply(transport.Response{Status: status, Body: []byte(`{"phase":"pending"}`)})
		})
		w.SetFault("odd requests", true)
		time.Sleep(5 * time.Second)
	}
	// Close looks: another node answers what is older, milliseconds after an acceptance.
	cases["forgotten: wk-3"] = func(w *World) {
		w.SetFault("close looks", true)
		for _, name := range []string{"n", "m"} {
			w.SetNode(name, func(method, _ string, _ []byte, reply func(transport.Response)) {
				if method == "POST" && name == "n" {
					reply(transport.Response{Status: 201, Body: []byte(`{"phase":"pending"}`)})
				} else {
					reply(transport.Response{Status: 404, Body: []byte(`{}`)})
				}
			})
		}
		w.Submit("n", job("wk-3", 1))
		time.Sleep(time.Second)
	}
	for rule, breakIt := range cases {
		t.Run(rule, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer func() { cancel(); time.Sleep(2 * time.Hour) }()
				w := NewWorld(ctx, 1, protocol.WorkerSettings{HeartbeatInterval: time.Second, LeaseDuration: time.Hour, CancelDeadline: 5 * time.Second},
					map[string]protocol.Team{"t": {MaxCPUs: 3}})
				w.AddMachines(2, "a")
				time.Sleep(time.Second)
				if got := w.Broken(); len(got) > 0 {
					t.Fatalf("broken before: %v", got)
				}
				breakIt(w)
				if !strings.Contains(rule, ":") {
					rule += ":"
				}
				if got := w.Broken(); len(got) == 0 || !strings.Contains(strings.Join(got, " "), rule) {
					t.Fatalf("not noticed: %v", got)
				}
			})
		})
	}
}

// Once all is calm, a job that waits beside room that it fits is noticed, one whose team
// is at its limit or that fits nowhere is not; and so is a start after a cancellation.
func TestWaitingAndVainStartsAreNoticed(t *testing.T) {
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
		if got := w.Waiting(90 * time.Second); len(got) != 0 {
			t.Errorf("before all is calm: %v", got)
		}
		w.EndFaults(0)
		time.Sleep(2 * time.Minute)
		if got := strings.Join(w.Waiting(90*time.Second), " "); got != "wk-1 wk-4" {
			t.Errorf("waiting beside room: %s", got)
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
