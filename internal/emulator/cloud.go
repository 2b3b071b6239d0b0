package emulator

import (
	"encoding/json"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"time"

	"madderslip/internal/protocol"
)

// handleCloud answers a call of the cloud's API.
func (w *World) handleCloud(method, target string, body []byte) (int, []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.hasFault(faultCloudDown):
		return jsonResponse(503, map[string]string{"error": "trouble"})
	case target == protocol.PathMachineTypes:
		return jsonResponse(200, protocol.MachineTypes{Types: w.Types})
	case target == protocol.PathMachines && method == "POST":
		return w.provision(body)
	case target == protocol.PathReturnMachines:
		return w.returnMachines(body)
	}
	return w.listMachines(target)
}

// returnMachines takes back machines; those that are gone already change nothing. The
// world's lock is held by the caller.
func (w *World) returnMachines(body []byte) (int, []byte) {
	var request protocol.HostList
	if json.Unmarshal(body, &request) != nil {
		return 400, nil
	}
	for _, host := range request.Hosts {
		if machine := w.machines[host]; machine != nil && !machine.removed {
			w.recordEvent("%s returned", host)
			w.removeMachine(machine)
		}
	}
	return jsonResponse(200, map[string]any{})
}

// listMachines answers a page of the list of machines. The list is as old as its lag: what
// is younger is missing, and what has gone since is still there. The world's lock is held
// by the caller.
func (w *World) listMachines(target string) (int, []byte) {
	asOf := time.Now().Add(-w.ListLag)
	from, limit := parseListPage(target)
	var list protocol.MachineList
	for _, host := range slices.Sorted(maps.Keys(w.machines)) {
		machine := w.machines[host]
		if host < from {
			continue
		}
		if list.Truncated = len(list.Hosts) == limit; list.Truncated {
			break
		}
		if machine.rentedAt.After(asOf) || (machine.removed && machine.stoppedAt.Before(asOf)) {
			continue
		}
		list.Hosts = append(list.Hosts, protocol.ListedMachine{
			Host:    machine.host,
			Address: w.Address(machine.host),
			Type:    machine.machineType,
			Zone:    machine.zone,
			Spot:    machine.spot,
			Phase:   machine.listedPhase(asOf),
			AgeS:    asOf.Sub(machine.rentedAt).Seconds(),
		})
	}
	return jsonResponse(200, list)
}

// parseListPage reads where a page of the list begins and how long it may be.
func parseListPage(target string) (from string, limit int) {
	limit = 500
	if u, err := url.Parse(target); err == nil {
		from = u.Query().Get("from")
		if n, err := strconv.Atoi(u.Query().Get("most")); err == nil && n > 0 {
			limit = min(n, limit)
		}
	}
	return from, limit
}

// provision rents machines, as many as the cloud has of those asked for. A request that is
// repeated under its name gets the same machines. The world's lock is held by the caller.
func (w *World) provision(body []byte) (int, []byte) {
	var request protocol.ProvisionRequest
	if json.Unmarshal(body, &request) != nil {
		return 400, nil
	}
	hosts, repeated := w.provisioned[request.Name]
	if !repeated {
		count := min(request.Count, w.spareMachines)
		if w.hasFault(faultHalfCapacity) {
			count = min(count, (request.Count+1)/2)
		}
		if w.hasFault(faultNoCapacity) {
			count = 0
		}
		for range count {
			w.spareMachines--
			hosts = append(hosts, w.bootMachine(request.Type, request.Zone, request.Spot, w.drawBootTime(request.Name)))
		}
		if len(hosts) == 0 {
			return jsonResponse(503, map[string]string{"error": "no capacity"})
		}
		w.provisioned[request.Name] = hosts
	}
	return jsonResponse(200, protocol.HostList{Hosts: hosts})
}

// neverBoots is the boot time of machines that never come up: longer than any test.
const neverBoots = 1000 * time.Hour

// drawBootTime draws how long a machine of a request takes to come up: some take several
// times as long, or never come, under the cloud's faults. The world's lock is held by the
// caller.
func (w *World) drawBootTime(request string) time.Duration {
	bootTime := w.between(6*time.Second, 15*time.Second, request)
	switch {
	case w.hasFault(faultFastBoots):
		return bootTime / 20
	case w.hasFault(faultNoBoots):
		return neverBoots
	case w.hasFault(faultSlowBoots) && w.chance(60, "boot", request):
		return bootTime * 5
	}
	return bootTime
}

// removeMachine takes a machine away with everything on it. The world's lock is held by
// the caller.
func (w *World) removeMachine(machine *Machine) {
	machine.removed, machine.stoppedAt = true, time.Now()
	machine.dropTasks()
	delete(w.heldDeliveries, machine.host)
	w.spareMachines++
	machine.wakeAgent()
}

// listedPhase is the phase that the cloud's list shows. The world's lock is held by the
// caller.
func (m *Machine) listedPhase(asOf time.Time) string {
	switch {
	case m.crashed && asOf.Sub(m.stoppedAt) > crashedListedAsRunning:
		return "failed"
	case m.upAt.After(asOf):
		return "booting"
	}
	return "running"
}

// SetSpare sets how many machines the cloud has left to rent.
func (w *World) SetSpare(count int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.spareMachines = count
}
