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

// handleCloud answers a request to the cloud's API.
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

// returnMachines takes machines back; those that are already removed are ignored. The
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

// listMachines answers with one page of the list of machines. The list shows the state as
// of ListLag ago: machines rented since then are missing, and machines removed since then
// are still listed. The world's lock is held by the caller.
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

// parseListPage parses the first host of a page of the list and the maximum number of its
// hosts.
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

// provision rents the requested number of machines, or as many of them as the cloud has. A
// repeated request with the same name gets the same machines. The world's lock is held by
// the caller.
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

// neverBoots is the boot time of machines that never boot; it is longer than any test.
const neverBoots = 1000 * time.Hour

// drawBootTime draws the boot time of a machine of a provision request. Under the cloud's
// faults some machines take several times as long, or no machine ever boots. The world's
// lock is held by the caller.
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

// removeMachine removes a machine with its tasks and the messages held for it. The cloud
// can rent out one machine more afterwards. The world's lock is held by the caller.
func (w *World) removeMachine(machine *Machine) {
	machine.removed, machine.stoppedAt = true, time.Now()
	machine.dropTasks()
	delete(w.heldDeliveries, machine.host)
	w.spareMachines++
	machine.wakeAgent()
}

// listedPhase returns the machine's phase in the cloud's list. The world's lock is held by
// the caller.
func (m *Machine) listedPhase(asOf time.Time) string {
	switch {
	case m.crashed && asOf.Sub(m.stoppedAt) > crashedListedAsRunning:
		return "failed"
	case m.upAt.After(asOf):
		return "booting"
	}
	return "running"
}

// SetSpare sets how many machines the cloud can still rent out.
func (w *World) SetSpare(count int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.spareMachines = count
}
