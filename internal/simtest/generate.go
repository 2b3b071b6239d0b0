package simtest

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"
)

// GenerateScript draws a schedule: jobs of every shape on a few machines, with troubles
// that come in storms, since single ones are covered by the kept traces.
func GenerateScript() *rapid.Generator[string] {
	return rapid.Custom(func(t *rapid.T) string { return storms(t).text() })
}

func storms(t *rapid.T) *draft {
	d := &draft{t: t, names: controllerNames(usualControllers)}
	d.fleet()
	for range d.number("storms", 1, 3) {
		d.storm(d.moment("storm", 7*time.Second, 50*time.Second))
	}
	for range d.number("jobs apart", 0, 3) {
		d.job(d.moment("job", 4*time.Second, 60*time.Second))
	}
	for range d.number("polls", 1, 5) {
		d.add(d.moment("poll", 5*time.Second, 90*time.Second), "user %s poll wk-%d", d.node(), d.number("ref", 1, 12))
	}
	return d
}

type step struct {
	at   time.Duration
	text string
}

// draft is a schedule that is being drawn.
type draft struct {
	t      *rapid.T
	steps  []step
	jobs   int
	names  []string
	noEnds [][2]time.Duration // no controller ends in between
}

func (d *draft) add(at time.Duration, format string, a ...any) {
	d.steps = append(d.steps, step{at, fmt.Sprintf(format, a...)})
}

// number draws evenly, a bit at a time: the library's own ranges prefer small
// numbers, and with them all troubles came within the same milliseconds.
func (d *draft) number(label string, low, high int) int {
	n := uint64(high - low + 1)
	drawn := uint64(0)
	for range bits.Len64(n) + 8 {
		drawn <<= 1
		if rapid.Bool().Draw(d.t, label) {
			drawn |= 1
		}
	}
	return low + int(drawn%n)
}

func (d *draft) yes(percent int, label string) bool { return d.number(label, 1, 100) <= percent }

// moment draws a time or a duration, down to the microsecond.
func (d *draft) moment(label string, low, high time.Duration) time.Duration {
	return time.Duration(d.number(label, int(low/time.Microsecond), int(high/time.Microsecond))) * time.Microsecond
}

// lasts draws how long a trouble lasts: mostly some seconds, at times longer
// than any lease or limit.
func (d *draft) lasts() time.Duration {
	longest := []time.Duration{3 * time.Second, 15 * time.Second, 15 * time.Second, 50 * time.Second}
	return d.moment("lasts", 200*time.Millisecond, longest[d.number("how long", 0, 3)])
}

func (d *draft) node() string { return d.names[d.number("node", 0, len(d.names)-1)] }

func (d *draft) host() string { return fmt.Sprintf("%06d", d.number("host", 1, 9)) }

func (d *draft) pick(label string, from ...string) string {
	return from[d.number(label, 0, len(from)-1)]
}

func (d *draft) fleet() {
	if d.yes(15, "many controllers") {
		d.names = controllerNames(d.number("controllers", 4, 7))
		d.add(0, "controllers %d", len(d.names))
	}
	if d.yes(4, "many machines") {
		d.add(0, "machines %d %s", d.number("many", 40, 150), d.pick("zone", "a", "b"))
	}
	d.add(0, "machines %d a", d.number("in a", 1, 4))
	d.add(0, "machines %d b", d.number("in b", 1, 3))
	if d.yes(35, "cheap ones") {
		d.add(0, "machines %d a m8 cheap", d.number("cheap", 1, 3))
	}
	if d.yes(35, "cards") {
		d.add(0, "machines %d b g2", d.number("with cards", 1, 2))
	}
	d.add(0, "spare %d", d.number("spare", 0, 8))
	if d.yes(12, "one record") {
		d.add(0, "allot off")
	}
}

