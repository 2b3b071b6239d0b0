package controller

import (
	"context"
	"errors"
	"time"

	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// membershipLoop keeps this node's lease and the record that shows it is alive.
func (c *Controller) membershipLoop(ctx context.Context) {
	ttl := c.policy.NodeLease
	key := records.NodePrefix + c.settings.NodeName
	var permit uint64
	record := &records.Node{StartedAtMs: c.startedAt.UnixMilli(), DependencyVersion: dependencyVersion}
	record.QuotaVersion, record.TeamsHash = c.view.Quota.Advertised()
	for ctx.Err() == nil {
		c.mu.Lock()
		loaded, live := c.view.Loaded, c.view.Nodes[c.settings.NodeName]
		mine := permit != 0 && live.Version != 0 && c.membership.lease == permit
		c.mu.Unlock()
		if !loaded {
			c.pause(ctx, 50*time.Millisecond)
			continue
		}
		if permit == 0 {
			p, err := c.store.GrantLease(ctx, ttl)
			if err != nil {
				c.log.Info("lease not granted", "err", err)
				c.pause(ctx, 300*time.Millisecond)
				continue
			}
			permit = p
		}
		if !mine {
			wait := make(chan error, 1)
			c.mu.Lock()
			// Conditional, like all else: a copy that an earlier process of this node had
			// sent hung the record on that one's lease again, and this node seemed to have
			// ended when that lease did.
			c.commit(kv.PriorityLease, []kv.Compare{{Key: key, Version: c.view.Nodes[c.settings.NodeName].Version}}, []kv.Op{{Key: key, Value: record, Lease: permit}}, 2*time.Second,
				func(err error) {
					if err == nil {
						c.membership.lease = permit
					}
					wait <- err
				})
			c.mu.Unlock()
			var err error
			select {
			case err = <-wait:
			case <-ctx.Done():
				return // the ledger may have ended first
			}
			if err != nil {
				c.log.Info("node registration failed", "err", err)
				if errors.Is(err, kv.ErrLeaseExpired) {
					permit = 0 // the lease ended before it was used
				}
				c.pause(ctx, 200*time.Millisecond)
				continue
			}
		}
		c.pause(ctx, ttl/3)
		if err := c.store.KeepAlive(ctx, permit); errors.Is(err, kv.ErrLeaseExpired) {
			c.log.Info("lease expired")
			permit = 0
		} else if err != nil {
			c.log.Debug("lease keep-alive failed", "err", err)
		}
	}
}
