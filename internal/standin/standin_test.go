package standin

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
		return &Job{Run: time.Hour, Spec: protocol.Submission{Ref: ref, Team: "t", Shape: protocol.Array, Tasks: tasks, CPUs: 2, Image: "i"}}
	}
	start := func(w *World, host, task string, try uint64) {
		w.mu.Lock()
		w.machines[host].execute([]protocol.Command{protocol.Start(task, try)})
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
			j.Spec.Spread = true
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
			w.jobs["wk-1"].cancelled = time.Now()
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
			w.Abort("n", "wk-1")
			w.Query("n", "wk-1")
		},
	}
	for rule, breakIt := range cases {
		t.Run(rule, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer func() { cancel(); time.Sleep(2 * time.Hour) }()
				w := NewWorld(ctx, 1, protocol.WorkerSettings{Report: time.Second, Lease: time.Hour, Cancel: 5 * time.Second},
					map[string]protocol.Team{"t": {CPUsMax: 3}})
				w.AddMachines(2, "a")
				time.Sleep(time.Second)
				if got := w.Broken(); len(got) > 0 {
					t.Fatalf("broken before: %v", got)
				}
				breakIt(w)
				if got := w.Broken(); len(got) == 0 || !strings.Contains(strings.Join(got, " "), rule+":") {
					t.Fatalf("not noticed: %v", got)
				}
			})
		})
	}
}
