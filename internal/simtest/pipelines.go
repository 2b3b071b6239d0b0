package simtest

import (
	"fmt"
	"strings"
	"time"

	"pgregory.net/rapid"
)

// GenerateDependencies draws a schedule as Script does and adds pipelines to it, with troubles of
// their own: what Script draws from a seed stays as it was.
func GenerateDependencies() *rapid.Generator[string] {
	return rapid.Custom(func(t *rapid.T) string {
		d := storms(t)
		lowers := d.yes(35, "limits are announced")
		if lowers {
			d.add(0, "announce 2048 4 21")
		}
		for range d.number("pipelines", 1, 3) {
			d.pipeline(d.moment("pipeline", 8*time.Second, 45*time.Second))
		}
		if lowers {
			d.add(d.moment("lowered", 10*time.Second, 50*time.Second), "lower")
		}
		return d.text()
	})
}

// pipeline draws a graph of jobs: each needs some of those before it, the last one has a
// deadline and comes when the others are over, at times.
func (d *draft) pipeline(at time.Duration) {
	var refs []string
	now := at
	stages := d.number("stages", 2, 5)
	for stage := range stages {
		before := refs
		for range d.number("wide", 1, 3) {
			refs = append(refs, d.stage(now, before, stage == stages-1))
		}
		now += d.moment("next", 0, 1500*time.Millisecond)
		if stage == stages-2 && d.yes(15, "late") {
			now += d.moment("over", 10*time.Second, 60*time.Second)
		}
	}
	soon := func() time.Duration { return at + d.moment("soon", 0, 25*time.Second) }
	for range d.number("cancelled", 0, 2) {
		when := soon()
		d.add(when, "user %s abort %s", d.node(), refs[d.number("which", 0, len(refs)-1)])
		if d.yes(30, "outage follows") {
			d.outage(when+d.moment("then", 0, 800*time.Millisecond), 45*time.Second)
		}
	}
	for range d.number("hurts", 0, 3) {
		switch d.pick("hurt", "kill", "kill all", "freeze", "refuse", "unanswered writes", "late writes", "slow", "deaf", "machine", "looks") {
		case "kill":
			d.kill(d.node(), soon())
		case "kill all":
			d.kill("all", soon())
		case "freeze":
			d.add(soon(), "freeze %s on for %s", d.node(), d.moment("still", 500*time.Millisecond, 20*time.Second))
		case "refuse":
			d.trouble("refuse "+d.node(), soon())
		case "deaf":
			d.trouble("deaf "+d.node(), soon())
		case "machine":
			d.machine("@"+refs[0], d.pick("how", "hang", "cut"), soon())
		case "looks":
			d.add(soon(), "trouble close looks on for 15s")
		default:
			d.trouble(d.pick("which", "unanswered writes", "late writes", "slow"), soon())
		}
	}
	for range d.number("questions", 1, 4) {
		d.add(soon()+d.moment("later", 0, 40*time.Second), "user %s poll %s", d.node(), refs[d.number("which", 0, len(refs)-1)])
	}
}

// stage submits a job that needs some of those before it.
func (d *draft) stage(at time.Duration, before []string, last bool) string {
	d.jobs++
	ref := fmt.Sprintf("wk-%d", d.jobs)
	f := []string{d.pick("kind",
		fmt.Sprintf("array tasks=%d run=%d", d.number("tasks", 1, 12), d.number("run", 1, 8)),
		fmt.Sprintf("gang tasks=%d run=%d saves=2", d.number("gang", 1, 3), d.number("run", 1, 8)),
		fmt.Sprintf("array tasks=%d run=%d team=%s", d.number("few", 1, 4), d.number("short", 1, 5), d.pick("team", "tight", "lent", "guest rank=idle")))}
	if last {
		f = append(f, fmt.Sprintf("rank=high due=%d", d.number("due", 20, 90)))
	}
	if len(before) > 0 {
		needs := []string{before[len(before)-1]}
		for _, need := range before[:len(before)-1] {
			if d.yes(30, "needs") {
				needs = append(needs, need)
			}
		}
		f = append(f, "needs="+strings.Join(needs, ","))
	}
	d.add(at, "user %s submit %s %s", d.node(), ref, strings.Join(f, " "))
	return ref
}
