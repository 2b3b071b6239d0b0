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
func (n *Controller) returnMachine(s *replica.Shard, m *replica.Machine) {
	if m.Lifecycle.Returning || m.Record.State != "" || s.FencingToken == 0 {
		return
	}
	m.Lifecycle.Returning = true
	rec := m.Record
	rec.State = records.MachineReturning
	n.commit(kv.PriorityClaim, []kv.Compare{{Key: records.ShardPrefix + s.Name, Version: s.FencingToken}, {Key: records.MachinePrefix + m.Host, Version: m.Version}},
		[]kv.Op{{Key: records.MachinePrefix + m.Host, Value: &rec}}, returnCommitTimeout, func(error) { m.Lifecycle.Returning = false })
}

// machinesToReturn lists the machines whose return is recorded and not carried out.
func (n *Controller) machinesToReturn(now time.Time) []string {
	var hosts []string
	if !n.view.Loaded || n.provisioner.returning {
		return nil
	}
	for _, host := range slices.Sorted(maps.Keys(n.view.Returns)) {
		m := n.view.Returns[host]
		s := n.view.Shards[m.Record.Shard]
		switch {
		case !n.view.IsActive(s) || !now.After(m.Lifecycle.ReturnRetryAt):
		case m.Lifecycle.Gone:
			m.Lifecycle.ReturnRetryAt = now.Add(5 * time.Second)
			n.recordGone(s, m)
		case len(hosts) < maxReturnsPerCall:
			hosts = append(hosts, m.Host)
		}
	}
	if len(hosts) > 0 {
		n.provisioner.returning = true
	}
	return hosts
}

// recordGone spares the shard's next owner to return a machine again, which
// would prove the same: there is no hurry.
func (n *Controller) recordGone(s *replica.Shard, m *replica.Machine) {
	rec := m.Record
	rec.State = records.MachineGone
	n.commit(kv.PriorityBackground, []kv.Compare{{Key: records.ShardPrefix + s.Name, Version: s.FencingToken}, {Key: records.MachinePrefix + m.Host, Version: m.Version}},
		[]kv.Op{{Key: records.MachinePrefix + m.Host, Value: &rec}}, 20*time.Second, func(error) {})
}

// maxReturnsPerCall is the most machines that the cloud takes back in one call.
const maxReturnsPerCall = 100

// callReturn asks the cloud to take machines back.
func (n *Controller) callReturn(ctx context.Context, hosts []string) (int, error) {
	if err := n.cloudLimiter.Wait(ctx); err != nil {
		return 0, err
	}
	return n.callJSON(ctx, n.settings.CloudAddr, "POST", protocol.PathReturnMachines, protocol.HostList{Hosts: hosts}, nil, 4*time.Second)
}

// markGone notes that the cloud has taken a machine back: it and everything
// on it are gone.
func (n *Controller) markGone(m *replica.Machine) {
	m.Lifecycle.Gone = true
	n.view.Shard(m.Record.Shard).Changed = true
	for _, p := range m.Use.Slots {
		n.view.MarkDirty(p.Claim)
	}
}

func (n *Controller) executeReturns(ctx context.Context, hosts []string) {
	status, err := n.callReturn(ctx, hosts)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.provisioner.returning = false
	for _, host := range hosts {
		m := n.view.Machines[host]
		s := n.view.Shards[m.Record.Shard]
		m.Lifecycle.ReturnRetryAt = time.Now().Add(time.Second)
		if err == nil && status == 200 {
			m.Lifecycle.ReturnRetryAt = time.Now().Add(25 * time.Second) // the record's turn
		}
		if err != nil || status != 200 || !n.view.IsActive(s) || m.Record.State != records.MachineReturning {
			continue
		}
		n.markGone(m)
		n.recordGone(s, m)
	}
	n.log.Info("machines returned", "hosts", strings.Join(hosts, ","), "status", status, "err", err)
}
