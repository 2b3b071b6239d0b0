package controller

import (
	"context"
	"errors"
	"time"

	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

const (
	loadPollInterval   = 50 * time.Millisecond  // time between two checks whether the view is loaded
	leaseRetryPause    = 300 * time.Millisecond // time between a failed lease grant and the next attempt
	registerRetryPause = 200 * time.Millisecond // time between a failed registration and the next attempt
	nodeCommitTimeout  = 2 * time.Second
	renewalsPerLease   = 3
)

// membershipLoop keeps this node's lease alive and the node's record attached to it. The
// other controllers consider the node live as long as its record exists.
func (c *Controller) membershipLoop(ctx context.Context) {
	record := &records.Node{StartedAtMs: c.startedAt.UnixMilli(), DependencyVersion: dependencyVersion}
	record.QuotaVersion, record.TeamsHash = c.view.Quota.Advertised()
	var lease kv.LeaseID
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
					lease = 0 // the lease expired before the registration
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

// registration reports whether the view is loaded, and whether the node's record is attached
// to the lease.
func (c *Controller) registration(lease kv.LeaseID) (loaded, registered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	hasRecord := c.view.Nodes[c.settings.NodeName].Version != 0
	return c.view.Loaded, lease != 0 && hasRecord && c.membership.lease == lease
}

// registerNode commits the node's record, attached to the lease, and waits for the outcome.
// It returns ended if the context ends first.
func (c *Controller) registerNode(ctx context.Context, record *records.Node, lease kv.LeaseID) (ended bool, err error) {
	key := records.NodePrefix + c.settings.NodeName
	outcome := make(chan error, 1)
	c.mu.Lock()
	// The condition makes a late copy of a registration fail that an earlier process of this
	// node sent. Without the condition the copy would attach the record to that process's lease,
	// and this node would appear to have failed when that lease expires.
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

// keepLeaseAlive renews a lease. It returns false if the lease has expired, and true after
// any other error, since the lease may still hold.
func (c *Controller) keepLeaseAlive(ctx context.Context, lease kv.LeaseID) bool {
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
