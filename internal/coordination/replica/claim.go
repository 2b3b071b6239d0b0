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

// SortedSlots lists a claim's placements by task and host.
func (c *Claim) SortedSlots() []*Slot {
	slots := slices.SortedFunc(maps.Keys(c.Slots), func(a, b SlotKey) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), strings.Compare(a.Host, b.Host))
	})
	places := make([]*Slot, len(slots))
	for i, at := range slots {
		places[i] = c.Slots[at]
	}
	return places
}

// OccupyingCount counts the tasks of a claim that take room: those that have exited do not,
// though their end may be recorded later.
func (c *Claim) OccupyingCount() int {
	count := 0
	for _, slot := range c.Slots {
		if slot.Host.Machine == nil || !slot.Exited(slot.Host.Machine) {
			count++
		}
	}
	return count
}

// ReservedCount counts the placements by which a claim stands in the team's use.
func (c *Claim) ReservedCount() int {
	if c.Pending != nil {
		return max(c.PlacedCount(), len(c.Pending.Placements))
	}
	return c.PlacedCount()
}

// CommittedCount counts the placements that a claim has however the commit under way ends.
func (c *Claim) CommittedCount() int {
	if c.Pending != nil {
		return min(c.PlacedCount(), len(c.Pending.Placements))
	}
	return c.PlacedCount()
}

// TaskName is the name of a placement's task.
func (c *Claim) TaskName(p *records.Placement) string {
	if slot := c.Slots[SlotKey{p.Task, p.Host}]; slot != nil {
		return slot.TaskName
	}
	return protocol.TaskName(c.JobID, p.Task)
}

// PlacedCount counts the placements of a claim's committed version.
func (c *Claim) PlacedCount() int {
	if c.Record == nil {
		return 0
	}
	return len(c.Record.Placements)
}

// Claim is a claimed chunk; pend is the version being committed, if any.
type Claim struct {
	Key              string
	JobID            string
	Chunk            int
	Record           *records.Claim // nil while the first version is being committed
	Version          uint64
	Pending          *records.Claim
	Spec             *protocol.Submission
	Evictions        map[int]time.Time  // tasks to be stopped, and since when
	RetryAt          time.Time          // earliest next commit after a conflict
	PreemptedFor     map[SlotKey]string // tasks stopped for the guarantee of a job of another team
	HaltedAttempt    uint64             // gang: the attempt that is being ended
	CheckAt          time.Time          // not to be looked at before
	CompletionSeenAt time.Time          // when the first completion not yet booked was seen
	UnplacedSince    time.Time          // since when a pass over the queue has found none of it placed

	// Kept by reindex.
	Slots       map[SlotKey]*Slot
	generation  uint32
	Tally       Tally
	Shard       string
	specChanged bool
}

// Latest is the version being committed, or else the committed one.
func (c *Claim) Latest() *records.Claim {
	if c.Pending != nil {
		return c.Pending
	}
	return c.Record
}

// Halted tells whether a gang's present attempt is being ended. The attempt's
// number decides: with several owners not each of them sees an attempt's last
// task go, and a mark that outlived its attempt would end the next one too.
func (c *Claim) Halted() bool {
	return c.Record != nil && c.HaltedAttempt != 0 && c.HaltedAttempt == c.Record.LastAttempt
}