// job submits one, and may have it repeated or aborted. It returns its number.
func (d *draft) job(at time.Duration) int {
	d.jobs++
	ref := fmt.Sprintf("wk-%d", d.jobs)
	f := []string{ref}
	limited := false
	switch d.pick("shape", "array", "array", "array", "gang", "service", "service") {
	case "array":
		team := d.pick("team", "", "", "", "team=guest rank=idle", "team=tight", "team=tight", "team=lent", "team=cards cards=1")
		tasks, run := d.number("tasks", 1, 40), d.number("run", 1, 20)
		if limited = team != "" && !strings.Contains(team, "guest"); limited {
			tasks, run = d.number("few tasks", 1, 12), d.number("short", 1, 8) // or its limit alone keeps it from an end
		}
		f = append(f, strings.TrimSpace(fmt.Sprintf("array tasks=%d run=%d %s", tasks, run, team)))
		f = d.maybe(f, 25, "saves=%d", 2, 6)
		f = d.maybe(f, 20, "due=%d", 10, 90)
	case "gang":
		if limited = d.yes(25, "limited gang"); limited {
			// As much as the whole limit, at times.
			team := d.pick("team", "team=tight", "team=tight", "team=lent")
			f = append(f, "gang", fmt.Sprintf("tasks=%d cpus=%d run=%d %s", d.number("tasks", 1, 2), d.number("cpus", 1, 2), d.number("short", 1, 8), team))
		} else {
			f = append(f, "gang", fmt.Sprintf("tasks=%d cpus=%d run=%d", d.number("tasks", 1, 6), d.number("cpus", 1, 4), d.number("run", 2, 25)))
		}
		f = d.maybe(f, 40, "saves=%d", 2, 6)
		f = d.maybe(f, 30, "samezone", 0, 0)
	default:
		f = append(f, "service", fmt.Sprintf("tasks=%d", d.number("tasks", 1, 6)))
		f = d.maybe(f, 30, "spread", 0, 0)
	}
	if !slices.Contains(f, "spread") && !slices.Contains(f, "samezone") && !limited && d.yes(15, "one zone") {
		f = append(f, "zone="+d.pick("zone", "a", "b"))
	}
	if d.yes(35, "cheap") {
		f = append(f, "cheap")
	}
	if d.yes(50, "rank") {
		f = append(f, "rank="+d.pick("rank", "critical", "high", "idle"))
	}
	f = append(f, "image=img-"+d.pick("image", "1", "1", "2", "3"))
	f = d.maybe(f, 15, "fetch=%d", 3, 12)
	f = d.maybe(f, 8, "fails", 0, 0)
	job := strings.Join(f, " ")
	d.add(at, "user %s submit %s", d.node(), job)
	if d.yes(20, "repeated") {
		d.add(at+d.moment("again", 0, 20*time.Second), "user %s submit %s", d.node(), job)
	}
	if d.yes(35, "aborted") {
		d.abort(d.jobs, at+d.moment("abort", 0, 25*time.Second))
	}
	return d.jobs
}

func (d *draft) maybe(f []string, percent int, format string, low, high int) []string {
	if !d.yes(percent, format) {
		return f
	}
	if low == high {
		return append(f, format)
	}
	return append(f, fmt.Sprintf(format, d.number(format, low, high)))
}

// abort has a job cancelled, at times by a node that ends as it answers.
func (d *draft) abort(job int, at time.Duration) {
	node := d.node()
	d.add(at, "user %s abort wk-%d", node, job)
	if d.yes(20, "ends at once") {
		d.kill(node, at+d.moment("then", 0, 60*time.Millisecond))
	}
}

// kill ends a controller. The platform starts it again within some seconds; one
// of them may stay away for longer.
func (d *draft) kill(node string, at time.Duration) {
	longest := 8 * time.Second
	if node == d.names[2] {
		longest = 25 * time.Second
	}
	if d.yes(40, "back at once") {
		longest = time.Second
	}
	d.add(at, "kill %s for %s", node, d.moment("away", 20*time.Millisecond, longest))
}

