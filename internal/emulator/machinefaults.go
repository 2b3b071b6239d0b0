package emulator

import (
	"maps"
	"slices"
	"time"

	"madderslip/internal/protocol"
)

// crashedListedAsRunning is how long a machine that died is listed as running.
const crashedListedAsRunning = 30 * time.Second

// crash ends a machine at once. The cloud goes on listing it until it is returned.
func (m *Machine) crash() {
	m.crashed, m.stoppedAt = true, time.Now()
	m.dropTasks()
	delete(m.world.heldDeliveries, m.host)
	m.world.recordEvent("%s dies", m.host)
}

// reboot has a machine begin again within a moment, under its name: its tasks are
// gone, and its worker counts from the start. Late copies of what it said last come
// after that and look newer than all that it says now.
func (m *Machine) reboot() {
	w := m.world
	w.recordEvent("%s begins again", m.host)
	m.dropTasks()
	m.boots++
	m.agentEpoch, m.sequence, m.fencingToken, m.rebooting = 1, 0, 0, true
	if late := m.resendHeartbeat; late != nil {
		for range w.between(0, 3, "copies", m.host) {
			m.afterDelay(w.between(10*time.Millisecond, 9*time.Second, "copy", m.host), late)
		}
	}
	m.afterDelay(w.between(20*time.Millisecond, time.Second, "reboot", m.host), func() {
		m.rebooting, m.leaseRenewedAt = false, time.Now()
		m.wakeAgent()
	})
}

// Set changes a machine's condition: hang, resume, cut, heal, sick, slow, well,
// notice (it will be taken), take (it is taken at once), die, reboot, deaf, hears, mute,
// speaks.
func (w *World) Set(host, what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	machine := w.machines[host]
	if machine == nil || machine.removed || (machine.crashed && what != "take") {
		return
	}
	hung, cutOff := machine.hung, machine.partitioned
	switch what {
	case "hang":
		if !machine.hung {
			machine.hung = true
			machine.leaveGangsOnHang()
		}
	case "resume":
		machine.hung = false
	case "deaf", "hears":
		if machine.cannotReceive = what == "deaf"; machine.cannotReceive {
			w.recordEvent("%s: deaf", host)
		}
	case "mute", "speaks":
		if machine.cannotSend = what == "mute"; machine.cannotSend {
			w.recordEvent("%s: mute", host)
		}
	case "cut":
		machine.partitioned = true
	case "heal":
		machine.partitioned = false
	case "die":
		machine.crash()
		return
	case "reboot":
		machine.reboot()
		return
	case "sick":
		machine.failsTasks = true
	case "slow":
		machine.slowsTasks = true
	case "well":
		machine.failsTasks, machine.slowsTasks = false, false
	case "notice":
		machine.preemptionAt = time.Now().Add(20 * time.Second)
		machine.wakeAgent()
		// Half the nominal value, or one and a half times it.
		machine.afterDelay(w.between(10*time.Second, 30*time.Second, "notice", host), func() { w.recordEvent("%s taken", host); w.removeMachine(machine) })
	case "take":
		w.recordEvent("%s taken", host)
		w.removeMachine(machine)
		return
	}
	if machine.hung != hung || machine.partitioned != cutOff || what == "sick" || what == "slow" {
		w.recordEvent("%s: %s", host, what)
	}
	if (what == "resume" && hung || what == "heal" && cutOff) && !machine.hung && !machine.partitioned {
		machine.expireLease()
		w.deliverHeld(w.heldDeliveries[host])
		delete(w.heldDeliveries, host)
		machine.wakeAgent()
	}
}

// leaveGangsOnHang has gangs notice that the machine hangs; once it goes on, its own
// tasks of theirs notice it too.
func (m *Machine) leaveGangsOnHang() {
	for _, name := range slices.Sorted(maps.Keys(m.tasks)) {
		task := m.tasks[name]
		jobID, _, _ := protocol.ParseTaskName(name)
		if j := m.world.jobs[jobID]; j == nil || j.Spec.Shape != protocol.ShapeGang || j.Spec.Tasks < 2 || task.phase != protocol.TaskRunning {
			continue
		}
		m.world.notifyGangPeers(name, task)
		m.afterOnTask(name, task, m.world.Workers.GangPeerTimeout, func() {
			if task.phase == protocol.TaskRunning {
				m.exitTask(name, task, causeGangPeerLost)
			}
		})
	}
}

// machineFaults are what Set knows.
var machineFaults = []string{"hang", "resume", "cut", "heal", "sick", "slow", "well", "deaf", "hears", "mute", "speaks", "notice", "take", "die", "reboot"}

// IsMachineFault tells whether Set knows it.
func IsMachineFault(what string) bool { return slices.Contains(machineFaults, what) }
