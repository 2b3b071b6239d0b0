// Package recovery decides what a controller does when more has failed than
// budgets allow to mend at once: whether a zone is cut off or its machines are
// dead, who takes a dead neighbour's shard over, what the time means that a
// process has slept through, how processor time and sockets are shared out, and
// when those that are turned away should come back.
//
// All of it is decisions: what is known and the time go in, what to do comes
// out. Nothing here has a clock, a lock or a connection; the loops of
// coordination carry it out, and none of the rules depend on it being right.
package recovery

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

// LastContact is when a controller last heard from those that matter for a lease.
type LastContact struct {
	State time.Time // the state service executed a call
	Owner time.Time // the shard's owner spoke
}

// MayExtendLease tells whether a controller that does not own a shard keeps the leases
// of its machines, with the shard's token as recorded and without any order:
// when it hears neither the state service nor the owner, it is cut off from both,
// and so are the workers that turn to it. To send them back to the owner, as is
// done otherwise, lets their leases run out and with them all that they run.
func MayExtendLease(w LastContact, now time.Time, deaf time.Duration) bool {
	return now.Sub(w.State) > deaf && now.Sub(w.Owner) > deaf
}

// ColdStart is what a controller knows that has not read its records since it began.
type ColdStart struct {
	Uptime         time.Duration // for how long it has run
	HeardAnyone    bool          // state service, cloud or another controller have spoken since
	HasRemotePeers bool          // there are controllers in other zones that should have
}

// startupSettleTime is how long a controller needs to hear from others after its start,
// when all is well.
const startupSettleTime = 800 * time.Millisecond

// restartTime is how long a controller may have been away before its start.
const restartTime = 10 * time.Second

// MayExtendUnread tells whether a controller that could not read its records keeps the
// leases of the workers that turn to it, each with the token that it shows itself
// and without any order: it began behind a cut, and nobody else can.
//
// It does not know which jobs are cancelled, and an order to stop may have been
// lost with the process before it. So it does so only for as long as even a task
// that was cancelled then is gone in time once its lease runs out; and not in an
// outage of the state service alone, in which no other controller might know
// either.
func MayExtendUnread(u ColdStart, cancel, lease time.Duration) bool {
	return u.HasRemotePeers && !u.HeardAnyone && u.Uptime > startupSettleTime && u.Uptime < cancel-lease-restartTime
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
