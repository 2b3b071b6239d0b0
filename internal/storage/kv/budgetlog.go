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

// budgetUse is what one priority has used of the budgets since it was last logged.
type budgetUse struct{ changes, failed int }

// budgetLog counts what each priority uses of the budgets and logs it every
// budgetLogInterval, with what waits. On-call people see here that the state service's
// budget is what holds the cluster up. Its lock is taken before those of queue and batcher.
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

// recordFailed counts the changes of a batch that was not carried out since a condition
// failed.
func (b *budgetLog) recordFailed(batch []*Txn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range batch {
		b.use[t.Priority].failed += len(t.Ops)
	}
}

// logIfDue logs the use since it was last logged, and begins to count anew. The first call
// only does the latter.
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
