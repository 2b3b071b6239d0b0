package health

import "time"

// MachineSilence is what an owner knows of one of its machines.
type MachineSilence struct {
	Zone   string
	Silent time.Duration // since it gave the last sign of life
}

// PeerStatus is a controller as another one sees it.
type PeerStatus struct {
	Zone string
	Live bool // its lease holds, or it has spoken just now
}

// minMachines is how many machines it takes to speak of a zone.
const minMachines = 3

// PartitionedZones tells which zones seem to be cut off from everything, as one
// controller sees it: nearly all of the machines it knows there have been silent
// for longer than a beat, no controller there is live, and machines elsewhere are
// heard, so that the fault is not its own. A zone's machines hardly die all
// together with its controllers; behind a cut they go on working.
//
// Its own zone is never taken for cut off: whoever is inside a cut sees the rest
// of the world silent.
func PartitionedZones(own string, signs []MachineSilence, beat time.Duration, controllers []PeerStatus) map[string]bool {
	type count struct{ silent, total int }
	zones := make(map[string]count)
	heard, elsewhere := make(map[string]int), 0
	for _, s := range signs {
		c := zones[s.Zone]
		c.total++
		if s.Silent > beat {
			c.silent++
		} else {
			heard[s.Zone]++
			elsewhere++
		}
		zones[s.Zone] = c
	}
	cut := make(map[string]bool)
	for zone, c := range zones {
		if zone == own || c.total < minMachines || c.silent*10 < c.total*8 || elsewhere-heard[zone] < minMachines {
			continue
		}
		witnessed := false
		for _, w := range controllers {
			witnessed = witnessed || (w.Zone == zone && w.Live)
		}
		if !witnessed {
			cut[zone] = true
		}
	}
	return cut
}

// FenceDelay is how long a machine may be silent before it is given up for lost.
// Behind a cut its work most likely goes on, so it is given the patience of a
// cut; once that is over, the zone is not waited for any longer.
func FenceDelay(usual, patience time.Duration, cut bool) time.Duration {
	if cut {
		return max(usual, patience)
	}
	return usual
}
