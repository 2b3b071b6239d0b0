package simtest

import (
	"fmt"
	"time"
)

// quotaFaults draws situations that are hard for teams' limits and guarantees: many
// controllers decide at once on the little that is left, while controllers that hold parts
// of it have faults.
func (b *scriptBuilder) quotaFaults(at time.Duration) {
	b.drawOne("quota", []choice{
		{2, func() { b.lastTasksOfLimit(at) }},
		{1, func() { b.gangsNeedWholeLimit(at) }},
		{3, func() { b.claimedGuarantee(at) }},
		{1, func() { b.changedLimit(at) }},
		{1, func() { b.allotmentsOffAndOn(at) }},
	})
}

// quotaHolderFaults draws faults of controllers that hold a part of a limit.
func (b *scriptBuilder) quotaHolderFaults(at time.Duration) {
	soon := b.soonAfter(at, 5*time.Second)
	for range b.number("hurts", 1, 2) {
		b.drawOne("hurt", []choice{
			{1, func() { b.kill(b.node(), soon()) }},
			{2, func() { b.freezeOne(soon(), 500*time.Millisecond) }},
			{1, func() { b.fault("refuse "+b.node(), soon()) }},
			{2, func() { b.fault("lossy", soon()) }},
			{1, func() { b.fault("slow", soon()) }},
			{1, func() { b.outage(soon(), 14*time.Second) }},
			{1, func() { b.fault("alone "+b.node(), soon()) }},
			{1, func() { b.kill("all", soon()) }},
		})
	}
}

// lastTasksOfLimit makes all controllers decide at the same moment on the last tasks of a
// limit.
func (b *scriptBuilder) lastTasksOfLimit(at time.Duration) {
	team := b.pick("team", "tight", "tight", "lent")
	for _, node := range b.controllers {
		b.userSubmits(at, node, b.nextJobID(), fmt.Sprintf("array tasks=%d run=%d team=%s", b.number("tasks", 1, 6), b.number("run", 1, 6), team))
	}
	b.quotaHolderFaults(at)
}

// gangsNeedWholeLimit submits two gangs that each need the whole limit while arrays use
// parts of it in every shard.
func (b *scriptBuilder) gangsNeedWholeLimit(at time.Duration) {
	soon := b.soonAfter(at, 5*time.Second)
	for range 3 {
		b.plainJob(at-b.moment("before", 0, 2*time.Second), b.limitedArray(2, 8, 1, 5))
	}
	for range 2 {
		b.plainJob(soon(), fmt.Sprintf("gang tasks=2 cpus=2 run=%d team=tight", b.number("run", 1, 6)))
	}
	b.quotaHolderFaults(at)
}

// claimedGuarantee makes a team claim its guarantee from a team that has filled the
// machines.
func (b *scriptBuilder) claimedGuarantee(at time.Duration) {
	for range b.number("lenders", 2, 4) {
		b.plainJob(at-b.moment("before", 3*time.Second, 6*time.Second), fmt.Sprintf("array tasks=%d run=%d", b.number("tasks", 8, 24), b.number("run", 10, 25)))
	}
	claimedAt := at + b.moment("claim", 0, time.Second)
	for range b.number("claimants", 2, 6) {
		job := b.plainJob(claimedAt, b.pick("claims", "gang tasks=2 cpus=2 run=5 team=lent", "gang tasks=1 cpus=4 run=6 team=lent", "array tasks=6 run=4 team=lent", "array tasks=3 cpus=4 run=4 team=lent"))
		if b.chance(25, "aborted") {
			b.userCancels(claimedAt+b.moment("abort", 0, 3*time.Second), b.node(), job)
		}
	}
	if b.chance(60, "hurt") {
		b.quotaHolderFaults(at)
	}
}

// mayRestartAll reports whether a change may depend on the restart of every controller, and
// if so reserves the script for that change. A change may not if another change has reserved the
// script, or if kills can be dropped: a controller that is not restarted would not receive
// the changed configuration.
func (b *scriptBuilder) mayRestartAll() bool {
	if len(b.killFreeSpans) > 0 || b.needsAllRestarts {
		return false
	}
	b.needsAllRestarts = true
	return true
}

// changedLimit lowers a limit and raises it again, each time with a rolling restart.
func (b *scriptBuilder) changedLimit(at time.Duration) {
	if !b.mayRestartAll() {
		return
	}
	for range 2 {
		b.plainJob(at-b.moment("before", 0, 2*time.Second), fmt.Sprintf("array tasks=%d run=%d team=lent", b.number("tasks", 4, 16), b.number("run", 1, 5)))
	}
	b.rollingRestart(at, fmt.Sprintf("team lent cpus=8 most=%d", b.number("lowered", 4, 12)))
	b.add(at+19*time.Second, "hold lent")
	b.rollingRestart(at+20*time.Second, fmt.Sprintf("team lent cpus=8 most=%d", b.number("raised", 14, 24)))
}

// allotmentsOffAndOn restarts the controllers as versions without allotments, and later as
// versions with allotments.
func (b *scriptBuilder) allotmentsOffAndOn(at time.Duration) {
	if !b.mayRestartAll() {
		return
	}
	for i := range 4 {
		b.plainJob(at+time.Duration(i)*4*time.Second, b.limitedArray(2, 8, 1, 5))
	}
	b.rollingRestart(at, "allot off")
	b.rollingRestart(at+18*time.Second, "allot on")
}
