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
	upAt        time.Time // when it has booted
	stoppedAt   time.Time // when it was removed or crashed

	removed       bool // returned, or reclaimed by the cloud
	crashed       bool // stopped for good and without its tasks, but still listed by the cloud
	hung          bool // its processes stand still; messages to it are held and arrive late
	partitioned   bool // no packets get in or out; held packets arrive late
	cannotReceive bool // messages to it are lost, its heartbeats arrive
	cannotSend    bool // its heartbeats reach no controller, commands reach it
	failsTasks    bool // every task that starts on it fails
	slowsTasks    bool // tasks that start on it run four times as long
	rebooting     bool
	reboots       int       // number of reboots
	preemptionAt  time.Time // the announced time of its preemption; zero without a notice

	agentEpoch      uint64
	sequence        uint64 // sequence number of the latest heartbeat in this agent epoch
	fencingToken    uint64 // the highest fencing token that the worker has received
	tasks           map[string]*taskAttempt
	cachedImages    map[string]bool
	controllerIndex int           // selects, in rotation, the controller that gets the next heartbeat
	wakeup          chan struct{} // makes the agent send its next heartbeat soon
	leaseRenewedAt  time.Time
	tokenWokeAt     time.Time     // when a higher fencing token last made the agent report soon
	clockDrift      time.Duration // how much longer 2,000 s on the worker's clock take in real time
	keptCommands    []func()      // each delivers a copy of a direct call that the worker has executed
	resendHeartbeat func()        // delivers the latest heartbeat once more; nil before the first heartbeat
}

// AddMachines adds on-demand machines of the first type that have already booted.
func (w *World) AddMachines(count int, zone string) {
	w.AddMachinesOfType(count, w.Types[0].Name, zone, false)
}

// AddMachinesOfType adds machines of a type that have already booted.
func (w *World) AddMachinesOfType(count int, machineType, zone string, spot bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for range count {
		w.bootMachine(machineType, zone, spot, 0)
	}
}

// bootMachine rents a machine that boots within the given time, and returns its host name.
// The world's lock is held by the caller.
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
	// Each worker's clock drifts by up to 0.05 %.
	machine.clockDrift = time.Duration(w.drawNumber("drift", machine.host)%2001)*time.Millisecond - time.Second
	w.machines[machine.host] = machine
	w.recordEvent("%s rented: %s in %s, spot %v", machine.host, machineType, zone, spot)
	go machine.runAgent(after + time.Duration(w.machineCount)*17*time.Microsecond)
	return machine.host
}

// responsive reports whether the machine exists, runs and is not partitioned on its own;
// partitions of whole zones do not count. The world's lock is held by the caller.
func (m *Machine) responsive() bool { return !m.removed && !m.crashed && !m.hung && !m.partitioned }

// booting reports whether the machine is booting or rebooting, so that nothing listens on
// it. The world's lock is held by the caller.
func (m *Machine) booting() bool { return m.rebooting || time.Now().Before(m.upAt) }

// holdsPackets reports whether messages to the machine, while it is not responsive, are held
// and arrive once it is responsive again. The world's lock is held by the caller.
func (m *Machine) holdsPackets() bool { return !m.removed && !m.crashed && !m.cannotReceive }

// byWorkerClock returns the real time that a duration on the worker's clock takes.
func (m *Machine) byWorkerClock(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*m.clockDrift.Seconds()/2000)
}

// afterDelay calls action after a delay, unless the machine is removed by then. The world's
// lock is held during the call.
func (m *Machine) afterDelay(delay time.Duration, action func()) {
	go func() {
		if wait(m.world.ctx, delay) {
			m.world.mu.Lock()
			defer m.world.mu.Unlock()
			if !m.removed {
				action()
			}
		}
	}()
}

// dropTasks deletes every task of the machine and notifies the peers of those that belong to
// gangs. The world's lock is held by the caller.
func (m *Machine) dropTasks() {
	for _, name := range slices.Sorted(maps.Keys(m.tasks)) {
		task := m.tasks[name]
		delete(m.tasks, name)
		m.world.notifyGangPeers(name, task)
	}
}

// hasTaskOf reports whether the machine has a task of a job, and that task has not exited.
// The world's lock is held by the caller.
func (m *Machine) hasTaskOf(jobID string) bool {
	for name, task := range m.tasks {
		if id, _, _ := protocol.ParseTaskName(name); id == jobID && task.phase != protocol.TaskExited {
			return true
		}
	}
	return false
}

// HostOf returns a host that has a task of a job which has not exited, also one that still
// fetches its image: the first by name that is neither hung nor partitioned, or else the last
// by name. It returns "" if no host has such a task.
func (w *World) HostOf(jobID string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	chosen := ""
	for _, host := range slices.Sorted(maps.Keys(w.machines)) {
		machine := w.machines[host]
		if machine.removed || !machine.hasTaskOf(jobID) {
			continue
		}
		if chosen == "" || w.machines[chosen].hung || w.machines[chosen].partitioned {
			chosen = host
		}
	}
	return chosen
}

// Hosts lists the rented machines, or only the spot machines among them, ordered by host.
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

// InZone lists the rented machines of a zone that have not crashed, ordered by host.
func (w *World) InZone(zone string) []string {
	return slices.DeleteFunc(w.Hosts(false), func(host string) bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		machine := w.machines[host]
		return machine.zone != zone || machine.crashed
	})
}

// RegisteredWorkers counts the rented machines whose worker has received a fencing token.
func (w *World) RegisteredWorkers() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	registered := 0
	for _, machine := range w.machines {
		if !machine.removed && machine.fencingToken > 0 {
			registered++
		}
	}
	return registered
}

// MachineTokens returns, by host, the fencing token of each worker that no fault keeps from
// controllers' responses: its machine is responsive, its zone is not partitioned, and a
// controller has renewed its lease within the last two heartbeat intervals.
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
