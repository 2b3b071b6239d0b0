package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// chaos plays random troubles for CHAOS_S seconds and judges the rules. It is no case: the review
// used it to look for faults. CHAOS_SLOW=1: the state service is slow throughout; CHAOS_CALM=1: no
// other troubles; CHAOS_PIPE=1: pipelines alone; CHAOS_RATE: mean time between jobs, milliseconds.
func chaos(bool) bool {
	const north, south, region = "halle-nord", "halle-sued", "region"
	w := newWorld(timing{report: 2 * time.Second, lease: 10 * time.Second, gangWait: 50 * time.Second, gangPeer: 8 * time.Second, cancel: 40 * time.Second})
	w.addNodes(north, south, north)
	w.state = newStateService(stateLimits{rps: 200, writeRPS: 80, valueBytes: 16 << 10, txnOps: 24})
	big := &flavour{Label: "big", CPUs: 64, MemGb: 640, CacheGb: 70, PullGbPerS: 2, Hourly: 2, MarketPrice: 1, BootS: 10, Halls: []string{north, south}}
	small := &flavour{Label: "small", CPUs: 16, MemGb: 160, CacheGb: 70, PullGbPerS: 2, Hourly: 1.11, MarketPrice: 0.48, BootS: 10, Halls: []string{north, south}}
	w.cloud = &cloud{world: w, flavours: []*flavour{big, small}, listLag: 3 * time.Second, capacity: 4, hires: make(map[string][]string), requests: newBucket(8, 2)}
	for i, c := range w.controllers {
		g := w.link(c.zone, region)
		w.writeSettings(c, w.state.serve(i, g), w.cloud.serve(g), chaosCluster)
	}
	w.cloud.add(big, north, false, 0)
	w.cloud.add(big, south, false, 0)
	w.cloud.add(small, north, false, 0)
	w.cloud.add(small, south, false, 0)
	// CHAOS_OLD=PROGRAM: the controllers begin with this older program and are replaced one after
	// the other.
	upgraded := time.Now()
	if old := os.Getenv("CHAOS_OLD"); old != "" {
		upgraded = upgraded.Add(100 * time.Second)
		for i, c := range w.controllers {
			c.old = old
			time.AfterFunc(time.Duration(45+25*i)*time.Second, func() {
				note("TROUBLE upgrade of %s", c.name)
				c.kill()
				c.mu.Lock()
				c.old = ""
				c.mu.Unlock()
				time.Sleep(3 * time.Second)
				if !c.running() {
					c.start(deployRun())
				}
			})
		}
	}
	w.startAll()
	time.Sleep(3 * time.Second)
	seconds, _ := strconv.Atoi(os.Getenv("CHAOS_S"))
	if seconds == 0 {
		seconds = 100
	}
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	slow := os.Getenv("CHAOS_SLOW")
	var mu sync.Mutex
	slowUntil := time.Time{}
	w.state.delayOf = func(call stateCall) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		isSlow := slow == "1" || time.Now().Before(slowUntil)
		if !isSlow {
			if rand.IntN(50) == 0 {
				return time.Duration(rand.IntN(400)) * time.Millisecond
			}
			return time.Duration(rand.IntN(8)) * time.Millisecond
		}
		if rand.IntN(8) == 0 {
			return time.Duration(rand.IntN(1900)) * time.Millisecond
		}
		return time.Duration(rand.IntN(240)) * time.Millisecond
	}
	lossUntil, commandsUntil := time.Time{}, time.Time{}
	w.state.lose = func() (bool, time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		if time.Now().After(lossUntil) || rand.IntN(4) > 0 {
			return false, 0
		}
		if rand.IntN(2) == 0 {
			return true, 0
		}
		return true, time.Duration(2000+rand.IntN(10_000)) * time.Millisecond
	}
	w.loseCommand = func() (bool, time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		if time.Now().After(commandsUntil) || rand.IntN(3) > 0 {
			return false, 0
		}
		return true, time.Duration(2000+rand.IntN(14_000)) * time.Millisecond
	}
	copiesUntil := time.Time{}
	w.copyReport = func() (bool, time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		if time.Now().After(copiesUntil) || rand.IntN(3) > 0 {
			return false, 0
		}
		return true, time.Duration(2000+rand.IntN(28_000)) * time.Millisecond
	}
	cloudUntil := time.Time{}
	w.cloud.loseCall = func() (bool, time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		if time.Now().After(cloudUntil) || rand.IntN(3) > 0 {
			return false, 0
		}
		return true, time.Duration(rand.IntN(15_000)) * time.Millisecond
	}
	anyWorker := func() *worker {
		w.cloud.mu.Lock()
		defer w.cloud.mu.Unlock()
		for range 20 {
			if m := w.cloud.machines[rand.IntN(len(w.cloud.machines))]; m.worker != nil && m.goneAt.IsZero() {
				return m.worker
			}
		}
		return nil
	}
	var wg sync.WaitGroup
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			w.mu.Lock()
			used := 0.0
			for name, list := range w.on {
				ref, _, _ := strings.Cut(name, "/")
				if j := w.jobs[ref]; j.spec.Owner == "statistikamt" {
					used += float64(len(list)) * j.spec.CPUs
				}
			}
			w.mu.Unlock()
			if used > 6.001 {
				say("RULE quota: %v CPUs", used)
			}
		}
	}()
	broken := &sync.Map{}
	fail := func(format string, args ...any) {
		text := fmt.Sprintf(format, args...)
		broken.Store(text, true)
		say("RULE %s", text)
	}
	number := 0
	var numbers sync.Mutex
	next := func() string {
		numbers.Lock()
		defer numbers.Unlock()
		number++
		return fmt.Sprintf("wk-%06d", number)
	}
	anyNode := func() *node { return w.controllers[rand.IntN(len(w.controllers))] }
	follow := func(ref string, deps []string, cancelAfter time.Duration) {
		acceptedAt := time.Now()
		var cancelledAt, lastAnswer time.Time
		lastAnswer = time.Now()
		final := ""
		check := func(status int, a jobAnswer, sent time.Time) {
			switch {
			case status == 404:
				fail("forgotten: %s gets 404", ref)
			case status == 200:
				lastAnswer = time.Now()
				if final != "" && a.Phase != final {
					fail("went_back: %s was %s, now %s", ref, final, a.Phase)
				}
				if a.Phase == "done" || a.Phase == "cancelled" {
					if final == "" {
						final = a.Phase
						if a.Phase == "cancelled" && cancelledAt.IsZero() && cancelAfter == 0 && deps == nil {
							fail("went_back: %s called cancelled, nobody did", ref)
						}
						if a.Phase == "done" && len(w.tasksOf(ref)) > 0 {
							fail("not_done: %s: %v", ref, w.tasksOf(ref))
						}
					}
				}
			}
		}
		look := func() {
			for _, c := range w.controllers {
				sent := time.Now()
				status, a := w.poll(c, ref)
				check(status, a, sent)
			}
		}
		look()
		for time.Now().Before(end.Add(30*time.Second)) && final == "" {
			time.Sleep(time.Duration(1000+rand.IntN(1500)) * time.Millisecond)
			if cancelAfter > 0 && cancelledAt.IsZero() && time.Since(acceptedAt) > cancelAfter {
				status, answer := w.ask(anyNode(), "POST", "/submissions/"+ref+"/abort", nil, 5*time.Second)
				var a jobAnswer
				_ = json.Unmarshal(answer, &a)
				if status == 200 {
					check(200, a, time.Now())
					if a.Phase == "cancelled" {
						cancelledAt = time.Now()
						note("user: %s told cancelled", ref)
						look()
						time.AfterFunc(w.timing.cancel+500*time.Millisecond, func() {
							if left := w.tasksOf(ref); len(left) > 0 {
								fail("ran_cancelled: %v", left)
							}
						})
					}
				}
				continue
			}
			sent := time.Now()
			status, a := w.poll(anyNode(), ref)
			check(status, a, sent)
			if final != "" {
				look()
			}
		}
		if final == "" {
			note("open: %s, last answer %.1f s ago, tasks %v", ref, time.Since(lastAnswer).Seconds(), w.tasksOf(ref))
		} else if final == "done" {
			note("user: %s done", ref)
		}
	}
	plain := func(tasks int) submission {
		return submission{Ref: next(), Jobclass: "touren", Owner: "leitstelle", Shape: "sweep", Rank: "normal", Shards: tasks, CPUs: 1, MemGb: 1, Bundle: "img-" + strconv.Itoa(rand.IntN(3)), SizeGb: 0.2, ExpectS: 3}
	}
	run := func() time.Duration { return time.Duration(500+rand.IntN(4000)) * time.Millisecond }
	rate := 600 * time.Millisecond
	if ms, _ := strconv.Atoi(os.Getenv("CHAOS_RATE")); ms > 0 {
		rate = time.Duration(ms) * time.Millisecond
	}
	pipelines := os.Getenv("CHAOS_PIPE") == "1"
	wg.Go(func() {
		for time.Now().Before(end) {
			time.Sleep(time.Duration(rand.Int64N(int64(2 * rate))))
			wg.Go(func() {
				first := plain(1 + rand.IntN(4))
				if rand.IntN(3) == 0 && !pipelines {
					first.Owner = "statistikamt"
				}
				if rand.IntN(6) == 0 && !pipelines {
					first.Shape, first.ExpectS = "service", 0
				}
				if rand.IntN(4) == 0 && !pipelines {
					first.Shape, first.Shards, first.CPUs, first.SamePlace = "group", 2+rand.IntN(12), float64(2+rand.IntN(7)), rand.IntN(2) == 0
				}
				cancelAfter := time.Duration(0)
				if first.Shape == "service" || (rand.IntN(5) == 0 && !pipelines) {
					cancelAfter = time.Duration(1+rand.IntN(15)) * time.Second
				}
				runs := run()
				if cancelAfter > 0 && rand.IntN(2) == 0 {
					runs = time.Minute
				}
				if _, ok := w.submit(anyNode(), first, runs); !ok {
					return
				}
				deps := []string{first.Ref}
				wg.Go(func() { follow(first.Ref, nil, cancelAfter) })
				if first.Shape == "service" || (rand.IntN(2) == 0 && !pipelines) || time.Now().Before(upgraded) {
					return
				}
				time.Sleep(time.Duration(rand.Int64N(int64(runs + 2*time.Second))))
				second := plain(20 + rand.IntN(60))
				second.Awaits = deps
				if _, ok := w.submit(anyNode(), second, time.Duration(2000+rand.IntN(4000))*time.Millisecond); !ok {
					return
				}
				follow(second.Ref, deps, 0)
			})
		}
	})
	if os.Getenv("CHAOS_CALM") != "1" {
		wg.Go(func() {
			for time.Now().Before(end.Add(-20 * time.Second)) {
				time.Sleep(time.Duration(2+rand.IntN(8)) * time.Second)
				length := time.Duration(1+rand.IntN(25)) * time.Second
				switch rand.IntN(16) {
				case 0:
					c := anyNode()
					note("TROUBLE %s stands still for %v", c.name, length)
					c.signal(syscall.SIGSTOP)
					time.AfterFunc(length, func() { c.signal(syscall.SIGCONT) })
				case 1:
					c := anyNode()
					if !c.running() {
						break
					}
					note("TROUBLE %s killed", c.name)
					c.kill()
					time.AfterFunc(time.Duration(rand.IntN(8000))*time.Millisecond, func() {
						if !c.running() {
							c.start(deployRun())
						}
					})
				case 2:
					length = min(length, 15*time.Second)
					note("TROUBLE state outage for %v", length)
					w.state.setDown(true)
					time.AfterFunc(length, func() { w.state.setDown(false) })
				case 3:
					note("TROUBLE state slow for %v", length)
					mu.Lock()
					slowUntil = time.Now().Add(length)
					mu.Unlock()
				case 4:
					note("TROUBLE zone cut for %v", length)
					w.cutZone(south)
					time.AfterFunc(length, func() { w.healZone(south) })
				case 6:
					note("TROUBLE lost and late transactions for %v", length)
					mu.Lock()
					lossUntil = time.Now().Add(length)
					mu.Unlock()
				case 7:
					note("TROUBLE late commands for %v", length)
					mu.Lock()
					commandsUntil = time.Now().Add(length)
					mu.Unlock()
				case 8:
					i := rand.IntN(len(w.controllers))
					note("TROUBLE the state service refuses %s for %v", w.controllers[i].name, length)
					w.state.refuse(i, true)
					time.AfterFunc(length, func() { w.state.refuse(i, false) })
				case 9:
					note("TROUBLE copies of reports arrive late for %v", length)
					mu.Lock()
					copiesUntil = time.Now().Add(length)
					mu.Unlock()
				case 10:
					for range 1 + rand.IntN(2) {
						if k := anyWorker(); k != nil {
							note("TROUBLE machine %s begins again", k.machine.ref)
							k.beginAgain()
						}
					}
				case 11, 12:
					k := anyWorker()
					if k == nil {
						break
					}
					deaf := rand.IntN(2) == 0
					note("TROUBLE machine %s is deaf (%v) or mute for %v", k.machine.ref, deaf, length)
					k.mu.Lock()
					k.deaf, k.mute = deaf, !deaf
					k.mu.Unlock()
					time.AfterFunc(length, func() {
						k.mu.Lock()
						defer k.mu.Unlock()
						k.deaf, k.mute = false, false
					})
				case 13:
					if k := anyWorker(); k != nil {
						note("TROUBLE machine %s is taken", k.machine.ref)
						w.cloud.mu.Lock()
						k.machine.goneAt = time.Now()
						w.cloud.mu.Unlock()
						k.end()
					}
				case 5:
					length *= 2
					w.cloud.mu.Lock()
					m := w.cloud.machines[rand.IntN(len(w.cloud.machines))]
					if m.worker != nil {
						note("TROUBLE machine %s hangs for %v", m.ref, length)
						m.worker.hang.cut()
						time.AfterFunc(length, func() { m.worker.hang.heal() })
					}
					w.cloud.mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	held := len(w.ran) == 0
	broken.Range(func(any, any) bool { held = false; return true })
	return held
}

// running reports whether the controller's process was started and not ended since.
func (c *node) running() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cmd != nil
}

func (c *node) signal(s syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cmd != nil {
		_ = c.cmd.Process.Signal(s)
	}
}

const chaosCluster = `[cluster]
nodes = 3
zones = ["halle-nord", "halle-sued"]
clock_error_ms = 25.0

[[cluster.teams]]
name = "leitstelle"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0

[[cluster.teams]]
name = "statistikamt"
cpus = 0.0
cpus_max = 6.0
gpus = 0.0
gpus_max = 0.0

[[cluster.objectives]]
kind = "finished"
class = "touren"
within_s = 70.0
share = 0.8

[cluster.workers]
report_s = 2.0
lease_s = 10.0
gang_wait_s = 50.0
gang_peer_s = 8.0
cancel_s = 40.0

[cluster.state]
rps = 200.0
write_rps = 80.0
value_kb = 16.0
txn_ops = 24

[cluster.cloud]
rps = 8.0
list_lag_s = 3.0

[cluster.machine_limits]
cpu_share = 0.3
ram_mb = 271.0
max_connections = 1803
`
