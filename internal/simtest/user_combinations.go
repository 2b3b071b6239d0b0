package simtest

import (
	"fmt"
	"time"
)

// userCombination draws user requests at critical times, or delayed messages, during a
// change of leaders. See docs/design/fault-combinations.md.
func (b *scriptBuilder) userCombination(at time.Duration) {
	b.drawOne("users", []choice{
		{2, func() { b.concurrentReads(at) }},
		{1, func() { b.unansweredWrites(at) }},
		{2, func() { b.limitsWithLostCancellations(at) }},
		{1, func() { b.cancelledInHandover(at) }},
		{1, func() { b.fastBoots(at) }},
		{2, func() { b.heartbeatsForNextOwner(at) }},
		{1, func() { b.machinesCannotSend(at) }},
		{1, func() { b.cancelledAtOnce(at) }},
		{1, func() { b.invalidRequests(at) }},
		{1, func() { b.streamOfJobs(at) }},
	})
}

// soonAndBefore returns functions that draw times up to 5 s after at, and 2 to 6 s before.
func (b *scriptBuilder) soonAndBefore(at time.Duration) (soon, before func() time.Duration) {
	before = func() time.Duration { return at - b.moment("before", 2*time.Second, 6*time.Second) }
	return b.soonAfter(at, 5*time.Second), before
}

// smallJobs submits jobs of one task shortly after one another, and cancels some of them.
func (b *scriptBuilder) smallJobs(at time.Duration) {
	for range b.number("small", 3, 12) {
		job := b.plainJob(at, fmt.Sprintf("array tasks=1 run=%d", b.number("run", 1, 4)))
		at += b.moment("next", 50*time.Millisecond, 500*time.Millisecond)
		if b.chance(25, "cancelled") {
			b.userCancels(at+b.moment("when", 0, 5*time.Second), b.node(), job)
		}
	}
}

// concurrentReads makes users query all controllers as soon as a job is accepted, ends or is
// cancelled.
func (b *scriptBuilder) concurrentReads(at time.Duration) {
	soon, _ := b.soonAndBefore(at)
	b.fault("close looks", at-time.Second)
	b.fault("hasty users", at-time.Second)
	b.fault("cancel at end", at-time.Second)
	b.smallJobs(at)
	b.fault(b.pick("with", "unanswered writes", "slow", "lossy", "refuse "+b.node(), "late writes"), soon())
	if b.chance(50, "change") {
		b.leaderChange(soon())
	}
}

// unansweredWrites loses the responses of transactions that are carried out, while users
// query all controllers.
func (b *scriptBuilder) unansweredWrites(at time.Duration) {
	soon, before := b.soonAndBefore(at)
	b.fault("unanswered writes", at)
	b.fault("close looks", at)
	b.plainJob(soon(), b.limitedArray(2, 8, 1, 4))
	b.plainJob(soon(), fmt.Sprintf("gang tasks=2 cpus=2 run=%d team=lent", b.number("run", 2, 8)))
	b.userCancels(soon(), b.node(), b.plainJob(before(), ""))
	b.leaderChange(soon())
}

// limitsWithLostCancellations fills the limits of two teams with jobs, and cancels these
// jobs while machines that run them cannot receive commands or cannot report.
func (b *scriptBuilder) limitsWithLostCancellations(at time.Duration) {
	soon, before := b.soonAndBefore(at)
	for _, line := range []string{"array tasks=2 run=60 team=tight", "array tasks=4 cpus=4 run=60 team=lent"} {
		job := b.plainJob(before(), line)
		b.machineFault(machineOf(job), b.pick("how", "hang", "cut", "deaf", "mute"), soon())
		b.userCancels(soon(), b.node(), job)
	}
	b.plainJob(soon(), "array tasks=3 run=3 team=tight")
	b.plainJob(soon(), "array tasks=3 cpus=4 run=3 team=lent")
	b.leaderChange(soon())
}

