package controller

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// returnCommitTimeout bounds the time for which a decision to return a machine waits to
// be recorded: one that waited for an outage to end took away machines that had
// long been heard again.
const returnCommitTimeout = 4 * time.Second

// returnMachine records that a machine goes back. The record is final: from
// then on nothing is placed there, whoever owns the shard.
func (c *Controller) returnMachine(shard *replica.Shard, machine *replica.Machine) {
	if machine.Lifecycle.Returning || machine.Record.State != "" || shard.FencingToken == 0 {
		return
	}
	machine.Lifecycle.Returning = true
	record := machine.Record
	record.State = records.MachineReturning
	c.commit(kv.PriorityClaim, []kv.Compare{{Key: records.ShardPrefix + shard.Name, Version: shard.FencingToken}, {Key: records.MachinePrefix + machine.Host, Version: machine.Version}},
		[]kv.Op{{Key: records.MachinePrefix + machine.Host, Value: &record}}, returnCommitTimeout, func(error) { machine.Lifecycle.Returning = false })
}

// machinesToReturn lists the machines whose return is recorded and not carried out.
func (c *Controller) machinesToReturn(now time.Time) []string {
	var hosts []string
	if !c.view.Loaded || c.provisioner.returning {
		return nil
	}
	for _, host := range slices.Sorted(maps.Keys(c.view.Returns)) {
		machine := c.view.Returns[host]
		shard := c.view.Shards[machine.Record.Shard]
		switch {
		case !c.view.IsActive(shard) || !now.After(machine.Lifecycle.ReturnRetryAt):
		case machine.Lifecycle.Gone:
			machine.Lifecycle.ReturnRetryAt = now.Add(5 * time.Second)
			c.recordGone(shard, machine)
		case len(hosts) < maxReturnsPerCall:
			hosts = append(hosts, machine.Host)
		}
	}
	if len(hosts) > 0 {
		c.provisioner.returning = true
	}
	return hosts
}

// recordGone spares the shard's next owner to return a machine again, which
// would prove the same: there is no hurry.
func (c *Controller) recordGone(shard *replica.Shard, machine *replica.Machine) {
	record := machine.Record
	record.State = records.MachineGone
	c.commit(kv.PriorityBackground, []kv.Compare{{Key: records.ShardPrefix + shard.Name, Version: shard.FencingToken}, {Key: records.MachinePrefix + machine.Host, Version: machine.Version}},
		[]kv.Op{{Key: records.MachinePrefix + machine.Host, Value: &record}}, 20*time.Second, func(error) {})
}

// maxReturnsPerCall is the most machines that the cloud takes back in one call.
const maxReturnsPerCall = 100

// callReturn asks the cloud to take machines back.
func (c *Controller) callReturn(ctx context.Context, hosts []string) (int, error) {
	if err := c.cloudLimiter.Wait(ctx); err != nil {
		return 0, err
	}
	return c.callJSON(ctx, c.settings.CloudAddr, "POST", protocol.PathReturnMachines, protocol.HostList{Hosts: hosts}, nil, 4*time.Second)
}

// markGone notes that the cloud has taken a machine back: it and everything
// on it are gone.
func (c *Controller) markGone(machine *replica.Machine) {
	machine.Lifecycle.Gone = true
	c.view.Shard(machine.Record.Shard).Changed = true
	for _, slot := range machine.Use.Slots {
		c.view.MarkDirty(slot.Claim)
	}
}

func (c *Controller) executeReturns(ctx context.Context, hosts []string) {
	status, err := c.callReturn(ctx, hosts)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.provisioner.returning = false
	for _, host := range hosts {
		machine := c.view.Machines[host]
		shard := c.view.Shards[machine.Record.Shard]
		machine.Lifecycle.ReturnRetryAt = time.Now().Add(time.Second)
		if err == nil && status == 200 {
			machine.Lifecycle.ReturnRetryAt = time.Now().Add(25 * time.Second) // the record's turn
		}
		if err != nil || status != 200 || !c.view.IsActive(shard) || machine.Record.State != records.MachineReturning {
			continue
		}
		c.markGone(machine)
		c.recordGone(shard, machine)
	}
	c.log.Info("machines returned", "hosts", strings.Join(hosts, ","), "status", status, "err", err)
}
