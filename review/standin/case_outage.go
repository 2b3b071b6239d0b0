package main

import (
	"encoding/json"
	"os"
	"slices"
	"time"
)

// Numbers of the case outage-with-queue. The intervals, zones and machine types are those of
// the site lindenau-umzug-fleet.
const (
	cutFor    = 52 * time.Second // as its zone_cut
	outageFor = 50 * time.Second // longer than cancel_s
)

// outageWithQueue cancels a job whose task is in a zone that is cut off, and a second later the
// state service is out for longer than cancel_s. Another job of the same team waits for the
// team's limit.
func outageWithQueue(trouble bool) bool {
	const north, south, region = "halle-nord", "halle-sued", "region"
	const team = "leitstelle"
	w := newWorld(timing{report: 5 * time.Second, lease: 27 * time.Second, gangWait: 50 * time.Second, gangPeer: 8 * time.Second, cancel: 47 * time.Second})
	w.addNodes(north, south, north)
	w.state = newStateService(stateLimits{rps: 150, writeRPS: 35, valueBytes: 8 << 10, txnOps: 12})
	small := &flavour{Label: "klein-rack", CPUs: 16, MemGb: 64, CacheGb: 70, PullGbPerS: 0.6, Hourly: 1.11, MarketPrice: 0.48, BootS: 35, Halls: []string{north, south}}
	w.cloud = &cloud{world: w, flavours: []*flavour{small}, listLag: 5 * time.Second, capacity: 4, hires: make(map[string][]string), requests: newBucket(9, 2)}
	for i, c := range w.controllers {
		g := w.link(c.zone, region)
		w.writeSettings(c, w.state.serve(i, g), w.cloud.serve(g), `[cluster]
nodes = 3
zones = ["halle-nord", "halle-sued"]
clock_error_ms = 25.0

[[cluster.teams]]
name = "leitstelle"
cpus = 0.0
cpus_max = 8.0
gpus = 0.0
gpus_max = 0.0

[[cluster.objectives]]
kind = "finished"
class = "touren"
within_s = 70.0
share = 0.8

[cluster.workers]
report_s = 5.0
lease_s = 27.0
gang_wait_s = 50.0
gang_peer_s = 8.0
cancel_s = 47.0

[cluster.state]
rps = 150.0
write_rps = 35.0
value_kb = 8.0
txn_ops = 12

[cluster.cloud]
rps = 9.0
list_lag_s = 5.0

[cluster.machine_limits]
cpu_share = 0.3
ram_mb = 271.0
max_connections = 1803
`)
	}
	for _, hall := range []string{north, south, north, south} {
		w.cloud.add(small, hall, false, 0)
	}
	w.startAll()
	time.Sleep(4 * time.Second)

	array := func(ref string, tasks int, hall string) submission {
		s := submission{Ref: ref, Jobclass: "touren", Owner: team, Shape: "sweep", Rank: "normal", Shards: tasks, CPUs: 2, MemGb: 4.6, Bundle: "img-1", SizeGb: 0.3, ExpectS: 100}
		if hall != "" {
			s.Hall = &hall
		}
		return s
	}
	users := w.controllers[0]
	cancelled, filler, waiting := "wk-000001", "wk-000002", "wk-000003"
	w.submit(users, array(cancelled, 1, south), time.Hour)
	w.submit(users, array(filler, 3, north), time.Hour)
	waitFor("the team is at its limit", 25*time.Second, func() bool {
		return len(w.tasksOf(cancelled)) == 1 && len(w.tasksOf(filler)) == 3
	})
	if os.Getenv("QUEUE") != "0" {
		w.submit(users, array(waiting, 2, ""), 20*time.Second)
	}
	time.Sleep(8 * time.Second)
	if n := len(w.tasksOf(waiting)); n != 0 {
		say("RULE quota: %d tasks of %s run beyond the limit", n, waiting)
	}
	host := w.hostOf(cancelled + "/0")
	note("task %s/0 is on %s", cancelled, host)

	if trouble {
		note("TROUBLE: zone %s is cut off from everything for %v", south, cutFor)
		w.cutZone(south)
		time.AfterFunc(cutFor, func() { note("TROUBLE over: zone %s", south); w.healZone(south) })
	}
	time.Sleep(time.Second)
	told := w.cancel(users, cancelled)
	if trouble {
		time.Sleep(time.Second)
		note("TROUBLE: the state service is down for %v", outageFor)
		w.state.setDown(true)
		time.AfterFunc(outageFor, func() { note("TROUBLE over: state service"); w.state.setDown(false) })
	}
	// Half a second is left for the measurement itself.
	bound := told.Add(w.timing.cancel + 500*time.Millisecond)
	for time.Now().Before(bound) && (trouble || len(w.tasksOf(cancelled)) > 0) {
		time.Sleep(100 * time.Millisecond)
	}
	left := w.tasksOf(cancelled)
	if len(left) > 0 {
		say("RULE ran_cancelled: %.1f s after the user was told that %s is cancelled its task is there: %v", time.Since(told).Seconds(), cancelled, left)
		return false
	}
	say("held: no task of %s is left %.1f s after its user was told that it is cancelled", cancelled, time.Since(told).Seconds())
	return true
}

// cutZone cuts a zone off from everything.
func (w *world) cutZone(zone string) {
	for _, g := range w.linksOf(zone) {
		g.cut()
	}
}

// healZone ends the cut of a zone.
func (w *world) healZone(zone string) {
	for _, g := range w.linksOf(zone) {
		g.heal()
	}
}

func (w *world) linksOf(zone string) []*gate {
	var gates []*gate
	for _, other := range []string{"halle-nord", "halle-sued", "region"} {
		if g := w.link(zone, other); g != nil && !slices.Contains(gates, g) {
			gates = append(gates, g)
		}
	}
	return gates
}

// cancel cancels a job, repeating the request as users do, and returns when the user was told.
func (w *world) cancel(c *node, ref string) time.Time {
	for range 10 {
		status, answer := w.ask(c, "POST", "/submissions/"+ref+"/abort", nil, 5*time.Second)
		note("user -> %s: POST /submissions/%s/abort: %d %s", c.name, ref, status, answer)
		var a jobAnswer
		if status == 200 && json.Unmarshal(answer, &a) == nil && a.Phase == "cancelled" {
			return time.Now()
		}
		time.Sleep(time.Second)
	}
	cannotRun("%s was not cancelled", ref)
	return time.Time{}
}
