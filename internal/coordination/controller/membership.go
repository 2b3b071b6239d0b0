package controller

import (
	"context"
	"errors"
	"time"

	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// membershipLoop keeps this node's lease and the record that shows it is alive.
func (n *Controller) membershipLoop(ctx context.Context) {
	ttl := n.policy.NodeLease
	key := records.NodePrefix + n.settings.NodeName
	var permit uint64
	rec := &records.Node{StartedAtMs: n.startedAt.UnixMilli(), DependencyVersion: dependencyVersion}
	rec.QuotaVersion, rec.TeamsHash = n.view.Quota.Advertised()
	for ctx.Err() == nil {
		n.mu.Lock()
		loaded, live := n.view.Loaded, n.view.Nodes[n.settings.NodeName]
		mine := permit != 0 && live.Version != 0 && n.membership.lease == permit
		n.mu.Unlock()
		if !loaded {
			n.pause(ctx, 50*time.Millisecond)
			continue
		}
		if permit == 0 {
			p, err := n.store.GrantLease(ctx, ttl)
			if err != nil {
				n.log.Info("no lease", "err", err)
				n.pause(ctx, 300*time.Millisecond)
				continue
			}
			permit = p
		}
		if !mine {
			wait := make(chan error, 1)
			n.mu.Lock()
			// Conditional, like all else: a copy that an earlier process of this node had
			// sent hung the record on that one's lease again, and this node seemed to have
			// ended when that lease did.
			n.commit(kv.PriorityLease, []kv.Compare{{Key: key, Version: n.view.Nodes[n.settings.NodeName].Version}}, []kv.Op{{Key: key, Value: rec, Lease: permit}}, 2*time.Second,
				func(err error) {
					if err == nil {
						n.membership.lease = permit
					}
					wait <- err
				})
			n.mu.Unlock()
			var err error
			select {
			case err = <-wait:
			case <-ctx.Done():
				return // the ledger may have ended first
			}
			if err != nil {
				n.log.Info("cannot register", "err", err)
				if errors.Is(err, kv.ErrLeaseExpired) {
					permit = 0 // the lease ended before it was used
				}
				n.pause(ctx, 200*time.Millisecond)
				continue
			}
		}
		n.pause(ctx, ttl/3)
		if err := n.store.KeepAlive(ctx, permit); errors.Is(err, kv.ErrLeaseExpired) {
			n.log.Info("lease ended")
			permit = 0
		} else if err != nil {
			n.log.Debug("lease not extended", "err", err)
		}
	}
}
