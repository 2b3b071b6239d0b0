package simtest

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// nextJobID returns the name of the next job.
func (b *scriptBuilder) nextJobID() string {
	b.jobs++
	return fmt.Sprintf("wk-%d", b.jobs)
}

// userSubmits has a user submit a job to a node.
func (b *scriptBuilder) userSubmits(at time.Duration, node, jobID, job string) {
	b.add(at, "user %s submit %s %s", node, jobID, job)
}

// userCancels has a user cancel a job through a node.
func (b *scriptBuilder) userCancels(at time.Duration, node, jobID string) {
	b.add(at, "user %s abort %s", node, jobID)
}

// userAsks has a user ask a node for a job.
func (b *scriptBuilder) userAsks(at time.Duration, node, jobID string) {
	b.add(at, "user %s poll %s", node, jobID)
}

// plainJob submits a job with nothing special about it, or the one given, and
// returns its id.
func (b *scriptBuilder) plainJob(at time.Duration, job string) string {
	if job == "" {
		job = b.pick("kind", fmt.Sprintf("service tasks=%d", b.number("replicas", 1, 6)), fmt.Sprintf("array tasks=%d run=%d", b.number("tasks", 2, 16), b.number("run", 3, 20)))
	}
	jobID := b.nextJobID()
	b.userSubmits(at, b.node(), jobID, job)
	return jobID
}

// limitedArray is an array of the team whose limit is two tasks.
func (b *scriptBuilder) limitedArray(leastTasks, mostTasks, shortest, longest int) string {
	return fmt.Sprintf("array tasks=%d run=%d team=tight", b.number("tasks", leastTasks, mostTasks), b.number("run", shortest, longest))
}

// anyJob submits a job of any kind, and may have it repeated or cancelled.
func (b *scriptBuilder) anyJob(at time.Duration) {
	jobID := b.nextJobID()
	words, limited := b.shape([]string{jobID})
	if !slices.Contains(words, "spread") && !slices.Contains(words, "samezone") && !limited && b.chance(15, "one zone") {
		words = append(words, "zone="+b.pick("zone", "a", "b"))
	}
	if b.chance(35, "cheap") {
		words = append(words, "cheap")
	}
	if b.chance(50, "rank") {
		words = append(words, "rank="+b.pick("rank", "critical", "high", "idle"))
	}
	words = append(words, "image=img-"+b.pick("image", "1", "1", "2", "3"))
	words = b.maybeNumber(words, 15, "fetch=%d", 3, 12)
	words = b.maybe(words, 8, "fails")
	job := strings.Join(words, " ")
	b.add(at, "user %s submit %s", b.node(), job)
	if b.chance(20, "repeated") {
		b.add(at+b.moment("again", 0, 20*time.Second), "user %s submit %s", b.node(), job)
	}
	if b.chance(35, "aborted") {
		b.cancelAndKill(jobID, at+b.moment("abort", 0, 25*time.Second))
	}
}

// shape draws a job's shape and what belongs to it. It reports whether the limit of the
// job's team may keep it waiting.
func (b *scriptBuilder) shape(words []string) (_ []string, limited bool) {
	switch b.pick("shape", "array", "array", "array", "gang", "service", "service") {
	case "array":
		return b.array(words)
	case "gang":
		return b.gang(words)
	}
	words = append(words, "service", fmt.Sprintf("tasks=%d", b.number("tasks", 1, 6)))
	return b.maybe(words, 30, "spread"), false
}

func (b *scriptBuilder) array(words []string) (_ []string, limited bool) {
	team := b.pick("team", "", "", "", "team=guest rank=idle", "team=tight", "team=tight", "team=lent", "team=cards cards=1")
	tasks, run := b.number("tasks", 1, 40), b.number("run", 1, 20)
	if limited = team != "" && !strings.Contains(team, "guest"); limited {
		tasks, run = b.number("few tasks", 1, 12), b.number("short", 1, 8) // or its limit alone keeps it from an end
	}
	words = append(words, strings.TrimSpace(fmt.Sprintf("array tasks=%d run=%d %s", tasks, run, team)))
	words = b.maybeNumber(words, 25, "saves=%d", 2, 6)
	return b.maybeNumber(words, 20, "due=%d", 10, 90), limited
}

func (b *scriptBuilder) gang(words []string) (_ []string, limited bool) {
	if limited = b.chance(25, "limited gang"); limited {
		// As much as the whole limit, at times.
		team := b.pick("team", "team=tight", "team=tight", "team=lent")
		words = append(words, "gang", fmt.Sprintf("tasks=%d cpus=%d run=%d %s", b.number("tasks", 1, 2), b.number("cpus", 1, 2), b.number("short", 1, 8), team))
	} else {
		words = append(words, "gang", fmt.Sprintf("tasks=%d cpus=%d run=%d", b.number("tasks", 1, 6), b.number("cpus", 1, 4), b.number("run", 2, 25)))
	}
	words = b.maybeNumber(words, 40, "saves=%d", 2, 6)
	return b.maybe(words, 30, "samezone"), limited
}

// maybe adds a word to a job in so many of a hundred cases.
func (b *scriptBuilder) maybe(words []string, percent int, word string) []string {
	if !b.chance(percent, word) {
		return words
	}
	return append(words, word)
}

// maybeNumber adds a word with a number to a job in so many of a hundred cases.
func (b *scriptBuilder) maybeNumber(words []string, percent int, format string, low, high int) []string {
	if !b.chance(percent, format) {
		return words
	}
	return append(words, fmt.Sprintf(format, b.number(format, low, high)))
}

// cancelAndKill has a job cancelled, at times by a node that ends as it answers.
func (b *scriptBuilder) cancelAndKill(jobID string, at time.Duration) {
	node := b.node()
	b.userCancels(at, node, jobID)
	if b.chance(20, "ends at once") {
		b.kill(node, at+b.moment("then", 0, 60*time.Millisecond))
	}
}