func (d *draft) trouble(name string, at time.Duration) {
	d.add(at, "trouble %s on for %s", name, d.lasts())
}

func (d *draft) machine(host, how string, at time.Duration) {
	if how == "take" || how == "notice" {
		d.add(at, "vm %s %s", host, how)
		return
	}
	d.add(at, "vm %s %s for %s", host, how, d.lasts())
}

// storm draws jobs and troubles that overlap.
func (d *draft) storm(at time.Duration) {
	for range d.number("jobs", 1, 3) {
		d.job(at - d.moment("before", 0, 5*time.Second))
	}
	within := func() time.Duration { return at + d.moment("within", 0, 12*time.Second) }
	if d.yes(50, "knot") {
		d.knot(at)
	}
	if d.yes(35, "tangle") {
		d.tangle(at)
	}
	if d.yes(35, "quota") {
		d.quota(at)
	}
	if d.yes(30, "at once") {
		d.backAtOnce(at)
	}
	if d.yes(40, "meeting") {
		d.meeting(at)
	}
	if d.yes(40, "users") {
		d.usersMeet(at)
	}
	for range d.number("troubles", 1, 5) {
		d.any(within())
	}
}

// outage has the state service down. One longer than the bound on cancelled
// tasks, with all controllers ended in it, is drawn nowhere: those that start
// cannot read which tasks are cancelled, and no rule could be kept.
func (d *draft) outage(at, longest time.Duration) {
	if longest > 20*time.Second && len(d.noEnds) > 0 && d.noEnds[0][0] < 0 {
		longest = 14 * time.Second // each controller must be restarted
	}
	if longest > 20*time.Second {
		d.noEnds = append(d.noEnds, [2]time.Duration{at - 3*time.Second, at + longest})
	}
	d.add(at, "trouble outage on for %s", d.moment("lasts", 200*time.Millisecond, longest))
}

// any draws one trouble, the telling ones more often.
func (d *draft) any(at time.Duration) {
	switch d.pick("trouble", "kill", "kill", "kill all", "kill all", "outage", "outage", "refuse", "refuse", "slow", "lossy", "lossy", "deaf", "alone",
		"cloud", "stingy", "half", "lost", "lost", "hang", "hang", "hang", "cut", "cut", "sick", "slow machine", "take", "wave", "reboot", "boots", "polls", "late writes", "late reports", "severed", "deaf machine",
		"unanswered writes", "reports for next", "close looks", "cancel at end", "odd requests", "mute machine", "calloff") {
	case "kill":
		d.kill(d.node(), at)
	case "kill all":
		d.kill("all", at)
	case "outage":
		d.outage(at, 14*time.Second)
	case "refuse":
		d.trouble("refuse "+d.node(), at)
	case "slow":
		d.trouble("slow", at)
	case "lossy":
		d.trouble("lossy", at)
	case "deaf":
		d.trouble("deaf "+d.node(), at)
	case "alone":
		d.trouble("alone "+d.node(), at)
	case "cloud":
		d.add(at, "trouble cloud on for %s", d.moment("lasts", 200*time.Millisecond, 10*time.Second))
	case "stingy":
		d.trouble("stingy", at)
	case "half":
		d.trouble("half", at)
	case "lost":
		d.trouble("lost", at)
	case "hang":
		d.machine(d.host(), "hang", at)
	case "cut":
		d.machine(d.host(), "cut", at)
	case "sick":
		d.machine(d.host(), "sick", at)
	case "slow machine":
		d.machine(d.host(), "slow", at)
	case "take":
		d.machine(d.host(), d.pick("how", "take", "notice"), at)
	case "wave":
		d.add(at, "wave %s", d.pick("how", "take", "notice"))
	case "reboot":
		d.add(at, "vm %s reboot", d.host())
	case "late writes", "late reports":
		d.trouble(d.pick("which", "late writes", "late reports"), at)
	case "severed":
		d.trouble("severed "+d.node(), at)
	case "deaf machine":
		d.machine(d.host(), "deaf", at)
	case "mute machine":
		d.machine(d.host(), "mute", at)
	case "unanswered writes", "reports for next", "close looks", "cancel at end", "odd requests":
		d.trouble(d.pick("which", "unanswered writes", "reports for next", "close looks", "cancel at end", "odd requests"), at)
	case "calloff":
		d.callOff(at)
	case "polls":
		d.add(at, "polls %d for %s", d.number("polls", 50, 400), d.moment("storm", time.Second, 8*time.Second))
	case "boots":
		d.trouble(d.pick("boots", "slow", "slow", "no", "fast")+" boots", at)
	}
}

