package placement

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"madderslip/internal/protocol"
)

// overdueDelay is the delay, from now, that is assumed for a boot or the end of a task if its
// expected time has passed.
const overdueDelay = time.Second

// futureSlot is capacity for one task that a machine has from freeAt on.
type futureSlot struct {
	capacity *Capacity
	freeAt   time.Time // when the capacity becomes free
	readyAt  time.Time // when the capacity is free and the machine has fetched the job's image
}

// Reserve reserves the machines on which the given number of a job's tasks can start together
// at the earliest time, the fetch of the image included. It returns these machines and that
// time, or no machines if there are not enough.
func Reserve(spec *protocol.Submission, jobID string, capacities []*Capacity, zones *ZoneConstraint, tasks int, now time.Time) (reserved []*Capacity, start time.Time) {
	var best []futureSlot
	for _, slots := range slotsByZone(spec, jobID, capacities, zones, tasks, now) {
		if len(slots) < tasks {
			continue
		}
		slices.SortFunc(slots, func(a, b futureSlot) int {
			return cmp.Or(a.readyAt.Compare(b.readyAt), strings.Compare(a.capacity.Host, b.capacity.Host))
		})
		slots = slots[:tasks]
		end := slots[tasks-1].readyAt
		if best == nil || end.Before(start) || (end.Equal(start) && slots[0].capacity.Zone < best[0].capacity.Zone) {
			best, start = slots, end
		}
	}
	perMachine := make(map[*Capacity]int)
	for _, slot := range best {
		if perMachine[slot.capacity]++; perMachine[slot.capacity] == 1 {
			reserved = append(reserved, slot.capacity)
		}
	}
	for _, slot := range best {
		// The image is fetched just in time for start. Of a machine's slots the last one
		// determines the reservation.
		from := slot.freeAt
		if latest := start.Add(-slot.capacity.ImagePullTime(spec)); latest.After(from) {
			from = latest
		}
		slot.capacity.ReserveFor(spec, jobID, perMachine[slot.capacity], from)
	}
	return reserved, start
}

// slotsByZone lists the future slots of all machines that a job may use, by zone if the job's
// tasks must be in one zone, otherwise all under the key "".
func slotsByZone(spec *protocol.Submission, jobID string, capacities []*Capacity, zones *ZoneConstraint, limit int, now time.Time) map[string][]futureSlot {
	slots := make(map[string][]futureSlot)
	for _, capacity := range capacities {
		from, available := availableFrom(capacity, now)
		if !available || !isReservable(spec, jobID, capacity, zones) {
			continue
		}
		zone := ""
		if spec.SameZone {
			zone = capacity.Zone
		}
		slots[zone] = appendFutureSlots(slots[zone], spec, capacity, limit, from)
	}
	return slots
}

// availableFrom returns the time from which a machine can be used, and reports whether the
// machine is usable or booting. Booting machines count, because otherwise arrays take the
// first machines that boot while a gang waits for the last one.
func availableFrom(capacity *Capacity, now time.Time) (time.Time, bool) {
	switch {
	case capacity.Usable:
		return now, true
	case capacity.BootsAt.IsZero():
		return time.Time{}, false
	case capacity.BootsAt.Before(now):
		return now.Add(overdueDelay), true
	}
	return capacity.BootsAt, true
}

// isReservable reports whether a machine may be reserved for a job. A machine where the job
// has recently failed must not be reserved: the job cannot start there for a while, and its
// reservation would keep all other jobs from the machine meanwhile.
func isReservable(spec *protocol.Submission, jobID string, capacity *Capacity, zones *ZoneConstraint) bool {
	return Allowed(spec, capacity.TypeName, capacity.Zone, capacity.Spot) && zones.Permits(capacity.Zone) &&
		capacity.Reservation.JobID == "" && FitsEmpty(spec, capacity.Type) && !capacity.AvoidedBy[jobID]
}

// ReserveFor reserves capacity for the given number of a job's tasks from a time on. From then
// on, tasks of other jobs may use the rest of the free capacity regardless of their run time.
func (c *Capacity) ReserveFor(spec *protocol.Submission, jobID string, tasks int, from time.Time) {
	spare := c.Free.Minus(spec, tasks)
	for _, release := range c.Releases {
		if !release.At.After(from) {
			spare = spare.Plus(release.Spec)
		}
	}
	c.Reservation = Reservation{JobID: jobID, From: from, Spare: spare}
}

// appendFutureSlots appends the times at which a machine's running tasks will have released
// capacity for one task, for two tasks, and so on, up to a limit.
func appendFutureSlots(slots []futureSlot, spec *protocol.Submission, capacity *Capacity, limit int, now time.Time) []futureSlot {
	free, at := capacity.Free, now
	pull := capacity.ImagePullTime(spec)
	for next, found := 0, 0; found < limit; {
		if free.Fits(spec) {
			slots = append(slots, futureSlot{capacity, at, at.Add(pull)})
			free = free.Minus(spec, 1)
			found++
			continue
		}
		if next == len(capacity.Releases) {
			break
		}
		release := capacity.Releases[next]
		next++
		free = free.Plus(release.Spec)
		if at = release.At; at.Before(now) {
			at = now.Add(overdueDelay)
		}
	}
	return slots
}

// ShortestImagePull returns the shortest time in which a machine that may run a job fetches
// the job's image, or 0 if there is no such machine.
func ShortestImagePull(spec *protocol.Submission, capacities []*Capacity, zones *ZoneConstraint) time.Duration {
	shortest := time.Duration(-1)
	for _, capacity := range capacities {
		if !capacity.Accepts(spec, zones) || !FitsEmpty(spec, capacity.Type) {
			continue
		}
		if pull := capacity.ImagePullTime(spec); shortest < 0 || pull < shortest {
			shortest = pull
		}
	}
	return max(shortest, 0)
}
