package emulator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"madderslip/internal/protocol"
)

// Rented lists the machines that are rented now.
func (w *World) Rented() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for _, host := range slices.Sorted(maps.Keys(w.machines)) {
		if !w.machines[host].removed {
			out = append(out, host)
		}
	}
	return out
}

// InZone lists the machines of a zone that are rented and alive.
func (w *World) InZone(zone string) []string {
	return slices.DeleteFunc(w.Hosts(false), func(host string) bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		m := w.machines[host]
		return m.zone != zone || m.crashed
	})
}

// Up counts the machines whose worker obeys a token.
func (w *World) Up() int {
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

// Machine is a rented machine and its worker.
type Machine struct {
	world                   *World
	host, machineType, zone string
	spot                    bool
	rentedAt, upAt          time.Time
	stoppedAt               time.Time
	removed, hung           bool
	crashed                 bool // it has stopped with all that was on it, and is listed still
	cannotReceive           bool // what is sent to it is lost, its reports arrive
	cannotSend              bool // it reaches no controller, while direct commands reach it
	partitioned             bool // no packets in or out; what is sent is held and comes late
	failsTasks              bool // every task that starts here fails
	slowsTasks              bool // tasks take four times as long
	preemptionAt            time.Time
	agentEpoch, sequence    uint64
	fencingToken            uint64
	tasks                   map[string]*taskAttempt
	cachedImages            map[string]bool
	controllerIndex         int
	wakeup                  chan struct{}
	leaseRenewedAt          time.Time
	clockDrift              time.Duration // what the worker's clock gains in 2,000 s
	rebooting               bool          // it is beginning again
	boots                   int           // how often it has
	resendHeartbeat         func()        // sends the latest report once more
}

// AddMachines starts machines that are up at once.
func (w *World) AddMachines(count int, zone string) { w.AddKind(count, w.Types[0].Name, zone, false) }

// AddKind starts machines of a kind that are up at once.
func (w *World) AddKind(count int, machineType, zone string, spot bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for range count {
		w.bootMachine(machineType, zone, spot, 0)
	}
}

func (w *World) bootMachine(typ, zone string, spot bool, after time.Duration) string {
	w.machineCount++
	machine := &Machine{world: w, host: fmt.Sprintf("vm-%06d", w.machineCount), machineType: typ, zone: zone, spot: spot, rentedAt: time.Now(), upAt: time.Now().Add(after), agentEpoch: 1,
		tasks: make(map[string]*taskAttempt), cachedImages: make(map[string]bool), wakeup: make(chan struct{}, 1), controllerIndex: w.machineCount}
	// Clocks drift apart by as much as 0.05 %.
	machine.clockDrift = time.Duration(w.roll("drift", machine.host)%2001)*time.Millisecond - time.Second
	w.machines[machine.host] = machine
	w.recordEvent("%s rented: %s in %s, cheap %v", machine.host, typ, zone, spot)
	go machine.runAgent(after + time.Duration(w.machineCount)*17*time.Microsecond)
	return machine.host
}

// byWorkerClock is how long a duration of the worker's own clock really takes.
func (m *Machine) byWorkerClock(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*m.clockDrift.Seconds()/2000)
}

// HostOf is a machine that has a task of a job, or is fetching for it: the one
// that neither hangs nor is cut off, if there is one, with the lowest name.
func (w *World) HostOf(jobID string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	best := ""
	for _, host := range slices.Sorted(maps.Keys(w.machines)) {
		machine := w.machines[host]
		for name, task := range machine.tasks {
			if r, _, _ := protocol.ParseTaskName(name); r == jobID && !machine.removed && task.phase != protocol.TaskExited {
				if best == "" || w.machines[best].hung || w.machines[best].partitioned {
					best = host
				}
			}
		}
	}
	return best
}

// Hosts lists the machines that are rented, those of one zone or kind if asked.
func (w *World) Hosts(spotOnly bool) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for _, host := range slices.Sorted(maps.Keys(w.machines)) {
		if m := w.machines[host]; !m.removed && (m.spot || !spotOnly) {
			out = append(out, host)
		}
	}
	return out
}

func (m *Machine) wakeAgent() {
	select {
	case m.wakeup <- struct{}{}:
	default:
	}
}

// afterDelay does something after a while, unless the machine is gone by then.
func (m *Machine) afterDelay(d time.Duration, do func()) {
	go func() {
		if wait(m.world.ctx, d) {
			m.world.mu.Lock()
			defer m.world.mu.Unlock()
			if !m.removed {
				do()
			}
		}
	}()
}

func (m *Machine) dropTasks() {
	for _, name := range slices.Sorted(maps.Keys(m.tasks)) {
		task := m.tasks[name]
		delete(m.tasks, name)
		m.world.notifyGangPeers(name, task)
	}
}

func (w *World) typeOf(name string) protocol.MachineType {
	for _, t := range w.Types {
		if t.Name == name {
			return t
		}
	}
	return protocol.MachineType{}
}

// MachineTokens is the highest token that each worker obeys which nothing keeps from being
// answered: its machine is well, reached by all, and has had an answer lately.
func (w *World) MachineTokens() map[string]uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make(map[string]uint64)
	for host, machine := range w.machines {
		if !machine.removed && !machine.hung && !machine.crashed && !machine.partitioned && !w.activeFaults["zone "+machine.zone] && machine.fencingToken > 0 && time.Since(machine.leaseRenewedAt) < 2*w.Workers.HeartbeatInterval {
			out[host] = machine.fencingToken
		}
	}
	return out
}
