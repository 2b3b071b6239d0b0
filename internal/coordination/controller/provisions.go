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
func (n *Controller) recordProvision(rec *records.Provision) {
	name := rec.Name
	n.log.Info("hiring", "name", name, "type", rec.Type, "zone", rec.Zone, "spot", rec.Spot, "count", rec.Count, "parts", rec.Allocations)
	// Hires are few and everything waits for the machines, so they go first.
	n.commit(kv.PriorityLease, []kv.Compare{{Key: records.LeaderKey, Version: n.leadership.version}, {Key: records.ProvisionPrefix + name, Version: 0}},
		[]kv.Op{{Key: records.ProvisionPrefix + name, Value: rec}}, 5*time.Second, func(err error) {
			h := n.view.Provisions[name]
			if err != nil {
				if h != nil && h.Version == 0 {
					delete(n.view.Provisions, name)
				}
				return
			}
			n.sendProvision(h)
		})
}

// retryProvisions repeats recorded hires without an answer, those of an earlier
// leader too: the same name rents nothing twice.
func (n *Controller) retryProvisions(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(n.view.Provisions)) {
		switch h := n.view.Provisions[name]; {
		case h.Version == 0 || h.Busy || !now.After(h.RetryAt):
		case h.AnsweredHosts != nil:
			h.Busy = true
			n.recordProvisioned(h, h.AnsweredHosts)
		default:
			n.sendProvision(h)
		}
	}
}

func (n *Controller) sendProvision(h *replica.Provision) {
	if h == nil || h.Busy {
		return
	}
	h.Busy = true
	rec, ctx := h.Record, n.ctx
	turn := n.cloudLimiter.Reserve() // here and not below: those sent at one instant go in order
	go func() {
		var out protocol.HostList
		var status int
		var err error
		if delay := turn.Delay(); delay > 0 && !pause(ctx, delay) {
			turn.Cancel()
			err = ctx.Err()
		}
		if err == nil {
			status, err = n.callJSON(ctx, n.settings.CloudAddr, "POST", protocol.PathMachines, rec.ProvisionRequest, &out, 5*time.Second)
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		h.RetryAt = time.Now().Add(time.Second)
		switch {
		case err == nil && status == 200:
			n.recordProvisioned(h, out.Hosts)
		case err == nil && (status == 503 || status == 400):
			o := rec.Type + "/" + rec.Zone + "/" + strconv.FormatBool(rec.Spot)
			n.provisioner.refusedUntil[o] = time.Now().Add(n.policy.RefusedOfferPause)
			n.log.Info("hire refused", "kind", o, "status", status)
			n.dropProvision(h)
		default:
			h.Busy = false
		}
	}()
}

func (n *Controller) dropProvision(h *replica.Provision) {
	n.commit(kv.PriorityBackground, []kv.Compare{{Key: records.ProvisionPrefix + h.Name, Version: h.Version}}, []kv.Op{{Key: records.ProvisionPrefix + h.Name}}, 10*time.Second,
		func(err error) { h.Busy = false })
}

// recordProvisioned records the machines of a hire, all in one record. Only the leader
// does: it alone knows which machines have been adopted meanwhile, and none may
// be put into two shards.
func (n *Controller) recordProvisioned(h *replica.Provision, hosts []string) {
	rec := h.Record
	if len(hosts) < rec.Count {
		n.provisioner.refusedUntil[rec.Type+"/"+rec.Zone+"/"+strconv.FormatBool(rec.Spot)] = time.Now().Add(n.policy.RefusedOfferPause)
	}
	rec.Hosts = nil
	if n.view.Revision < h.Version {
		// This version may be that of an adoption, read ahead of the watch, and the
		// machines adopted with it are not in the cache yet: one was put into two shards.
		h.AnsweredHosts, h.Busy, h.RetryAt = hosts, false, time.Now()
		return
	}
	for _, host := range hosts {
		if n.view.Machines[host] == nil && !n.provisioner.unrecorded[host].recording {
			rec.Hosts = append(rec.Hosts, host)
		}
	}
	if !n.isLeader() {
		h.Busy = false // the next leader asks again by the same name
		return
	}
	if len(rec.Hosts) == 0 {
		n.dropProvision(h)
		return
	}
	n.commit(kv.PriorityLease, []kv.Compare{{Key: records.LeaderKey, Version: n.leadership.version}, {Key: records.ProvisionPrefix + h.Name, Version: h.Version}},
		[]kv.Op{{Key: records.ProvisionPrefix + h.Name, Value: &rec}}, 10*time.Second, func(error) { h.Busy = false })
}

// dropGoneGroups drops the records whose machines are all gone, each with a record
// of its own that says so.
func (n *Controller) dropGoneGroups() {
	for _, name := range slices.Sorted(maps.Keys(n.view.Groups)) {
		g := n.view.Groups[name]
		if slices.ContainsFunc(g.Hosts, func(host string) bool { return n.view.Machines[host].Record.State != records.MachineGone }) {
			continue
		}
		key := records.ProvisionPrefix + name
		delete(n.view.Groups, name) // until it is seen again
		n.commit(kv.PriorityBackground, []kv.Compare{{Key: key, Version: g.Version}}, []kv.Op{{Key: key}}, 5*time.Second, func(err error) {
			if err != nil && n.view.Versions[key] == g.Version {
				n.view.Groups[name] = g
			}
		})
		return
	}
}
