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

// Claim is a claimed chunk of a job: its record, the version of it that is being committed,
// and what the controller remembers about it.
type Claim struct {
	Key              string
	JobID            string
	Chunk            int
	Record           *records.Claim // nil while the first version is being committed
	Version          uint64
	Pending          *records.Claim       // the version being committed; nil: none
	Spec             *protocol.Submission // the job's; nil until the job is known
	Evictions        map[int]time.Time    // tasks to be stopped, and since when
	RetryAt          time.Time            // earliest next commit after a conflict
	PreemptedFor     map[SlotKey]string   // tasks stopped for the guarantee of a job of another team
	HaltedAttempt    uint64               // gang: the attempt that is being ended; 0: none
	CheckAt          time.Time            // not reconciled before
	CompletionSeenAt time.Time            // when the first completion not recorded yet was seen
	UnplacedSince    time.Time            // since when a pass over the queue has placed none of it

	// Written by View.Reindex alone.
	Slots       map[SlotKey]*Slot
	Tally       Tally
	Shard       string // that the claim is indexed under; empty: none
	generation  uint32
	specChanged bool
}

// Latest returns the version being committed, or else the committed one.
func (c *Claim) Latest() *records.Claim {
	if c.Pending != nil {
		return c.Pending
	}
	return c.Record
}

// Halted reports whether a gang's present attempt is being ended. The attempt's number
// decides: with several owners not each of them observes the end of an attempt's last task,
// and a flag that outlived its attempt would end the next one too.
func (c *Claim) Halted() bool {
	return c.Record != nil && c.HaltedAttempt != 0 && c.HaltedAttempt == c.Record.LastAttempt
}

// SortedSlots lists a claim's slots by task and host.
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

// OccupyingCount counts the tasks of a claim that use capacity: those that have exited do
// not, though their end may be recorded later.
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

// ReservedCount counts the placements for which a claim is charged to its team. Of the
// committed version and the one being committed the larger counts: tasks on their way in
// may be there already, and tasks on their way out may stay.
func (c *Claim) ReservedCount() int {
	if c.Pending != nil {
		return max(c.PlacedCount(), len(c.Pending.Placements))
	}
	return c.PlacedCount()
}

// CommittedCount counts the placements that a claim has however the commit in progress ends.
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