// backAtOnce draws processes and machines that end and are back within a moment,
// before anybody notices, again and again.
func (d *draft) backAtOnce(at time.Duration) {
	soon := func() time.Duration { return at + d.moment("soon", 0, 3*time.Second) }
	moment := func() time.Duration { return d.moment("a moment", 20*time.Millisecond, time.Second) }
	job := d.quiet(at-d.moment("before", 0, 5*time.Second), "")
	if d.yes(40, "limited") {
		d.quiet(soon(), fmt.Sprintf("array tasks=%d run=%d team=tight", d.number("tasks", 3, 9), d.number("run", 1, 6)))
	}
	switch d.pick("at once", "chain", "all", "turns", "machine", "machine", "fleet") {
	case "chain":
		who, when := d.pick("who", d.node(), "n0", "all"), at
		for range d.number("ends", 2, 10) {
			d.add(when, "kill %s for %s", who, d.moment("a moment", 20*time.Millisecond, 600*time.Millisecond))
			when += d.moment("next", 300*time.Millisecond, 1500*time.Millisecond)
		}
	case "all":
		for i := range 3 {
			d.add(at+time.Duration(i)*700*time.Millisecond, "kill all for %s", d.moment("a moment", 20*time.Millisecond, 200*time.Millisecond))
		}
		switch d.pick("meanwhile", "outage", "refuse", "lossy", "") {
		case "outage":
			d.outage(at-d.moment("from", 0, 2*time.Second), 9*time.Second)
		case "refuse":
			d.trouble("refuse "+d.node(), at-d.moment("from", 0, 2*time.Second))
		case "lossy":
			d.trouble("lossy", at-d.moment("from", 0, 2*time.Second))
		}
	case "turns":
		// Two controllers end by turns, each while the other acquires.
		for i := range d.number("turns", 3, 8) {
			d.add(at+time.Duration(i)*d.moment("turn", 400*time.Millisecond, 2*time.Second), "kill %s for %s", d.names[i%2], moment())
		}
	case "machine":
		// The machine of a task is back at once, its owner too at times.
		for range d.number("times", 1, 3) {
			d.add(soon(), "vm @%s reboot", job)
		}
		if d.yes(40, "its owner") {
			d.add(soon(), "kill %s for %s", d.node(), moment())
		}
		if d.yes(40, "aborted") {
			d.add(soon(), "user %s abort %s", d.node(), job)
		}
		if d.yes(30, "hang") {
			d.machine(fmt.Sprint("@", job), "hang", soon())
		}
	case "fleet":
		d.add(soon(), "reboot %d", d.number("percent", 20, 100))
		if d.yes(50, "all end") {
			d.add(soon(), "kill all for %s", moment())
		}
	}
}

