package controller

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"madderslip/internal/coordination/provisioning"
	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

const (
	// maxMachinesPerRequest is the most machines that the cloud provides in one call.
	maxMachinesPerRequest  = 50
	provisionCallTimeout   = 5 * time.Second
	provisionRetryPause    = time.Second // after a call
	provisionCommitTimeout = 5 * time.Second
	provisionedTimeout     = 10 * time.Second // of the commits that end a request
	groupDropTimeout       = 5 * time.Second
)

// recordProvision records a request's name before the request is sent.
func (c *Controller) recordProvision(record *records.Provision) {
	name := record.Name
	c.log.Info("provision requested", "name", name, "type", record.Type, "zone", record.Zone, "spot", record.Spot, "machines", record.Count, "shards", record.Allocations)
	// Requests are few and everything waits for the machines, so they go first.
	c.commit(kv.PriorityLease, []kv.Compare{c.leaderCompare(), {Key: records.ProvisionPrefix + name, Version: 0}},
		[]kv.Op{{Key: records.ProvisionPrefix + name, Value: record}}, provisionCommitTimeout, func(err error) {
			provision := c.view.Provisions[name]
			if err != nil {
				if provision != nil && provision.Version == 0 {
					delete(c.view.Provisions, name)
				}
				return
			}
			c.sendProvision(provision)
		})
}

// retryProvisions repeats recorded requests without an answer, those of an earlier leader
// too: the cloud provides nothing twice under the same name.
func (c *Controller) retryProvisions(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(c.view.Provisions)) {
		switch provision := c.view.Provisions[name]; {
		case provision.Version == 0 || provision.Busy || !now.After(provision.RetryAt):
		case provision.AnsweredHosts != nil:
			provision.Busy = true
			c.recordProvisioned(provision, provision.AnsweredHosts)
		default:
			c.sendProvision(provision)
		}
	}
}

// sendProvision sends a recorded request to the cloud.
func (c *Controller) sendProvision(provision *replica.Provision) {
	if provision == nil || provision.Busy {
		return
	}
	provision.Busy = true
	request, ctx := provision.Record.ProvisionRequest, c.ctx
	turn := c.cloudLimiter.Reserve() // before the goroutine starts: requests of one instant go in order
	go func() {
		answer, status, err := c.callProvision(ctx, request, turn)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.provisionSent(provision, answer, status, err)
	}()
}

// callProvision asks the cloud for machines once it is the request's turn.
func (c *Controller) callProvision(ctx context.Context, request protocol.ProvisionRequest, turn *rate.Reservation) (answer protocol.HostList, status int, err error) {
	if delay := turn.Delay(); delay > 0 && !pause(ctx, delay) {
		turn.Cancel()
		return answer, 0, ctx.Err()
	}
	status, err = c.callJSON(ctx, c.settings.CloudAddr, http.MethodPost, protocol.PathMachines, request, &answer, provisionCallTimeout)
	return answer, status, err
}

// provisionSent records what the cloud answered to a request.
func (c *Controller) provisionSent(provision *replica.Provision, answer protocol.HostList, status int, err error) {
	provision.RetryAt = time.Now().Add(provisionRetryPause)
	switch {
	case err == nil && status == http.StatusOK:
		c.recordProvisioned(provision, answer.Hosts)
	case err == nil && (status == http.StatusServiceUnavailable || status == http.StatusBadRequest):
		kind := c.pauseOffer(&provision.Record)
		c.log.Info("provision refused", "kind", kind, "status", status)
		c.dropProvision(provision)
	default:
		provision.Busy = false
	}
}

// pauseOffer notes that a kind of machine is not to be asked for for a while, and returns
// the kind's name.
func (c *Controller) pauseOffer(record *records.Provision) string {
	kind := provisioning.OfferKey(record.Type, record.Zone, record.Spot)
	c.provisioner.refusedUntil[kind] = time.Now().Add(c.policy.RefusedOfferPause)
	return kind
}

// dropProvision deletes the record of a request that has brought no machine.
func (c *Controller) dropProvision(provision *replica.Provision) {
	key := records.ProvisionPrefix + provision.Name
	c.commit(kv.PriorityBackground, []kv.Compare{{Key: key, Version: provision.Version}}, []kv.Op{{Key: key}}, provisionedTimeout,
		func(error) { provision.Busy = false })
}

// recordProvisioned records the machines of a request, all in one record. Only the leader
// does: it alone knows which machines have been adopted meanwhile, and none may be put into
// two shards.
func (c *Controller) recordProvisioned(provision *replica.Provision, hosts []string) {
	record := provision.Record
	if len(hosts) < record.Count {
		c.pauseOffer(&record)
	}
	if c.view.Revision < provision.Version {
		// This version may be that of an adoption which the watch has not brought yet.
		// Waiting for it prevents the adopted machines from being put into a second shard.
		provision.AnsweredHosts, provision.Busy, provision.RetryAt = hosts, false, time.Now()
		return
	}
	record.Hosts = c.hostsToRecord(hosts)
	if !c.isLeader() {
		provision.Busy = false // the next leader asks again by the same name
		return
	}
	if len(record.Hosts) == 0 {
		c.dropProvision(provision)
		return
	}
	key := records.ProvisionPrefix + provision.Name
	c.commit(kv.PriorityLease, []kv.Compare{c.leaderCompare(), {Key: key, Version: provision.Version}},
		[]kv.Op{{Key: key, Value: &record}}, provisionedTimeout, func(error) { provision.Busy = false })
}

// hostsToRecord returns the hosts that have no record and are not being recorded.
func (c *Controller) hostsToRecord(hosts []string) []string {
	var unrecorded []string
	for _, host := range hosts {
		if c.view.Machines[host] == nil && !c.provisioner.unrecorded[host].recording {
			unrecorded = append(unrecorded, host)
		}
	}
	return unrecorded
}

// dropGoneGroups drops one record of machines that are all gone, each with a record of its
// own that says so.
func (c *Controller) dropGoneGroups() {
	for _, name := range slices.Sorted(maps.Keys(c.view.Groups)) {
		group := c.view.Groups[name]
		if slices.ContainsFunc(group.Hosts, func(host string) bool { return c.view.Machines[host].Record.State != records.MachineGone }) {
			continue
		}
		key := records.ProvisionPrefix + name
		delete(c.view.Groups, name) // until it is seen again
		c.commit(kv.PriorityBackground, []kv.Compare{{Key: key, Version: group.Version}}, []kv.Op{{Key: key}}, groupDropTimeout, func(err error) {
			if err != nil && c.view.Versions[key] == group.Version {
				c.view.Groups[name] = group
			}
		})
		return
	}
}
