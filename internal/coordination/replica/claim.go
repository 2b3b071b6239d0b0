package replica

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// Claim is a claimed chunk of a job: its record, the version of the record that is being
// committed, and the state that the controller keeps beside them.
type Claim struct {
	Key              string
	JobID            string
	Chunk            int
	Record           *records.Claim // nil while the first version is being committed
	Version          uint64
	Pending          *records.Claim       // the version of the record that is being committed; nil: none
	Spec             *protocol.Submission // the job's description; nil until the job is read
	Evictions        map[int]time.Time    // by task to be stopped: when its eviction began
	RetryAt          time.Time            // after a failure: earliest next commit of the claim or, for an orphan, earliest next read of its job
	PreemptedFor     map[SlotKey]string   // by task preempted for another team's guarantee: the key of that team's claim
	HaltedAttempt    uint64               // the attempt of a gang that is being ended; 0: none
	CheckAt          time.Time            // earliest next reconciliation of the claim
	CompletionSeenAt time.Time            // when the first completion that is not recorded yet was observed
	UnplacedSince    time.Time            // when a pass over the queue first found no task of the claim placed

	// Written by View.Reindex alone, except specChanged, which View.SetSpec sets.
	Slots       map[SlotKey]*Slot
	Tally       Tally
	Shard       string // the shard under which the claim is indexed; empty: none
	generation  uint32 // increases with each Reindex
	specChanged bool   // Spec was replaced since the last Reindex
}

// Latest returns the version being committed, or else the committed one.
func (c *Claim) Latest() *records.Claim {
	if c.Pending != nil {
		return c.Pending
	}
	return c.Record
}

// Halted reports whether a gang's present attempt is being ended. It compares the attempt's
// number: not every owner of a gang's shards observes the end of the attempt's last task, so
// a flag could outlive its attempt and end the next one too.
func (c *Claim) Halted() bool {
	return c.Record != nil && c.HaltedAttempt != 0 && c.HaltedAttempt == c.Record.LastAttempt
}

// SortedSlots lists a claim's slots, sorted by task and host.
func (c *Claim) SortedSlots() []*Slot {
	keys := slices.SortedFunc(maps.Keys(c.Slots), func(a, b SlotKey) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), strings.Compare(a.Host, b.Host))
	})
	slots := make([]*Slot, len(keys))
	for i, key := range keys {
		slots[i] = c.Slots[key]
	}
	return slots
}

// OccupyingCount counts the tasks of a claim that use capacity. A task that its agent reports
// as exited uses none, even before its end is recorded.
func (c *Claim) OccupyingCount() int {
	count := 0
	for _, slot := range c.Slots {
		if slot.Host.Machine == nil || !slot.Exited(slot.Host.Machine) {
			count++
		}
	}
	return count
}

// PlacedCount counts the placements of a claim's committed version.
func (c *Claim) PlacedCount() int {
	if c.Record == nil {
		return 0
	}
	return len(c.Record.Placements)
}

// ReservedCount counts the placements for which a claim is charged to its team: the larger
// number of the committed version and the version being committed. Placements that the commit
// adds may exist already, and those that it removes stay if it fails.
func (c *Claim) ReservedCount() int {
	if c.Pending != nil {
		return max(c.PlacedCount(), len(c.Pending.Placements))
	}
	return c.PlacedCount()
}

// CommittedCount counts the placements that a claim has whether or not the commit in progress
// succeeds.
func (c *Claim) CommittedCount() int {
	if c.Pending != nil {
		return min(c.PlacedCount(), len(c.Pending.Placements))
	}
	return c.PlacedCount()
}

// TaskName returns the name of a placement's task.
func (c *Claim) TaskName(p *records.Placement) string {
	if slot := c.Slots[SlotKey{p.Task, p.Host}]; slot != nil {
		return slot.TaskName
	}
	return protocol.TaskName(c.JobID, p.Task)
}