// tangle draws events of whole processes and zones that are hard together.
func (d *draft) tangle(at time.Duration) {
	soon := func() time.Duration { return at + d.moment("soon", 0, 4*time.Second) }
	freeze := func(at time.Duration) {
		d.add(at, "freeze %s on for %s", d.pick("who", d.node(), d.node(), d.node(), "all"), d.moment("still", 500*time.Millisecond, 25*time.Second))
	}
	cut := func(at time.Duration) {
		d.add(at, "zone %s cut for %s", d.pick("zone", "a", "b"), d.moment("cut", time.Second, 45*time.Second))
	}
	switch d.pick("tangle", "freeze", "freeze", "zone", "zone", "death", "death of the returned", "all end", "handed back") {
	case "freeze":
		// Its shard is taken over, and a job of it aborted, while it stands still.
		job := d.quiet(at-d.moment("before", 0, 4*time.Second), "")
		freeze(soon())
		if d.yes(60, "aborted") {
			d.add(soon(), "user %s abort %s", d.node(), job)
		}
		if d.yes(40, "another") {
			freeze(soon())
		}
		if d.yes(40, "hang") {
			d.machine(fmt.Sprint("@", job), "hang", soon())
		}
		if d.yes(30, "limited") {
			d.quiet(soon(), fmt.Sprintf("array tasks=%d run=%d team=tight", d.number("tasks", 4, 12), d.number("run", 2, 8)))
		}
	case "zone":
		job := d.quiet(at-d.moment("before", 2*time.Second, 6*time.Second), "")
		cut(soon())
		if d.yes(40, "outage") {
			d.outage(soon(), 14*time.Second)
		}
		if d.yes(40, "one ends") {
			d.kill(d.node(), soon())
		}
		if d.yes(50, "aborted") {
			d.add(soon(), "user %s abort %s", d.node(), job)
		}
		if d.yes(30, "freeze") {
			freeze(soon())
		}
	case "death":
		d.add(soon(), "death %d", d.number("percent", 10, 70))
		if d.yes(50, "stingy") {
			d.trouble("stingy", soon())
		}
		if d.yes(40, "outage") {
			d.outage(soon(), 14*time.Second)
		}
	case "death of the returned":
		// Machines die while they are being returned, or fenced.
		d.add(soon(), "wave notice")
		d.machine(d.host(), "hang", soon())
		d.add(soon()+d.moment("later", 0, 12*time.Second), "death %d", d.number("percent", 20, 60))
		if d.yes(50, "cloud") {
			d.add(soon(), "trouble cloud on for %s", d.moment("lasts", 200*time.Millisecond, 10*time.Second))
		}
	case "all end":
		cut(soon())
		d.kill("all", soon())
		if d.yes(50, "twice") {
			d.kill("all", soon()+d.moment("later", 8*time.Second, 15*time.Second))
		}
	case "handed back":
		// A controller comes back for its shard while its successor stands still.
		d.add(at, "kill %s for %s", d.names[0], d.moment("away", 5*time.Second, 8*time.Second))
		d.add(at+d.moment("then", 6*time.Second, 16*time.Second), "freeze %s on for %s", d.names[1], d.moment("still", time.Second, 12*time.Second))
		d.add(at+d.moment("then", 6*time.Second, 16*time.Second), "freeze %s on for %s", d.names[2], d.moment("still", time.Second, 12*time.Second))
	}
}

