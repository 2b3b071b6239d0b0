package emulator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"madderslip/internal/protocol"
)

// Machine is a rented machine and its worker. All fields are guarded by the world's lock.
type Machine struct {
	world       *World
	host        string
	machineType string
	zone        string
	spot        bool
	rentedAt    time.Time
	upAt        time.Time // until when it boots
	stoppedAt   time.Time // when it was removed or crashed

	removed       bool // returned or taken away by the cloud
	crashed       bool // it has stopped with all that was on it, and is listed still
	hung          bool // its processes have stopped; what is sent to it is held and comes late
	partitioned   bool // no packets in or out; what is sent is held and comes late
	cannotReceive bool // what is sent to it is lost, its heartbeats arrive
	cannotSend    bool // it reaches no controller, while commands reach it
	failsTasks    bool // every task that starts here fails
	slowsTasks    bool // tasks take four times as long
	rebooting     bool
	boots         int       // how often it has rebooted
	preemptionAt  time.Time // of its preemption notice, zero without one

	agentEpoch      uint64
	sequence        uint64 // of the latest heartbeat of the agent epoch
	fencingToken    uint64 // the highest that the worker was shown
	tasks           map[string]*taskAttempt
	cachedImages    map[string]bool
	controllerIndex int           // the turn of the controller that gets the next heartbeat
	wakeup          chan struct{} // has the agent send its next heartbeat soon
	leaseRenewedAt  time.Time
	clockDrift      time.Duration // what the worker's clock gains in 2,000 s
	resendHeartbeat func()        // sends the latest heartbeat once more; nil before the first
}

// AddMachines starts machines of the first type, not spot ones, that are up at once.
func (w *World) AddMachines(count int, zone string) {
	w.AddMachinesOfType(count, w.Types[0].Name, zone, false)
}

// AddMachinesOfType starts machines of a type that are up at once.
func (w *World) AddMachinesOfType(count int, machineType, zone string, spot bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for range count {
		w.bootMachine(machineType, zone, spot, 0)
	}
}

// bootMachine rents a machine that comes up after a while and returns its host name. The
// world's lock is held by the caller.
func (w *World) bootMachine(machineType, zone string, spot bool, after time.Duration) string {
	w.machineCount++
	machine := &Machine{
		world:           w,
		host:            fmt.Sprintf("vm-%06d", w.machineCount),
		machineType:     machineType,
		zone:            zone,
		spot:            spot,
		rentedAt:        time.Now(),
		upAt:            time.Now().Add(after),
		agentEpoch:      1,
		tasks:           make(map[string]*taskAttempt),
		cachedImages:    make(map[string]bool),
		controllerIndex: w.machineCount,
		wakeup:          make(chan struct{}, 1),
	}
	// Clocks drift apart by as much as 0.05 %.
	machine.clockDrift = time.Duration(w.drawNumber("drift", machine.host)%2001)*time.Millisecond - time.Second
	w.machines[machine.host] = machine
	w.recordEvent("%s rented: %s in %s, spot %v", machine.host, machineType, zone, spot)
	go machine.runAgent(after + time.Duration(w.machineCount)*17*time.Microsecond)
	return machine.host
}

// responsive reports whether the machine exists, runs and is not cut off by itself. The
// world's lock is held by the caller.
func (m *Machine) responsive() bool { return !m.removed && !m.crashed && !m.hung && !m.partitioned }

// booting reports whether nothing listens on the machine yet. The world's lock is held by
// the caller.
func (m *Machine) booting() bool { return m.rebooting || time.Now().Before(m.upAt) }

// holdsPackets reports whether what is sent to a machine that is not responsive arrives
// once it is. The world's lock is held by the caller.
func (m *Machine) holdsPackets() bool { return !m.removed && !m.crashed && !m.cannotReceive }

// byWorkerClock is how long a duration of the worker's own clock really takes.
func (m *Machine) byWorkerClock(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*m.clockDrift.Seconds()/2000)
}

// afterDelay does something after a while, unless the machine is removed by then. The
// world's lock is held as do is called.
func (m *Machine) afterDelay(delay time.Duration, do func()) {
	go func() {
		if wait(m.world.ctx, delay) {
			m.world.mu.Lock()
			defer m.world.mu.Unlock()
			if !m.removed {
				do()
			}
		}
	}()
}

// dropTasks loses every task of the machine, which the others of gangs notice. The world's
// lock is held by the caller.
func (m *Machine) dropTasks() {
	for _, name := range slices.Sorted(maps.Keys(m.tasks)) {
		task := m.tasks[name]
		delete(m.tasks, name)
		m.world.notifyGangPeers(name, task)
	}
}

// hasTaskOf reports whether the machine has a task of a job that has not exited. The
// world's lock is held by the caller.
func (m *Machine) hasTaskOf(jobID string) bool {
	for name, task := range m.tasks {
		if id, _, _ := protocol.ParseTaskName(name); id == jobID && task.phase != protocol.TaskExited {
			return true
		}
	}
	return false
}

// HostOf is a machine that has a task of a job, or is fetching for it: the one
// that neither hangs nor is cut off, if there is one, with the lowest name. It is empty
// without one.
func (w *World) HostOf(jobID string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	best := ""
	for _, host := range slices.Sorted(maps.Keys(w.machines)) {
		machine := w.machines[host]
		if machine.removed || !machine.hasTaskOf(jobID) {
			continue
		}
		if best == "" || w.machines[best].hung || w.machines[best].partitioned {
			best = host
		}
	}
	return best
}

// Hosts lists the machines that are rented, or the spot ones among them, in order.
func (w *World) Hosts(spotOnly bool) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var hosts []string
	for _, host := range slices.Sorted(maps.Keys(w.machines)) {
		if machine := w.machines[host]; !machine.removed && (machine.spot || !spotOnly) {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// InZone lists the machines of a zone that are rented and have not crashed, in order.
func (w *World) InZone(zone string) []string {
	return slices.DeleteFunc(w.Hosts(false), func(host string) bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		machine := w.machines[host]
		return machine.zone != zone || machine.crashed
	})
}

// RegisteredWorkers counts the machines whose worker obeys a fencing token.
func (w *World) RegisteredWorkers() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	up := 0
	for _, machine := range w.machines {
		if !machine.removed && machine.fencingToken > 0 {
			up++
		}
	}
	return up
}

// MachineTokens is, by host, the highest fencing token that each worker obeys which
// nothing keeps from being answered: its machine is well, reached by all, and has had a
// response lately.
func (w *World) MachineTokens() map[string]uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	tokens := make(map[string]uint64)
	for host, machine := range w.machines {
		inContact := machine.fencingToken > 0 && time.Since(machine.leaseRenewedAt) < 2*w.Workers.HeartbeatInterval
		if machine.responsive() && !w.hasFaultOn(faultZonePartition, machine.zone) && inContact {
			tokens[host] = machine.fencingToken
		}
	}
	return tokens
}
