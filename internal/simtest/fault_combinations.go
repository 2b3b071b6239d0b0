package simtest

import (
	"fmt"
	"time"
)

// faultCombination draws two faults that overlap on purpose: the pairs under which most
// violations of the rules occurred. See docs/design/fault-combinations.md.
func (b *scriptBuilder) faultCombination(at time.Duration) {
	soon := b.soonAfter(at, 4*time.Second)
	job := b.plainJob(at-b.moment("before", 3*time.Second, 7*time.Second), b.pick("kind", "service tasks=4", "service tasks=6 spread",
		"array tasks=12 run=60", "gang tasks=3 cpus=4 run=60", "gang tasks=2 cpus=8 run=40 saves=5", fmt.Sprintf("array tasks=3 run=%d", b.number("run", 3, 12))))
	node := b.node()
	if b.chance(50, "one beside") {
		b.concurrentFault(soon())
	}
	b.drawOne("meeting", []choice{
		{2, func() { b.refusedThenOutage(at, job, node) }},
		{2, func() { b.severed(at, job, node) }},
		{2, func() { b.machinesCannotReceive(at, job, node) }},
		{2, func() { b.lateWrites(at, job, node) }},
		{1, func() { b.lateHeartbeats(at, job, node) }},
		{1, func() { b.tasksEndFarApart(at) }},
	})
}

// concurrentFault draws one more fault, for pairs that faultCombination does not list.
func (b *scriptBuilder) concurrentFault(at time.Duration) {
	b.drawOne("beside", []choice{
		{1, func() { b.freezeOne(at, time.Second) }},
		{1, func() { b.partitionZone(at, time.Second, 15*time.Second) }},
		{1, func() { b.reboot(at, 20, 100) }},
		{1, func() { b.kill("all", at) }},
		{1, func() { b.fault("slow", at) }},
		{1, func() { b.concurrentLimitedArrays(at) }},
		{1, func() {
			b.plainJob(at-2*time.Second, fmt.Sprintf("array tasks=%d run=%d", b.number("tasks", 8, 20), b.number("run", 10, 20)))
			b.plainJob(at, b.pick("claims", "gang tasks=2 cpus=2 run=5 team=lent", "array tasks=3 cpus=4 run=4 team=lent"))
		}},
	})
}

// concurrentLimitedArrays submits an array of a limited team to each controller at once, so
// that all controllers decide on the last tasks of the limit at the same time.
func (b *scriptBuilder) concurrentLimitedArrays(at time.Duration) {
	for _, node := range b.controllers {
		b.userSubmits(at, node, b.nextJobID(), b.limitedArray(1, 4, 1, 6))
	}
}

// refusedThenOutage makes the state service refuse the requests of only one controller while
// jobs are cancelled through drawn controllers. After that the state service is unavailable,
// possibly for longer than the cancel deadline.
func (b *scriptBuilder) refusedThenOutage(at time.Duration, job, refused string) {
	window := b.moment("window", 300*time.Millisecond, 12*time.Second)
	b.fault("refuse "+refused, at)
	if b.chance(60, "unheard") {
		b.fault("alone "+refused, at-b.moment("from", 0, time.Second))
	}
	for range b.number("aborts", 1, 3) {
		cancelled := job
		if b.chance(50, "another") {
			cancelled = b.plainJob(at-b.moment("before", 2*time.Second, 6*time.Second), "service tasks=3")
		}
		b.userCancels(at+b.moment("in the window", 0, window), b.node(), cancelled)
	}
	b.outage(at+window, 45*time.Second)
}

// severed disconnects a controller from the state service and its peers, but not from its
// agents and users.
func (b *scriptBuilder) severed(at time.Duration, job, severed string) {
	soon := b.soonAfter(at, 4*time.Second)
	b.fault("severed "+severed, at)
	b.userCancels(soon(), b.node(), job)
	b.drawOne("then", []choice{
		{1, func() { b.outage(soon(), 40*time.Second) }},
		{1, func() { b.kill(severed, soon()) }},
		{1, func() { b.kill("all", soon()) }},
		{1, func() { b.reboot(soon(), 20, 100) }},
		{1, func() { b.freezeOne(soon(), time.Second) }},
		{1, drawNothing},
	})
	b.plainJob(soon(), "array tasks=6 run=4 team=tight")
}

