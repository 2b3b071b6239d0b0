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

// cloud answers a call of the cloud's API.
func (w *World) cloud(method, target string, body []byte) (int, []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.trouble["cloud"] {
		return reply(503, map[string]string{"error": "trouble"})
	}
	switch {
	case target == protocol.PathMachineTypes:
		return reply(200, protocol.MachineTypes{Types: w.Types})
	case target == protocol.PathMachines && method == "POST":
		return w.rent(body)
	case target == protocol.PathReturnMachines:
		var h protocol.HostList
		if json.Unmarshal(body, &h) != nil {
			return 400, nil
		}
		for _, host := range h.Hosts {
			if m := w.machines[host]; m != nil && !m.gone {
				w.note("%s returned", host)
				w.remove(m)
			}
		}
		return reply(200, map[string]any{})
	}
	// The list is as old as its lag; what is younger is missing, and what has
	// gone since is still there.
	asOf := time.Now().Add(-w.ListLag)
	from, most := page(target)
	var list protocol.MachineList
	for _, host := range slices.Sorted(maps.Keys(w.machines)) {
		m := w.machines[host]
		if host < from {
			continue
		}
		if list.Truncated = len(list.Hosts) == most; list.Truncated {
			break
		}
		if m.born.After(asOf) || (m.gone && m.goneAt.Before(asOf)) {
			continue
		}
		list.Hosts = append(list.Hosts, protocol.ListedMachine{Host: m.host, Address: w.Address(m.host), Type: m.typ, Zone: m.zone, Spot: m.spot, Phase: m.listedAs(asOf),
			AgeS: asOf.Sub(m.born).Seconds()})
	}
	return reply(200, list)
}

// page reads where a page of the list begins and how long it may be.
func page(target string) (from string, most int) {
	most = 500
	if u, err := url.Parse(target); err == nil {
		from = u.Query().Get("from")
		if n, err := strconv.Atoi(u.Query().Get("most")); err == nil && n > 0 {
			most = min(n, most)
		}
	}
	return from, most
}

func (w *World) rent(body []byte) (int, []byte) {
	var h protocol.ProvisionRequest
	if json.Unmarshal(body, &h) != nil {
		return 400, nil
	}
	hosts, again := w.hires[h.Name]
	if !again {
		count := min(h.Count, w.spare)
		if w.trouble["half"] {
			count = min(count, (h.Count+1)/2)
		}
		if w.trouble["stingy"] {
			count = 0
		}
		for range count {
			w.spare--
			hosts = append(hosts, w.boot(h.Type, h.Zone, h.Spot, w.bootTime(h)))
		}
		if len(hosts) == 0 {
			return reply(503, map[string]string{"error": "no capacity"})
		}
		w.hires[h.Name] = hosts
	}
	return reply(200, protocol.HostList{Hosts: hosts})
}

// never is longer than anybody waits.
const never = 1000 * time.Hour

// bootTime is how long a machine takes to come up: some take several times as long,
// or never come, if the cloud is in trouble.
func (w *World) bootTime(h protocol.ProvisionRequest) time.Duration {
	took := w.between(6*time.Second, 15*time.Second, h.Name)
	switch {
	case w.trouble["fast boots"]:
		return took / 20
	case w.trouble["no boots"]:
		return never
	case w.trouble["slow boots"] && w.chance(60, "boot", h.Name):
		return took * 5
	}
	return took
}

// remove takes a machine away with everything on it.
func (w *World) remove(m *Machine) {
	m.gone, m.goneAt = true, time.Now()
	m.kill()
	delete(w.held, m.host)
	w.spare++
	m.poke()
}

// Rented lists the machines that are rented now.
func (w *World) Rented() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for _, host := range slices.Sorted(maps.Keys(w.machines)) {
		if !w.machines[host].gone {
			out = append(out, host)
		}
	}
	return out
}
