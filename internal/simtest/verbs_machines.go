package simtest

import (
	"strings"

	"madderslip/internal/emulator"
)

// machineVerbs are the verbs that affect machines.
func machineVerbs() map[string]verbHandler {
	return map[string]verbHandler{
		"machines": (*cluster).addMachines,
		"vm":       (*cluster).setMachine,
		"death":    (*cluster).killMachines,
		"reboot":   (*cluster).rebootMachines,
		// spare COUNT: the number of machines that the cloud has left to rent
		"spare": func(c *cluster, f command) error { c.world.SetSpare(f.number(1)); return nil },
		"wave":  (*cluster).reclaimSpot,
		// repeat HOST|all: copies of the direct calls that were kept arrive again
		"repeat": (*cluster).repeatCommands,
	}
}

// addMachines executes "machines COUNT ZONE [TYPE [cheap]]": it adds booted machines of a type,
// by default the emulator's first, and as spot machines with "cheap".
func (c *cluster) addMachines(f command) error {
	typ := f.arg(3)
	if typ == "" {
		typ = c.world.Types[0].Name
	}
	c.world.AddMachinesOfType(f.number(1), typ, f.arg(2), f.arg(4) == "cheap")
	return nil
}

// setMachine executes
// "vm HOST hang|resume|cut|heal|sick|slow|well|deaf|hears|mute|speaks|notice|take|die|reboot".
// HOST is a machine's number, or @JOB for a machine that has a task of that job.
func (c *cluster) setMachine(f command) error {
	if !emulator.IsMachineFault(f.arg(2)) {
		return scriptErrorf("a machine does not %q", f.arg(2))
	}
	host := "vm-" + f.arg(1)
	if jobID, ok := strings.CutPrefix(f.arg(1), "@"); ok {
		host = c.world.HostOf(jobID)
	}
	c.world.SetMachineFault(host, f.arg(2))
	return nil
}

// repeatCommands executes "repeat HOST|all": a copy of each direct call that was kept since
// "trouble kept commands on" arrives at its machine, or only at one machine. It is an error if no
// call was kept.
func (c *cluster) repeatCommands(f command) error {
	host := "vm-" + f.arg(1)
	if f.arg(1) == "all" {
		host = ""
	}
	if c.world.RepeatCommands(host) == 0 {
		return scriptErrorf("no calls are kept")
	}
	return nil
}

// killMachines executes "death PERCENT [ZONE]": that share of the machines crashes at once.
func (c *cluster) killMachines(f command) error {
	hosts := c.world.Hosts(false)
	if f.arg(2) != "" {
		hosts = c.world.InZone(f.arg(2))
	}
	for _, host := range firstPercent(hosts, f.number(1)) {
		c.world.SetMachineFault(host, "die")
	}
	return nil
}

// rebootMachines executes "reboot PERCENT": that share of the machines reboots at once.
func (c *cluster) rebootMachines(f command) error {
	for _, host := range firstPercent(c.world.Hosts(false), f.number(1)) {
		c.world.SetMachineFault(host, "reboot")
	}
	return nil
}

// firstPercent returns the first percent of the hosts, rounded up to whole hosts.
func firstPercent(hosts []string, percent int) []string { return hosts[:(len(hosts)*percent+99)/100] }

// reclaimSpot executes "wave notice|take": the cloud reclaims all spot machines, after a
// preemption notice or at once.
func (c *cluster) reclaimSpot(f command) error {
	for _, host := range c.world.Hosts(true) {
		c.world.SetMachineFault(host, f.arg(1))
	}
	return nil
}
