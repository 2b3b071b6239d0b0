package simtest

import "time"

// fault draws how long a fault that the emulator knows by name is on.
func (b *scriptBuilder) fault(name string, at time.Duration) {
	b.add(at, "trouble %s on for %s", name, b.faultDuration())
}

// machineFault draws how long a machine's fault is on; some of them do not end.
func (b *scriptBuilder) machineFault(host, how string, at time.Duration) {
	if how == "take" || how == "notice" {
		b.add(at, "vm %s %s", host, how)
		return
	}
	b.add(at, "vm %s %s for %s", host, how, b.faultDuration())
}

// machineOf names the machine of a task of a job.
func machineOf(jobID string) string { return "@" + jobID }

// kill ends a controller. The platform starts it again within some seconds; one
// of them may stay away for longer.
func (b *scriptBuilder) kill(node string, at time.Duration) {
	longest := 8 * time.Second
	if node == b.names[2] {
		longest = 25 * time.Second
	}
	if b.chance(40, "back at once") {
		longest = time.Second
	}
	b.killFor(at, node, b.moment("away", 20*time.Millisecond, longest))
}

// killFor ends a controller, or all, and has it back after some time.
func (b *scriptBuilder) killFor(at time.Duration, node string, away time.Duration) {
	b.add(at, "kill %s for %s", node, away)
}

// freeze has a controller's process, or all, stand still.
func (b *scriptBuilder) freeze(at time.Duration, node string, still time.Duration) {
	b.add(at, "freeze %s on for %s", node, still)
}

// cutZone draws a zone that nobody outside reaches.
func (b *scriptBuilder) cutZone(at, shortest, longest time.Duration) {
	b.add(at, "zone %s cut for %s", b.pick("zone", "a", "b"), b.moment("cut", shortest, longest))
}

// cloudOutage draws a cloud that does not answer for up to ten seconds.
func (b *scriptBuilder) cloudOutage(at time.Duration) {
	b.add(at, "trouble cloud on for %s", b.moment("lasts", 200*time.Millisecond, 10*time.Second))
}

// reboot has so many of a hundred machines begin again at once.
func (b *scriptBuilder) reboot(at time.Duration, leastPercent, mostPercent int) {
	b.add(at, "reboot %d", b.number("percent", leastPercent, mostPercent))
}

// outage has the state service down. One longer than the bound on cancelled
// tasks, with all controllers ended in it, is drawn nowhere: those that start
// cannot read which tasks are cancelled, and no rule could be kept.
func (b *scriptBuilder) outage(at, longest time.Duration) {
	if longest > 20*time.Second && b.restartsAll {
		longest = 14 * time.Second
	}
	if longest > 20*time.Second {
		b.noKills = append(b.noKills, span{at - 3*time.Second, at + longest})
	}
	b.add(at, "trouble outage on for %s", b.moment("lasts", 200*time.Millisecond, longest))
}

// cancelRunning has several jobs that run cancelled at once, and at times their machines
// hang for longer than the bound.
func (b *scriptBuilder) cancelRunning(at time.Duration) {
	if b.chance(50, "hang") {
		b.add(at, "calloff %d hang %s", b.number("jobs", 1, 5), b.moment("hung", time.Second, 40*time.Second))
		return
	}
	b.add(at, "calloff %d", b.number("jobs", 1, 5))
}

// restartEach has the controllers told something else and restarted one after the other.
func (b *scriptBuilder) restartEach(at time.Duration, configuration string) {
	b.add(at, "%s", configuration)
	for i, node := range b.names {
		b.killFor(at+time.Second+time.Duration(i)*b.moment("next", 500*time.Millisecond, 2*time.Second), node, b.moment("away", 300*time.Millisecond, 1500*time.Millisecond))
	}
}

// leaderChange draws a way in which the lead goes from one controller to another.
func (b *scriptBuilder) leaderChange(at time.Duration) {
	b.drawOne("change", []choice{
		{2, func() { b.kill(b.node(), at) }},
		{1, func() { b.killByTurns(at) }},
		{1, func() { b.kill("all", at) }},
		{1, func() { b.freezeOne(at, time.Second) }},
		{1, func() { b.fault("refuse "+b.node(), at) }},
	})
}

func (b *scriptBuilder) killByTurns(at time.Duration) {
	for range b.number("turns", 2, 4) {
		b.kill(b.node(), at)
		at += b.moment("turn", 300*time.Millisecond, 5*time.Second)
	}
}

// freezeOne has any controller stand still for up to 20 s.
func (b *scriptBuilder) freezeOne(at, shortest time.Duration) {
	b.freeze(at, b.node(), b.moment("still", shortest, 20*time.Second))
}