// knot draws events that are known to be hard together, close to one another
// and in any order.
func (d *draft) knot(at time.Duration) {
	soon := func() time.Duration { return at + d.moment("soon", 0, 4*time.Second) }
	switch d.pick("knot", "abort", "limit", "gang", "late") {
	case "abort":
		// Hang, abort and outage, with all controllers ended at times.
		job := d.quiet(at-d.moment("before", 3*time.Second, 7*time.Second), "")
		d.machine(fmt.Sprint("@", job), "hang", soon())
		d.add(soon(), "user %s abort %s", d.node(), job)
		if d.yes(40, "all end") {
			d.outage(soon(), 12*time.Second)
			d.kill("all", soon()+d.moment("later", 0, 10*time.Second))
		} else {
			d.outage(soon(), 50*time.Second)
		}
	case "limit":
		// A limited team's arrays wait in several shards, commits of unknown fate
		// and takeovers between.
		for range d.number("arrays", 2, 3) {
			d.quiet(at-d.moment("before", 0, 3*time.Second), fmt.Sprintf("array tasks=%d run=%d team=tight", d.number("tasks", 4, 12), d.number("run", 2, 8)))
		}
		for range d.number("losses", 1, 2) {
			if loss := d.pick("loss", "lossy", "lossy", "outage", "slow", "refuse n0"); loss == "outage" {
				d.outage(soon(), 14*time.Second)
			} else {
				d.trouble(loss, soon())
			}
		}
		if d.yes(50, "one ends") {
			d.kill(d.node(), soon())
		}
		d.machine(d.host(), "hang", soon())
	case "gang":
		// Two machines of one gang are lost, or are about to be.
		job := d.quiet(at-d.moment("before", 0, 3*time.Second), fmt.Sprintf("gang tasks=%d cpus=4 run=%d saves=3", d.number("tasks", 2, 5), d.number("run", 5, 20)))
		for range 2 {
			d.machine(fmt.Sprint("@", job), d.pick("how", "hang", "cut", "take"), soon())
		}
	case "late":
		// Commands are held back on their way and arrive after the work was placed
		// elsewhere, or after their sender has ended and started again.
		job := d.quiet(at, "")
		for range d.number("cuts", 1, 3) {
			d.add(at+d.moment("about", 0, 1500*time.Millisecond), "vm %s cut for %s", d.host(), d.moment("held", 300*time.Millisecond, 11*time.Second))
		}
		if d.yes(60, "its sender ends") {
			d.add(at+d.moment("then", 0, 2*time.Second), "kill %s for %s", d.pick("who", "all", d.names[0], d.names[1]), d.moment("away", 300*time.Millisecond, 3*time.Second))
		}
		if d.yes(40, "aborted") {
			d.add(soon(), "user %s abort %s", d.node(), job)
		}
		if d.yes(30, "lossy") {
			d.trouble("lossy", at)
		}
	}
}

// quiet submits a job with nothing special about it, or the one given, and
// returns its id.
func (d *draft) quiet(at time.Duration, job string) string {
	if job == "" {
		job = d.pick("kind", fmt.Sprintf("service tasks=%d", d.number("replicas", 1, 6)), fmt.Sprintf("array tasks=%d run=%d", d.number("tasks", 2, 16), d.number("run", 3, 20)))
	}
	d.jobs++
	ref := fmt.Sprintf("wk-%d", d.jobs)
	d.add(at, "user %s submit %s %s", d.node(), ref, job)
	return ref
}

