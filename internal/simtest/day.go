package simtest

import (
	"fmt"
	"time"

	"pgregory.net/rapid"
)

// dayEnd is the time in a day's script at which the check for starved classes and teams runs.
const dayEnd = 200 * time.Second

// GenerateDay draws a script with some minutes of steady work, enough machines for that work,
// and faults at intervals. The script checks that no class and no team starves.
func GenerateDay() *rapid.Generator[string] {
	return rapid.Custom(func(t *rapid.T) string {
		b := &scriptBuilder{t: t, controllers: controllerNames(defaultControllerCount)}
		b.add(0, "machines %d a", b.number("in a", 4, 7))
		b.add(0, "machines %d b", b.number("in b", 4, 7))
		b.add(0, "spare 40")
		for at := 6 * time.Second; at < dayEnd-80*time.Second; at += b.moment("next", 2*time.Second, 6*time.Second) {
			b.dayJob(at)
		}
		if b.chance(60, "guest") {
			b.dayGuest(b.moment("guest", 10*time.Second, 60*time.Second))
		}
		for at := 20 * time.Second; at < dayEnd-70*time.Second; at += b.moment("calm", 12*time.Second, 30*time.Second) {
			b.dayFault(at)
		}
		b.add(dayEnd, "expect served 50")
		return b.script()
	})
}

// dayJob submits a service, gang or array of the default team. Some of these jobs fail, and
// users cancel some.
func (b *scriptBuilder) dayJob(at time.Duration) {
	job := b.pick("job", "service tasks=2 rank=critical", "service tasks=3 rank=critical", "gang tasks=2 cpus=4 run=10 saves=4 rank=high",
		fmt.Sprintf("array tasks=%d run=4", b.number("tasks", 4, 16)), fmt.Sprintf("array tasks=%d run=8 cheap", b.number("tasks", 4, 16)))
	if b.chance(8, "broken") {
		job += " fails"
	}
	jobID := b.plainJob(at, job)
	if b.chance(30, "ended") {
		b.userCancels(at+b.moment("used", 20*time.Second, 70*time.Second), b.node(), jobID)
	}
}

// dayGuest submits more best-effort work of another team than the machines have capacity for.
func (b *scriptBuilder) dayGuest(at time.Duration) {
	b.drawOne("guest's", []choice{
		{1, func() {
			b.plainJob(at, fmt.Sprintf("array tasks=%d run=1 cpus=0.25 class=huge team=guest rank=idle cheap", b.number("huge", 200, 600)))
		}},
		{1, func() { b.manyTinyJobs(at) }},
		{1, func() {
			b.plainJob(at, fmt.Sprintf("array tasks=%d run=30 saves=5 class=long team=guest rank=idle cheap", b.number("long", 10, 40)))
		}},
	})
}

// manyTinyJobs submits a sequence of small best-effort arrays of another team.
func (b *scriptBuilder) manyTinyJobs(at time.Duration) {
	for range b.number("tiny", 10, 30) {
		b.plainJob(at, fmt.Sprintf("array tasks=%d run=1 cpus=0.25 class=tiny team=guest rank=idle", b.number("tasks", 1, 6)))
		at += b.moment("next", 200*time.Millisecond, 3*time.Second)
	}
}

// dayFault draws one of the faults that a day may have.
func (b *scriptBuilder) dayFault(at time.Duration) {
	b.drawOne("trouble", []choice{
		{1, func() { b.kill(b.node(), at) }},
		{1, func() { b.killFor(at, "all", b.shortDowntime(3*time.Second)) }},
		{1, func() { b.freezeOne(at, time.Second) }},
		{1, func() { b.add(at, "vm %s hang for %s", b.host(), b.moment("hung", time.Second, 30*time.Second)) }},
		{1, func() { b.add(at, "vm %s sick for %s", b.host(), b.moment("sick", 10*time.Second, 60*time.Second)) }},
		{1, func() {
			b.add(at, "trouble %s boots on for %s", b.pick("boots", "slow", "no", "fast"), b.moment("boots", 10*time.Second, 40*time.Second))
		}},
		{1, func() { b.pollBurst(at, 10*time.Second) }},
		{1, func() { b.reboot(at, 5, 60) }},
		{1, func() { b.add(at, "trouble outage on for %s", b.moment("outage", time.Second, 8*time.Second)) }},
		{1, func() {
			b.add(at, "trouble refuse %s on for %s", b.node(), b.moment("refused", 2*time.Second, 20*time.Second))
		}},
		{1, func() { b.add(at, "wave notice") }},
	})
}
