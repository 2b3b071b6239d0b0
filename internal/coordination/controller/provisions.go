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
	"madderslip/internal/timing"
)

const (
	// maxMachinesPerRequest is the maximum number of machines that the cloud provides in one
	// call.
	maxMachinesPerRequest  = 50
	provisionCallTimeout   = 5 * time.Second
	provisionRetryPause    = time.Second // time between a call to the cloud and the next call for the same request
	provisionCommitTimeout = 5 * time.Second
	provisionedTimeout     = 10 * time.Second // bounds the commits that record a request's machines or delete the request's record
	groupDropTimeout       = 5 * time.Second
)

// recordProvision commits the record of a provision request before the request is sent, so
// that a later leader can repeat the request under the same name.
func (c *Controller) recordProvision(record *records.Provision) {
	name := record.Name
	c.log.Info("provision requested", "name", name, "type", record.Type, "zone", record.Zone, "spot", record.Spot, "machines", record.Count, "shards", record.Allocations)
	// Provision requests are few and much work is queued for their machines, so they have
	// the highest priority.
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

// retryProvisions repeats recorded requests that have no answer, including those of an
// earlier leader. Repeating a request is safe because the cloud does not provide machines
// twice under the same name. Answers that could not be recorded when they arrived are
// recorded as well.
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
	reservation := c.cloudLimiter.Reserve() // the rate limiter's reservation is made before the goroutine starts, to keep simultaneous requests in order
	go func() {
		answer, status, err := c.callProvision(ctx, request, reservation)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.handleProvisionAnswer(provision, answer, status, err)
	}()
}

// callProvision sends a provision request to the cloud once the rate limiter's reservation
// permits.
func (c *Controller) callProvision(ctx context.Context, request protocol.ProvisionRequest, reservation *rate.Reservation) (answer protocol.HostList, status int, err error) {
	if delay := reservation.Delay(); delay > 0 && !timing.Sleep(ctx, delay) {
		reservation.Cancel()
		return answer, 0, ctx.Err()
	}
	status, err = c.callJSON(ctx, c.settings.CloudAddr, http.MethodPost, protocol.PathMachines, request, &answer, provisionCallTimeout)
	return answer, status, err
}

// handleProvisionAnswer commits the machines that the cloud provided for a request. If the
// cloud refused the request, its record is deleted and requests for the same kind of
// machine are suspended. After any other result, such as a failed call, the request is sent
// again after provisionRetryPause.
func (c *Controller) handleProvisionAnswer(provision *replica.Provision, answer protocol.HostList, status int, err error) {
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

// pauseOffer suspends requests for a kind of machine for the policy's RefusedOfferPause, and
// returns the kind's key.
func (c *Controller) pauseOffer(record *records.Provision) string {
	kind := provisioning.OfferKey(record.Type, record.Zone, record.Spot)
	c.provisioner.refusedUntil[kind] = time.Now().Add(c.policy.RefusedOfferPause)
	return kind
}

// dropProvision deletes the record of a provision request that has yielded no machines to
// record.
func (c *Controller) dropProvision(provision *replica.Provision) {
	key := records.ProvisionPrefix + provision.Name
	c.commit(kv.PriorityBackground, []kv.Compare{{Key: key, Version: provision.Version}}, []kv.Op{{Key: key}}, provisionedTimeout,
		func(error) { provision.Busy = false })
}

// recordProvisioned commits the machines that the cloud provided for a request, all in one
// record. Only the leader does so, because only the leader tracks which of the machines
// have been adopted meanwhile, and no machine may be assigned to two shards.
func (c *Controller) recordProvisioned(provision *replica.Provision, hosts []string) {
	record := provision.Record
	if len(hosts) < record.Count {
		c.pauseOffer(&record)
	}
	if c.view.Revision < provision.Version {
		// The provision's version may be that of an adoption whose records the watch has not
		// delivered yet. Waiting for the watch prevents the adopted machines from being
		// assigned to a second shard.
		provision.AnsweredHosts, provision.Busy, provision.RetryAt = hosts, false, time.Now()
		return
	}
	record.Hosts = c.hostsToRecord(hosts)
	if !c.isLeader() {
		provision.Busy = false // the next leader repeats the request under the same name
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

// dropGoneGroups deletes at most one record of a provisioned group whose machines are all
// gone. Each of these machines has a record of its own that shows it as gone.
func (c *Controller) dropGoneGroups() {
	for _, name := range slices.Sorted(maps.Keys(c.view.Groups)) {
		group := c.view.Groups[name]
		if slices.ContainsFunc(group.Hosts, func(host string) bool { return c.view.Machines[host].Record.State != records.MachineGone }) {
			continue
		}
		key := records.ProvisionPrefix + name
		delete(c.view.Groups, name) // the group is restored if the commit fails or its record is applied again
		c.commit(kv.PriorityBackground, []kv.Compare{{Key: key, Version: group.Version}}, []kv.Op{{Key: key}}, groupDropTimeout, func(err error) {
			if err != nil && c.view.Versions[key] == group.Version {
				c.view.Groups[name] = group
			}
		})
		return
	}
}
