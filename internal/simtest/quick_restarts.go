package simtest

import "time"

// quickRestarts draws repeated restarts of processes and machines that are too quick for
// the failures to be detected.
func (b *scriptBuilder) quickRestarts(at time.Duration) {
	soon := b.soonAfter(at, 3*time.Second)
	job := b.plainJob(at-b.moment("before", 0, 5*time.Second), "")
	if b.chance(40, "limited") {
		b.plainJob(soon(), b.limitedArray(3, 9, 1, 6))
	}
	b.drawOne("at once", []choice{
		{1, func() { b.restartRepeatedly(at) }},
		{1, func() { b.restartAllThrice(at) }},
		{1, func() { b.restartTwoAlternately(at) }},
		{2, func() { b.rebootMachineOf(job, soon) }},
		{1, func() { b.rebootFleet(soon) }},
	})
}

// shortDowntime draws a downtime that ends before the failure is detected.
func (b *scriptBuilder) shortDowntime(longest time.Duration) time.Duration {
	return b.moment("a moment", 20*time.Millisecond, longest)
}

func (b *scriptBuilder) restartRepeatedly(at time.Duration) {
	node := b.pick("who", b.node(), "n0", "all")
	for range b.number("ends", 2, 10) {
		b.killFor(at, node, b.shortDowntime(600*time.Millisecond))
		at += b.moment("next", 300*time.Millisecond, 1500*time.Millisecond)
	}
}

func (b *scriptBuilder) restartAllThrice(at time.Duration) {
	for i := range 3 {
		b.killFor(at+time.Duration(i)*700*time.Millisecond, "all", b.shortDowntime(200*time.Millisecond))
	}
	before := func() time.Duration { return at - b.moment("from", 0, 2*time.Second) }
	b.drawOne("meanwhile", []choice{
		{1, func() { b.outage(before(), 9*time.Second) }},
		{1, func() { b.fault("refuse "+b.node(), before()) }},
		{1, func() { b.fault("lossy", before()) }},
		{1, drawNothing},
	})
}

// restartTwoAlternately restarts two controllers alternately, each while the other one
// acquires shards.
func (b *scriptBuilder) restartTwoAlternately(at time.Duration) {
	for i := range b.number("turns", 3, 8) {
		b.killFor(at+time.Duration(i)*b.moment("turn", 400*time.Millisecond, 2*time.Second), b.controllers[i%2], b.shortDowntime(time.Second))
	}
}

// rebootMachineOf reboots the machine of one of a job's tasks, in some cases with the
// restart of a controller, a cancellation or a hang of the machine.
func (b *scriptBuilder) rebootMachineOf(job string, soon func() time.Duration) {
	for range b.number("times", 1, 3) {
		b.add(soon(), "vm %s reboot", machineOf(job))
	}
	if b.chance(40, "its owner") {
		b.killFor(soon(), b.node(), b.shortDowntime(time.Second))
	}
	if b.chance(40, "aborted") {
		b.userCancels(soon(), b.node(), job)
	}
	if b.chance(30, "hang") {
		b.machineFault(machineOf(job), "hang", soon())
	}
}

func (b *scriptBuilder) rebootFleet(soon func() time.Duration) {
	b.reboot(soon(), 20, 100)
	if b.chance(50, "all end") {
		b.killFor(soon(), "all", b.shortDowntime(time.Second))
	}
}
