package emulator

import (
	"maps"
	"slices"
	"time"

	"madderslip/internal/protocol"
)

// Names, as scripts write them, of the faults of machines and of their ends.
const (
	machineHangs            = "hang"   // its processes stand still, and messages to it are held
	machineResumes          = "resume" // its processes go on
	machinePartitioned      = "cut"    // no packets get in or out; held packets arrive late
	machineHeals            = "heal"   // the partition ends
	machineFailsTasks       = "sick"   // every task that starts on it fails
	machineSlow             = "slow"   // tasks that start on it run four times as long
	machineTasksRecover     = "well"   // tasks that start on it neither fail nor are slow
	machineCannotReceive    = "deaf"   // messages to it are lost, its heartbeats arrive
	machineReceives         = "hears"  // messages to it arrive again
	machineCannotSend       = "mute"   // its heartbeats reach no controller, commands reach it
	machineSends            = "speaks" // its heartbeats arrive again
	machinePreemptionNotice = "notice" // the cloud sends a preemption notice and reclaims the machine later
	machineReclaimed        = "take"   // the cloud reclaims the machine at once
	machineCrashes          = "die"    // it stops for good, but is listed as running for a while
	machineReboots          = "reboot" // it reboots under the same name
)

// machineFaults are the names that SetMachineFault accepts.
var machineFaults = []string{machineHangs, machineResumes, machinePartitioned, machineHeals, machineFailsTasks, machineSlow, machineTasksRecover,
	machineCannotReceive, machineReceives, machineCannotSend, machineSends, machinePreemptionNotice, machineReclaimed, machineCrashes, machineReboots}

// IsMachineFault reports whether SetMachineFault accepts a name.
func IsMachineFault(name string) bool { return slices.Contains(machineFaults, name) }

// preemptionNoticePeriod is the time that a preemption notice announces until the cloud
// reclaims the machine. The actual time is between half and one and a half times that.
const preemptionNoticePeriod = 20 * time.Second

// SetMachineFault begins or ends a fault of a machine, by the name that scripts write. It has
// no effect on a removed machine; a crashed machine can only be reclaimed.
func (w *World) SetMachineFault(host, fault string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	machine := w.machines[host]
	if machine == nil || machine.removed || (machine.crashed && fault != machineReclaimed) {
		return
	}
	switch fault {
	case machineCrashes:
		machine.crash()
	case machineReboots:
		machine.reboot()
	case machinePreemptionNotice:
		machine.announcePreemption()
	case machineReclaimed:
		machine.reclaim()
	default:
		machine.setLastingFault(fault)
	}
}

// setLastingFault begins or ends a lasting fault. Once the machine is neither hung nor
// partitioned any more, it delivers the messages that were held. The world's lock is held by
// the caller.
func (m *Machine) setLastingFault(fault string) {
	w := m.world
	wasHung, wasPartitioned := m.hung, m.partitioned
	switch fault {
	case machineHangs:
		if !m.hung {
			m.hung = true
			m.notifyGangsOfHang()
		}
	case machineResumes:
		m.hung = false
	case machineCannotReceive, machineReceives:
		if m.cannotReceive = fault == machineCannotReceive; m.cannotReceive {
			w.recordEvent("%s: deaf", m.host)
		}
	case machineCannotSend, machineSends:
		if m.cannotSend = fault == machineCannotSend; m.cannotSend {
			w.recordEvent("%s: mute", m.host)
		}
	case machinePartitioned:
		m.partitioned = true
	case machineHeals:
		m.partitioned = false
	case machineFailsTasks:
		m.failsTasks = true
	case machineSlow:
		m.slowsTasks = true
	case machineTasksRecover:
		m.failsTasks, m.slowsTasks = false, false
	}
	if m.hung != wasHung || m.partitioned != wasPartitioned || fault == machineFailsTasks || fault == machineSlow {
		w.recordEvent("%s: %s", m.host, fault)
	}
	resumed := fault == machineResumes && wasHung
	healed := fault == machineHeals && wasPartitioned
	if (resumed || healed) && !m.hung && !m.partitioned {
		m.expireLease()
		w.deliverHeld(w.heldDeliveries[m.host])
		delete(w.heldDeliveries, m.host)
		m.wakeAgent()
	}
}

// notifyGangsOfHang makes the gang peers of the machine's tasks exit because the machine
// hangs; its own tasks of these gangs exit once it resumes. The world's lock is held by the
// caller.
func (m *Machine) notifyGangsOfHang() {
	for _, name := range slices.Sorted(maps.Keys(m.tasks)) {
		task := m.tasks[name]
		jobID, _, _ := protocol.ParseTaskName(name)
		job := m.world.jobs[jobID]
		if job == nil || !job.isGang() || job.Spec.Tasks < 2 || task.phase != protocol.TaskRunning {
			continue
		}
		m.world.notifyGangPeers(name, task)
		m.afterTaskDelay(name, task, m.world.Workers.GangPeerTimeout, func() { m.exitForLostPeer(name, task) })
	}
}

// announcePreemption gives the worker a preemption notice to report and reclaims the machine
// some time later. The world's lock is held by the caller.
func (m *Machine) announcePreemption() {
	m.preemptionAt = time.Now().Add(preemptionNoticePeriod)
	m.wakeAgent()
	m.afterDelay(m.world.between(preemptionNoticePeriod/2, preemptionNoticePeriod*3/2, "notice", m.host), m.reclaim)
}

// reclaim makes the cloud reclaim the machine. The world's lock is held by the caller.
func (m *Machine) reclaim() {
	m.world.recordEvent("%s taken away", m.host)
	m.world.removeMachine(m)
}

// crashedListedAsRunning is how long the cloud lists a crashed machine as running.
const crashedListedAsRunning = 30 * time.Second

// crash stops a machine for good. The cloud lists the machine until it is returned. The
// world's lock is held by the caller.
func (m *Machine) crash() {
	m.crashed, m.stoppedAt = true, time.Now()
	m.dropTasks()
	delete(m.world.heldDeliveries, m.host)
	m.world.recordEvent("%s crashes", m.host)
}

// reboot reboots a machine within a second under the same name: its tasks are lost, and its
// worker's agent epoch, sequence and fencing token start over. Up to two copies of its last
// heartbeat from before the reboot arrive later and look newer than its new heartbeats. The
// world's lock is held by the caller.
func (m *Machine) reboot() {
	w := m.world
	w.recordEvent("%s reboots", m.host)
	m.dropTasks()
	m.reboots++
	m.agentEpoch, m.sequence, m.fencingToken, m.rebooting = 1, 0, 0, true
	if resend := m.resendHeartbeat; resend != nil {
		for range w.between(0, 3, "copies", m.host) {
			m.afterDelay(w.between(10*time.Millisecond, 9*time.Second, "copy", m.host), resend)
		}
	}
	m.afterDelay(w.between(20*time.Millisecond, time.Second, "reboot", m.host), func() {
		m.rebooting, m.leaseRenewedAt = false, time.Now()
		m.wakeAgent()
	})
}