// machinesCannotReceive makes machines lose everything that is sent to them, while their
// heartbeats arrive.
func (b *scriptBuilder) machinesCannotReceive(at time.Duration, job, node string) {
	soon := b.soonAfter(at, 4*time.Second)
	for range b.number("machines", 1, 2) {
		b.machineFault(machineOf(job), "deaf", soon())
	}
	if b.chance(60, "aborted") {
		b.userCancels(soon(), b.node(), job)
	}
	if b.chance(60, "one ends") {
		b.kill(node, soon())
	}
	if b.chance(40, "outage") {
		b.outage(soon(), 30*time.Second)
	}
	if b.chance(30, "late reports") {
		b.fault("late reports", at)
	}
}

// lateWrites delays transactions that got no response, so that they are carried out after
// newer changes of the same controller.
func (b *scriptBuilder) lateWrites(at time.Duration, job, node string) {
	soon := b.soonAfter(at, 4*time.Second)
	b.fault("late writes", at)
	b.plainJob(soon(), b.limitedArray(3, 9, 2, 8))
	b.plainJob(soon(), fmt.Sprintf("gang tasks=2 cpus=2 run=%d team=lent", b.number("run", 2, 8)))
	if b.chance(50, "aborted") {
		b.userCancels(soon(), b.node(), job)
	}
	b.drawOne("with", []choice{
		{1, func() { b.kill(node, soon()) }},
		{1, func() { b.kill("all", soon()) }},
		{1, func() { b.machineFault(machineOf(job), "hang", soon()) }},
		{1, func() { b.fault("refuse "+node, soon()) }},
		{1, func() { b.fault("slow", soon()) }},
		{1, drawNothing},
	})
}

// lateHeartbeats makes old heartbeats arrive after newer ones, among them heartbeats of an
// earlier agent epoch or incarnation.
func (b *scriptBuilder) lateHeartbeats(at time.Duration, job, node string) {
	soon := b.soonAfter(at, 4*time.Second)
	b.fault("late reports", at-b.moment("from", 0, 3*time.Second))
	for range b.number("times", 1, 2) {
		b.drawOne("with", []choice{
			{1, func() { b.add(soon(), "vm %s reboot", machineOf(job)) }},
			{1, func() { b.hangBeyondLease(job, soon()) }},
			{1, func() { b.machineFault(machineOf(job), "deaf", soon()) }},
			{1, func() { b.kill(node, soon()) }},
			{1, func() { b.userCancels(soon(), b.node(), job) }},
		})
	}
}

// hangBeyondLease makes the machine of one of a job's tasks hang for about as long as its
// lease, or longer.
func (b *scriptBuilder) hangBeyondLease(job string, at time.Duration) {
	b.add(at, "vm %s hang for %s", machineOf(job), b.moment("beyond its lease", 10*time.Second, 20*time.Second))
}

// tasksEndFarApart makes two tasks of a job end at widely different times, with changes of
// shard owners in between.
func (b *scriptBuilder) tasksEndFarApart(at time.Duration) {
	soon := b.soonAfter(at, 4*time.Second)
	job := b.plainJob(at-b.moment("before", 0, 3*time.Second), fmt.Sprintf("array tasks=2 run=%d", b.number("run", 3, 10)))
	b.machineFault(machineOf(job), b.pick("how", "hang", "cut", "slow", "deaf"), soon())
	for range b.number("changes", 1, 3) {
		b.kill(b.node(), soon()+b.moment("later", 0, 10*time.Second))
	}
	if b.chance(40, "aborted") {
		b.userCancels(soon()+b.moment("later", 0, 10*time.Second), b.node(), job)
	}
}
