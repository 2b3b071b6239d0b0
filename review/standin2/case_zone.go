package main

import (
	"fmt"
	"net/http"
	"time"
)

// removalSite is the deployment of kit/sites/lindenau-umzug.toml.
func removalSite() Site {
	return Site{
		Nodes: 3, Zones: []string{"halle-nord", "halle-sued"},
		State:   StateLimits{RPS: 120, WriteRPS: 30, ValueKB: 8, TxnOps: 12},
		Workers: WorkerTimes{Report: 3, Lease: 27, GangWait: 50, GangPeer: 8, Cancel: 47},
		RAM:     234, Connections: 1800, CPUShare: 0.3, CloudRPS: 8, ListLagS: 5, ClockMs: 25, RestartS: 8,
		Teams: "\n[[cluster.teams]]\nname = \"leitstelle\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n",
	}
}

var (
	removalTypes = []MachineType{
		{Label: "klein-rack", CPUs: 16, MemGB: 64, CacheGB: 70, PullGBPerS: 0.6, Hourly: 1.11, MarketPrice: 0.48, BootS: 35, Halls: []string{"halle-nord", "halle-sued"}},
		{Label: "gross-rack", CPUs: 32, MemGB: 128, CacheGB: 120, PullGBPerS: 0.6, Hourly: 2.45, MarketPrice: 1.02, BootS: 35, Halls: []string{"halle-nord", "halle-sued"}},
	}
	removalCapacity = map[string]int{"klein-rack/halle-nord": 8, "klein-rack/halle-sued": 6, "gross-rack/halle-nord": 3, "gross-rack/halle-sued": 3}
)

const (
	zoneTasks  = 30 // 240 CPUs: more than one zone has (224), fewer than both have (416)
	waitLimit  = 90 * time.Second
	waitWithin = 112 * time.Second // time within which a case ends
)

// playZone submits a gang for any zones and, as the trouble, before it an equal gang that must be
// in one zone, for which no zone has room.
func playZone(trouble bool, record *Record) ([]string, error) {
	began := time.Now()
	c, err := NewCluster(removalSite(), record)
	if err != nil {
		return nil, err
	}
	defer c.Stop()
	c.Cloud.Types, c.Cloud.Capacity = removalTypes, removalCapacity
	if err := c.Start(15 * time.Second); err != nil {
		return nil, err
	}
	const oneZone, anyZones = "wk-000001", "wk-000002"
	job := Job{Class: "x", Owner: "leitstelle", Shape: "group", Rank: "normal", Shards: zoneTasks, CPUs: 8, MemGB: 16, Bundle: "img-0", SizeGB: 0.5, ExpectS: 20, runs: 20 * time.Second}
	if trouble {
		bound := job
		bound.Ref, bound.SamePlace = oneZone, true
		if status := c.Submit(c.Nodes[0], &bound); status != http.StatusCreated {
			return nil, fmt.Errorf("a submission got %d", status)
		}
		time.Sleep(3 * time.Second)
	}
	job.Ref = anyZones
	if status := c.Submit(c.Nodes[1], &job); status != http.StatusCreated {
		return nil, fmt.Errorf("a submission got %d", status)
	}
	return c.awaitStart([]*Job{&job}, began)
}

// Room returns how many tasks of a job the free capacity of the machines that are up could take.
func (c *Cluster) Room(job *Job) int {
	room := 0
	for _, w := range c.Cloud.Workers() {
		room += w.room(job)
	}
	return room
}

func (w *Worker) room(job *Job) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up || w.gone || w.hung != nil {
		return 0
	}
	cpus, mem := w.flavour.CPUs, w.flavour.MemGB
	for _, t := range w.tasks {
		if t.phase != "exited" {
			cpus, mem = cpus-t.job.CPUs, mem-t.job.MemGB
		}
	}
	return max(0, min(int(cpus/job.CPUs), int(mem/job.MemGB)))
}
