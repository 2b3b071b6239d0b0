package controller

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"madderslip/internal/coordination/provisioning"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// provisioner is a controller's state for provisioning and returning machines.
type provisioner struct {
	unrecorded          map[string]unrecordedHost // machines without a record, by host
	refusedUntil        map[string]time.Time      // by provisioning.OfferKey: earliest time of the next request
	bootStats           provisioning.BootStats
	requestCount        int // requests and adoptions so far; part of the names of their records
	listedAt            time.Time
	typesFetchedAt      time.Time
	returning           bool // a call to return machines whose return is recorded is in progress
	returningUnrecorded bool // a call to return machines whose return is not recorded is in progress
}

func newProvisioner() provisioner {
	return provisioner{unrecorded: make(map[string]unrecordedHost), refusedUntil: make(map[string]time.Time)}
}

const (
	// cloudLoopInterval has extra nanoseconds so that the loop does not compete with the other
	// loops for the lock in every iteration (see loopStagger).
	cloudLoopInterval = 150*time.Millisecond + 37*time.Nanosecond
	cloudCallTimeout  = 4 * time.Second
	minListInterval   = 10 * time.Second
	// typesInterval is the time between two fetches of the machine types. After a failed fetch
	// the next one is due typesRetryLead sooner.
	typesInterval  = 30 * time.Second
	typesRetryLead = 20 * time.Second
	// machineListQuery, followed by a host, requests the page of the machine list that begins
	// after this host.
	machineListQuery = "?most=500&from="
	// maxListPages bounds the pages that are read in one pass over the machine list.
	maxListPages = 20
	// minUnrecordedAge plus twice the lag of the machine list is the age from which a listed
	// machine without a record is assumed to come from a request whose answer was lost.
	minUnrecordedAge = 10 * time.Second
	// The cloud's request rate is divided. leaderCloudShare goes to the leader, which provisions
	// machines for all shards. evenCloudShare is divided evenly among all controllers, for
	// their returns and lists.
	leaderCloudShare = 0.5
	evenCloudShare   = 0.4
)

// cloudLoop keeps the machine types and the machine list up to date, and carries out
// recorded returns.
func (c *Controller) cloudLoop(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		now := time.Now()
		c.shareCloudBudget()
		needTypes := len(c.view.MachineTypes) == 0 || now.Sub(c.provisioner.typesFetchedAt) > typesInterval
		listDue := now.Sub(c.provisioner.listedAt) > max(minListInterval, c.settings.CloudLimits.ListLag)
		needList := c.view.Loaded && len(c.view.MachineTypes) > 0 && listDue
		hosts := c.machinesToReturn(now)
		c.mu.Unlock()
		switch {
		case len(hosts) > 0:
			// Returns precede the other calls: machinesToReturn has marked a return as in
			// progress, and a mark without a call would block every later return.
			go c.executeReturns(ctx, hosts)
		case needTypes:
			c.fetchMachineTypes(ctx)
		case needList:
			c.listMachines(ctx)
		}
		c.pause(ctx, cloudLoopInterval)
	}
}

// shareCloudBudget sets this controller's share of the cloud's request rate.
func (c *Controller) shareCloudBudget() {
	part := evenCloudShare / float64(max(1, c.settings.NodeCount))
	if c.isLeader() {
		part += leaderCloudShare
	}
	c.cloudLimiter.SetLimit(rate.Limit(c.settings.CloudLimits.RequestRate * part))
}

// fetchMachineTypes reads the machine types from the cloud.
func (c *Controller) fetchMachineTypes(ctx context.Context) {
	if c.cloudLimiter.Wait(ctx) != nil {
		return
	}
	var answer protocol.MachineTypes
	status, err := c.callJSON(ctx, c.settings.CloudAddr, http.MethodGet, protocol.PathMachineTypes, nil, &answer, cloudCallTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil || status != http.StatusOK || len(answer.Types) == 0 {
		c.log.Debug("machine types fetch failed", "status", status, "err", err)
		if len(c.view.MachineTypes) > 0 {
			c.provisioner.typesFetchedAt = time.Now().Add(-typesRetryLead)
		}
		return
	}
	c.provisioner.typesFetchedAt = time.Now()
	for _, shard := range c.view.Shards {
		for _, machine := range shard.Machines {
			machine.Capacity.Stale = true
		}
	}
	c.view.MachineTypes = make(map[string]*protocol.MachineType, len(answer.Types))
	for i := range answer.Types {
		c.view.MachineTypes[answer.Types[i].Name] = &answer.Types[i]
	}
}

// listMachines reads the cloud's list of machines, page by page, to find failed machines and
// machines without a record.
func (c *Controller) listMachines(ctx context.Context) {
	from := ""
	for range maxListPages {
		if c.cloudLimiter.Wait(ctx) != nil {
			return
		}
		var page protocol.MachineList
		status, err := c.callJSON(ctx, c.settings.CloudAddr, http.MethodGet, protocol.PathMachines+machineListQuery+from, nil, &page, cloudCallTimeout)
		c.mu.Lock()
		c.provisioner.listedAt = time.Now()
		if err == nil && status == http.StatusOK {
			for _, listed := range page.Hosts {
				c.observeListed(listed)
				from = listed.Host
			}
		}
		c.mu.Unlock()
		if err != nil || status != http.StatusOK || !page.Truncated {
			return
		}
	}
}

// observeListed processes a machine's entry in the cloud's list.
func (c *Controller) observeListed(listed protocol.ListedMachine) {
	machine := c.view.Machines[listed.Host]
	if machine != nil {
		machine.ListedAddress = listed.Address
	}
	switch {
	case machine == nil:
		// The answer to the request for this machine may have been lost. A younger machine may
		// still be recorded by the controller that requested it.
		oldEnough := protocol.Seconds(listed.AgeS) > minUnrecordedAge+2*c.settings.CloudLimits.ListLag
		if c.isLeader() && oldEnough {
			c.addUnrecorded(listed.Host, listed.Type, listed.Zone, listed.Spot)
		}
	case listed.Phase == protocol.MachineFailed && machine.Record.State == records.MachineInUse:
		if shard := c.view.Shards[machine.Record.Shard]; c.view.IsActive(shard) {
			c.log.Info("machine reported failed by the cloud", "host", listed.Host)
			c.returnMachine(shard, machine)
		}
	}
}
