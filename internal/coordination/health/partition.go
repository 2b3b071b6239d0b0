package health

import "time"

// MachineSilence is how long one machine of a zone has been silent.
type MachineSilence struct {
	Zone   string
	Silent time.Duration // since the last sign of life
}

// PeerStatus is the state of another controller, as seen by the one that decides.
type PeerStatus struct {
	Zone string
	Live bool // its lease holds, or a message of it has just arrived
}

const (
	// minMachines is the fewest machines from which the state of a zone or shard is inferred.
	minMachines = 3
	// silentTenths is how many tenths of the machines have to be silent for all of them to
	// count as silent.
	silentTenths = 8
)

// mostlySilent reports whether there are enough machines to judge by and nearly all of them
// are silent.
func mostlySilent(silent, total int) bool {
	return total >= minMachines && silent*10 >= total*silentTenths
}

// PartitionedZones returns the zones that seem to be cut off from everything, as one
// controller sees it. A zone is listed if all of this holds:
//
//   - nearly all of its machines have been silent for longer than timeout;
//   - no controller in it is live;
//   - machines of other zones are heard, so that the fault is not the caller's;
//   - it is not ownZone: from inside a partition all other zones look silent.
//
// The machines of a zone rarely fail all at once together with its controllers, whereas
// behind a partition they go on working. So the caller gives them more time (FenceDelay).
func PartitionedZones(ownZone string, machines []MachineSilence, timeout time.Duration, controllers []PeerStatus) map[string]bool {
	zones, heardTotal := countByZone(machines, timeout)
	partitioned := make(map[string]bool)
	for zone, c := range zones {
		heardElsewhere := heardTotal - c.heard
		if zone == ownZone || !mostlySilent(c.silent, c.total()) || heardElsewhere < minMachines {
			continue
		}
		if !hasLiveController(zone, controllers) {
			partitioned[zone] = true
		}
	}
	return partitioned
}

// zoneCount counts the machines of a zone.
type zoneCount struct{ silent, heard int }

func (c zoneCount) total() int { return c.silent + c.heard }

// countByZone counts the machines of each zone, and those of all zones that have been heard
// within timeout.
func countByZone(machines []MachineSilence, timeout time.Duration) (zones map[string]zoneCount, heard int) {
	zones = make(map[string]zoneCount)
	for _, m := range machines {
		c := zones[m.Zone]
		if m.Silent > timeout {
			c.silent++
		} else {
			c.heard++
			heard++
		}
		zones[m.Zone] = c
	}
	return zones, heard
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
// patience if that is longer and the machine's zone is partitioned. Behind a partition the
// machine's tasks most likely go on; after patience the zone is not waited for any longer.
func FenceDelay(usual, patience time.Duration, partitioned bool) time.Duration {
	if partitioned {
		return max(usual, patience)
	}
	return usual
}
