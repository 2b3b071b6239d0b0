package simtest

import (
	"slices"
	"strings"

	"madderslip/internal/emulator"
)

// networkVerbs are the verbs that begin and end faults of the state service, the cloud and the
// network.
func networkVerbs() map[string]verbHandler {
	return map[string]verbHandler{
		// outage on|off: the state service is down
		"outage": func(c *cluster, f command) error { c.world.SetFault("outage", f.isOn(1)); return nil },
		// refuse NODE on|off: the state service refuses this controller and serves the others
		"refuse": func(c *cluster, f command) error { c.world.SetFault("refuse "+f.arg(1), f.isOn(2)); return nil },
		// deafen NODE on|off: this controller and the agents cannot reach each other
		"deafen": func(c *cluster, f command) error { c.world.SetFault("deaf "+f.arg(1), f.isOn(2)); return nil },
		// zone ZONE cut|heal: the zone is cut off from everything outside it
		"zone":    func(c *cluster, f command) error { c.world.SetFault("zone "+f.arg(1), f.arg(2) == "cut"); return nil },
		"trouble": (*cluster).setFault,
	}
}

// setFault executes "trouble NAME [NODE] on|off". NAME is a fault that emulator.World.SetFault
// supports, of the whole world or of one controller or zone.
func (c *cluster) setFault(f command) error {
	last := len(f) - 1
	name, state := strings.Join(f[1:max(1, last)], " "), f[last]
	isKnown := emulator.IsFault(name, append(slices.Clone(c.names), "a", "b"))
	if !isKnown || (state != "on" && state != "off") {
		return scriptErrorf("trouble NAME [NODE] on|off, not %q %q", name, state)
	}
	c.world.SetFault(name, state == "on")
	return nil
}
