package simtest

import (
	"fmt"
	"time"
)

// closeEvents draws events that are known to be hard to handle together, close to one
// another and in any order.
func (b *scriptBuilder) closeEvents(at time.Duration) {
	b.drawOne("knot", []choice{
		{1, func() { b.cancelHungInOutage(at) }},
		{1, func() { b.limitWithLosses(at) }},
		{1, func() { b.gangLosesMachines(at) }},
		{1, func() { b.lateCommands(at) }},
	})
}

// cancelHungInOutage makes a machine hang, cancels its job and adds an outage of the state
// service, in some cases with the end of all controllers.
func (b *scriptBuilder) cancelHungInOutage(at time.Duration) {
	soon := b.soonAfter(at, 4*time.Second)
	job := b.plainJob(at-b.moment("before", 3*time.Second, 7*time.Second), "")
	b.machineFault(machineOf(job), "hang", soon())
	b.userCancels(soon(), b.node(), job)
	if !b.chance(40, "all end") {
		b.outage(soon(), 50*time.Second)
		return
	}
	b.outage(soon(), 12*time.Second)
	b.kill("all", soon()+b.moment("later", 0, 10*time.Second))
}

// limitWithLosses queues arrays of a limited team in several shards, with commits of
// unknown outcome and takeovers meanwhile.
func (b *scriptBuilder) limitWithLosses(at time.Duration) {
	soon := b.soonAfter(at, 4*time.Second)
	for range b.number("arrays", 2, 3) {
		b.plainJob(at-b.moment("before", 0, 3*time.Second), b.limitedArray(4, 12, 2, 8))
	}
	for range b.number("losses", 1, 2) {
		if loss := b.pick("loss", "lossy", "lossy", "outage", "slow", "refuse n0"); loss == "outage" {
			b.outage(soon(), 14*time.Second)
		} else {
			b.fault(loss, soon())
		}
	}
	if b.chance(50, "one ends") {
		b.kill(b.node(), soon())
	}
	b.machineFault(b.host(), "hang", soon())
}

// gangLosesMachines makes two machines of one gang hang or become unreachable, or has the
// cloud take them away.
func (b *scriptBuilder) gangLosesMachines(at time.Duration) {
	soon := b.soonAfter(at, 4*time.Second)
	job := b.plainJob(at-b.moment("before", 0, 3*time.Second), fmt.Sprintf("gang tasks=%d cpus=4 run=%d saves=3", b.number("tasks", 2, 5), b.number("run", 5, 20)))
	for range 2 {
		b.machineFault(machineOf(job), b.pick("how", "hang", "cut", "take"), soon())
	}
}

// lateCommands delays commands in transit. They arrive after the tasks were placed
// elsewhere, or after their sender has ended and started again.
func (b *scriptBuilder) lateCommands(at time.Duration) {
	job := b.plainJob(at, "")
	for range b.number("cuts", 1, 3) {
		b.add(at+b.moment("about", 0, 1500*time.Millisecond), "vm %s cut for %s", b.host(), b.moment("held", 300*time.Millisecond, 11*time.Second))
	}
	if b.chance(60, "its sender ends") {
		b.killFor(at+b.moment("then", 0, 2*time.Second), b.pick("who", "all", b.controllers[0], b.controllers[1]), b.moment("away", 300*time.Millisecond, 3*time.Second))
	}
	if b.chance(40, "aborted") {
		b.userCancels(at+b.moment("soon", 0, 4*time.Second), b.node(), job)
	}
	if b.chance(30, "lossy") {
		b.fault("lossy", at)
	}
}