// cancelledInHandover cancels jobs while a shard is taken over and handed back.
func (b *scriptBuilder) cancelledInHandover(at time.Duration) {
	_, before := b.soonAndBefore(at)
	inHandover := func() time.Duration { return at + b.moment("in it", 2*time.Second, 14*time.Second) }
	jobs := []string{b.plainJob(before(), ""), b.plainJob(before(), "gang tasks=2 cpus=4 run=40"), b.plainJob(before(), "service tasks=4")}
	b.killFor(at, b.controllers[0], b.moment("away", 5*time.Second, 9*time.Second))
	for _, job := range jobs {
		b.userCancels(inHandover(), b.node(), job)
	}
	if b.chance(40, "another") {
		b.leaderChange(inHandover())
	}
}

// fastBoots makes new machines boot within a second, while transactions about them are
// delayed or lose their responses.
func (b *scriptBuilder) fastBoots(at time.Duration) {
	soon, _ := b.soonAndBefore(at)
	b.fault("fast boots", at-2*time.Second)
	b.add(at-2*time.Second, "spare 30")
	b.fault(b.pick("writes", "late writes", "unanswered writes", "slow", "lossy"), at)
	b.plainJob(at, fmt.Sprintf("array tasks=%d run=4", b.number("tasks", 16, 60)))
	b.leaderChange(at + b.moment("then", time.Second, 6*time.Second))
	if b.chance(50, "lost") {
		b.fault("lost", soon())
	}
}

// heartbeatsForNextOwner makes old heartbeats reach a shard's new owner before current
// ones.
func (b *scriptBuilder) heartbeatsForNextOwner(at time.Duration) {
	soon, before := b.soonAndBefore(at)
	b.fault("reports for next", at-3*time.Second)
	job := b.plainJob(before(), b.pick("kind", "service tasks=4", "array tasks=8 run=6", "array tasks=2 run=20 team=tight", "gang tasks=2 cpus=4 run=20"))
	b.drawOne("with", []choice{
		{1, func() { b.hangBeyondLease(job, soon()) }},
		{1, func() { b.add(soon(), "vm %s reboot", machineOf(job)) }},
		{1, func() { b.userCancels(soon(), b.node(), job) }},
		{1, func() { b.machineFault(machineOf(job), "deaf", soon()) }},
		{1, func() { b.machineFault(machineOf(job), "mute", soon()) }},
	})
	b.leaderChange(soon())
	b.leaderChange(soon() + b.moment("later", 2*time.Second, 15*time.Second))
}

// machinesCannotSend makes the heartbeats of machines reach no controller, while commands
// reach the machines.
func (b *scriptBuilder) machinesCannotSend(at time.Duration) {
	soon, before := b.soonAndBefore(at)
	job := b.plainJob(before(), b.pick("kind", "service tasks=4", "array tasks=3 run=30", "array tasks=2 run=40 team=tight", "gang tasks=2 cpus=4 run=30 saves=4"))
	b.machineFault(machineOf(job), "mute", soon())
	b.machineFault(machineOf(job), "mute", soon())
	if b.chance(50, "aborted") {
		b.userCancels(soon(), b.node(), job)
	}
	if b.chance(60, "change") {
		b.leaderChange(soon())
	}
}

// cancelledAtOnce cancels several running jobs at once.
func (b *scriptBuilder) cancelledAtOnce(at time.Duration) {
	soon, before := b.soonAndBefore(at)
	for range b.number("jobs", 2, 4) {
		b.plainJob(before(), "")
	}
	b.cancelRunning(at)
	b.leaderChange(soon())
	if b.chance(30, "outage") {
		b.outage(soon(), 14*time.Second)
	}
}

// invalidRequests makes users repeat submissions, cancel jobs that are done and submit jobs
// that cannot run.
func (b *scriptBuilder) invalidRequests(at time.Duration) {
	soon, _ := b.soonAndBefore(at)
	b.fault("odd requests", at)
	b.smallJobs(at)
	b.fault(b.pick("with", "slow", "lossy", "unanswered writes", "refuse "+b.node()), soon())
}

// streamOfJobs submits jobs of one task at a steady rate, and cancels some of them when
// they end.
func (b *scriptBuilder) streamOfJobs(at time.Duration) {
	soon, _ := b.soonAndBefore(at)
	b.add(at, "stream 4 for %s", b.moment("stream", 5*time.Second, 25*time.Second))
	b.fault("cancel at end", soon())
	if b.chance(60, "change") {
		b.leaderChange(soon())
	}
}
