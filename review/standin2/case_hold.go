package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	holdGangs  = 2
	holdBefore = 10 * time.Second // from the gangs to the jobs that are judged
)

// playHold submits a live service and an array and, as the trouble, before them two gangs that must
// each be in one zone, for which no zone has room.
func playHold(trouble bool, record *Record) ([]string, error) {
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
	for i := range holdGangs {
		gang := &Job{Ref: fmt.Sprintf("wk-00000%d", 1+i), Class: "x", Owner: "leitstelle", Shape: "group", Rank: "normal", Shards: zoneTasks, CPUs: 8, MemGB: 16,
			Bundle: fmt.Sprintf("img-%d", i), SizeGB: 0.5, SamePlace: true, ExpectS: 20, runs: 20 * time.Second}
		if !trouble {
			break
		}
		if status := c.Submit(c.Nodes[i], gang); status != http.StatusCreated {
			return nil, fmt.Errorf("a submission got %d", status)
		}
	}
	time.Sleep(holdBefore)
	jobs := []*Job{
		{Ref: "wk-000011", Class: "buchung", Owner: "leitstelle", Shape: "service", Rank: "critical", Shards: 3, CPUs: 2, MemGB: 5, Bundle: "img-8", SizeGB: 1.5, Spread: true},
		{Ref: "wk-000012", Class: "touren", Owner: "leitstelle", Shape: "sweep", Rank: "normal", Shards: 16, CPUs: 2, MemGB: 4.6, Bundle: "img-9", SizeGB: 2.5, Loaner: true, ExpectS: 25, runs: 25 * time.Second},
	}
	for _, job := range jobs {
		if status := c.Submit(c.Nodes[2], job); status != http.StatusCreated {
			return nil, fmt.Errorf("a submission got %d", status)
		}
	}
	return c.awaitStart(jobs, began)
}

// awaitStart watches jobs until a task of each has begun. It judges the rule on jobs left waiting:
// for each job that has no task begun while, without a break, the machines have had room for all of
// its tasks for waitLimit.
func (c *Cluster) awaitStart(jobs []*Job, began time.Time) ([]string, error) {
	roomSince := make(map[string]time.Time)
	for ; time.Since(began) < waitWithin; time.Sleep(time.Second) {
		waiting := 0
		for _, job := range jobs {
			room, started := c.Room(job), c.Judge().BeganTasks(job.Ref)
			status, phase := c.Poll(c.Nodes[0], job.Ref)
			c.Record.Add("judge", job.Ref, fmt.Sprintf("%d tasks begun", started), fmt.Sprintf("room for %d tasks, poll: %d %s", room, status, phase))
			switch {
			case started > 0:
				continue
			case room < job.Shards:
				delete(roomSince, job.Ref)
			case roomSince[job.Ref].IsZero():
				roomSince[job.Ref] = time.Now()
			case time.Since(roomSince[job.Ref]) > waitLimit:
				c.Judge().Break("no job is left waiting for 90 s while a machine that fits has room", fmt.Sprintf("%s (%s, %s) waits with none of its %d tasks begun, while the machines have had room for all of them for %v", job.Ref, job.Class, job.Rank, job.Shards, waitLimit))
			}
			waiting++
		}
		if waiting == 0 || len(c.Judge().Broken()) > 0 {
			return c.Judge().Broken(), nil
		}
	}
	return nil, fmt.Errorf("neither did the jobs start, nor was there room for them for %v", waitLimit)
}
