package emulator

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Names of the faults as scripts write them. Those below are of the whole world.
const (
	// faultStateOutage: the state service is down.
	faultStateOutage = "outage"
	// faultStateSlow: the state service takes up to 2.5 s for a response.
	faultStateSlow = "slow"
	// faultStateLossy: its responses get lost, and transactions are applied late or twice.
	faultStateLossy = "lossy"
	// faultLateWrites: two in five transactions get no response and are carried out 2 to
	// 12 s later, after newer ones.
	faultLateWrites = "late writes"
	// faultUnansweredWrites: two in five transactions are carried out at once, and only
	// their response is lost.
	faultUnansweredWrites = "unanswered writes"
	// faultNoWriteAnswered: every transaction is carried out and no response arrives.
	faultNoWriteAnswered = "swallow"
	// faultLateHeartbeats: of two in five of the workers' heartbeats a copy arrives again,
	// from 2 s to well over a lease later.
	faultLateHeartbeats = "late reports"
	// faultStaleHeartbeats: copies of two in five of the workers' heartbeats are kept, and
	// reach every controller as a shard gets a new fencing token.
	faultStaleHeartbeats = "reports for next"
	// faultConcurrentReads: users ask at all controllers within milliseconds, and repeat
	// the submission, when a job was accepted, has ended or was cancelled.
	faultConcurrentReads = "close looks"
	// faultCancelOnAccept: of those that read concurrently at an acceptance some cancel at
	// once.
	faultCancelOnAccept = "hasty users"
	// faultCancelOnEnd: two in five of the jobs that end are cancelled at that moment.
	faultCancelOnEnd = "cancel at end"
	// faultInvalidRequests: users repeat submissions, cancel what is done, send what can't
	// run.
	faultInvalidRequests = "odd requests"
	// faultCloudDown: the cloud answers 503.
	faultCloudDown = "cloud"
	// faultNoCapacity: the cloud has no machines.
	faultNoCapacity = "stingy"
	// faultHalfCapacity: the cloud gives half of the machines asked for.
	faultHalfCapacity = "half"
	// faultSlowBoots: most of the machines rented take five times as long to come up.
	faultSlowBoots = "slow boots"
	// faultNoBoots: none of the machines rented ever comes up.
	faultNoBoots = "no boots"
	// faultFastBoots: all machines are up within a second.
	faultFastBoots = "fast boots"
	// faultCloudLossy: responses of the cloud get lost, and some requests are carried out
	// late.
	faultCloudLossy = "lost"
)

// Names of the faults of one controller or zone: each is followed by a space and the
// controller's or the zone's name.
const (
	// faultStateRefuses: the state service refuses one controller alone.
	faultStateRefuses = "refuse"
	// faultSevered: a controller loses the state service and the other controllers, not
	// its workers and users.
	faultSevered = "severed"
	// faultControllerDeaf: a controller reaches no worker and hears none.
	faultControllerDeaf = "deaf"
	// faultPaused: a controller stands still while clocks run on.
	faultPaused = "freeze"
	// faultZonePartition: a zone is cut off from everything; what is sent across is held
	// and arrives afterwards.
	faultZonePartition = "zone"
	// faultPeersRefuse: the other controllers reach a controller as little as it reaches
	// them.
	faultPeersRefuse = "alone"
)

// worldFaults are the faults of the whole world.
var worldFaults = []string{faultStateOutage, faultStateSlow, faultStateLossy, faultLateWrites, faultUnansweredWrites, faultNoWriteAnswered,
	faultLateHeartbeats, faultStaleHeartbeats, faultConcurrentReads, faultCancelOnAccept, faultCancelOnEnd, faultInvalidRequests,
	faultCloudDown, faultNoCapacity, faultHalfCapacity, faultSlowBoots, faultNoBoots, faultFastBoots, faultCloudLossy}

// targetedFaults are the faults of one controller or zone.
var targetedFaults = []string{faultStateRefuses, faultSevered, faultControllerDeaf, faultPaused, faultZonePartition, faultPeersRefuse}

// IsFault reports whether SetFault knows a name. A fault of one controller or zone is
// known for each of the targets.
func IsFault(name string, targets []string) bool {
	if slices.Contains(worldFaults, name) {
		return true
	}
	fault, target, targeted := strings.Cut(name, " ")
	return targeted && slices.Contains(targetedFaults, fault) && slices.Contains(targets, target)
}

// hasFault reports whether a fault of the whole world is on. The world's lock is held by
// the caller.
func (w *World) hasFault(fault string) bool { return w.activeFaults[fault] }

// hasFaultOn reports whether a fault of one controller or zone is on. The world's lock is
// held by the caller.
func (w *World) hasFaultOn(fault, target string) bool { return w.activeFaults[fault+" "+target] }

// SetFault begins or ends a fault of the whole world, or of the one controller or zone
// that its name ends in, such as "severed n1"; the constants of this file say what each
// does. Faults of machines are SetMachineFault's.
func (w *World) SetFault(name string, on bool) {
	w.mu.Lock()
	was := w.activeFaults[name]
	w.activeFaults[name] = on
	w.recordEvent("%s %v", name, on)
	if was != on {
		w.applyTargetedFault(name, on)
	}
	w.mu.Unlock()
	if name == faultStateOutage {
		w.State.setOutage(on)
	}
}

// applyTargetedFault does what the beginning and the end of a pause or partition does at
// once. The world's lock is held by the caller.
func (w *World) applyTargetedFault(name string, on bool) {
	fault, target, _ := strings.Cut(name, " ")
	switch {
	case fault == faultPaused:
		w.setPaused(target, on)
	case fault == faultZonePartition && !on:
		w.healZone(target)
	}
}

// EndFaults ends all faults, those of machines too, and leaves the cloud at least so many
// machines to rent.
func (w *World) EndFaults(spare int) {
	w.mu.Lock()
	w.spareMachines, w.faultsEndedAt = max(w.spareMachines, spare), time.Now()
	faults := slices.Sorted(maps.Keys(w.activeFaults))
	hosts := slices.Sorted(maps.Keys(w.machines))
	w.mu.Unlock()
	for _, name := range faults {
		w.SetFault(name, false)
	}
	for _, host := range hosts {
		for _, what := range []string{machineResumes, machineHeals, machineWell, machineReceives, machineSends} {
			w.SetMachineFault(host, what)
		}
	}
}

// ActiveFaults lists the faults that are on, in order.
func (w *World) ActiveFaults() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.DeleteFunc(slices.Sorted(maps.Keys(w.activeFaults)), func(name string) bool { return !w.activeFaults[name] })
}
