package simtest

import (
	"fmt"
	"time"

	"pgregory.net/rapid"
)

// GenerateScript draws a script: jobs of every shape on a few machines, with faults that
// come in bursts, since single faults are covered by the kept traces.
func GenerateScript() *rapid.Generator[string] {
	return rapid.Custom(func(t *rapid.T) string { return outageBursts(t).script() })
}

func outageBursts(t *rapid.T) *scriptBuilder {
	b := &scriptBuilder{t: t, controllers: controllerNames(defaultControllerCount)}
	b.fleet()
	for range b.number("storms", 1, 3) {
		b.outageBurst(b.moment("storm", 7*time.Second, 50*time.Second))
	}
	for range b.number("jobs apart", 0, 3) {
		b.anyJob(b.moment("job", 4*time.Second, 60*time.Second))
	}
	for range b.number("polls", 1, 5) {
		b.userPolls(b.moment("poll", 5*time.Second, 90*time.Second), b.node(), fmt.Sprintf("wk-%d", b.number("ref", 1, 12)))
	}
	return b
}

// fleet draws how many controllers and machines the cluster has.
func (b *scriptBuilder) fleet() {
	if b.chance(15, "many controllers") {
		b.controllers = controllerNames(b.number("controllers", 4, 7))
		b.add(0, "controllers %d", len(b.controllers))
	}
	if b.chance(4, "many machines") {
		b.add(0, "machines %d %s", b.number("many", 40, 150), b.pick("zone", "a", "b"))
	}
	b.add(0, "machines %d a", b.number("in a", 1, 4))
	b.add(0, "machines %d b", b.number("in b", 1, 3))
	if b.chance(35, "cheap ones") {
		b.add(0, "machines %d a m8 cheap", b.number("cheap", 1, 3))
	}
	if b.chance(35, "cards") {
		b.add(0, "machines %d b g2", b.number("with cards", 1, 2))
	}
	b.add(0, "spare %d", b.number("spare", 0, 8))
	if b.chance(12, "one record") {
		b.add(0, "allot off")
	}
}

// outageBurst draws jobs and faults that overlap.
func (b *scriptBuilder) outageBurst(at time.Duration) {
	for range b.number("jobs", 1, 3) {
		b.anyJob(at - b.moment("before", 0, 5*time.Second))
	}
	for _, part := range []struct {
		percent int
		label   string
		draw    func(b *scriptBuilder, at time.Duration)
	}{
		{50, "knot", (*scriptBuilder).closeEvents},
		{35, "tangle", (*scriptBuilder).processAndZoneFaults},
		{35, "quota", (*scriptBuilder).quotaFaults},
		{30, "at once", (*scriptBuilder).quickRestarts},
		{40, "meeting", (*scriptBuilder).faultCombination},
		{40, "users", (*scriptBuilder).userCombination},
	} {
		if b.chance(part.percent, part.label) {
			part.draw(b, at)
		}
	}
	for range b.number("troubles", 1, 5) {
		b.singleFault(at + b.moment("within", 0, 12*time.Second))
	}
}

// singleFault draws one fault; faults that find more failures have higher weights.
func (b *scriptBuilder) singleFault(at time.Duration) {
	b.drawOne("trouble", []choice{
		{2, func() { b.kill(b.node(), at) }},
		{2, func() { b.kill("all", at) }},
		{2, func() { b.outage(at, 14*time.Second) }},
		{2, func() { b.fault("refuse "+b.node(), at) }},
		{1, func() { b.fault("slow", at) }},
		{2, func() { b.fault("lossy", at) }},
		{1, func() { b.fault("deaf "+b.node(), at) }},
		{1, func() { b.fault("alone "+b.node(), at) }},
		{1, func() { b.cloudOutage(at) }},
		{1, func() { b.fault("stingy", at) }},
		{1, func() { b.fault("half", at) }},
		{2, func() { b.fault("lost", at) }},
		{3, func() { b.machineFault(b.host(), "hang", at) }},
		{2, func() { b.machineFault(b.host(), "cut", at) }},
		{1, func() { b.machineFault(b.host(), "sick", at) }},
		{1, func() { b.machineFault(b.host(), "slow", at) }},
		{1, func() { b.machineFault(b.host(), b.pick("how", "take", "notice"), at) }},
		{1, func() { b.add(at, "wave %s", b.pick("how", "take", "notice")) }},
		{1, func() { b.add(at, "vm %s reboot", b.host()) }},
		{1, func() { b.bootFault(at) }},
		{1, func() { b.pollBurst(at, 8*time.Second) }},
		{2, func() { b.fault(b.pick("which", "late writes", "late reports"), at) }},
		{1, func() { b.fault("severed "+b.node(), at) }},
		{1, func() { b.machineFault(b.host(), "deaf", at) }},
		{5, func() { b.answerFault(at) }},
		{1, func() { b.machineFault(b.host(), "mute", at) }},
		{1, func() { b.cancelRunning(at) }},
	})
}

// bootFault draws a fault under which new machines boot slowly, never, or at once.
func (b *scriptBuilder) bootFault(at time.Duration) {
	b.fault(b.pick("boots", "slow", "slow", "no", "fast")+" boots", at)
}

// pollBurst makes users query jobs 50 to 400 times a second.
func (b *scriptBuilder) pollBurst(at, longest time.Duration) {
	b.add(at, "polls %d for %s", b.number("polls", 50, 400), b.moment("storm", time.Second, longest))
}

// answerFault draws a fault of the responses or heartbeats that controllers receive, or of
// what users request and when.
func (b *scriptBuilder) answerFault(at time.Duration) {
	b.fault(b.pick("which", "unanswered writes", "reports for next", "close looks", "cancel at end", "odd requests"), at)
}
