package simtest

import (
	"fmt"
	"time"
)

// beside draws one more trouble for the pairs that are named nowhere.
func (d *draft) beside(at time.Duration) {
	switch d.pick("beside", "freeze", "zone", "reboot", "all end", "slow", "limit", "guarantee") {
	case "freeze":
		d.add(at, "freeze %s on for %s", d.node(), d.moment("still", time.Second, 20*time.Second))
	case "zone":
		d.add(at, "zone %s cut for %s", d.pick("zone", "a", "b"), d.moment("cut", time.Second, 15*time.Second))
	case "reboot":
		d.add(at, "reboot %d", d.number("percent", 20, 100))
	case "all end":
		d.kill("all", at)
	case "slow":
		d.trouble("slow", at)
	case "limit":
		// At its limit's edge, decided by all at once.
		for _, node := range d.names {
			d.jobs++
			d.add(at, "user %s submit wk-%d array tasks=%d run=%d team=tight", node, d.jobs, d.number("tasks", 1, 4), d.number("run", 1, 6))
		}
	case "guarantee":
		d.quiet(at-2*time.Second, fmt.Sprintf("array tasks=%d run=%d", d.number("tasks", 8, 20), d.number("run", 10, 20)))
		d.quiet(at, d.pick("claims", "gang tasks=2 cpus=2 run=5 team=lent", "array tasks=3 cpus=4 run=4 team=lent"))
	}
}

// meeting draws two troubles that meet on purpose: those of which most broken rules
// were made. See docs/design/meetings.md.
func (d *draft) meeting(at time.Duration) {
	soon := func() time.Duration { return at + d.moment("soon", 0, 4*time.Second) }
	job := d.quiet(at-d.moment("before", 3*time.Second, 7*time.Second), d.pick("kind", "service tasks=4", "service tasks=6 spread",
		"array tasks=12 run=60", "gang tasks=3 cpus=4 run=60", "gang tasks=2 cpus=8 run=40 saves=5", fmt.Sprintf("array tasks=3 run=%d", d.number("run", 3, 12))))
	who := d.node()
	if d.yes(50, "one beside") {
		d.beside(soon())
	}
	switch d.pick("meeting", "refused then down", "refused then down", "severed", "severed", "deaf", "deaf", "late writes", "late writes", "late reports", "far apart") {
	case "refused then down":
		// One is refused alone, jobs are cancelled through others, and then nobody is
		// served for longer than the bound.
		window := d.moment("window", 300*time.Millisecond, 12*time.Second)
		d.trouble("refuse "+who, at)
		if d.yes(60, "unheard") {
			d.trouble("alone "+who, at-d.moment("from", 0, time.Second))
		}
		for range d.number("aborts", 1, 3) {
			ref := job
			if d.yes(50, "another") {
				ref = d.quiet(at-d.moment("before", 2*time.Second, 6*time.Second), "service tasks=3")
			}
			d.add(at+d.moment("in the window", 0, window), "user %s abort %s", d.node(), ref)
		}
		d.outage(at+window, 45*time.Second)
	case "severed":
		// It loses the state service and its peers, not its workers and users.
		d.trouble("severed "+who, at)
		d.add(soon(), "user %s abort %s", d.node(), job)
		switch d.pick("then", "outage", "ends", "all end", "reboot", "freeze", "") {
		case "outage":
			d.outage(soon(), 40*time.Second)
		case "ends":
			d.kill(who, soon())
		case "all end":
			d.kill("all", soon())
		case "reboot":
			d.add(soon(), "reboot %d", d.number("percent", 20, 100))
		case "freeze":
			d.add(soon(), "freeze %s on for %s", d.node(), d.moment("still", time.Second, 20*time.Second))
		}
		d.quiet(soon(), "array tasks=6 run=4 team=tight")
	case "deaf":
		// A machine's reports arrive, and nothing that is sent to it does.
		for range d.number("machines", 1, 2) {
			d.machine(fmt.Sprint("@", job), "deaf", soon())
		}
		if d.yes(60, "aborted") {
			d.add(soon(), "user %s abort %s", d.node(), job)
		}
		if d.yes(60, "one ends") {
			d.kill(who, soon())
		}
		if d.yes(40, "outage") {
			d.outage(soon(), 30*time.Second)
		}
		if d.yes(30, "late reports") {
			d.trouble("late reports", at)
		}
	case "late writes":
		// What had no answer is carried out after newer changes of the same controller.
		d.trouble("late writes", at)
		d.quiet(soon(), fmt.Sprintf("array tasks=%d run=%d team=tight", d.number("tasks", 3, 9), d.number("run", 2, 8)))
		d.quiet(soon(), fmt.Sprintf("gang tasks=2 cpus=2 run=%d team=lent", d.number("run", 2, 8)))
		if d.yes(50, "aborted") {
			d.add(soon(), "user %s abort %s", d.node(), job)
		}
		switch d.pick("with", "ends", "all end", "hang", "refuse", "slow", "") {
		case "ends":
			d.kill(who, soon())
		case "all end":
			d.kill("all", soon())
		case "hang":
			d.machine(fmt.Sprint("@", job), "hang", soon())
		case "refuse":
			d.trouble("refuse "+who, soon())
		case "slow":
			d.trouble("slow", soon())
		}
	case "late reports":
		// Old accounts come after newer ones, of an earlier session or life too.
		d.trouble("late reports", at-d.moment("from", 0, 3*time.Second))
		for range d.number("times", 1, 2) {
			switch d.pick("with", "reboot", "hang", "deaf", "ends", "aborted") {
			case "reboot":
				d.add(soon(), "vm @%s reboot", job)
			case "hang":
				d.add(soon(), "vm @%s hang for %s", job, d.moment("beyond its lease", 10*time.Second, 20*time.Second))
			case "deaf":
				d.machine(fmt.Sprint("@", job), "deaf", soon())
			case "ends":
				d.kill(who, soon())
			case "aborted":
				d.add(soon(), "user %s abort %s", d.node(), job)
			}
		}
	case "far apart":
		// Tasks that end far apart, a change of owners between.
		ref := d.quiet(at-d.moment("before", 0, 3*time.Second), fmt.Sprintf("array tasks=2 run=%d", d.number("run", 3, 10)))
		d.machine(fmt.Sprint("@", ref), d.pick("how", "hang", "cut", "slow", "deaf"), soon())
		for range d.number("changes", 1, 3) {
			d.kill(d.node(), soon()+d.moment("later", 0, 10*time.Second))
		}
		if d.yes(40, "aborted") {
			d.add(soon()+d.moment("later", 0, 10*time.Second), "user %s abort %s", d.node(), ref)
		}
	}
}

