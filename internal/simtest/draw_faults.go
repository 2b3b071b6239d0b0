package simtest

import "time"

// fault adds a fault of the emulator, given by its name, for a drawn duration.
func (b *scriptBuilder) fault(name string, at time.Duration) {
	b.add(at, "trouble %s on for %s", name, b.faultDuration())
}

// machineFault adds a fault of a machine. The faults "take" and "notice" have no end; all
// others last for a drawn duration.
func (b *scriptBuilder) machineFault(host, how string, at time.Duration) {
	if how == "take" || how == "notice" {
		b.add(at, "vm %s %s", host, how)
		return
	}
	b.add(at, "vm %s %s for %s", host, how, b.faultDuration())
}

// machineOf returns how a script refers to the machine of one of a job's tasks.
func machineOf(jobID string) string { return "@" + jobID }

// kill ends a controller. The platform restarts a controller within 8 s, but the third
// controller may be down for up to 25 s.
func (b *scriptBuilder) kill(node string, at time.Duration) {
	longest := 8 * time.Second
	if node == b.controllers[2] {
		longest = 25 * time.Second
	}
	if b.chance(40, "back at once") {
		longest = time.Second
	}
	b.killFor(at, node, b.moment("away", 20*time.Millisecond, longest))
}

// killFor ends a controller, or all of them, and restarts it after a given time.
func (b *scriptBuilder) killFor(at time.Duration, node string, away time.Duration) {
	b.add(at, "kill %s for %s", node, away)
}

// freeze pauses a controller's process, or those of all controllers.
func (b *scriptBuilder) freeze(at time.Duration, node string, still time.Duration) {
	b.add(at, "freeze %s on for %s", node, still)
}

// partitionZone partitions a drawn zone from everything outside it.
func (b *scriptBuilder) partitionZone(at, shortest, longest time.Duration) {
	b.add(at, "zone %s cut for %s", b.pick("zone", "a", "b"), b.moment("cut", shortest, longest))
}

// cloudOutage makes the cloud answer 503 for up to ten seconds.
func (b *scriptBuilder) cloudOutage(at time.Duration) {
	b.add(at, "trouble cloud on for %s", b.moment("lasts", 200*time.Millisecond, 10*time.Second))
}

// reboot reboots a drawn percentage of the machines at once.
func (b *scriptBuilder) reboot(at time.Duration, leastPercent, mostPercent int) {
	b.add(at, "reboot %d", b.number("percent", leastPercent, mostPercent))
}

// outage makes the state service unavailable. An outage that may last longer than the
// cancel deadline is not combined with kills: controllers that start during the outage
// cannot read which tasks are cancelled, so the deadline could not be kept.
func (b *scriptBuilder) outage(at, longest time.Duration) {
	if longest > 20*time.Second && b.needsAllRestarts {
		longest = 14 * time.Second
	}
	if longest > 20*time.Second {
		b.killFreeSpans = append(b.killFreeSpans, span{at - 3*time.Second, at + longest})
	}
	b.add(at, "trouble outage on for %s", b.moment("lasts", 200*time.Millisecond, longest))
}

// cancelRunning cancels several running jobs at once. In half of the cases their machines
// hang as well, some of them for longer than the cancel deadline.
func (b *scriptBuilder) cancelRunning(at time.Duration) {
	if b.chance(50, "hang") {
		b.add(at, "calloff %d hang %s", b.number("jobs", 1, 5), b.moment("hung", time.Second, 40*time.Second))
		return
	}
	b.add(at, "calloff %d", b.number("jobs", 1, 5))
}

// rollingRestart changes the controllers' configuration and restarts them one by one.
func (b *scriptBuilder) rollingRestart(at time.Duration, configuration string) {
	b.add(at, "%s", configuration)
	for i, node := range b.controllers {
		b.killFor(at+time.Second+time.Duration(i)*b.moment("next", 500*time.Millisecond, 2*time.Second), node, b.moment("away", 300*time.Millisecond, 1500*time.Millisecond))
	}
}

// leaderChange draws a fault that moves leadership from one controller to another.
func (b *scriptBuilder) leaderChange(at time.Duration) {
	b.drawOne("change", []choice{
		{2, func() { b.kill(b.node(), at) }},
		{1, func() { b.killOneAfterAnother(at) }},
		{1, func() { b.kill("all", at) }},
		{1, func() { b.freezeOne(at, time.Second) }},
		{1, func() { b.fault("refuse "+b.node(), at) }},
	})
}

func (b *scriptBuilder) killOneAfterAnother(at time.Duration) {
	for range b.number("turns", 2, 4) {
		b.kill(b.node(), at)
		at += b.moment("turn", 300*time.Millisecond, 5*time.Second)
	}
}

// freezeOne pauses a drawn controller for up to 20 s.
func (b *scriptBuilder) freezeOne(at, shortest time.Duration) {
	b.freeze(at, b.node(), b.moment("still", shortest, 20*time.Second))
}
