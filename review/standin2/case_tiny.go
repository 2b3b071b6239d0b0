package main

import (
	"fmt"
	"net/http"
	"time"
)

// The arrays of the case.
const (
	tinyTasks  = 800              // tasks of one array
	tinyCPUs   = 0.04             // CPUs of one task
	tinyRuns   = 25 * time.Second // how long a task runs
	tinyPeriod = 30 * time.Second // between two arrays at the ordinary pace
	tinyBurst  = 4                // in a burst, arrays come so many times as often
	tinyAll    = 95 * time.Second // time from the first array to the end of the case
)

// playTiny submits arrays of small tasks: one every tinyPeriod, or in a burst several.
func playTiny(trouble bool, record *Record) ([]string, error) {
	c, err := NewCluster(museumSite(), record)
	if err != nil {
		return nil, err
	}
	defer c.Stop()
	c.Cloud.Types = museumTypes
	if err := c.Start(15 * time.Second); err != nil {
		return nil, err
	}
	const service = "wk-000000"
	if err := submitRunning(c, &Job{Ref: service, Class: "guide-live", Owner: "dalil-0", Shape: "service", Rank: "critical", Shards: 2, CPUs: 1, MemGB: 2.2, Bundle: "img-0", SizeGB: 0.5}); err != nil {
		return nil, err
	}
	atOnce := 1
	if trouble {
		atOnce = tinyBurst
	}
	var arrays []string
	began := time.Now()
	for time.Since(began)+2*tinyPeriod < tinyAll {
		for range atOnce {
			ref := fmt.Sprintf("wk-%06d", len(arrays)+1)
			arrays = append(arrays, ref)
			job := &Job{Ref: ref, Class: "suwar", Owner: "dalil-0", Shape: "sweep", Rank: "normal", Shards: tinyTasks, CPUs: tinyCPUs, MemGB: 0.1,
				Bundle: "img-1", SizeGB: 0.5, ExpectS: tinyRuns.Seconds(), Loaner: true, runs: tinyRuns}
			if status := c.Submit(c.Nodes[len(arrays)%len(c.Nodes)], job); status != http.StatusCreated {
				return nil, fmt.Errorf("a submission got %d", status)
			}
		}
		time.Sleep(tinyPeriod)
	}
	time.Sleep(tinyAll - time.Since(began))
	judgeTiny(c, service, arrays)
	return c.Judge().Broken(), nil
}

// submitRunning submits a service and waits until its replicas run.
func submitRunning(c *Cluster, job *Job) error {
	if status := c.Submit(c.Nodes[0], job); status != http.StatusCreated {
		return fmt.Errorf("a submission got %d", status)
	}
	for until := time.Now().Add(15 * time.Second); c.Judge().RunningTasks(job.Ref) < job.Shards; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(until) {
			return fmt.Errorf("%s does not run", job.Ref)
		}
	}
	return nil
}

// judgeTiny judges whether the accepted jobs run. It finds a fault if no task of an array has
// completed though there was time for all of them to run twice, or if replicas of the service were
// lost as the lease of a worker ended.
func judgeTiny(c *Cluster, service string, arrays []string) {
	for _, ref := range arrays {
		done, tasks := c.Judge().DoneTasks(ref), c.Judge().Job(ref).Shards
		status, phase := c.Poll(c.Nodes[0], ref)
		c.Record.Add("judge", ref, fmt.Sprintf("%d of %d tasks done", done, tasks), fmt.Sprintf("begun %d times, poll: %d %s", c.Judge().BeganTasks(ref), status, phase))
		if done == 0 {
			c.Judge().Break("once accepted, a job must run", fmt.Sprintf("no task of %s has completed; its %d tasks were begun %d times", ref, tasks, c.Judge().BeganTasks(ref)))
		}
	}
	if lost := c.Judge().LostByLease(service); lost > 0 {
		c.Judge().Break("replicas run until the job is cancelled", fmt.Sprintf("%d times a replica of %s was killed as the lease of its worker ended", lost, service))
	}
}
