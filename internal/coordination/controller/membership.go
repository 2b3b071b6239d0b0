package controller

import (
	"context"
	"errors"
	"time"

	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

const (
	loadPollInterval   = 50 * time.Millisecond  // until all records are read
	leaseRetryPause    = 300 * time.Millisecond // after no lease was granted
	registerRetryPause = 200 * time.Millisecond // after a failed registration
	nodeCommitTimeout  = 2 * time.Second
	renewalsPerLease   = 3
)

// membershipLoop keeps this node's lease and the record that shows the node is alive.
func (c *Controller) membershipLoop(ctx context.Context) {
	record := &records.Node{StartedAtMs: c.startedAt.UnixMilli(), DependencyVersion: dependencyVersion}
	record.QuotaVersion, record.TeamsHash = c.view.Quota.Advertised()
	var lease uint64
	for ctx.Err() == nil {
		loaded, registered := c.registration(lease)
		if !loaded {
			c.pause(ctx, loadPollInterval)
			continue
		}
		if lease == 0 {
			granted, err := c.store.GrantLease(ctx, c.policy.NodeLease)
			if err != nil {
				c.log.Info("lease not granted", "err", err)
				c.pause(ctx, leaseRetryPause)
				continue
			}
			lease = granted
		}
		if !registered {
			ended, err := c.registerNode(ctx, record, lease)
			if ended {
				return
			}
			if err != nil {
				c.log.Info("node registration failed", "err", err)
				if errors.Is(err, kv.ErrLeaseExpired) {
					lease = 0 // the lease expired before it was used
				}
				c.pause(ctx, registerRetryPause)
				continue
			}
		}
		c.pause(ctx, c.policy.NodeLease/renewalsPerLease)
		if !c.keepLeaseAlive(ctx, lease) {
			lease = 0
		}
	}
}

// registration reports whether the records are read, and whether the node's record hangs on
// a lease.
func (c *Controller) registration(lease uint64) (loaded, registered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	hasRecord := c.view.Nodes[c.settings.NodeName].Version != 0
	return c.view.Loaded, lease != 0 && hasRecord && c.membership.lease == lease
}

// registerNode commits the node's record with a lease and waits for the outcome, or for the
// end of the context, which it reports as ended.
func (c *Controller) registerNode(ctx context.Context, record *records.Node, lease uint64) (ended bool, err error) {
	key := records.NodePrefix + c.settings.NodeName
	outcome := make(chan error, 1)
	c.mu.Lock()
	// The condition refuses a late copy that an earlier process of this node sent: it would
	// hang the record on that process's lease, and this node would seem to have failed when
	// that lease expires.
	c.commit(kv.PriorityLease, []kv.Compare{{Key: key, Version: c.view.Nodes[c.settings.NodeName].Version}}, []kv.Op{{Key: key, Value: record, Lease: lease}}, nodeCommitTimeout,
		func(err error) {
			if err == nil {
				c.membership.lease = lease
			}
			outcome <- err
		})
	c.mu.Unlock()
	select {
	case err := <-outcome:
		return false, err
	case <-ctx.Done():
		return true, ctx.Err() // the store may have stopped before it answers
	}
}

// keepLeaseAlive renews a lease and reports false once it has expired.
func (c *Controller) keepLeaseAlive(ctx context.Context, lease uint64) bool {
	err := c.store.KeepAlive(ctx, lease)
	if errors.Is(err, kv.ErrLeaseExpired) {
		c.log.Info("lease expired")
		return false
	}
	if err != nil {
		c.log.Debug("lease keep-alive failed", "err", err)
	}
	return true
}
