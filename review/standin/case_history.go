package main

import (
	"fmt"
	"os"
	"strconv"
	"time"
)

// Numbers of the case restart-with-history. The rates, the number of controllers and the time
// after which one is back are those of the site lindenau-umzug-grown.
const (
	historyJobs    = 240_000 // at the site's 71 jobs a minute these come in 56 hours
	restartDelay   = 8 * time.Second
	forgottenAfter = 75 * time.Second
)

// restartWithHistory ends all controllers at once, in a cluster that has served for some days:
// the state service holds the records of the jobs that are over, in the form in which the
// controllers write them.
func restartWithHistory(trouble bool) bool {
	const north, south, region = "halle-nord", "halle-sued", "region"
	jobs := historyJobs
	if n, err := strconv.Atoi(os.Getenv("HISTORY")); err == nil {
		jobs = n
	}
	w := newWorld(timing{report: 5 * time.Second, lease: 27 * time.Second, gangWait: 50 * time.Second, gangPeer: 8 * time.Second, cancel: 47 * time.Second})
	w.addNodes(north, south, north)
	w.state = newStateService(stateLimits{rps: 120, writeRPS: 30, valueBytes: 8 << 10, txnOps: 12})
	w.state.delayOf = func(stateCall) time.Duration { return 6 * time.Millisecond }
	for i := range jobs {
		w.state.preload(fmt.Sprintf("madderslip/j/wk-%06d", 100_000+i), `{"x":"done","n":16}`)
	}
	small := &flavour{Label: "klein-rack", CPUs: 16, MemGb: 64, CacheGb: 70, PullGbPerS: 0.6, Hourly: 1.11, MarketPrice: 0.48, BootS: 35, Halls: []string{north, south}}
	w.cloud = &cloud{world: w, flavours: []*flavour{small}, listLag: 5 * time.Second, capacity: 4, hires: make(map[string][]string), requests: newBucket(8, 2)}
	for i, c := range w.controllers {
		g := w.link(c.zone, region)
		w.writeSettings(c, w.state.serve(i, g), w.cloud.serve(g), historyCluster)
	}
	w.cloud.add(small, north, false, 0)
	w.cloud.add(small, south, false, 0)
	// They come up one after the other, as in a deployment that was set up in good order.
	cleanups = append(cleanups, w.keepLogs)
	for _, c := range w.controllers {
		cleanups = append(cleanups, c.kill)
		c.start(deployRun())
		w.waitReady(c, 25*time.Second)
	}
	time.Sleep(2 * time.Second)

	old := fmt.Sprintf("wk-%06d", 100_000+jobs/2)
	open := submission{Ref: "wk-000001", Jobclass: "touren", Owner: "leitstelle", Shape: "sweep", Rank: "normal", Shards: 2, CPUs: 2, MemGb: 4.6, Bundle: "img-1", SizeGb: 0.3, ExpectS: 100}
	if _, ok := w.submit(w.controllers[0], open, time.Hour); !ok {
		cannotRun("the job was not accepted")
	}
	waitFor("the job runs", 15*time.Second, func() bool { return len(w.tasksOf(open.Ref)) == 2 })
	if os.Getenv("ROLL") == "1" { // no case: it takes longer than 120 s
		w.roll()
		trouble = false
	}
	if trouble {
		note("TROUBLE: all controllers crash, each is back after %v", restartDelay)
		for _, c := range w.controllers {
			c.kill()
		}
		time.Sleep(restartDelay)
		run := deployRun()
		for _, c := range w.controllers {
			c.start(run)
		}
		note("TROUBLE over: all controllers are back")
	}
	over := time.Now()
	answered, up := 0, make(map[string]bool)
	for time.Since(over) < forgottenAfter {
		for _, ref := range []string{open.Ref, old} {
			for _, c := range w.controllers {
				status, a := w.poll(c, ref)
				note("user -> %s: GET /submissions/%s: %d %s", c.name, ref, status, a.Phase)
				if status == 404 {
					say("RULE forgotten: %s gets 404", ref)
					return false
				}
				if status != 0 {
					up[c.name] = true
				}
				if status == 200 {
					answered++
					if answered == 1 {
						say("first answer %.1f s after the troubles were over", time.Since(over).Seconds())
					}
				}
			}
		}
		if answered > 0 && (trouble || time.Since(over) > 10*time.Second) {
			break
		}
		time.Sleep(time.Second)
	}
	if len(up) < len(w.controllers) {
		cannotRun("not all controllers are up")
	}
	if answered == 0 {
		say("RULE forgotten: no question about the accepted job %s, or about the done job %s, is answered for %.0f s after the troubles were over", open.Ref, old, time.Since(over).Seconds())
		return false
	}
	say("held: questions are answered")
	return true
}

// roll restarts the controllers one after the other, every 25 s, while users ask about jobs.
func (w *world) roll() {
	const every = 25 * time.Second
	for i := range 40 {
		go func() {
			for n := i; ; n += 40 {
				c := w.controllers[n%len(w.controllers)]
				w.poll(c, fmt.Sprintf("wk-%06d", 1+n%2*900_000)) // the open job, or one that nobody submitted
				time.Sleep(time.Second)
			}
		}()
	}
	for _, c := range w.controllers {
		note("TROUBLE: %s is restarted, and is back after %v", c.name, restartDelay)
		c.kill()
		time.Sleep(restartDelay)
		c.start(deployRun())
		time.Sleep(every - restartDelay)
		for _, c := range w.controllers {
			status, _ := w.ask(c, "GET", "/ready", nil, time.Second)
			note("%s: /ready %d", c.name, status)
		}
	}
	note("TROUBLE over: all controllers were restarted")
}

// waitReady waits until a controller is ready.
func (w *world) waitReady(c *node, within time.Duration) {
	waitFor(c.name+" is ready", within, func() bool {
		status, _ := w.ask(c, "GET", "/ready", nil, time.Second)
		return status == 200
	})
}

const historyCluster = `[cluster]
nodes = 3
zones = ["halle-nord", "halle-sued"]
clock_error_ms = 25.0

[[cluster.teams]]
name = "leitstelle"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0

[[cluster.objectives]]
kind = "finished"
class = "touren"
within_s = 70.0
share = 0.88

[cluster.workers]
report_s = 5.0
lease_s = 27.0
gang_wait_s = 50.0
gang_peer_s = 8.0
cancel_s = 47.0

[cluster.state]
rps = 120.0
write_rps = 30.0
value_kb = 8.0
txn_ops = 12

[cluster.cloud]
rps = 8.0
list_lag_s = 5.0

[cluster.machine_limits]
cpu_share = 0.3
ram_mb = 234.0
max_connections = 1800
`
