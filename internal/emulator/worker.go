package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"madderslip/internal/protocol"
	"madderslip/internal/transport"
)

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

type taskAttempt struct {
	attempt      uint64
	phase        string
	cause        string
	checkpointed bool
	began        time.Time
	stop         time.Time // gang: when it was told to stop
}

// occupiesMachine tells whether a task is on its machine by the rules: from when it has its
// image until it exits.
func (t *taskAttempt) occupiesMachine() bool {
	return t.phase == protocol.TaskRunning || t.phase == protocol.TaskWaitingForGang || t.phase == protocol.TaskCheckpointing
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

func (m *Machine) expireLease() {
	if !m.leaseRenewedAt.IsZero() && time.Since(m.leaseRenewedAt) > m.byWorkerClock(m.world.Workers.LeaseDuration) {
		m.world.recordEvent("%s lease over, session %d", m.host, m.agentEpoch+1)
		m.dropTasks()
		m.agentEpoch++
		m.sequence, m.leaseRenewedAt = 0, time.Now()
	}
}

// runAgent reports to the controllers for as long as the machine exists.
func (m *Machine) runAgent(after time.Duration) {
	w := m.world
	// The runtime may crash on a select over a timer that is due already, in a
	// test bubble under the race detector; so no such timer is waited on here.
	if after >= neverBoots || (after > 0 && !wait(w.ctx, after)) {
		return
	}
	w.mu.Lock()
	m.leaseRenewedAt, m.upAt = time.Now(), time.Now()
	w.mu.Unlock()
	for {
		pause := m.byWorkerClock(m.exchangeHeartbeat())
		select {
		case <-w.ctx.Done():
			return
		case <-m.wakeup:
			if !wait(w.ctx, m.byWorkerClock(500*time.Millisecond)) {
				return
			}
		case <-time.After(pause):
		}
		w.mu.Lock()
		gone := m.removed
		if !m.hung && !m.crashed {
			m.expireLease()
		}
		w.mu.Unlock()
		if gone {
			return
		}
	}
}

func (m *Machine) heartbeat() protocol.Heartbeat {
	m.sequence++
	r := protocol.Heartbeat{Host: m.host, Address: m.world.Address(m.host), Type: m.machineType, Zone: m.zone, Spot: m.spot, AgentEpoch: m.agentEpoch, Sequence: m.sequence,
		FencingToken: m.fencingToken, Tasks: []protocol.TaskStatus{}}
	if !m.preemptionAt.IsZero() {
		left := time.Until(m.preemptionAt).Seconds()
		r.PreemptionNoticeS = &left
	}
	for _, name := range slices.Sorted(maps.Keys(m.tasks)) {
		t := m.tasks[name]
		r.Tasks = append(r.Tasks, protocol.TaskStatus{Task: name, Attempt: t.attempt, Phase: t.phase, Cause: t.cause, Checkpointed: t.checkpointed})
	}
	return r
}

// ignoreResponse is what nobody waits for any more.
func ignoreResponse(transport.Response) {}

// exchangeHeartbeat makes one report and returns when to make the next.
func (m *Machine) exchangeHeartbeat() time.Duration {
	w := m.world
	w.mu.Lock()
	if m.rebooting {
		w.mu.Unlock()
		return 50 * time.Millisecond
	}
	if m.removed || m.hung || m.crashed || len(w.controllers) == 0 {
		w.mu.Unlock()
		return time.Second
	}
	if m.cannotSend {
		m.controllerIndex++
		w.mu.Unlock()
		return time.Second
	}
	name := w.controllers[m.controllerIndex%len(w.controllers)]
	handler := w.handlers[name]
	if w.activeFaults["deaf "+name] {
		handler = nil
	}
	body, _ := json.Marshal(m.heartbeat())
	sent, session, tick := time.Now(), m.agentEpoch, strconv.FormatUint(m.sequence, 10)
	if handler != nil {
		m.resendHeartbeat = func() { go handler("POST", heartbeatPath, body, ignoreResponse) }
	}
	if w.activeFaults["reports for next"] && w.chance(40, "keep", m.host, tick) {
		w.keepHeartbeat(m, body)
	}
	if handler != nil && !m.partitioned && w.activeFaults["late reports"] && w.chance(40, "copy", m.host, tick) {
		m.afterDelay(w.between(2*time.Second, w.Workers.LeaseDuration*3/2, "copy", m.host, tick), m.resendHeartbeat)
	}
	life := m.boots
	there, back := w.between(300*time.Microsecond, 3*time.Millisecond, m.host, tick), w.between(300*time.Microsecond, 3*time.Millisecond, m.host, tick)
	if m.partitioned {
		// The packets are held and may arrive once the cut is over, though nobody
		// waits for an answer any more.
		if handler != nil && w.chance(50, m.host, tick) {
			w.heldDeliveries[m.host] = append(w.heldDeliveries[m.host], func() { go handler("POST", heartbeatPath, body, ignoreResponse) })
		}
		w.mu.Unlock()
		return 4 * time.Second
	}
	if handler != nil && !m.reachable(name) {
		if w.chance(50, m.host, tick) {
			w.holdUntilHealed(m.zone, w.controllerZones[name], func() { go handler("POST", heartbeatPath, body, ignoreResponse) })
		}
		m.controllerIndex++
		w.mu.Unlock()
		return 5 * time.Second
	}
	if handler == nil {
		m.controllerIndex++
		w.mu.Unlock()
		return time.Second
	}
	w.mu.Unlock()
	if !wait(w.ctx, there) {
		return time.Second
	}
	got := make(chan transport.Response, 1)
	go handler("POST", heartbeatPath, body, func(r transport.Response) { got <- r })
	var r transport.Response
	select {
	case r = <-got:
	case <-time.After(4 * time.Second):
	case <-w.ctx.Done():
	}
	if !wait(w.ctx, back) {
		return time.Second
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if m.removed || m.hung || m.crashed || m.partitioned || m.cannotReceive || m.agentEpoch != session || m.boots != life || w.activeFaults["deaf "+name] || !m.reachable(name) {
		if m.cannotReceive {
			m.controllerIndex++ // no answer in time: the next node
		}
		return time.Second
	}
	switch r.Status {
	case 200:
		var a protocol.HeartbeatResponse
		if json.Unmarshal(r.Body, &a) == nil && a.FencingToken >= m.fencingToken && a.FencingToken > 0 {
			if a.FencingToken > m.fencingToken {
				m.wakeAgent()
			}
			m.fencingToken, m.leaseRenewedAt = a.FencingToken, sent
			m.runCommands(a.Commands)
		}
		// Give or take a quarter, as workers do.
		return w.between(w.Workers.HeartbeatInterval*3/4, w.Workers.HeartbeatInterval*5/4, m.host, tick)
	case 421:
		var s protocol.Redirect
		_ = json.Unmarshal(r.Body, &s)
		for i, n := range w.controllers {
			if n == s.Node && n != name {
				m.controllerIndex = i
				return w.between(0, 500*time.Millisecond, m.host, tick)
			}
		}
	}
	m.controllerIndex++
	return time.Second
}

// callWorker carries a controller's call. Across a cut, or to a hung machine,
// it is held and executed late, though the caller has long given up.
func (w *World) callWorker(ctx context.Context, node, host, target string, body []byte, back time.Duration) (int, []byte, error) {
	w.mu.Lock()
	machine := w.machines[host]
	if machine != nil && !machine.removed && !machine.crashed && !machine.hung && !machine.partitioned && !machine.reachable(node) {
		if target == protocol.PathCommands {
			w.holdUntilHealed(machine.zone, w.controllerZones[node], func() {
				if !machine.removed && !machine.crashed && !machine.hung && !machine.partitioned {
					machine.expireLease()
					machine.handleCommands(body)
				}
			})
		}
		w.mu.Unlock()
		<-ctx.Done()
		return 0, nil, errConnectionReset
	}
	if machine != nil && (machine.rebooting || time.Now().Before(machine.upAt)) { // it boots
		w.mu.Unlock()
		return 0, nil, errConnectionReset
	}
	if machine == nil || machine.removed || machine.crashed || machine.partitioned || machine.hung || machine.cannotReceive {
		if machine != nil && !machine.removed && !machine.crashed && !machine.cannotReceive && target == protocol.PathCommands {
			w.heldDeliveries[host] = append(w.heldDeliveries[host], func() { machine.handleCommands(body) })
		}
		w.mu.Unlock()
		<-ctx.Done()
		return 0, nil, errConnectionReset
	}
	var status int
	var out []byte
	if target == protocol.PathStatus {
		status, out = jsonResponse(200, machine.heartbeat())
	} else {
		status, out = machine.handleCommands(body)
	}
	w.mu.Unlock()
	if !wait(ctx, back) {
		return 0, nil, errConnectionReset
	}
	return status, out, nil
}

func (m *Machine) handleCommands(body []byte) (int, []byte) {
	var in protocol.CommandRequest
	if json.Unmarshal(body, &in) != nil || in.FencingToken == 0 || in.AgentEpoch == 0 {
		return 400, nil
	}
	if in.FencingToken < m.fencingToken || in.AgentEpoch != m.agentEpoch {
		return jsonResponse(409, m.heartbeat())
	}
	if in.FencingToken > m.fencingToken {
		m.fencingToken = in.FencingToken
		m.wakeAgent()
	}
	m.runCommands(in.Commands)
	return jsonResponse(200, m.heartbeat())
}

func (m *Machine) runCommands(cmds []protocol.Command) {
	for _, c := range cmds {
		task := m.tasks[c.Task]
		switch c.Verb {
		case "start":
			switch {
			case task == nil || (task.attempt != c.Attempt && task.phase == protocol.TaskExited):
				m.startTask(c.Task, c.Attempt)
			case task.attempt != c.Attempt:
				m.world.recordEvent("%s %s/%d refused: busy with attempt %d", m.host, c.Task, c.Attempt, task.attempt)
			}
		case "stop":
			if task != nil && task.attempt == c.Attempt && task.phase != protocol.TaskExited {
				m.stopTask(c.Task, task, c.GraceS)
			}
		case "reap":
			if task != nil && task.attempt == c.Attempt && task.phase == protocol.TaskExited {
				delete(m.tasks, c.Task)
			}
		}
	}
}

// stopTask ends a task. One that runs and can save does so if its grace suffices; a
// gang's saves only if all of its tasks are told in time.
func (m *Machine) stopTask(name string, task *taskAttempt, grace *float64) {
	jobID, _, _ := protocol.ParseTaskName(name)
	job := m.world.jobs[jobID]
	saves := task.phase == protocol.TaskRunning && job != nil && job.Spec.CheckpointIntervalS > 0 && grace != nil && *grace >= job.Spec.CheckpointS
	if m.world.OnStop != nil && task.phase == protocol.TaskRunning {
		if why := m.world.OnStop(name, m.host, m.world.teamUse()); why != "" {
			m.world.recordViolation("guarantee", "%s", why)
		}
	}
	if !saves {
		m.exitTask(name, task, "halted")
		return
	}
	task.phase, task.stop = protocol.TaskCheckpointing, time.Now()
	m.wakeAgent()
	m.afterOnTask(name, task, job.Spec.CheckpointDuration(), func() {
		if task.checkpointed = job.Spec.Shape != protocol.ShapeGang || m.world.gangCheckpointing(jobID, task.attempt, job); task.checkpointed {
			m.exitTask(name, task, "halted")
		} else {
			m.exitTask(name, task, causeGangPeerLost)
		}
	})
}

const (
	causeGangPeerLost = "peers"
	heartbeatPath     = "/v1/report"
)

// gangCheckpointing tells whether every task of a gang's attempt was told to stop.
func (w *World) gangCheckpointing(jobID string, attempt uint64, job *Job) bool {
	told := 0
	for _, o := range w.machines {
		for name, task := range o.tasks {
			if r, _, _ := protocol.ParseTaskName(name); r == jobID && task.attempt == attempt && (task.phase == protocol.TaskCheckpointing || task.checkpointed) && !o.removed {
				told++
			}
		}
	}
	return told == job.Spec.Tasks
}

func (m *Machine) exitTask(name string, task *taskAttempt, cause string) {
	was := *task
	task.phase, task.cause = protocol.TaskExited, cause
	m.world.recordEvent("%s %s/%d exits: %s", m.host, name, task.attempt, cause)
	m.wakeAgent()
	if cause != protocol.CauseDone && cause != causeGangPeerLost {
		m.world.notifyGangPeers(name, &was)
	}
}

// notifyGangPeers has the others of a running gang notice that one of them is gone.
func (w *World) notifyGangPeers(name string, task *taskAttempt) {
	jobID, _, ok := protocol.ParseTaskName(name)
	job := w.jobs[jobID]
	if !ok || job == nil || job.Spec.Shape != protocol.ShapeGang || task.phase != protocol.TaskRunning {
		return
	}
	for _, host := range slices.Sorted(maps.Keys(w.machines)) {
		machine := w.machines[host]
		for _, other := range slices.Sorted(maps.Keys(machine.tasks)) {
			x := machine.tasks[other]
			if r, _, _ := protocol.ParseTaskName(other); r == jobID && x.attempt == task.attempt && x != task && x.phase == protocol.TaskRunning {
				machine.afterOnTask(other, x, w.between(w.Workers.GangPeerTimeout/2, w.Workers.GangPeerTimeout, other, machine.host), func() {
					if x.phase == protocol.TaskRunning {
						machine.exitTask(other, x, causeGangPeerLost)
					}
				})
			}
		}
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

func (m *Machine) startTask(name string, try uint64) {
	w := m.world
	jobID, index, _ := protocol.ParseTaskName(name)
	task := &taskAttempt{attempt: try, phase: protocol.TaskFetching}
	m.tasks[name] = task
	job := w.jobs[jobID]
	if job == nil || index >= job.Spec.Tasks {
		m.exitTask(name, task, protocol.CauseUnknownJob)
		return
	}
	var used [3]float64
	for other, o := range m.tasks {
		r, _, _ := protocol.ParseTaskName(other)
		if x := w.jobs[r]; o.phase != protocol.TaskExited && x != nil {
			used = [3]float64{used[0] + x.Spec.CPUs, used[1] + x.Spec.GPUs, used[2] + x.Spec.MemoryGB}
		}
	}
	machineType := w.typeOf(m.machineType)
	if used[0] > machineType.CPUs+1e-6 || used[1] > machineType.GPUs+1e-6 || used[2] > machineType.MemoryGB+1e-6 {
		m.exitTask(name, task, protocol.CauseNoCapacity)
		return
	}
	fetch := max(time.Second, job.Fetch)
	if m.cachedImages[job.Spec.Image] {
		fetch = time.Millisecond
	}
	m.afterOnTask(name, task, fetch, func() { m.beginTask(name, task, job) })
}

func (w *World) typeOf(name string) protocol.MachineType {
	for _, t := range w.Types {
		if t.Name == name {
			return t
		}
	}
	return protocol.MachineType{}
}

// afterOnTask does something to a task later, if it is still there by then. A hanging
// machine does nothing until it goes on.
func (m *Machine) afterOnTask(name string, task *taskAttempt, d time.Duration, do func()) {
	w, session := m.world, m.agentEpoch
	d = m.byWorkerClock(d) + w.between(0, time.Millisecond, "after", m.host, name)
	go func() {
		if !wait(w.ctx, d) {
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if !m.removed && !m.crashed && m.agentEpoch == session && m.tasks[name] == task && task.phase != protocol.TaskExited {
			if m.hung {
				m.afterOnTask(name, task, time.Second, do)
				return
			}
			do()
		}
	}()
}

// beginTask is the moment a task is on its machine; the rules are checked here.
func (m *Machine) beginTask(name string, task *taskAttempt, job *Job) {
	w := m.world
	m.cachedImages[job.Spec.Image] = true
	w.checkStart(m, name, task, job)
	task.phase, task.began = protocol.TaskRunning, time.Now()
	w.recordEvent("%s %s/%d runs", m.host, name, task.attempt)
	m.wakeAgent()
	if job.Spec.Shape == protocol.ShapeGang && job.Spec.Tasks > 1 {
		task.phase = protocol.TaskWaitingForGang
		if !w.startGangIfComplete(job, task.attempt) {
			m.afterOnTask(name, task, w.Workers.GangStartTimeout, func() {
				if task.phase == protocol.TaskWaitingForGang {
					m.exitTask(name, task, protocol.CauseGangTimeout)
				}
			})
			return
		}
	}
	if job.startedAt.IsZero() {
		job.startedAt = time.Now()
	}
	if job.Fail || m.failsTasks {
		m.afterOnTask(name, task, time.Second, func() { m.exitTask(name, task, protocol.CauseError) })
		return
	}
	if job.Run > 0 {
		run := job.Run
		if m.slowsTasks {
			run *= 4
		}
		var end func()
		end = func() {
			if task.phase != protocol.TaskRunning {
				return // it is being stopped
			}
			if job.Spec.Shape == protocol.ShapeGang {
				w.completeGang(job, task.attempt)
				if task.phase == protocol.TaskRunning {
					m.afterOnTask(name, task, time.Second, end) // another one's machine hangs
				}
				return
			}
			_, index, _ := protocol.ParseTaskName(name)
			job.tasksDone[index] = true
			m.exitTask(name, task, protocol.CauseDone)
			m.world.jobFinished(job)
		}
		m.afterOnTask(name, task, run, end)
	}
}

// checkStart judges a start by the rules.
func (w *World) checkStart(machine *Machine, name string, task *taskAttempt, job *Job) {
	if w.RecordStartsOnly {
		w.onStart(job)
		return
	}
	s := &job.Spec
	inZone := 1
	for _, host := range slices.Sorted(maps.Keys(w.machines)) {
		o := w.machines[host]
		if o.removed {
			continue
		}
		for other, x := range o.tasks {
			jobID, _, _ := protocol.ParseTaskName(other)
			if jobID != s.JobID || !x.occupiesMachine() {
				continue
			}
			if other == name && x != task {
				w.recordViolation("ran_twice", "%s on %s and %s", name, o.host, machine.host)
			}
			if o.zone == machine.zone {
				inZone++
			} else if s.SameZone {
				w.recordViolation("wrong_place", "%s in %s and %s", jobID, o.zone, machine.zone)
			}
		}
	}
	if s.SpreadZones && inZone > (s.Tasks+1)/2 {
		w.recordViolation("wrong_place", "%s has %d tasks in %s", s.JobID, inZone, machine.zone)
	}
	if (len(s.MachineTypes) > 0 && !slices.Contains(s.MachineTypes, machine.machineType)) || (s.Zone != "" && s.Zone != machine.zone) || (machine.spot && !s.AllowSpot) {
		w.recordViolation("wrong_place", "%s on %s: %s in %s, cheap %v", s.JobID, machine.host, machine.machineType, machine.zone, machine.spot)
	}
	if !job.cancelledAt.IsZero() && time.Since(job.cancelledAt) > w.Workers.CancelDeadline {
		w.recordViolation("ran_cancelled", "%s starts on %s", name, machine.host)
	}
	if !w.dependenciesDone(job) {
		w.recordViolation("too_early", "%s starts on %s before all that it needs is done", name, machine.host)
	}
	if !job.cancelledAt.IsZero() {
		w.wastedStarts++
		w.recordEvent("%s starts after its cancellation was confirmed", name)
	}
}

// startGangIfComplete starts a gang's attempt if all of its tasks wait for one another.
func (w *World) startGangIfComplete(job *Job, attempt uint64) bool {
	var there []*taskAttempt
	for _, machine := range w.machines {
		for name, task := range machine.tasks {
			if ref, _, _ := protocol.ParseTaskName(name); ref == job.Spec.JobID && task.attempt == attempt && task.phase == protocol.TaskWaitingForGang && !machine.removed {
				there = append(there, task)
			}
		}
	}
	if len(there) < job.Spec.Tasks {
		return false
	}
	for _, t := range there {
		t.phase, t.began = protocol.TaskRunning, time.Now()
	}
	for _, host := range slices.Sorted(maps.Keys(w.machines)) {
		w.machines[host].wakeAgent()
	}
	return true
}

// completeGang ends a gang's attempt: its tasks complete together.
func (w *World) completeGang(job *Job, attempt uint64) {
	running := 0
	for _, machine := range w.machines {
		for name, task := range machine.tasks {
			if ref, _, _ := protocol.ParseTaskName(name); ref == job.Spec.JobID && task.attempt == attempt && task.phase == protocol.TaskRunning && !machine.removed && !machine.hung {
				running++
			}
		}
	}
	if running < job.Spec.Tasks {
		return // one is gone, and the others are about to notice
	}
	for k := range job.Spec.Tasks {
		job.tasksDone[k] = true
	}
	for _, host := range slices.Sorted(maps.Keys(w.machines)) {
		machine := w.machines[host]
		for _, name := range slices.Sorted(maps.Keys(machine.tasks)) {
			task := machine.tasks[name]
			if ref, _, _ := protocol.ParseTaskName(name); ref == job.Spec.JobID && task.attempt == attempt && task.occupiesMachine() && !machine.removed {
				machine.exitTask(name, task, protocol.CauseDone)
			}
		}
	}
	w.jobFinished(job)
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

// FaultyMachines lists the troubles that are on, in order.
func (w *World) FaultyMachines() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.DeleteFunc(slices.Sorted(maps.Keys(w.activeFaults)), func(name string) bool { return !w.activeFaults[name] })
}

// TeamUse is the CPUs and cards that each team's tasks take on machines.
func (w *World) TeamUse() map[string][2]float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.teamUse()
}

// JobUse is what a job's tasks from one up to another take on machines. It is for OnStop, which holds the
// world's lock.
func (w *World) JobUse(jobID string, from, upTo int) (use [2]float64) {
	for _, machine := range w.machines {
		for name, task := range machine.tasks {
			r, index, _ := protocol.ParseTaskName(name)
			if j := w.jobs[jobID]; r == jobID && index >= from && index < upTo && j != nil && !machine.removed && task.occupiesMachine() {
				use = [2]float64{use[0] + j.Spec.CPUs, use[1] + j.Spec.GPUs}
			}
		}
	}
	return use
}

func (w *World) teamUse() map[string][2]float64 {
	use := make(map[string][2]float64)
	for _, machine := range w.machines {
		for name, task := range machine.tasks {
			jobID, _, _ := protocol.ParseTaskName(name)
			if job := w.jobs[jobID]; job != nil && !machine.removed && task.occupiesMachine() {
				u := use[job.Spec.Team]
				use[job.Spec.Team] = [2]float64{u[0] + job.Spec.CPUs, u[1] + job.Spec.GPUs}
			}
		}
	}
	return use
}

// Running counts the tasks of a job that are on machines.
func (w *World) Running(jobID string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, machine := range w.machines {
		for name, task := range machine.tasks {
			if r, _, _ := protocol.ParseTaskName(name); (r == jobID || jobID == "") && !machine.removed && task.occupiesMachine() {
				count++
			}
		}
	}
	return count
}
