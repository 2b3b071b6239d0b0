package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// lateAnswersRandom plays pipelines of two arrays, about three a second, with a state service that
// answers slowly throughout: most answers are up to 30 ms late, one in three up to 1.9 s. It is no
// case: it tells how often the fault of the case late-answers comes without its plan.
func lateAnswersRandom(trouble bool) bool {
	w, _ := newLateWorld()
	var spell atomic.Bool
	spell.Store(trouble)
	releases := &releaseCount{seen: make(map[string]bool)}
	w.state.delayOf = func(call stateCall) time.Duration {
		releases.observe(call)
		switch {
		case !spell.Load():
			return 6 * time.Millisecond
		case rand.IntN(3) == 0:
			return time.Duration(rand.IntN(1900)) * time.Millisecond
		}
		return time.Duration(rand.IntN(30)) * time.Millisecond
	}
	var wg sync.WaitGroup
	var played, revived atomic.Int32
	any := func() *node { return w.controllers[rand.IntN(len(w.controllers))] }
	number := 0
	for end := time.Now().Add(50 * time.Second); time.Now().Before(end); time.Sleep(time.Duration(100+rand.IntN(400)) * time.Millisecond) {
		number += 2
		first := submission{Ref: fmt.Sprintf("wk-%06d", number), Jobclass: "halteverbot", Owner: "leitstelle", Shape: "sweep", Rank: "normal", Shards: 1 + rand.IntN(3), CPUs: 1, MemGb: 3.2, Bundle: fmt.Sprintf("img-%d", rand.IntN(3)), SizeGb: 0.3, ExpectS: 3}
		second := submission{Ref: fmt.Sprintf("wk-%06d", number+1), Jobclass: "adressen", Owner: "leitstelle", Shape: "sweep", Rank: "normal", Shards: 17 + rand.IntN(6), CPUs: 1, MemGb: 3.2, Bundle: fmt.Sprintf("img-%d", 3+rand.IntN(3)), SizeGb: 0.3, ExpectS: 5, Awaits: []string{first.Ref}}
		wg.Go(func() {
			if _, ok := w.submit(any(), first, time.Hour); !ok {
				return
			}
			for deadline := time.Now().Add(20 * time.Second); len(w.tasksOf(first.Ref)) < first.Shards; time.Sleep(20 * time.Millisecond) {
				if time.Now().After(deadline) {
					return
				}
			}
			time.Sleep(time.Second)
			for i := range first.Shards {
				time.AfterFunc(time.Duration(rand.IntN(900))*time.Millisecond, func() { w.endTask(fmt.Sprintf("%s/%d", first.Ref, i)) })
			}
			if _, ok := w.submit(any(), second, time.Duration(1+rand.IntN(2))*time.Second); !ok {
				return
			}
			played.Add(1)
			told := false
			for deadline := time.Now().Add(25 * time.Second); time.Now().Before(deadline); time.Sleep(300 * time.Millisecond) {
				for _, c := range w.controllers {
					status, a := w.poll(c, second.Ref)
					if status == 200 && told && a.Phase != "done" {
						revived.Add(1)
						say("RULE went_back: %s called %s", second.Ref, a.Phase)
						return
					}
					told = told || (status == 200 && a.Phase == "done")
				}
			}
		})
	}
	wg.Wait()
	say("%d pipelines, %d jobs released twice, %d starts of a task that was on another machine, %d jobs that were called done and then something else", played.Load(), releases.twice.Load(), len(w.violations()), revived.Load())
	return len(w.violations()) == 0 && revived.Load() == 0
}

// releaseCount counts the jobs that were released more than once: whose record was stored as that of
// a released job ("r") that is open (no "x") again.
type releaseCount struct {
	mu    sync.Mutex
	seen  map[string]bool
	twice atomic.Int32
}

func (r *releaseCount) observe(call stateCall) {
	var txn transaction
	if call.status != 200 || len(call.writes) == 0 || json.Unmarshal(call.body, &txn) != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, write := range txn.Writes {
		value := string(write.Value)
		if !strings.HasPrefix(write.Set, "madderslip/j/") || !strings.Contains(value, `"r":`) || strings.Contains(value, `"x":`) {
			continue
		}
		if r.seen[write.Set] {
			r.twice.Add(1)
			note("released again: %s", write.Set)
		}
		r.seen[write.Set] = true
	}
}
