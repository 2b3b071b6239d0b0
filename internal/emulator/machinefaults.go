package emulator

import (
	"maps"
	"slices"
	"time"

	"madderslip/internal/protocol"
)

// Names of what scripts have happen to a machine.
const (
	machineHangs          = "hang"   // its processes stop, and what is sent to it is held
	machineResumes        = "resume" // it hangs no more
	machinePartitioned    = "cut"    // no packets get in or out; they are held
	machineHeals          = "heal"   // it is cut off no more
	machineFailsTasks     = "sick"   // every task that starts on it fails
	machineSlow           = "slow"   // its tasks take four times as long
	machineWell           = "well"   // it neither fails tasks nor slows them
	machineCannotReceive  = "deaf"   // what is sent to it is lost, its heartbeats arrive
	machineReceives       = "hears"  // it receives again
	machineCannotSend     = "mute"   // its heartbeats reach nobody, commands reach it
	machineSends          = "speaks" // it sends again
	machinePreemptionSoon = "notice" // the cloud announces that it takes it away
	machineTaken          = "take"   // the cloud takes it away at once
	machineCrashes        = "die"    // it stops for good and is listed as running for a while
	machineReboots        = "reboot" // it begins again under its name
)

// machineFaults are what SetMachineFault knows.
var machineFaults = []string{machineHangs, machineResumes, machinePartitioned, machineHeals, machineFailsTasks, machineSlow, machineWell,
	machineCannotReceive, machineReceives, machineCannotSend, machineSends, machinePreemptionSoon, machineTaken, machineCrashes, machineReboots}

// IsMachineFault reports whether SetMachineFault knows a name.
func IsMachineFault(what string) bool { return slices.Contains(machineFaults, what) }

// preemptionNotice is how long before it takes a machine away the cloud says that it
// does. It keeps to half of that or up to one and a half times it.
const preemptionNotice = 20 * time.Second

// SetMachineFault begins or ends a fault of a machine, by the name that scripts give it. A
// machine that was returned has no faults, one that crashed can only be taken away.
func (w *World) SetMachineFault(host, what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	machine := w.machines[host]
	if machine == nil || machine.removed || (machine.crashed && what != machineTaken) {
		return
	}
	switch what {
	case machineCrashes:
		machine.crash()
	case machineReboots:
		machine.reboot()
	case machinePreemptionSoon:
		machine.announcePreemption()
	case machineTaken:
		machine.take()
	default:
		machine.setCondition(what)
	}
}

// setCondition begins or ends a fault that lasts, and delivers what was held back by one
// that ends.
func (m *Machine) setCondition(what string) {
	w := m.world
	wasHung, wasPartitioned := m.hung, m.partitioned
	switch what {
	case machineHangs:
		if !m.hung {
			m.hung = true
			m.leaveGangsOnHang()
		}
	case machineResumes:
		m.hung = false
	case machineCannotReceive, machineReceives:
		if m.cannotReceive = what == machineCannotReceive; m.cannotReceive {
			w.recordEvent("%s: deaf", m.host)
		}
	case machineCannotSend, machineSends:
		if m.cannotSend = what == machineCannotSend; m.cannotSend {
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
	case machineWell:
		m.failsTasks, m.slowsTasks = false, false
	}
	if m.hung != wasHung || m.partitioned != wasPartitioned || what == machineFailsTasks || what == machineSlow {
		w.recordEvent("%s: %s", m.host, what)
	}
	resumed := what == machineResumes && wasHung
	healed := what == machineHeals && wasPartitioned
	if (resumed || healed) && !m.hung && !m.partitioned {
		m.expireLease()
		w.deliverHeld(w.heldDeliveries[m.host])
		delete(w.heldDeliveries, m.host)
		m.wakeAgent()
	}
}

// leaveGangsOnHang has gangs notice that the machine hangs; once it goes on, its own
// tasks of theirs notice it too. The world's lock is held by the caller.
func (m *Machine) leaveGangsOnHang() {
	for _, name := range slices.Sorted(maps.Keys(m.tasks)) {
		task := m.tasks[name]
		jobID, _, _ := protocol.ParseTaskName(name)
		job := m.world.jobs[jobID]
		if job == nil || !job.isGang() || job.Spec.Tasks < 2 || task.phase != protocol.TaskRunning {
			continue
		}
		m.world.notifyGangPeers(name, task)
		m.afterOnTask(name, task, m.world.Workers.GangPeerTimeout, func() { m.exitForLostPeer(name, task) })
	}
}

// announcePreemption has the worker report a preemption notice, and the machine taken
// away some time after. The world's lock is held by the caller.
func (m *Machine) announcePreemption() {
	m.preemptionAt = time.Now().Add(preemptionNotice)
	m.wakeAgent()
	m.afterDelay(m.world.between(preemptionNotice/2, preemptionNotice*3/2, "notice", m.host), m.take)
}

// take has the cloud take the machine away. The world's lock is held by the caller.
func (m *Machine) take() {
	m.world.recordEvent("%s taken away", m.host)
	m.world.removeMachine(m)
}

// crashedListedAsRunning is how long a machine that crashed is listed as running.
const crashedListedAsRunning = 30 * time.Second

// crash ends a machine at once. The cloud goes on listing it until it is returned. The
// world's lock is held by the caller.
func (m *Machine) crash() {
	m.crashed, m.stoppedAt = true, time.Now()
	m.dropTasks()
	delete(m.world.heldDeliveries, m.host)
	m.world.recordEvent("%s crashes", m.host)
}

// reboot has a machine begin again within a moment, under its name: its tasks are
// gone, and its worker counts from the start. Late copies of its last heartbeat come
// after that and look newer than all that it sends now. The world's lock is held by the
// caller.
func (m *Machine) reboot() {
	w := m.world
	w.recordEvent("%s reboots", m.host)
	m.dropTasks()
	m.boots++
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
