package health

import "time"

// MachineSilence is how long one machine of a zone has been silent.
type MachineSilence struct {
	Zone   string
	Silent time.Duration // time since the machine's last heartbeat or answer to a probe
}

// PeerStatus is the state of another controller, as the calling controller observes it.
type PeerStatus struct {
	Zone string
	Live bool // the controller's lease is valid, or the controller sent a message within the length of a lease
}

const (
	// minMachines is the fewest machines from which the state of a zone or shard is inferred.
	minMachines = 3
	// silentTenths is how many tenths of the machines have to be silent for all of them to
	// count as silent.
	silentTenths = 8
)

// mostlySilent reports whether there are at least minMachines machines and nearly all of
// them are silent.
func mostlySilent(silent, total int) bool {
	return total >= minMachines && silent*10 >= total*silentTenths
}

// PartitionedZones returns the zones that seem to be partitioned from all others, as one
// controller observes them. A zone is listed if all of these conditions hold:
//
//   - nearly all of its machines have been silent for longer than timeout;
//   - no controller in the zone is live;
//   - at least minMachines machines of other zones are not silent, so that the fault is not
//     in the caller's own links;
//   - the zone is not ownZone: to a controller inside a partition all other zones look
//     silent.
//
// The machines of a zone rarely fail all at once together with its controllers, whereas
// behind a partition they continue to run tasks. So the caller waits longer before it fences
// them (see FenceDelay).
func PartitionedZones(ownZone string, machines []MachineSilence, timeout time.Duration, controllers []PeerStatus) map[string]bool {
	zones, responsiveTotal := countByZone(machines, timeout)
	partitioned := make(map[string]bool)
	for zone, c := range zones {
		responsiveElsewhere := responsiveTotal - c.responsive
		if zone == ownZone || !mostlySilent(c.silent, c.total()) || responsiveElsewhere < minMachines {
			continue
		}
		if !hasLiveController(zone, controllers) {
			partitioned[zone] = true
		}
	}
	return partitioned
}

// zoneCount counts the machines of a zone: those silent for longer than the timeout, and
// the others.
type zoneCount struct{ silent, responsive int }

func (c zoneCount) total() int { return c.silent + c.responsive }

// countByZone counts the machines of each zone, and over all zones those that are not silent
// for longer than timeout.
func countByZone(machines []MachineSilence, timeout time.Duration) (zones map[string]zoneCount, responsive int) {
	zones = make(map[string]zoneCount)
	for _, m := range machines {
		c := zones[m.Zone]
		if m.Silent > timeout {
			c.silent++
		} else {
			c.responsive++
			responsive++
		}
		zones[m.Zone] = c
	}
	return zones, responsive
}

// hasLiveController reports whether a live controller runs in the zone.
func hasLiveController(zone string, controllers []PeerStatus) bool {
	for _, c := range controllers {
		if c.Zone == zone && c.Live {
			return true
		}
	}
	return false
}

// FenceDelay returns how long a machine may be silent before it is fenced: usual, or
// partitionDelay if that is longer and the machine's zone is partitioned. Behind a partition
// the machine's tasks most likely continue to run; partitionDelay bounds how long they run
// before the machine is fenced.
func FenceDelay(usual, partitionDelay time.Duration, partitioned bool) time.Duration {
	if partitioned {
		return max(usual, partitionDelay)
	}
	return usual
}
