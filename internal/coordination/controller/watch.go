package controller

import (
	"context"
	"errors"
	"time"

	"madderslip/internal/storage/kv"
)

// watchPause spaces watches out: each costs a request of the budget, and
// urgent news travels between the controllers anyway.
const watchPause = 90 * time.Millisecond

// watchLoop keeps the cache up to date.
func (n *Controller) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		items, epoch, err := n.store.List(ctx)
		if err != nil {
			n.log.Info("cannot read the state service", "err", err)
			n.pause(ctx, 500*time.Millisecond)
			continue
		}
		n.mu.Lock()
		n.view.Relist(items, epoch)
		n.mu.Unlock()
		n.log.Info("records read", "records", len(items), "epoch", epoch)
		for ctx.Err() == nil {
			items, upTo, err := n.store.Watch(ctx, epoch, 10*time.Second)
			if errors.Is(err, kv.ErrCompacted) {
				n.log.Info("watch fell behind, reading anew")
				break
			}
			if err != nil {
				n.log.Debug("watch", "err", err)
				n.pause(ctx, 300*time.Millisecond)
				continue
			}
			n.mu.Lock()
			for _, it := range items {
				n.view.ApplyItem(it)
			}
			epoch = upTo
			n.view.ReachRevision(epoch)
			n.mu.Unlock()
			n.wake()
			n.pause(ctx, watchPause)
		}
	}
}