// text writes the schedule down in order, with calm at its end.
func (d *draft) text() string {
	d.steps = slices.DeleteFunc(d.steps, func(s step) bool {
		return strings.HasPrefix(s.text, "kill") && slices.ContainsFunc(d.noEnds, func(in [2]time.Duration) bool { return s.at > in[0] && s.at < in[1] })
	})
	slices.SortStableFunc(d.steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	var b strings.Builder
	last := time.Duration(0)
	for _, s := range d.steps {
		fmt.Fprintf(&b, "%-14s %s\n", s.at, s.text)
		last = s.at
	}
	fmt.Fprintf(&b, "%-14s calm\n", last+time.Second)
	return b.String()
}

// quota draws what is hard about teams' limits and guarantees: many decide at once,
// about little, while those who hold it are in trouble.
func (d *draft) quota(at time.Duration) {
	soon := func() time.Duration { return at + d.moment("soon", 0, 5*time.Second) }
	hurt := func() {
		for range d.number("hurts", 1, 2) {
			switch d.pick("hurt", "kill", "freeze", "freeze", "refuse", "lossy", "lossy", "slow", "outage", "alone", "kill all") {
			case "kill":
				d.kill(d.node(), soon())
			case "freeze":
				d.add(soon(), "freeze %s on for %s", d.node(), d.moment("still", 500*time.Millisecond, 20*time.Second))
			case "refuse":
				d.trouble("refuse "+d.node(), soon())
			case "lossy":
				d.trouble("lossy", soon())
			case "slow":
				d.trouble("slow", soon())
			case "outage":
				d.outage(soon(), 14*time.Second)
			case "alone":
				d.trouble("alone "+d.node(), soon())
			case "kill all":
				d.kill("all", soon())
			}
		}
	}
	switch d.pick("quota", "share", "share", "whole", "guarantee", "guarantee", "guarantee", "changed", "back and forth") {
	case "share":
		// All controllers decide in the same moment on the last tasks of a limit.
		team := d.pick("team", "tight", "tight", "lent")
		for _, node := range d.names {
			d.jobs++
			d.add(at, "user %s submit wk-%d array tasks=%d run=%d team=%s", node, d.jobs, d.number("tasks", 1, 6), d.number("run", 1, 6), team)
		}
		hurt()
	case "whole":
		// Two gangs need the whole limit that arrays hold in every shard.
		for range 3 {
			d.quiet(at-d.moment("before", 0, 2*time.Second), fmt.Sprintf("array tasks=%d run=%d team=tight", d.number("tasks", 2, 8), d.number("run", 1, 5)))
		}
		for range 2 {
			d.quiet(soon(), fmt.Sprintf("gang tasks=2 cpus=2 run=%d team=tight", d.number("run", 1, 6)))
		}
		hurt()
	case "guarantee":
		// A team claims its guarantee from one that has filled the machines.
		for range d.number("lenders", 2, 4) {
			d.quiet(at-d.moment("before", 3*time.Second, 6*time.Second), fmt.Sprintf("array tasks=%d run=%d", d.number("tasks", 8, 24), d.number("run", 10, 25)))
		}
		claim := at + d.moment("claim", 0, time.Second)
		for range d.number("claimants", 2, 6) {
			ref := d.quiet(claim, d.pick("claims", "gang tasks=2 cpus=2 run=5 team=lent", "gang tasks=1 cpus=4 run=6 team=lent", "array tasks=6 run=4 team=lent", "array tasks=3 cpus=4 run=4 team=lent"))
			if d.yes(25, "aborted") {
				d.add(claim+d.moment("abort", 0, 3*time.Second), "user %s abort %s", d.node(), ref)
			}
		}
		if d.yes(60, "hurt") {
			hurt()
		}
	case "changed":
		// The limit is lowered and raised again, in a restart one by one.
		if len(d.noEnds) > 0 {
			return // an end may be left out there, and a controller would never be told
		}
		d.noEnds = append(d.noEnds, [2]time.Duration{-1, -1})
		for range 2 {
			d.quiet(at-d.moment("before", 0, 2*time.Second), fmt.Sprintf("array tasks=%d run=%d team=lent", d.number("tasks", 4, 16), d.number("run", 1, 5)))
		}
		d.restarted(at, fmt.Sprintf("team lent cpus=8 most=%d", d.number("lowered", 4, 12)))
		d.add(at+19*time.Second, "hold lent")
		d.restarted(at+20*time.Second, fmt.Sprintf("team lent cpus=8 most=%d", d.number("raised", 14, 24)))
	case "back and forth":
		// Sources that know no allotments, and back.
		if len(d.noEnds) > 0 {
			return
		}
		d.noEnds = append(d.noEnds, [2]time.Duration{-1, -1})
		for i := range 4 {
			d.quiet(at+time.Duration(i)*4*time.Second, fmt.Sprintf("array tasks=%d run=%d team=tight", d.number("tasks", 2, 8), d.number("run", 1, 5)))
		}
		d.restarted(at, "allot off")
		d.restarted(at+18*time.Second, "allot on")
	}
}

// restarted has the controllers restarted one after the other, given something else.
func (d *draft) restarted(at time.Duration, given string) {
	d.add(at, "%s", given)
	for i, node := range d.names {
		d.add(at+time.Second+time.Duration(i)*d.moment("next", 500*time.Millisecond, 2*time.Second), "kill %s for %s", node, d.moment("away", 300*time.Millisecond, 1500*time.Millisecond))
	}
}
