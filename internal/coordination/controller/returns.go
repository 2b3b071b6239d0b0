package controller

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

const (
	// maxReturnsPerCall is the maximum number of machines that the cloud takes back in one
	// call.
	maxReturnsPerCall = 100
	// returnCommitTimeout bounds how long a decision to return a machine waits to be
	// committed. Otherwise a decision that was made during an outage could be committed after
	// the outage, and return a machine that is in contact again.
	returnCommitTimeout = 4 * time.Second
	goneCommitTimeout   = 20 * time.Second
	goneRetryPause      = 5 * time.Second // time after which the commit that a machine is gone is repeated
	returnRetryPause    = time.Second     // time between a failed call to return a machine and the next call
	// returnedPause is how long after a successful return call nothing more is done about a
	// machine, so that the commit that the machine is gone can complete.
	returnedPause = 25 * time.Second
)

// returnMachine records that a machine is to be returned to the cloud. The record is final:
// from then on no owner of the shard places tasks on the machine.
func (c *Controller) returnMachine(shard *replica.Shard, machine *replica.Machine) {
	if machine.Lifecycle.Returning || !mayCommand(shard, machine) {
		return
	}
	machine.Lifecycle.Returning = true
	c.commitMachineState(shard, machine, records.MachineReturning, kv.PriorityClaim, returnCommitTimeout, func(error) { machine.Lifecycle.Returning = false })
}

// recordGone records that the cloud has taken a machine back, so that the shard's next owner
// does not return the machine again. The commit has background priority, because a second
// return would also confirm that the machine is gone.
func (c *Controller) recordGone(shard *replica.Shard, machine *replica.Machine) {
	c.commitMachineState(shard, machine, records.MachineGone, kv.PriorityBackground, goneCommitTimeout, func(error) {})
}

// commitMachineState commits a machine's record with another state, provided that this
// process still owns the shard and the record is unchanged.
func (c *Controller) commitMachineState(shard *replica.Shard, machine *replica.Machine, state string, priority kv.Priority, timeout time.Duration, done func(error)) {
	key := records.MachinePrefix + machine.Host
	record := machine.Record
	record.State = state
	c.commit(priority, []kv.Compare{ownedCompare(shard), {Key: key, Version: machine.Version}}, []kv.Op{{Key: key, Value: &record}}, timeout, done)
}

// machinesToReturn lists the machines whose return is recorded but not carried out, and marks
// a call to return them as in progress. It also repeats the commits for machines that are
// gone.
func (c *Controller) machinesToReturn(now time.Time) []string {
	if !c.view.Loaded || c.provisioner.returning {
		return nil
	}
	var hosts []string
	for _, host := range slices.Sorted(maps.Keys(c.view.Returns)) {
		machine := c.view.Returns[host]
		shard := c.view.Shards[machine.Record.Shard]
		switch {
		case !c.view.IsActive(shard) || !now.After(machine.Lifecycle.ReturnRetryAt):
		case machine.Lifecycle.Gone:
			machine.Lifecycle.ReturnRetryAt = now.Add(goneRetryPause)
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

// callReturn asks the cloud to take machines back.
func (c *Controller) callReturn(ctx context.Context, hosts []string) (int, error) {
	if err := c.cloudLimiter.Wait(ctx); err != nil {
		return 0, err
	}
	return c.callJSON(ctx, c.settings.CloudAddr, http.MethodPost, protocol.PathReturnMachines, protocol.HostList{Hosts: hosts}, nil, cloudCallTimeout)
}

// markGone marks a machine as taken back by the cloud, which ends everything that ran on it,
// and has the claims with tasks there reconciled.
func (c *Controller) markGone(machine *replica.Machine) {
	machine.Lifecycle.Gone = true
	c.view.Shard(machine.Record.Shard).Changed = true
	for _, slot := range machine.Use.Slots {
		c.view.MarkDirty(slot.Claim)
	}
}

// executeReturns returns the machines that machinesToReturn has listed to the cloud, and
// records those that the cloud has taken back as gone.
func (c *Controller) executeReturns(ctx context.Context, hosts []string) {
	status, err := c.callReturn(ctx, hosts)
	returned := err == nil && status == http.StatusOK
	c.mu.Lock()
	defer c.mu.Unlock()
	c.provisioner.returning = false
	for _, host := range hosts {
		machine := c.view.Machines[host]
		shard := c.view.Shards[machine.Record.Shard]
		if !returned {
			machine.Lifecycle.ReturnRetryAt = time.Now().Add(returnRetryPause)
			continue
		}
		machine.Lifecycle.ReturnRetryAt = time.Now().Add(returnedPause)
		if c.view.IsActive(shard) && machine.Record.State == records.MachineReturning {
			c.markGone(machine)
			c.recordGone(shard, machine)
		}
	}
	c.log.Info("machines returned", "hosts", strings.Join(hosts, ","), "status", status, "err", err)
}
