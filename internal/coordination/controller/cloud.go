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
func (n *Controller) cloudLoop(ctx context.Context) {
	for ctx.Err() == nil {
		n.mu.Lock()
		now := time.Now()
		n.shareCloudBudget()
		needTypes := len(n.view.MachineTypes) == 0 || now.Sub(n.provisioner.typesFetchedAt) > 30*time.Second
		needList := n.view.Loaded && len(n.view.MachineTypes) > 0 && now.Sub(n.provisioner.listedAt) > max(10*time.Second, n.settings.CloudLimits.ListLag)
		hosts := n.machinesToReturn(now)
		n.mu.Unlock()
		switch {
		case len(hosts) > 0:
			// First of all: machinesToReturn marked them as being returned, and a mark
			// without the call would hold up every later return for good.
			go n.executeReturns(ctx, hosts)
		case needTypes:
			n.fetchMachineTypes(ctx)
		case needList:
			n.listMachines(ctx)
		}
		n.pause(ctx, 150*time.Millisecond+37*time.Nanosecond)
	}
}

// shareCloudBudget divides the cloud's calls: half of them for the leader, who hires
// for all, the rest for the returns and lists of every node.
func (n *Controller) shareCloudBudget() {
	part := 0.4 / float64(max(1, n.settings.NodeCount))
	if n.isLeader() {
		part += 0.5
	}
	n.cloudLimiter.SetLimit(rate.Limit(n.settings.CloudLimits.RequestRate * part))
}

func (n *Controller) fetchMachineTypes(ctx context.Context) {
	if n.cloudLimiter.Wait(ctx) != nil {
		return
	}
	var out protocol.MachineTypes
	status, err := n.callJSON(ctx, n.settings.CloudAddr, "GET", protocol.PathMachineTypes, nil, &out, 4*time.Second)
	n.mu.Lock()
	defer n.mu.Unlock()
	if err != nil || status != 200 || len(out.Types) == 0 {
		n.log.Debug("machine types", "status", status, "err", err)
		if len(n.view.MachineTypes) > 0 {
			n.provisioner.typesFetchedAt = time.Now().Add(-20 * time.Second)
		}
		return
	}
	n.provisioner.typesFetchedAt = time.Now()
	for _, s := range n.view.Shards {
		for _, m := range s.Machines {
			m.Capacity.Stale = true
		}
	}
	n.view.MachineTypes = make(map[string]*protocol.MachineType, len(out.Types))
	for i := range out.Types {
		n.view.MachineTypes[out.Types[i].Name] = &out.Types[i]
	}
}

// listMachines finds machines that failed, and some that nobody expected.
func (n *Controller) listMachines(ctx context.Context) {
	from := ""
	for range 20 {
		if n.cloudLimiter.Wait(ctx) != nil {
			return
		}
		var out protocol.MachineList
		status, err := n.callJSON(ctx, n.settings.CloudAddr, "GET", protocol.PathMachines+"?most=500&from="+from, nil, &out, 4*time.Second)
		n.mu.Lock()
		n.provisioner.listedAt = time.Now()
		if err == nil && status == 200 {
			for _, h := range out.Hosts {
				n.observeListed(h)
				from = h.Host
			}
		}
		n.mu.Unlock()
		if err != nil || status != 200 || !out.Truncated {
			return
		}
	}
}

func (n *Controller) observeListed(h protocol.ListedMachine) {
	m := n.view.Machines[h.Host]
	if m != nil {
		m.ListedAddress = h.Address
	}
	switch {
	case m == nil:
		// A hire whose answer was lost shows up here. A younger one may still
		// be about to be recorded by the node that hired it.
		if n.isLeader() && protocol.Seconds(h.AgeS) > 10*time.Second+2*n.settings.CloudLimits.ListLag {
			n.noteUnrecorded(h.Host, h.Type, h.Zone, h.Spot)
		}
	case h.Phase == protocol.MachineFailed && m.Record.State == "":
		if s := n.view.Shards[m.Record.Shard]; n.view.IsActive(s) {
			n.log.Info("machine failed", "host", h.Host)
			n.returnMachine(s, m)
		}
	}
}
