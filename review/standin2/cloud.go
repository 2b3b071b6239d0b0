package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// MachineType is a type of machine that the cloud rents out.
type MachineType struct {
	Label       string   `json:"label"`
	CPUs        float64  `json:"cpus"`
	Cards       float64  `json:"cards"`
	MemGB       float64  `json:"memGb"`
	CacheGB     float64  `json:"cacheGb"`
	PullGBPerS  float64  `json:"pullGbPerS"`
	Hourly      float64  `json:"hourly"`
	MarketPrice float64  `json:"marketPrice"`
	BootS       float64  `json:"bootS"`
	Halls       []string `json:"halls"`
}

// Cloud is a stand-in for the cloud. Rented machines are workers of this process.
type Cloud struct {
	Addr  string
	Types []MachineType
	Boot  time.Duration // how long a machine takes until its worker reports
	// Capacity is how many ordinary machines of a type, and how many spot machines, a zone has;
	// nil: no limit.
	Capacity map[string]int

	cluster *Cluster
	mu      sync.Mutex
	next    int
	hires   map[string][]string
	hosts   map[string]*Worker
	calls   tokens
}

// NewCloud starts a cloud without machines.
func NewCloud(cluster *Cluster) (*Cloud, error) {
	c := &Cloud{cluster: cluster, hires: make(map[string][]string), hosts: make(map[string]*Worker), Boot: 2 * time.Second,
		calls: tokens{rate: cluster.Site.CloudRPS}}
	var err error
	c.Addr, err = serve("127.0.0.1", http.HandlerFunc(c.handle))
	return c, err
}

func (c *Cloud) handle(w http.ResponseWriter, r *http.Request) {
	body, err := readAll(r)
	if err != nil {
		return
	}
	c.mu.Lock()
	allowed := c.calls.take(1, time.Now())
	c.mu.Unlock()
	switch {
	case !allowed:
		answer(w, http.StatusTooManyRequests, map[string]string{"error": "rate"})
	case r.Method == http.MethodGet && r.URL.Path == "/machine_types":
		answer(w, http.StatusOK, map[string]any{"flavours": c.Types})
	case r.Method == http.MethodGet && r.URL.Path == "/machines":
		c.list(w, r)
	case r.Method == http.MethodPost && r.URL.Path == "/machines":
		c.hire(w, body)
	case r.Method == http.MethodPost && r.URL.Path == "/machines/return":
		c.giveBack(w, body)
	default:
		answer(w, http.StatusNotFound, map[string]string{"error": "no such path"})
	}
}

func (c *Cloud) hire(w http.ResponseWriter, body []byte) {
	var request struct {
		Hire    string `json:"hire"`
		Flavour string `json:"flavour"`
		Hall    string `json:"hall"`
		Loaner  bool   `json:"loaner"`
		HowMany int    `json:"howMany"`
	}
	if json.Unmarshal(body, &request) != nil || request.Hire == "" || request.HowMany < 1 || request.HowMany > 50 {
		answer(w, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return
	}
	at := slices.IndexFunc(c.Types, func(t MachineType) bool { return t.Label == request.Flavour })
	if at < 0 || !slices.Contains(c.Types[at].Halls, request.Hall) {
		answer(w, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	hosts, known := c.hires[request.Hire]
	if free := c.free(request.Flavour, request.Hall, request.Loaner); !known && free < request.HowMany {
		if request.HowMany = free; free <= 0 {
			c.cluster.Record.Add("cloud", request.Hire, "no capacity", fmt.Sprintf("%s %s spot=%v", request.Flavour, request.Hall, request.Loaner))
			answer(w, http.StatusServiceUnavailable, map[string]string{"error": "no capacity"})
			return
		}
	}
	for i := 0; !known && i < request.HowMany; i++ {
		c.next++
		host := fmt.Sprintf("vm-%06d", c.next)
		worker, err := NewWorker(c.cluster, host, c.next, c.Types[at], request.Hall, request.Loaner)
		if err != nil {
			c.cluster.Record.Add("cloud", host, "not started", err.Error())
			break
		}
		c.hosts[host] = worker
		hosts = append(hosts, host)
		time.AfterFunc(c.Boot, worker.Up)
	}
	c.hires[request.Hire] = hosts
	c.cluster.Record.Add("cloud", request.Hire, "rented", fmt.Sprintf("%s %s spot=%v %v", request.Flavour, request.Hall, request.Loaner, hosts))
	answer(w, http.StatusOK, map[string]any{"hosts": hosts})
}

// free returns how many machines of a kind can still be rented.
func (c *Cloud) free(flavour, zone string, spot bool) int {
	if c.Capacity == nil {
		return 50
	}
	free := c.Capacity[flavour+"/"+zone]
	for _, worker := range c.hosts {
		if worker.flavour.Label == flavour && worker.zone == zone && worker.spot == spot {
			free--
		}
	}
	return free
}

func (c *Cloud) giveBack(w http.ResponseWriter, body []byte) {
	var request struct {
		Hosts []string `json:"hosts"`
	}
	if json.Unmarshal(body, &request) != nil || len(request.Hosts) > 100 {
		answer(w, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, host := range request.Hosts {
		if worker := c.hosts[host]; worker != nil {
			worker.Remove("returned")
			delete(c.hosts, host)
		}
	}
	c.cluster.Record.Add("cloud", "return", "executed", fmt.Sprint(request.Hosts))
	answer(w, http.StatusOK, map[string]any{})
}

func (c *Cloud) list(w http.ResponseWriter, r *http.Request) {
	most, err := strconv.Atoi(r.URL.Query().Get("most"))
	if err != nil || most < 1 || most > 500 {
		most = 500
	}
	from := r.URL.Query().Get("from")
	lag := time.Duration(c.cluster.Site.ListLagS * float64(time.Second))
	c.mu.Lock()
	defer c.mu.Unlock()
	items, truncated := []map[string]any{}, false
	for _, host := range slices.Sorted(maps.Keys(c.hosts)) {
		worker := c.hosts[host]
		held := time.Since(worker.rented) - lag
		if host <= from || held < 0 {
			continue
		}
		if len(items) == most {
			truncated = true
			break
		}
		phase := "running"
		if held < c.Boot {
			phase = "booting"
		}
		items = append(items, map[string]any{"ref": host, "address": worker.Addr, "flavour": worker.flavour.Label, "hall": worker.zone,
			"loaner": worker.spot, "phase": phase, "heldS": held.Seconds()})
	}
	answer(w, http.StatusOK, map[string]any{"hosts": items, "truncated": truncated})
}

// Workers returns the machines that are rented.
func (c *Cloud) Workers() []*Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var workers []*Worker
	for _, host := range slices.Sorted(maps.Keys(c.hosts)) {
		workers = append(workers, c.hosts[host])
	}
	return workers
}
