package simtest

import (
	"strings"

	"madderslip/internal/emulator"
)

// machineVerbs are what happens to machines.
func machineVerbs() map[string]verbHandler {
	return map[string]verbHandler{
		"machines": (*cluster).addMachines,
		"vm":       (*cluster).setMachine,
		"death":    (*cluster).killMachines,
		"reboot":   (*cluster).rebootMachines,
		// spare COUNT: what the cloud has left to rent
		"spare": func(c *cluster, f command) error { c.world.SetSpare(f.number(1)); return nil },
		"wave":  (*cluster).reclaimSpot,
	}
}

// addMachines carries out "machines COUNT ZONE [TYPE [cheap]]".
func (c *cluster) addMachines(f command) error {
	typ := f.arg(3)
	if typ == "" {
		typ = c.world.Types[0].Name
	}
	c.world.AddMachinesOfType(f.number(1), typ, f.arg(2), f.arg(4) == "cheap")
	return nil
}

// setMachine carries out
// "vm HOST hang|resume|cut|heal|sick|slow|well|deaf|hears|mute|speaks|notice|take|die|reboot";
// the host @JOB is the machine of a task of that job.
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

// killMachines carries out "death PERCENT [ZONE]": so many of the machines die at once.
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

// rebootMachines carries out "reboot PERCENT": so many of the machines begin again at once.
func (c *cluster) rebootMachines(f command) error {
	for _, host := range firstPercent(c.world.Hosts(false), f.number(1)) {
		c.world.SetMachineFault(host, "reboot")
	}
	return nil
}

// firstPercent returns the first so many hosts in a hundred, rounded up.
func firstPercent(hosts []string, percent int) []string { return hosts[:(len(hosts)*percent+99)/100] }

// reclaimSpot carries out "wave notice|take": the cloud wants its spot machines back.
func (c *cluster) reclaimSpot(f command) error {
	for _, host := range c.world.Hosts(true) {
		c.world.SetMachineFault(host, f.arg(1))
	}
	return nil
}
