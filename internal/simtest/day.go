package simtest

import (
	"fmt"
	"time"

	"pgregory.net/rapid"
)

// GenerateDay draws some minutes of steady work on machines that suffice for it, with troubles
// apart from one another: what is judged is that no class and no team starves.
func GenerateDay() *rapid.Generator[string] {
	return rapid.Custom(func(t *rapid.T) string {
		d := &draft{t: t, names: controllerNames(usualControllers)}
		d.add(0, "machines %d a", d.number("in a", 4, 7))
		d.add(0, "machines %d b", d.number("in b", 4, 7))
		d.add(0, "spare 40")
		end := 200 * time.Second
		for at := 6 * time.Second; at < end-80*time.Second; at += d.moment("next", 2*time.Second, 6*time.Second) {
			d.dayJob(at)
		}
		if d.yes(60, "guest") {
			at := d.moment("guest", 10*time.Second, 60*time.Second)
			switch d.pick("guest's", "one huge", "many tiny", "long") {
			case "one huge":
				d.dayLine(at, fmt.Sprintf("array tasks=%d run=1 cpus=0.25 class=huge team=guest rank=idle cheap", d.number("huge", 200, 600)))
			case "many tiny":
				for range d.number("tiny", 10, 30) {
					d.dayLine(at, fmt.Sprintf("array tasks=%d run=1 cpus=0.25 class=tiny team=guest rank=idle", d.number("tasks", 1, 6)))
					at += d.moment("next", 200*time.Millisecond, 3*time.Second)
				}
			case "long":
				d.dayLine(at, fmt.Sprintf("array tasks=%d run=30 saves=5 class=long team=guest rank=idle cheap", d.number("long", 10, 40)))
			}
		}
		for at := 20 * time.Second; at < end-70*time.Second; at += d.moment("calm", 12*time.Second, 30*time.Second) {
			switch d.pick("trouble", "end", "end all", "freeze", "hang", "sick", "boots", "polls", "reboot", "outage", "refuse", "wave") {
			case "end":
				d.kill(d.node(), at)
			case "end all":
				d.add(at, "kill all for %s", d.moment("a moment", 20*time.Millisecond, 3*time.Second))
			case "freeze":
				d.add(at, "freeze %s on for %s", d.node(), d.moment("still", time.Second, 20*time.Second))
			case "hang":
				d.add(at, "vm %s hang for %s", d.host(), d.moment("hung", time.Second, 30*time.Second))
			case "sick":
				d.add(at, "vm %s sick for %s", d.host(), d.moment("sick", 10*time.Second, 60*time.Second))
			case "boots":
				d.add(at, "trouble %s boots on for %s", d.pick("boots", "slow", "no", "fast"), d.moment("boots", 10*time.Second, 40*time.Second))
			case "polls":
				d.add(at, "polls %d for %s", d.number("polls", 50, 400), d.moment("storm", time.Second, 10*time.Second))
			case "reboot":
				d.add(at, "reboot %d", d.number("percent", 5, 60))
			case "outage":
				d.add(at, "trouble outage on for %s", d.moment("outage", time.Second, 8*time.Second))
			case "refuse":
				d.add(at, "trouble refuse %s on for %s", d.node(), d.moment("refused", 2*time.Second, 20*time.Second))
			case "wave":
				d.add(at, "wave notice")
			}
		}
		d.add(end, "expect served 50")
		return d.text()
	})
}

// dayJob submits one of the home team's: services, gangs and arrays, some broken.
func (d *draft) dayJob(at time.Duration) {
	line := d.pick("job", "service tasks=2 rank=critical", "service tasks=3 rank=critical", "gang tasks=2 cpus=4 run=10 saves=4 rank=high",
		fmt.Sprintf("array tasks=%d run=4", d.number("tasks", 4, 16)), fmt.Sprintf("array tasks=%d run=8 cheap", d.number("tasks", 4, 16)))
	if d.yes(8, "broken") {
		line += " fails"
	}
	d.dayLine(at, line)
	if d.yes(30, "ended") {
		d.add(at+d.moment("used", 20*time.Second, 70*time.Second), "user %s abort wk-%d", d.node(), d.jobs)
	}
}

func (d *draft) dayLine(at time.Duration, line string) {
	d.jobs++
	d.add(at, "user %s submit wk-%d %s", d.node(), d.jobs, line)
}