// callOff has several jobs that run cancelled at once, and at times their machines hang
// for longer than the bound.
func (d *draft) callOff(at time.Duration) {
	if d.yes(50, "hang") {
		d.add(at, "calloff %d hang %s", d.number("jobs", 1, 5), d.moment("hung", time.Second, 40*time.Second))
		return
	}
	d.add(at, "calloff %d", d.number("jobs", 1, 5))
}

// change draws a change of leaders.
func (d *draft) change(at time.Duration) {
	switch d.pick("change", "one ends", "one ends", "by turns", "all end", "freeze", "refuse") {
	case "one ends":
		d.kill(d.node(), at)
	case "by turns":
		for range d.number("turns", 2, 4) {
			d.kill(d.node(), at)
			at += d.moment("turn", 300*time.Millisecond, 5*time.Second)
		}
	case "all end":
		d.kill("all", at)
	case "freeze":
		d.add(at, "freeze %s on for %s", d.node(), d.moment("still", time.Second, 20*time.Second))
	case "refuse":
		d.trouble("refuse "+d.node(), at)
	}
}

// usersMeet draws what users do at the worst moments, or what comes late, in a change of
// leaders. See docs/design/meetings.md.
func (d *draft) usersMeet(at time.Duration) {
	soon := func() time.Duration { return at + d.moment("soon", 0, 5*time.Second) }
	before := func() time.Duration { return at - d.moment("before", 2*time.Second, 6*time.Second) }
	small := func(at time.Duration) {
		for range d.number("small", 3, 12) {
			ref := d.quiet(at, fmt.Sprintf("array tasks=1 run=%d", d.number("run", 1, 4)))
			if at += d.moment("next", 50*time.Millisecond, 500*time.Millisecond); d.yes(25, "cancelled") {
				d.add(at+d.moment("when", 0, 5*time.Second), "user %s abort %s", d.node(), ref)
			}
		}
	}
	switch d.pick("users", "looks", "looks", "unanswered", "limits", "limits", "handover", "boots", "for next", "for next", "mute", "calloff", "odd", "small") {
	case "looks":
		d.trouble("close looks", at-time.Second)
		d.trouble("hasty users", at-time.Second)
		d.trouble("cancel at end", at-time.Second)
		small(at)
		d.trouble(d.pick("with", "unanswered writes", "slow", "lossy", "refuse "+d.node(), "late writes"), soon())
		if d.yes(50, "change") {
			d.change(soon())
		}
	case "unanswered":
		d.trouble("unanswered writes", at)
		d.trouble("close looks", at)
		d.quiet(soon(), fmt.Sprintf("array tasks=%d run=%d team=tight", d.number("tasks", 2, 8), d.number("run", 1, 4)))
		d.quiet(soon(), fmt.Sprintf("gang tasks=2 cpus=2 run=%d team=lent", d.number("run", 2, 8)))
		d.add(soon(), "user %s abort %s", d.node(), d.quiet(before(), ""))
		d.change(soon())
	case "limits":
		// Every team is at its limit, with work that is cancelled where nobody hears it.
		for _, job := range []string{"array tasks=2 run=60 team=tight", "array tasks=4 cpus=4 run=60 team=lent"} {
			ref := d.quiet(before(), job)
			d.machine("@"+ref, d.pick("how", "hang", "cut", "deaf", "mute"), soon())
			d.add(soon(), "user %s abort %s", d.node(), ref)
		}
		d.quiet(soon(), "array tasks=3 run=3 team=tight")
		d.quiet(soon(), "array tasks=3 cpus=4 run=3 team=lent")
		d.change(soon())
	case "handover":
		refs := []string{d.quiet(before(), ""), d.quiet(before(), "gang tasks=2 cpus=4 run=40"), d.quiet(before(), "service tasks=4")}
		d.add(at, "kill %s for %s", d.names[0], d.moment("away", 5*time.Second, 9*time.Second))
		for _, ref := range refs {
			d.add(at+d.moment("in it", 2*time.Second, 14*time.Second), "user %s abort %s", d.node(), ref)
		}
		if d.yes(40, "another") {
			d.change(at + d.moment("in it", 2*time.Second, 14*time.Second))
		}
	case "boots":
		d.trouble("fast boots", at-2*time.Second)
		d.add(at-2*time.Second, "spare 30")
		d.trouble(d.pick("writes", "late writes", "unanswered writes", "slow", "lossy"), at)
		d.quiet(at, fmt.Sprintf("array tasks=%d run=4", d.number("tasks", 16, 60)))
		d.change(at + d.moment("then", time.Second, 6*time.Second))
		if d.yes(50, "lost") {
			d.trouble("lost", soon())
		}
	case "for next":
		d.trouble("reports for next", at-3*time.Second)
		job := d.quiet(before(), d.pick("kind", "service tasks=4", "array tasks=8 run=6", "array tasks=2 run=20 team=tight", "gang tasks=2 cpus=4 run=20"))
		switch d.pick("with", "hang", "reboot", "aborted", "deaf", "mute") {
		case "hang":
			d.add(soon(), "vm @%s hang for %s", job, d.moment("beyond its lease", 10*time.Second, 20*time.Second))
		case "reboot":
			d.add(soon(), "vm @%s reboot", job)
		case "aborted":
			d.add(soon(), "user %s abort %s", d.node(), job)
		case "deaf":
			d.machine("@"+job, "deaf", soon())
		case "mute":
			d.machine("@"+job, "mute", soon())
		}
		d.change(soon())
		d.change(soon() + d.moment("later", 2*time.Second, 15*time.Second))
	case "mute":
		job := d.quiet(before(), d.pick("kind", "service tasks=4", "array tasks=3 run=30", "array tasks=2 run=40 team=tight", "gang tasks=2 cpus=4 run=30 saves=4"))
		d.machine("@"+job, "mute", soon())
		d.machine("@"+job, "mute", soon())
		if d.yes(50, "aborted") {
			d.add(soon(), "user %s abort %s", d.node(), job)
		}
		if d.yes(60, "change") {
			d.change(soon())
		}
	case "calloff":
		for range d.number("jobs", 2, 4) {
			d.quiet(before(), "")
		}
		d.callOff(at)
		d.change(soon())
		if d.yes(30, "outage") {
			d.outage(soon(), 14*time.Second)
		}
	case "odd":
		d.trouble("odd requests", at)
		small(at)
		d.trouble(d.pick("with", "slow", "lossy", "unanswered writes", "refuse "+d.node()), soon())
	case "small":
		d.add(at, "stream 4 for %s", d.moment("stream", 5*time.Second, 25*time.Second))
		d.trouble("cancel at end", soon())
		if d.yes(60, "change") {
			d.change(soon())
		}
	}
}
