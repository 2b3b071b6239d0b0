package simtest

import (
	"fmt"
	"time"

	"pgregory.net/rapid"
)

// repeatedCommandsEnd is when a script of GenerateRepeatedCommands ends at the earliest: most of
// the late copies have arrived by then.
const repeatedCommandsEnd = 130 * time.Second

// GenerateRepeatedCommands draws a script in which copies of executed direct calls arrive again
// throughout, while jobs are submitted and cancelled, teams are at their limits, controllers
// restart, and machines fail their tasks, hang or are cut off. With reboots, machines also
// restart under their names.
func GenerateRepeatedCommands(reboots bool) *rapid.Generator[string] {
	return rapid.Custom(func(t *rapid.T) string {
		b := &scriptBuilder{t: t, controllers: controllerNames(defaultControllerCount)}
		if b.chance(30, "five controllers") {
			b.controllers = controllerNames(5)
			b.add(0, "controllers 5")
		}
		b.add(0, "machines %d a", b.number("in a", 2, 6))
		b.add(0, "machines %d b", b.number("in b", 2, 6))
		b.add(0, "spare %d", b.number("spare", 0, 8))
		b.add(0, "trouble repeated commands on")
		for range b.number("jobs", 6, 18) {
			b.jobBesideCopies(b.moment("job", 4*time.Second, 100*time.Second))
		}
		for range b.number("faults", 2, 9) {
			b.faultBesideCopies(b.moment("fault", 8*time.Second, 110*time.Second), reboots)
		}
		b.add(repeatedCommandsEnd+b.moment("end", 0, time.Minute), "polls 1 for 1s")
		return b.script()
	})
}

// jobBesideCopies submits a job and in many cases cancels it while it runs.
func (b *scriptBuilder) jobBesideCopies(at time.Duration) {
	job := b.plainJob(at, b.pick("job",
		b.limitedArray(3, 12, 1, 8),
		fmt.Sprintf("array tasks=%d run=%d", b.number("tasks", 2, 16), b.number("run", 2, 40)),
		fmt.Sprintf("array tasks=%d run=%d rank=idle saves=3", b.number("tasks", 4, 24), b.number("run", 5, 30)),
		fmt.Sprintf("array tasks=%d run=3 rank=critical cpus=4", b.number("few", 1, 6)),
		fmt.Sprintf("gang tasks=%d cpus=2 run=%d saves=4", b.number("gang", 2, 4), b.number("run", 3, 25)),
		fmt.Sprintf("gang tasks=2 cpus=1 run=%d team=tight", b.number("short", 1, 6)),
		fmt.Sprintf("service tasks=%d", b.number("replicas", 1, 5))))
	if b.chance(45, "cancelled") {
		b.userCancels(at+b.moment("after", 200*time.Millisecond, 40*time.Second), b.node(), job)
	}
}

// faultBesideCopies draws a fault that ends, moves or hides tasks, or makes a controller lose
// what it has sent.
func (b *scriptBuilder) faultBesideCopies(at time.Duration, reboots bool) {
	choices := []choice{
		{3, func() { b.killFor(at, b.pick("who", b.node(), "all"), b.shortDowntime(time.Second)) }},
		{2, func() { b.kill(b.node(), at) }},
		{3, func() { b.machineFault(b.host(), "sick", at) }},
		{2, func() { b.machineFault(b.host(), "hang", at) }},
		{2, func() { b.machineFault(b.host(), "cut", at) }},
		{1, func() { b.machineFault(b.host(), "deaf", at) }},
		{1, func() { b.outage(at, 14*time.Second) }},
		{1, func() { b.fault("refuse "+b.node(), at) }},
		{1, func() { b.partitionZone(at, time.Second, 15*time.Second) }},
		{1, func() { b.freezeOne(at, time.Second) }},
		{1, func() { b.add(at, "wave notice") }},
	}
	if reboots {
		choices = append(choices, choice{6, func() { b.add(at, "vm %s reboot", b.host()) }}, choice{2, func() { b.reboot(at, 20, 100) }})
	}
	b.drawOne("fault", choices)
}
