package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

type flavour struct {
	Label       string   `json:"label"`
	CPUs        float64  `json:"cpus"`
	Cards       float64  `json:"cards"`
	MemGb       float64  `json:"memGb"`
	CacheGb     float64  `json:"cacheGb"`
	PullGbPerS  float64  `json:"pullGbPerS"`
	Hourly      float64  `json:"hourly"`
	MarketPrice float64  `json:"marketPrice"`
	BootS       float64  `json:"bootS"`
	Halls       []string `json:"halls"`
}

type machine struct {
	ref      string
	flavour  *flavour
	hall     string
	loaner   bool
	rentedAt time.Time
	upAt     time.Time
	goneAt   time.Time // zero: rented
	listener net.Listener
	worker   *worker
}

// cloud rents machines, by its published protocol.
type cloud struct {
	world    *world
	flavours []*flavour
	listLag  time.Duration
	capacity int // machines that may still be rented of each type, zone and kind

	// loseCall tells whether a call gets no answer, and by how much it is carried out late; nil:
	// none does.
	loseCall func() (lost bool, late time.Duration)

	mu       sync.Mutex
	down     bool
	machines []*machine
	hires    map[string][]string
	requests bucket
}

// add adds a machine whose worker starts after boot.
func (c *cloud) add(f *flavour, hall string, loaner bool, boot time.Duration) *machine {
	now := time.Now()
	m := &machine{ref: fmt.Sprintf("vm-%06d", len(c.machines)+1), flavour: f, hall: hall, loaner: loaner, rentedAt: now, upAt: now.Add(boot), listener: listen()}
	c.machines = append(c.machines, m)
	time.AfterFunc(boot, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if m.goneAt.IsZero() {
			m.worker = c.world.startWorker(m)
		}
	})
	return m
}

func (c *cloud) serve(g *gate) string {
	listener := listen()
	server := &http.Server{Handler: http.HandlerFunc(c.handle)}
	go func() { _ = server.Serve(gatedListener{listener, func(net.Conn) (*gate, bool) { return g, true }}) }()
	return listener.Addr().String()
}

func (c *cloud) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	lost := false
	if c.loseCall != nil {
		var late time.Duration
		if lost, late = c.loseCall(); lost {
			time.Sleep(late)
		}
	}
	status, answer := c.execute(r, body)
	if lost {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encode(answer))
}

func (c *cloud) execute(r *http.Request, body []byte) (int, any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		return 503, object{"error": "trouble"}
	}
	if !c.requests.take(1) {
		return 429, object{}
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /machine_types":
		return 200, object{"flavours": c.flavours}
	case "GET /machines":
		return 200, c.list(r)
	case "POST /machines":
		return c.rent(body)
	case "POST /machines/return":
		var request struct {
			Hosts []string `json:"hosts"`
		}
		if json.Unmarshal(body, &request) != nil || len(request.Hosts) > 100 {
			return 400, object{}
		}
		note("cloud: return %v", request.Hosts)
		for _, m := range c.machines {
			if slices.Contains(request.Hosts, m.ref) && m.goneAt.IsZero() {
				m.goneAt = time.Now()
				if m.worker != nil {
					m.worker.end()
				}
			}
		}
		return 200, object{}
	}
	return 400, object{}
}

func (c *cloud) list(r *http.Request) any {
	asOf := time.Now().Add(-c.listLag)
	most, _ := strconv.Atoi(r.URL.Query().Get("most"))
	if most <= 0 || most > 500 {
		most = 500
	}
	hosts, truncated := []object{}, false
	for _, m := range c.machines {
		if m.ref <= r.URL.Query().Get("from") || m.rentedAt.After(asOf) || (!m.goneAt.IsZero() && m.goneAt.Before(asOf)) {
			continue
		}
		if len(hosts) == most {
			truncated = true
			break
		}
		phase := "running"
		if m.upAt.After(asOf) {
			phase = "booting"
		}
		hosts = append(hosts, object{"ref": m.ref, "address": m.listener.Addr().String(), "flavour": m.flavour.Label, "hall": m.hall,
			"loaner": m.loaner, "phase": phase, "heldS": asOf.Sub(m.rentedAt).Seconds()})
	}
	return object{"hosts": hosts, "truncated": truncated}
}

func (c *cloud) rent(body []byte) (int, any) {
	var request struct {
		Hire    string `json:"hire"`
		Flavour string `json:"flavour"`
		Hall    string `json:"hall"`
		Loaner  bool   `json:"loaner"`
		HowMany int    `json:"howMany"`
	}
	if json.Unmarshal(body, &request) != nil || request.Hire == "" || request.HowMany < 1 || request.HowMany > 50 {
		return 400, object{}
	}
	if hosts, known := c.hires[request.Hire]; known {
		return 200, object{"hosts": hosts}
	}
	i := slices.IndexFunc(c.flavours, func(f *flavour) bool { return f.Label == request.Flavour })
	if i < 0 || !slices.Contains(c.flavours[i].Halls, request.Hall) {
		return 400, object{}
	}
	rented := 0
	for _, m := range c.machines {
		if m.goneAt.IsZero() && m.flavour == c.flavours[i] && m.hall == request.Hall && m.loaner == request.Loaner {
			rented++
		}
	}
	count := min(request.HowMany, c.capacity-rented)
	if count <= 0 {
		return 503, object{"error": "no capacity"}
	}
	var hosts []string
	for range count {
		boot := time.Duration(c.flavours[i].BootS * (0.6 + 0.9*rand.Float64()) * float64(time.Second))
		hosts = append(hosts, c.add(c.flavours[i], request.Hall, request.Loaner, boot).ref)
	}
	c.hires[request.Hire] = hosts
	note("cloud: hire %s: %d of %s in %s: %s", request.Hire, count, request.Flavour, request.Hall, strings.Join(hosts, " "))
	return 200, object{"hosts": hosts}
}
