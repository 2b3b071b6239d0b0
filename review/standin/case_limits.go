package main

import (
	"fmt"
	"time"
)

// waitingAtMost is how long a job may be left waiting while a machine that fits has room.
const waitingAtMost = 90 * time.Second

// loweredLimits has a gang of 80 tasks accepted, in a cluster whose machines are all idle and whose
// state service has lowered its limits.
func loweredLimits(trouble bool) bool {
	const zone, region = "casa-dc", "region"
	w := newWorld(timing{report: 2 * time.Second, lease: 10 * time.Second, gangWait: 50 * time.Second, gangPeer: 8 * time.Second, cancel: 40 * time.Second})
	w.addNodes(zone, zone, zone)
	w.state = newStateService(stateLimits{rps: 200, writeRPS: 80, valueBytes: 16 << 10, txnOps: 24})
	atlas := &flavour{Label: "atlas", CPUs: 64, MemGb: 256, CacheGb: 70, PullGbPerS: 0.6, Hourly: 3.55, MarketPrice: 1.37, BootS: 20, Halls: []string{zone}}
	w.cloud = &cloud{world: w, flavours: []*flavour{atlas}, listLag: 3 * time.Second, capacity: 6, hires: make(map[string][]string), requests: newBucket(8, 2)}
	next := ""
	if trouble {
		next = "[cluster.state.next]\nvalue_kb = 2.0\ntxn_ops = 8\nwrite_rps = 56.0\n"
	}
	for i, c := range w.controllers {
		g := w.link(c.zone, region)
		w.writeSettings(c, w.state.serve(i, g), w.cloud.serve(g), fmt.Sprintf(limitsCluster, next))
	}
	for range 6 {
		w.cloud.add(atlas, zone, false, 0)
	}
	w.startAll()
	time.Sleep(3 * time.Second)
	if trouble {
		note("TROUBLE: the state service lowers its limits to values of 2 KiB, 8 changes a transaction, 56 changes a second")
		w.state.lower(stateLimits{rps: 200, writeRPS: 56, valueBytes: 2 << 10, txnOps: 8})
	}
	time.Sleep(2 * time.Second)

	gang := submission{Ref: "wk-000001", Jobclass: "sawt-jama", Owner: "dalil", Shape: "group", Rank: "normal", Shards: 80, CPUs: 1, MemGb: 2, Bundle: "img-1", SizeGb: 0.3, SamePlace: true, ExpectS: 20}
	if _, ok := w.submit(w.controllers[0], gang, 20*time.Second); !ok {
		say("the gang was not accepted")
		return true
	}
	accepted := time.Now()
	for time.Since(accepted) < waitingAtMost {
		time.Sleep(200 * time.Millisecond)
		if begun := w.tasksOf(gang.Ref); len(begun) == gang.Shards {
			say("held: all %d tasks of %s are on machines %.1f s after it was accepted", len(begun), gang.Ref, time.Since(accepted).Seconds())
			return true
		}
	}
	for i, c := range w.controllers {
		status, a := w.poll(c, gang.Ref)
		note("user -> slipnode-%d: GET /submissions/%s: %d %s, %d running", i, gang.Ref, status, a.Phase, a.Running)
	}
	w.cloud.mu.Lock()
	room := 0
	for _, m := range w.cloud.machines {
		if m.goneAt.IsZero() && m.worker != nil {
			room += int(m.flavour.CPUs)
		}
	}
	w.cloud.mu.Unlock()
	say("RULE left waiting: %s was accepted %.0f s ago and none of its %d tasks of 1 CPU has begun; the machines that are up have %d CPUs free", gang.Ref, time.Since(accepted).Seconds(), gang.Shards, room)
	return false
}

// lower lowers the state service's limits. What is stored stays readable.
func (s *stateService) lower(limits stateLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
	s.writes = newBucket(limits.writeRPS, 1)
}

const limitsCluster = `[cluster]
nodes = 3
zones = ["casa-dc"]
clock_error_ms = 25.0

[[cluster.teams]]
name = "dalil"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0

[[cluster.objectives]]
kind = "wait"
class = "guide-live"
within_s = 4.0
share = 0.85

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
%s
[cluster.cloud]
rps = 8.0
list_lag_s = 3.0

[cluster.machine_limits]
cpu_share = 0.24
ram_mb = 125.0
max_connections = 1200
`
