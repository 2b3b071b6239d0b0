package simtest

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// nextJobID returns the ID of the next job.
func (b *scriptBuilder) nextJobID() string {
	b.jobs++
	return fmt.Sprintf("wk-%d", b.jobs)
}

// userSubmits adds a line in which a user submits a job to a controller.
func (b *scriptBuilder) userSubmits(at time.Duration, node, jobID, job string) {
	b.add(at, "user %s submit %s %s", node, jobID, job)
}

// userCancels adds a line in which a user sends the cancellation of a job to a controller.
func (b *scriptBuilder) userCancels(at time.Duration, node, jobID string) {
	b.add(at, "user %s abort %s", node, jobID)
}

// userPolls adds a line in which a user queries a controller for the status of a job.
func (b *scriptBuilder) userPolls(at time.Duration, node, jobID string) {
	b.add(at, "user %s poll %s", node, jobID)
}

// plainJob submits the given job, or a drawn service or array without options if job is
// empty, and returns its ID.
func (b *scriptBuilder) plainJob(at time.Duration, job string) string {
	if job == "" {
		job = b.pick("kind", fmt.Sprintf("service tasks=%d", b.number("replicas", 1, 6)), fmt.Sprintf("array tasks=%d run=%d", b.number("tasks", 2, 16), b.number("run", 3, 20)))
	}
	jobID := b.nextJobID()
	b.userSubmits(at, b.node(), jobID, job)
	return jobID
}

// limitedArray draws an array of the team "tight", whose limit allows two tasks at a time.
func (b *scriptBuilder) limitedArray(leastTasks, mostTasks, shortest, longest int) string {
	return fmt.Sprintf("array tasks=%d run=%d team=tight", b.number("tasks", leastTasks, mostTasks), b.number("run", shortest, longest))
}

// anyJob submits a job of a drawn shape, and in some cases repeats the submission or
// cancels the job.
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

// shape draws a job's shape and the options that belong to it. It reports whether the limit
// of the job's team may delay the job.
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
		tasks, run = b.number("few tasks", 1, 12), b.number("short", 1, 8) // larger arrays could not complete in time under the limit
	}
	words = append(words, strings.TrimSpace(fmt.Sprintf("array tasks=%d run=%d %s", tasks, run, team)))
	words = b.maybeNumber(words, 25, "saves=%d", 2, 6)
	return b.maybeNumber(words, 20, "due=%d", 10, 90), limited
}

func (b *scriptBuilder) gang(words []string) (_ []string, limited bool) {
	if limited = b.chance(25, "limited gang"); limited {
		// Some of these gangs need the team's whole limit.
		team := b.pick("team", "team=tight", "team=tight", "team=lent")
		words = append(words, "gang", fmt.Sprintf("tasks=%d cpus=%d run=%d %s", b.number("tasks", 1, 2), b.number("cpus", 1, 2), b.number("short", 1, 8), team))
	} else {
		words = append(words, "gang", fmt.Sprintf("tasks=%d cpus=%d run=%d", b.number("tasks", 1, 6), b.number("cpus", 1, 4), b.number("run", 2, 25)))
	}
	words = b.maybeNumber(words, 40, "saves=%d", 2, 6)
	return b.maybe(words, 30, "samezone"), limited
}

// maybe appends a word to a job with a probability in percent.
func (b *scriptBuilder) maybe(words []string, percent int, word string) []string {
	if !b.chance(percent, word) {
		return words
	}
	return append(words, word)
}

// maybeNumber appends a word with a drawn number to a job with a probability in percent.
func (b *scriptBuilder) maybeNumber(words []string, percent int, format string, low, high int) []string {
	if !b.chance(percent, format) {
		return words
	}
	return append(words, fmt.Sprintf(format, b.number(format, low, high)))
}

// cancelAndKill cancels a job, in some cases through a controller that is killed while it
// answers.
func (b *scriptBuilder) cancelAndKill(jobID string, at time.Duration) {
	node := b.node()
	b.userCancels(at, node, jobID)
	if b.chance(20, "ends at once") {
		b.kill(node, at+b.moment("then", 0, 60*time.Millisecond))
	}
}
