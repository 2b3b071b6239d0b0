package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// fleetSite is the deployment of kit/more/fleet/lindenau-umzug-fleet.toml, with fewer machines.
func fleetSite() Site {
	return Site{
		Nodes: 3, Zones: []string{"halle-nord", "halle-sued"},
		State:   StateLimits{RPS: 150, WriteRPS: 35, ValueKB: 8, TxnOps: 12},
		Workers: WorkerTimes{Report: 5, Lease: 27, GangWait: 50, GangPeer: 8, Cancel: 47},
		RAM:     271, Connections: 1803, CPUShare: 0.3, CloudRPS: 9, ListLagS: 5, ClockMs: 25, RestartS: 8,
		Teams: "\n[[cluster.teams]]\nname = \"leitstelle\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n",
	}
}

const (
	copyReplicas = 3                      // of each service, so that both have tasks on one machine
	copyAfter    = 49 * time.Second       // from the answer to the cancellation to the restart
	copyDelay    = 100 * time.Millisecond // from the restart to the copy
	copyWatch    = 8 * time.Second        // from the copy to the end of the case
)

// playCopy cancels a service and, later than cancel_s, lets the machine that ran it restart. A copy
// of the start that it executed before arrives.
func playCopy(trouble bool, record *Record) ([]string, error) {
	c, err := NewCluster(fleetSite(), record)
	if err != nil {
		return nil, err
	}
	defer c.Stop()
	c.Cloud.Types = removalTypes
	if err := c.Start(15 * time.Second); err != nil {
		return nil, err
	}
	const kept, cancelled = "wk-000001", "wk-000002"
	for _, ref := range []string{kept, cancelled} {
		job := &Job{Ref: ref, Class: "buchung", Owner: "leitstelle", Shape: "service", Rank: "critical", Shards: copyReplicas, CPUs: 2, MemGB: 5, Bundle: "img-0", SizeGB: 0.03, Hall: &c.Site.Zones[0]}
		if err := submitRunning(c, job); err != nil {
			return nil, err
		}
	}
	host, name := sharedMachine(c, kept, cancelled)
	if host == nil {
		return nil, errors.New("no machine has tasks of both services")
	}
	if status := c.Abort(c.Nodes[0], cancelled); status != http.StatusOK {
		return nil, fmt.Errorf("the cancellation got %d", status)
	}
	told := time.Now()
	time.Sleep(copyAfter - time.Since(told))
	if host.Shows(name) || c.Judge().RunningTasks(cancelled) > 0 {
		return nil, errors.New("the cancelled task is still listed")
	}
	if host.removed() {
		return nil, errors.New("the machine was returned")
	}
	if trouble {
		host.Restart()
		time.Sleep(copyDelay)
		if !host.RepeatStart(name) {
			return nil, errors.New("no request with the start was kept")
		}
	}
	time.Sleep(copyWatch)
	return c.Judge().Broken(), nil
}

// sharedMachine returns a machine with tasks of two services, which stays in use as the second is
// cancelled, and its task of the second; nil if there is none.
func sharedMachine(c *Cluster, kept, cancelled string) (*Worker, string) {
	for _, w := range c.Cloud.Workers() {
		hasKept, name := false, ""
		for i := range copyReplicas {
			hasKept = hasKept || w.Shows(fmt.Sprintf("%s/%d", kept, i))
			if task := fmt.Sprintf("%s/%d", cancelled, i); w.Shows(task) {
				name = task
			}
		}
		if hasKept && name != "" {
			return w, name
		}
	}
	return nil, ""
}

func (w *Worker) removed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gone
}
