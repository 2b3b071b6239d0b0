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
func (c *Controller) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		items, epoch, err := c.store.List(ctx)
		if err != nil {
			c.log.Info("records read failed", "err", err)
			c.pause(ctx, 500*time.Millisecond)
			continue
		}
		c.mu.Lock()
		c.view.Relist(items, epoch)
		c.mu.Unlock()
		c.log.Info("records read", "records", len(items), "revision", epoch)
		for ctx.Err() == nil {
			items, upTo, err := c.store.Watch(ctx, epoch, 10*time.Second)
			if errors.Is(err, kv.ErrCompacted) {
				c.log.Info("watch compacted, reading all records")
				break
			}
			if err != nil {
				c.log.Debug("watch failed", "err", err)
				c.pause(ctx, 300*time.Millisecond)
				continue
			}
			c.mu.Lock()
			for _, item := range items {
				c.view.ApplyItem(item)
			}
			epoch = upTo
			c.view.ReachRevision(epoch)
			c.mu.Unlock()
			c.wake()
			c.pause(ctx, watchPause)
		}
	}
}
