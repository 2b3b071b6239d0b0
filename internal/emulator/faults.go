package emulator

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Names, as scripts write them, of the faults that affect the whole world.
const (
	// faultStateOutage: the state service is down.
	faultStateOutage = "outage"
	// faultStateSlow: calls take up to 2.5 s longer to reach the state service.
	faultStateSlow = "slow"
	// faultLateAnswers: calls are executed at once, and two in five of the state service's
	// answers arrive up to 1.2 s later.
	faultLateAnswers = "late answers"
	// faultStateLossy: responses of the state service to transactions get lost, and
	// transactions are executed late or twice.
	faultStateLossy = "lossy"
	// faultLateWrites: two in five transactions get no response and are executed 2 to 12 s
	// later, after newer transactions.
	faultLateWrites = "late writes"
	// faultUnansweredWrites: two in five transactions are executed at once, but their
	// response is lost.
	faultUnansweredWrites = "unanswered writes"
	// faultNoWriteAnswered: all transactions are executed, but their responses are lost.
	faultNoWriteAnswered = "swallow"
	// faultLateHeartbeats: a copy of two in five of the workers' heartbeats arrives between
	// 2 s and one and a half lease durations later.
	faultLateHeartbeats = "late reports"
	// faultLateResponses: two in five of the responses to workers' heartbeats arrive up to 5 s
	// later; a worker drops those that arrive after its time limit.
	faultLateResponses = "late responses"
	// faultRepeatedCommands: up to three copies of two in five of the direct calls that a worker
	// has executed arrive again, 0.1 s to 4 min later.
	faultRepeatedCommands = "repeated commands"
	// faultKeptCommands: every direct call that a worker has executed is kept, and a copy of it
	// arrives again each time that RepeatCommands is called.
	faultKeptCommands = "kept commands"
	// faultStaleHeartbeats: copies of two in five of the workers' heartbeats are kept and
	// delivered to every controller when a shard gets a new fencing token.
	faultStaleHeartbeats = "reports for next"
	// faultConcurrentReads: when a job is accepted, ends or is cancelled, users query it at
	// all controllers within milliseconds, and some of them repeat its submission.
	faultConcurrentReads = "close looks"
	// faultCancelOnAccept: some of the users that read a job concurrently at its acceptance
	// cancel it at once.
	faultCancelOnAccept = "hasty users"
	// faultCancelOnEnd: two in five of the jobs that end are cancelled at that moment.
	faultCancelOnEnd = "cancel at end"
	// faultInvalidRequests: users repeat submissions, cancel jobs that are done and submit
	// jobs that cannot run.
	faultInvalidRequests = "odd requests"
	// faultCloudDown: the cloud answers every call with 503.
	faultCloudDown = "cloud"
	// faultNoCapacity: the cloud rents no machines.
	faultNoCapacity = "stingy"
	// faultHalfCapacity: the cloud rents at most half of the machines requested, rounded up.
	faultHalfCapacity = "half"
	// faultSlowBoots: most of the machines rented take five times as long to boot.
	faultSlowBoots = "slow boots"
	// faultNoBoots: the machines rented never finish booting.
	faultNoBoots = "no boots"
	// faultFastBoots: the machines rented boot within a second.
	faultFastBoots = "fast boots"
	// faultCloudLossy: responses of the cloud get lost, and some requests are executed late
	// or twice; lists of machines always arrive.
	faultCloudLossy = "lost"
)

// Names of the faults that affect one controller or zone. In scripts, a space and the name
// of the controller or zone follow.
const (
	// faultStateRefuses: the state service refuses this controller only.
	faultStateRefuses = "refuse"
	// faultSevered: a controller is disconnected from the state service and the other
	// controllers, but not from workers and users.
	faultSevered = "severed"
	// faultWorkersLost: a controller cannot reach workers, and workers' heartbeats do not
	// reach the controller.
	faultWorkersLost = "deaf"
	// faultPaused: a controller is paused while clocks go on.
	faultPaused = "freeze"
	// faultZonePartition: a zone is partitioned from everything outside it. Commands, and
	// half of the heartbeats, transactions and calls of the cloud, are held and arrive after
	// the partition.
	faultZonePartition = "zone"
	// faultPeersRefuse: messages between a controller and the other controllers are refused
	// in both directions.
	faultPeersRefuse = "alone"
)

// worldFaults are the faults that affect the whole world.
var worldFaults = []string{faultStateOutage, faultStateSlow, faultLateAnswers, faultStateLossy, faultLateWrites, faultUnansweredWrites, faultNoWriteAnswered,
	faultLateHeartbeats, faultStaleHeartbeats, faultLateResponses, faultRepeatedCommands, faultKeptCommands, faultConcurrentReads, faultCancelOnAccept, faultCancelOnEnd, faultInvalidRequests,
	faultCloudDown, faultNoCapacity, faultHalfCapacity, faultSlowBoots, faultNoBoots, faultFastBoots, faultCloudLossy}

// targetedFaults are the faults that affect one controller or zone.
var targetedFaults = []string{faultStateRefuses, faultSevered, faultWorkersLost, faultPaused, faultZonePartition, faultPeersRefuse}

// IsFault reports whether a name is that of a fault for SetFault: one of the whole world, or
// a targeted one followed by a space and one of the targets.
func IsFault(name string, targets []string) bool {
	if slices.Contains(worldFaults, name) {
		return true
	}
	fault, target, targeted := strings.Cut(name, " ")
	return targeted && slices.Contains(targetedFaults, fault) && slices.Contains(targets, target)
}

// hasFault reports whether a fault of the whole world is active. The world's lock is held by
// the caller.
func (w *World) hasFault(fault string) bool { return w.activeFaults[fault] }

// hasFaultOn reports whether a targeted fault is active for a controller or zone. The world's
// lock is held by the caller.
func (w *World) hasFaultOn(fault, target string) bool { return w.activeFaults[fault+" "+target] }

// SetFault begins or ends a fault of the whole world, or of the controller or zone that the
// name ends with, such as "severed n1". The constants in this file describe the faults. For
// the faults of machines, see SetMachineFault.
func (w *World) SetFault(name string, on bool) {
	w.mu.Lock()
	wasActive := w.activeFaults[name]
	w.activeFaults[name] = on
	w.recordEvent("%s %v", name, on)
	if wasActive != on {
		w.applyTargetedFault(name, on)
	}
	w.mu.Unlock()
	if name == faultStateOutage {
		w.State.setOutage(on)
	}
}

// applyTargetedFault applies the immediate effects of a pause that begins or ends, and of a
// zone partition that ends. The world's lock is held by the caller.
func (w *World) applyTargetedFault(name string, on bool) {
	fault, target, _ := strings.Cut(name, " ")
	switch {
	case fault == faultPaused:
		w.setPaused(target, on)
	case fault == faultZonePartition && !on:
		w.healZone(target)
	}
}

// EndFaults ends all faults, including those of machines, and leaves the cloud at least
// spare machines to rent.
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
		for _, recovery := range []string{machineResumes, machineHeals, machineTasksRecover, machineReceives, machineSends} {
			w.SetMachineFault(host, recovery)
		}
	}
}

// ActiveFaults lists the names of the active faults, sorted. Faults of machines are not among them.
func (w *World) ActiveFaults() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.DeleteFunc(slices.Sorted(maps.Keys(w.activeFaults)), func(name string) bool { return !w.activeFaults[name] })
}
