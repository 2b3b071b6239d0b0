package controller

import (
	"context"
	"errors"
	"time"

	"madderslip/internal/storage/kv"
)

const (
	// watchPause is the time between two watches. Each watch uses a request of the budget,
	// and controllers send one another urgent changes directly.
	watchPause      = 90 * time.Millisecond
	watchTimeout    = 10 * time.Second // how long a watch waits for changes
	watchRetryPause = 300 * time.Millisecond
	listRetryPause  = 500 * time.Millisecond
)

// watchLoop keeps the view up to date: it reads all records and then applies their changes. It
// reads all records again when the next changes have been compacted.
func (c *Controller) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		revision, err := c.readRecords(ctx)
		if err != nil {
			c.log.Info("records read failed", "err", err)
			c.pause(ctx, listRetryPause)
			continue
		}
		c.followChanges(ctx, revision)
	}
}

// readRecords reads all records, applies each page of them to the view, and returns the revision up
// to which the view is complete. After an error the view keeps the pages that were read.
func (c *Controller) readRecords(ctx context.Context) (uint64, error) {
	sentAt := time.Now()
	c.mu.Lock()
	relisting := c.view.BeginRelisting()
	c.mu.Unlock()
	count := 0
	revision, err := c.store.List(ctx, func(page []kv.Item) {
		c.mu.Lock()
		defer c.mu.Unlock()
		relisting.Apply(page)
		count += len(page)
	})
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	relisting.Finish(revision)
	c.view.CompleteAt = sentAt
	c.mu.Unlock()
	c.log.Info("records read", "records", count, "revision", revision)
	return revision, nil
}

// followChanges applies the changes after a revision until the next ones are compacted or the
// context ends.
func (c *Controller) followChanges(ctx context.Context, revision uint64) {
	for ctx.Err() == nil {
		sentAt := time.Now()
		items, upTo, err := c.store.Watch(ctx, revision, watchTimeout)
		if errors.Is(err, kv.ErrCompacted) {
			c.log.Info("watch compacted, reading all records")
			return
		}
		if err != nil {
			c.log.Debug("watch failed", "err", err)
			c.pause(ctx, watchRetryPause)
			continue
		}
		c.mu.Lock()
		for _, item := range items {
			c.view.ApplyItem(item)
		}
		revision = upTo
		c.view.ReachRevision(revision)
		c.view.CompleteAt = sentAt
		c.mu.Unlock()
		c.wake()
		c.pause(ctx, watchPause)
	}
}
