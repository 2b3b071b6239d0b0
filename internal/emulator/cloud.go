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
	if w.activeFaults["cloud"] {
		return jsonResponse(503, map[string]string{"error": "trouble"})
	}
	switch {
	case target == protocol.PathMachineTypes:
		return jsonResponse(200, protocol.MachineTypes{Types: w.Types})
	case target == protocol.PathMachines && method == "POST":
		return w.provision(body)
	case target == protocol.PathReturnMachines:
		var h protocol.HostList
		if json.Unmarshal(body, &h) != nil {
			return 400, nil
		}
		for _, host := range h.Hosts {
			if machine := w.machines[host]; machine != nil && !machine.removed {
				w.recordEvent("%s returned", host)
				w.removeMachine(machine)
			}
		}
		return jsonResponse(200, map[string]any{})
	}
	// The list is as old as its lag; what is younger is missing, and what has
	// gone since is still there.
	asOf := time.Now().Add(-w.ListLag)
	from, most := parseListPage(target)
	var list protocol.MachineList
	for _, host := range slices.Sorted(maps.Keys(w.machines)) {
		machine := w.machines[host]
		if host < from {
			continue
		}
		if list.Truncated = len(list.Hosts) == most; list.Truncated {
			break
		}
		if machine.rentedAt.After(asOf) || (machine.removed && machine.stoppedAt.Before(asOf)) {
			continue
		}
		list.Hosts = append(list.Hosts, protocol.ListedMachine{Host: machine.host, Address: w.Address(machine.host), Type: machine.machineType, Zone: machine.zone, Spot: machine.spot, Phase: machine.listedPhase(asOf),
			AgeS: asOf.Sub(machine.rentedAt).Seconds()})
	}
	return jsonResponse(200, list)
}

// parseListPage reads where a page of the list begins and how long it may be.
func parseListPage(target string) (from string, most int) {
	most = 500
	if u, err := url.Parse(target); err == nil {
		from = u.Query().Get("from")
		if n, err := strconv.Atoi(u.Query().Get("most")); err == nil && n > 0 {
			most = min(n, most)
		}
	}
	return from, most
}

func (w *World) provision(body []byte) (int, []byte) {
	var h protocol.ProvisionRequest
	if json.Unmarshal(body, &h) != nil {
		return 400, nil
	}
	hosts, again := w.provisioned[h.Name]
	if !again {
		count := min(h.Count, w.spareMachines)
		if w.activeFaults["half"] {
			count = min(count, (h.Count+1)/2)
		}
		if w.activeFaults["stingy"] {
			count = 0
		}
		for range count {
			w.spareMachines--
			hosts = append(hosts, w.bootMachine(h.Type, h.Zone, h.Spot, w.bootTime(h)))
		}
		if len(hosts) == 0 {
			return jsonResponse(503, map[string]string{"error": "no capacity"})
		}
		w.provisioned[h.Name] = hosts
	}
	return jsonResponse(200, protocol.HostList{Hosts: hosts})
}

// neverBoots is longer than anybody waits.
const neverBoots = 1000 * time.Hour

// bootTime is how long a machine takes to come up: some take several times as long,
// or never come, if the cloud is in trouble.
func (w *World) bootTime(h protocol.ProvisionRequest) time.Duration {
	took := w.between(6*time.Second, 15*time.Second, h.Name)
	switch {
	case w.activeFaults["fast boots"]:
		return took / 20
	case w.activeFaults["no boots"]:
		return neverBoots
	case w.activeFaults["slow boots"] && w.chance(60, "boot", h.Name):
		return took * 5
	}
	return took
}

// removeMachine takes a machine away with everything on it.
func (w *World) removeMachine(machine *Machine) {
	machine.removed, machine.stoppedAt = true, time.Now()
	machine.dropTasks()
	delete(w.heldDeliveries, machine.host)
	w.spareMachines++
	machine.wakeAgent()
}

// listedPhase is the phase that the cloud's list shows.
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
