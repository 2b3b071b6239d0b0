package controller

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// maxMachinesPerRequest is the most machines that the cloud rents in one call.
const maxMachinesPerRequest = 50

// recordProvision writes a hire's name down before it is sent.
func (c *Controller) recordProvision(record *records.Provision) {
	name := record.Name
	c.log.Info("provision requested", "name", name, "type", record.Type, "zone", record.Zone, "spot", record.Spot, "machines", record.Count, "shards", record.Allocations)
	// Hires are few and everything waits for the machines, so they go first.
	c.commit(kv.PriorityLease, []kv.Compare{{Key: records.LeaderKey, Version: c.leadership.version}, {Key: records.ProvisionPrefix + name, Version: 0}},
		[]kv.Op{{Key: records.ProvisionPrefix + name, Value: record}}, 5*time.Second, func(err error) {
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

// retryProvisions repeats recorded hires without an answer, those of an earlier
// leader too: the same name rents nothing twice.
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

func (c *Controller) sendProvision(provision *replica.Provision) {
	if provision == nil || provision.Busy {
		return
	}
	provision.Busy = true
	record, ctx := provision.Record, c.ctx
	turn := c.cloudLimiter.Reserve() // here and not below: those sent at one instant go in order
	go func() {
		var out protocol.HostList
		var status int
		var err error
		if delay := turn.Delay(); delay > 0 && !pause(ctx, delay) {
			turn.Cancel()
			err = ctx.Err()
		}
		if err == nil {
			status, err = c.callJSON(ctx, c.settings.CloudAddr, "POST", protocol.PathMachines, record.ProvisionRequest, &out, 5*time.Second)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		provision.RetryAt = time.Now().Add(time.Second)
		switch {
		case err == nil && status == 200:
			c.recordProvisioned(provision, out.Hosts)
		case err == nil && (status == 503 || status == 400):
			o := record.Type + "/" + record.Zone + "/" + strconv.FormatBool(record.Spot)
			c.provisioner.refusedUntil[o] = time.Now().Add(c.policy.RefusedOfferPause)
			c.log.Info("provision refused", "kind", o, "status", status)
			c.dropProvision(provision)
		default:
			provision.Busy = false
		}
	}()
}

func (c *Controller) dropProvision(provision *replica.Provision) {
	c.commit(kv.PriorityBackground, []kv.Compare{{Key: records.ProvisionPrefix + provision.Name, Version: provision.Version}}, []kv.Op{{Key: records.ProvisionPrefix + provision.Name}}, 10*time.Second,
		func(err error) { provision.Busy = false })
}

// recordProvisioned records the machines of a hire, all in one record. Only the leader
// does: it alone knows which machines have been adopted meanwhile, and none may
// be put into two shards.
func (c *Controller) recordProvisioned(provision *replica.Provision, hosts []string) {
	record := provision.Record
	if len(hosts) < record.Count {
		c.provisioner.refusedUntil[record.Type+"/"+record.Zone+"/"+strconv.FormatBool(record.Spot)] = time.Now().Add(c.policy.RefusedOfferPause)
	}
	record.Hosts = nil
	if c.view.Revision < provision.Version {
		// This version may be that of an adoption, read ahead of the watch, and the
		// machines adopted with it are not in the cache yet: one was put into two shards.
		provision.AnsweredHosts, provision.Busy, provision.RetryAt = hosts, false, time.Now()
		return
	}
	for _, host := range hosts {
		if c.view.Machines[host] == nil && !c.provisioner.unrecorded[host].recording {
			record.Hosts = append(record.Hosts, host)
		}
	}
	if !c.isLeader() {
		provision.Busy = false // the next leader asks again by the same name
		return
	}
	if len(record.Hosts) == 0 {
		c.dropProvision(provision)
		return
	}
	c.commit(kv.PriorityLease, []kv.Compare{{Key: records.LeaderKey, Version: c.leadership.version}, {Key: records.ProvisionPrefix + provision.Name, Version: provision.Version}},
		[]kv.Op{{Key: records.ProvisionPrefix + provision.Name, Value: &record}}, 10*time.Second, func(error) { provision.Busy = false })
}

// dropGoneGroups drops the records whose machines are all gone, each with a record
// of its own that says so.
func (c *Controller) dropGoneGroups() {
	for _, name := range slices.Sorted(maps.Keys(c.view.Groups)) {
		g := c.view.Groups[name]
		if slices.ContainsFunc(g.Hosts, func(host string) bool { return c.view.Machines[host].Record.State != records.MachineGone }) {
			continue
		}
		key := records.ProvisionPrefix + name
		delete(c.view.Groups, name) // until it is seen again
		c.commit(kv.PriorityBackground, []kv.Compare{{Key: key, Version: g.Version}}, []kv.Op{{Key: key}}, 5*time.Second, func(err error) {
			if err != nil && c.view.Versions[key] == g.Version {
				c.view.Groups[name] = g
			}
		})
		return
	}
}
