package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// museumSite is the deployment of kit/sites/sawt-almathaf.toml, with one of its teams.
func museumSite() Site {
	return Site{
		Nodes: 3, Zones: []string{"casa-dc"},
		State:   StateLimits{RPS: 200, WriteRPS: 80, ValueKB: 16, TxnOps: 24},
		Workers: WorkerTimes{Report: 2, Lease: 10, GangWait: 35, GangPeer: 8, Cancel: 40},
		RAM:     125, Connections: 1200, CPUShare: 0.24, CloudRPS: 8, ListLagS: 3, ClockMs: 100, RestartS: 3,
		Teams: "\n[[cluster.teams]]\nname = \"dalil-0\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 8.0\ngpus_max = 16.0\n",
	}
}

var museumTypes = []MachineType{
	{Label: "atlas", CPUs: 64, MemGB: 256, CacheGB: 50, PullGBPerS: 1, Hourly: 3.55, MarketPrice: 1.37, BootS: 20, Halls: []string{"casa-dc"}},
	{Label: "saqr", CPUs: 48, Cards: 4, MemGB: 384, CacheGB: 120, PullGBPerS: 0.3, Hourly: 12.03, MarketPrice: 4.61, BootS: 40, Halls: []string{"casa-dc"}},
}

// The history: so many days of the site's ordinary traffic, as its page gives it.
const (
	historyDays       = 20
	minutesPerDay     = 1440
	servicesPerMinute = 4.5       // guide-live; a service ends when its user cancels it
	othersPerMinute   = 9.5 + 6.6 // tarjama and sawt-gpu
	importStep        = 2000      // records that are written between two looks at the watches
	forgottenAfter    = 75 * time.Second
	jobPrefix         = "madderslip/j/"
)

// playHistory lets a deployment serve for some weeks, in fast motion: the state service gets the
// records that the controllers write for jobs which end, and the controllers follow. Then all
// controllers crash once. The platform starts them again, and kills a process that holds more
// memory than the settings allow.
func playHistory(trouble bool, record *Record) ([]string, error) {
	c, err := NewCluster(museumSite(), record)
	if err != nil {
		return nil, err
	}
	defer c.Stop()
	c.Cloud.Types = museumTypes
	if err := c.Start(15 * time.Second); err != nil {
		return nil, err
	}
	jobs, err := submitServices(c)
	if err != nil {
		return nil, err
	}
	if err := importHistory(c); err != nil {
		return nil, err
	}
	for _, node := range c.Nodes {
		if times, peak := node.KilledForMemory(); times > 0 {
			return nil, fmt.Errorf("%s was killed for its memory before the crash, at %d MB", node.Name, peak)
		}
	}
	if trouble {
		for _, node := range c.Nodes {
			node.Kill("crash")
		}
		time.Sleep(time.Duration(c.Site.RestartS * float64(time.Second)))
	}
	pollAll(c, jobs)
	return c.Judge().Broken(), nil
}

// submitServices submits three services and cancels all but the first.
func submitServices(c *Cluster) ([]string, error) {
	var jobs []string
	for i := range 3 {
		ref := fmt.Sprintf("wk-%06d", i)
		job := &Job{Ref: ref, Class: "guide-live", Owner: "dalil-0", Shape: "service", Rank: "critical", Shards: 1 + i, CPUs: 1, MemGB: 2.2, Bundle: "img-0", SizeGB: 1.5}
		if status := c.Submit(c.Nodes[i], job); status != http.StatusCreated {
			return nil, fmt.Errorf("a submission got %d", status)
		}
		if i > 0 && c.Abort(c.Nodes[i], ref) != http.StatusOK {
			return nil, errors.New("a cancellation was not answered")
		}
		jobs = append(jobs, ref)
	}
	return jobs, nil
}

// importHistory writes the records of the jobs of historyDays: for a service the record that the
// controllers have just written for a cancelled one, for any other job the shortest one that they
// write for a job that is done. It goes no faster than the controllers read.
func importHistory(c *Cluster) error {
	template := c.State.Under(jobPrefix)[jobPrefix+"wk-000001"]
	if !strings.Contains(template, "cancelled") {
		return errors.New("no record of a cancelled job: " + template)
	}
	perDay := servicesPerMinute + othersPerMinute
	total := int(historyDays * minutesPerDay * perDay)
	c.Record.Add("state", "history begins", fmt.Sprintf("%d jobs", total), "record of a cancelled service: "+template)
	value := func(key string) json.RawMessage {
		ref := strings.TrimPrefix(key, jobPrefix)
		number, _ := strconv.Atoi(strings.TrimPrefix(ref, "wk-"))
		if float64(number%1000)/1000 < servicesPerMinute/perDay {
			return json.RawMessage(strings.ReplaceAll(template, "wk-000001", ref))
		}
		return json.RawMessage(`{"x":"done","n":21}`)
	}
	for at := 0; at < total; at += importStep {
		keys := make([]string, 0, importStep)
		for i := at; i < min(at+importStep, total); i++ {
			keys = append(keys, fmt.Sprintf("%swk-%07d", jobPrefix, 1_000_000+i))
		}
		c.State.Import(keys, value)
		if err := awaitWatches(c, 2*importStep, 20*time.Second); err != nil {
			return err
		}
	}
	c.Record.Add("state", "history ends", fmt.Sprintf("%d jobs", total), "")
	return awaitWatches(c, 0, 20*time.Second)
}

// awaitWatches waits until every controller has read all but some of the latest changes.
func awaitWatches(c *Cluster, behind uint64, within time.Duration) error {
	until := time.Now().Add(within)
	for _, node := range c.Nodes {
		for node.Link.Watched()+behind < c.State.Revision() {
			if time.Now().After(until) {
				return errors.New(node.Name + " does not follow the state service")
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return nil
}

// pollAll polls each job at every controller for forgottenAfter, and judges whether any question
// about it is answered in that time.
func pollAll(c *Cluster, jobs []string) {
	answers, polls := make(map[string]int), 0
	for until := time.Now().Add(forgottenAfter); time.Now().Before(until); time.Sleep(2 * time.Second) {
		for _, ref := range jobs {
			for _, node := range c.Nodes {
				status, phase := c.Poll(node, ref)
				c.Record.Add("user", "poll "+ref, fmt.Sprintf("status %d", status), "at "+node.Name+": "+phase)
				polls++
				if status == http.StatusOK {
					answers[ref]++
				}
			}
		}
	}
	kills := 0
	for _, node := range c.Nodes {
		times, _ := node.KilledForMemory()
		kills += times
	}
	for _, ref := range jobs {
		if answers[ref] == 0 {
			c.Judge().Break("forgotten", fmt.Sprintf("no question about %s was answered in %v after the crash; processes killed for their memory %d times", ref, forgottenAfter, kills))
		}
	}
	c.Record.Add("judge", "polls", strconv.Itoa(polls), fmt.Sprintf("answered %v, processes killed for their memory %d times", answers, kills))
}
