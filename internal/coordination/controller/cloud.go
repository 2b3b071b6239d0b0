package controller

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"madderslip/internal/coordination/provisioning"
	"madderslip/internal/protocol"
)

// provisioner is what a controller remembers of machines that it asks for and returns.
type provisioner struct {
	unrecorded          map[string]unrecordedHost // machines that nobody expected, by host
	refusedUntil        map[string]time.Time      // by provisioning.OfferKey
	bootStats           provisioning.BootStats
	requestCount        int // requests so far, for their names
	listedAt            time.Time
	typesFetchedAt      time.Time
	returning           bool // recorded returns are being carried out
	returningUnrecorded bool // machines are being returned without a record
}

func newProvisioner() provisioner {
	return provisioner{unrecorded: make(map[string]unrecordedHost), refusedUntil: make(map[string]time.Time)}
}

// cloudLoop keeps machine types and the machine list up to date, and carries
// out recorded returns.
func (c *Controller) cloudLoop(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		now := time.Now()
		c.shareCloudBudget()
		needTypes := len(c.view.MachineTypes) == 0 || now.Sub(c.provisioner.typesFetchedAt) > 30*time.Second
		needList := c.view.Loaded && len(c.view.MachineTypes) > 0 && now.Sub(c.provisioner.listedAt) > max(10*time.Second, c.settings.CloudLimits.ListLag)
		hosts := c.machinesToReturn(now)
		c.mu.Unlock()
		switch {
		case len(hosts) > 0:
			// First of all: machinesToReturn marked them as being returned, and a mark
			// without the call would hold up every later return for good.
			go c.executeReturns(ctx, hosts)
		case needTypes:
			c.fetchMachineTypes(ctx)
		case needList:
			c.listMachines(ctx)
		}
		c.pause(ctx, 150*time.Millisecond+37*time.Nanosecond)
	}
}

// shareCloudBudget divides the cloud's calls: half of them for the leader, who hires
// for all, the rest for the returns and lists of every node.
func (c *Controller) shareCloudBudget() {
	part := 0.4 / float64(max(1, c.settings.NodeCount))
	if c.isLeader() {
		part += 0.5
	}
	c.cloudLimiter.SetLimit(rate.Limit(c.settings.CloudLimits.RequestRate * part))
}

func (c *Controller) fetchMachineTypes(ctx context.Context) {
	if c.cloudLimiter.Wait(ctx) != nil {
		return
	}
	var out protocol.MachineTypes
	status, err := c.callJSON(ctx, c.settings.CloudAddr, "GET", protocol.PathMachineTypes, nil, &out, 4*time.Second)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil || status != 200 || len(out.Types) == 0 {
		c.log.Debug("machine types fetch failed", "status", status, "err", err)
		if len(c.view.MachineTypes) > 0 {
			c.provisioner.typesFetchedAt = time.Now().Add(-20 * time.Second)
		}
		return
	}
	c.provisioner.typesFetchedAt = time.Now()
	for _, shard := range c.view.Shards {
		for _, machine := range shard.Machines {
			machine.Capacity.Stale = true
		}
	}
	c.view.MachineTypes = make(map[string]*protocol.MachineType, len(out.Types))
	for i := range out.Types {
		c.view.MachineTypes[out.Types[i].Name] = &out.Types[i]
	}
}

// listMachines finds machines that failed, and some that nobody expected.
func (c *Controller) listMachines(ctx context.Context) {
	from := ""
	for range 20 {
		if c.cloudLimiter.Wait(ctx) != nil {
			return
		}
		var out protocol.MachineList
		status, err := c.callJSON(ctx, c.settings.CloudAddr, "GET", protocol.PathMachines+"?most=500&from="+from, nil, &out, 4*time.Second)
		c.mu.Lock()
		c.provisioner.listedAt = time.Now()
		if err == nil && status == 200 {
			for _, h := range out.Hosts {
				c.observeListed(h)
				from = h.Host
			}
		}
		c.mu.Unlock()
		if err != nil || status != 200 || !out.Truncated {
			return
		}
	}
}

func (c *Controller) observeListed(h protocol.ListedMachine) {
	machine := c.view.Machines[h.Host]
	if machine != nil {
		machine.ListedAddress = h.Address
	}
	switch {
	case machine == nil:
		// A hire whose answer was lost shows up here. A younger one may still
		// be about to be recorded by the node that hired it.
		if c.isLeader() && protocol.Seconds(h.AgeS) > 10*time.Second+2*c.settings.CloudLimits.ListLag {
			c.noteUnrecorded(h.Host, h.Type, h.Zone, h.Spot)
		}
	case h.Phase == protocol.MachineFailed && machine.Record.State == "":
		if shard := c.view.Shards[machine.Record.Shard]; c.view.IsActive(shard) {
			c.log.Info("machine reported failed by the cloud", "host", h.Host)
			c.returnMachine(shard, machine)
		}
	}
}
