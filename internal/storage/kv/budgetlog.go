package kv

import (
	"log/slog"
	"sync"
	"time"
)

// budgetLogInterval is how often the budgets' use is logged.
const budgetLogInterval = 10 * time.Second

// priorityLabels are the priorities' names in the log.
var priorityLabels = [priorityCount]string{
	PriorityLease:      "lease",
	PriorityUser:       "user",
	PriorityClaim:      "claim",
	PriorityArrayClaim: "array",
	PriorityCompletion: "done",
	PriorityBackground: "rest",
}

// budgetUse counts the changes that transactions of one priority sent, and those that failed,
// since the use was last logged.
type budgetUse struct{ changes, failed int }

// budgetLog counts how much of the budgets each priority uses and logs it every
// budgetLogInterval, with the number of pending transactions. The log shows on-call
// engineers when the state service's budget is the bottleneck of the cluster. The lock of
// budgetLog is acquired before those of queue and batcher.
type budgetLog struct {
	log *slog.Logger

	mu       sync.Mutex
	use      [priorityCount]budgetUse // guarded by mu
	loggedAt time.Time                // guarded by mu
}

// recordSent counts the changes of a batch.
func (b *budgetLog) recordSent(batch []*Txn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range batch {
		b.use[t.Priority].changes += len(t.Ops)
	}
}

// recordFailed counts the changes of a batch that was not applied because a condition failed.
func (b *budgetLog) recordFailed(batch []*Txn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range batch {
		b.use[t.Priority].failed += len(t.Ops)
	}
}

// logIfDue logs the use and resets the counts once budgetLogInterval has passed since the
// last time. The first call only resets them.
func (b *budgetLog) logIfDue(now time.Time, queue *queue, batcher *batcher) {
	b.mu.Lock()
	defer b.mu.Unlock()
	elapsed := now.Sub(b.loggedAt)
	if elapsed < budgetLogInterval {
		return
	}
	if !b.loggedAt.IsZero() {
		waiting := queue.countByPriority()
		attrs := []any{"seconds", int(elapsed.Seconds())}
		for priority, label := range priorityLabels {
			use := b.use[priority]
			attrs = append(attrs, slog.Group(label, "changes", use.changes, "failed", use.failed, "waiting", waiting[priority]))
		}
		b.log.Info("store budget", append(attrs, "inflight", batcher.requestsInflight())...)
	}
	b.loggedAt, b.use = now, [priorityCount]budgetUse{}
}
