package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// playChaos is no case: it looks for faults with random troubles.
func playChaos(trouble bool, record *Record) ([]string, error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	random := rand.New(rand.NewPCG(seed, 7))
	site := museumSite()
	site.Zones = []string{"a", "b"}
	site.Workers = WorkerTimes{Report: 2, Lease: 10, GangWait: 20, GangPeer: 8, Cancel: 24}
	site.Teams += "\n[[cluster.teams]]\nname = \"tight\"\ncpus = 0.0\ncpus_max = 24.0\ngpus = 0.0\ngpus_max = 0.0\n"
	c, err := NewCluster(site, record)
	if err != nil {
		return nil, err
	}
	defer c.Stop()
	c.Cloud.Types = []MachineType{{Label: "m", CPUs: 16, MemGB: 64, CacheGB: 50, PullGBPerS: 1, Hourly: 1, MarketPrice: 0.4, BootS: 3, Halls: site.Zones}}
	if err := c.Start(20 * time.Second); err != nil {
		return nil, err
	}
	c.LateCopies = os.Getenv("COPIES") != ""
	stop := time.Now().Add(95 * time.Second)
	var wg sync.WaitGroup
	if trouble {
		wg.Go(func() { chaosTroubles(c, random, stop) })
	}
	number := 0
	users := rand.New(rand.NewPCG(seed, 8))
	for time.Now().Before(stop.Add(-20 * time.Second)) {
		number++
		job := chaosJob(number, users)
		wg.Go(func() { chaosUser(c, job, users.Uint64(), stop) })
		time.Sleep(time.Duration(200+users.IntN(900)) * time.Millisecond)
	}
	wg.Wait()
	return c.Judge().Broken(), nil
}

func chaosJob(number int, random *rand.Rand) *Job {
	job := &Job{Ref: fmt.Sprintf("wk-%06d", number), Class: "c", Owner: "dalil-0", Shape: "sweep", Rank: "normal", Shards: 1 + random.IntN(8), CPUs: 2, MemGB: 2,
		Bundle: fmt.Sprintf("img-%d", random.IntN(3)), SizeGB: 0.5, ExpectS: 10, runs: time.Duration(2+random.IntN(12)) * time.Second}
	switch random.IntN(4) {
	case 0:
		job.Shape, job.ExpectS, job.Rank = "service", 0, "critical"
	case 1:
		job.Shape, job.Shards = "group", 1+random.IntN(4)
	}
	if random.IntN(3) == 0 {
		job.Owner = "tight"
	}
	job.Spread = job.Shape == "service" && random.IntN(3) == 0
	job.SamePlace = !job.Spread && random.IntN(4) == 0
	return job
}

func chaosUser(c *Cluster, job *Job, seed uint64, stop time.Time) {
	random := rand.New(rand.NewPCG(seed, 9))
	node := c.Nodes[random.IntN(3)]
	status := c.Submit(node, job)
	if status != 200 && status != 201 {
		return
	}
	abortAt := time.Time{}
	if job.Shape == "service" || random.IntN(3) == 0 {
		abortAt = time.Now().Add(time.Duration(random.IntN(25000)) * time.Millisecond)
	}
	told := ""
	for time.Now().Before(stop) {
		time.Sleep(time.Duration(300+random.IntN(2500)) * time.Millisecond)
		if told == "" && !abortAt.IsZero() && time.Now().After(abortAt) {
			abortAt = time.Time{}
			c.Abort(c.Nodes[random.IntN(3)], job.Ref)
			if c.Judge().IsCancelled(job.Ref) {
				told = "cancelled"
			}
		}
		if told != "" && random.IntN(4) > 0 {
			continue
		}
		status, phase := c.Poll(c.Nodes[random.IntN(3)], job.Ref)
		switch {
		case status == http.StatusNotFound:
			c.Judge().Break("forgotten", job.Ref+" got 404")
		case status != http.StatusOK:
		case told != "" && phase != told:
			c.Judge().Break("went_back", job.Ref+" is "+phase+" after "+told)
		case phase == "done" || phase == "cancelled":
			told = phase
			if phase == "done" && c.Judge().DoneTasks(job.Ref) < job.Shards && job.Shape != "group" {
				c.Judge().Break("not_done", fmt.Sprintf("%s done with %d of %d", job.Ref, c.Judge().DoneTasks(job.Ref), job.Shards))
			}
		}
	}
}

func chaosTroubles(c *Cluster, random *rand.Rand, stop time.Time) {
	time.Sleep(8 * time.Second)
	for time.Now().Before(stop.Add(-25 * time.Second)) {
		node := c.Nodes[random.IntN(3)]
		length := time.Duration(1000+random.IntN(14000)) * time.Millisecond
		switch random.IntN(8) {
		case 0, 1, 2:
			node.Freeze()
			time.Sleep(length)
			node.Resume()
		case 3:
			for _, n := range c.Nodes {
				if n == node || random.IntN(2) == 0 {
					n.Kill("crash")
				}
			}
		case 4:
			node.Link.SetRefuse(true)
			time.Sleep(length)
			node.Link.SetRefuse(false)
		case 5:
			c.Record.Add("state", "outage", "begins", "")
			c.State.SetDown(true)
			time.Sleep(length)
			c.State.SetDown(false)
			c.Record.Add("state", "outage", "ends", "")
		default:
			workers := c.Cloud.Workers()
			if len(workers) == 0 {
				continue
			}
			w := workers[random.IntN(len(workers))]
			w.Hang()
			time.AfterFunc(length, w.Continue)
		}
		time.Sleep(time.Duration(random.IntN(5000)) * time.Millisecond)
	}
}
