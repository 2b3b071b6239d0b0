package simtest

import (
	"fmt"
	"strings"
	"time"

	"pgregory.net/rapid"
)

// GenerateDependencies draws a script as GenerateScript does and adds graphs of dependent
// jobs with faults of their own. It is a generator of its own so that the scripts that
// GenerateScript draws from each seed stay the same.
func GenerateDependencies() *rapid.Generator[string] {
	return rapid.Custom(func(t *rapid.T) string {
		b := outageBursts(t)
		lowersLimits := b.chance(35, "limits are announced")
		if lowersLimits {
			b.add(0, "announce 2048 4 21")
		}
		for range b.number("pipelines", 1, 3) {
			b.dependencyGraph(b.moment("pipeline", 8*time.Second, 45*time.Second))
		}
		if lowersLimits {
			b.add(b.moment("lowered", 10*time.Second, 50*time.Second), "lower")
		}
		return b.script()
	})
}

// dependencyGraph draws a graph of dependent jobs, together with queries, cancellations and
// faults while the jobs run.
func (b *scriptBuilder) dependencyGraph(at time.Duration) {
	jobs := b.dependentJobs(at)
	soon := b.soonAfter(at, 25*time.Second)
	oneOf := func() string { return jobs[b.number("which", 0, len(jobs)-1)] }
	for range b.number("cancelled", 0, 2) {
		cancelledAt := soon()
		b.userCancels(cancelledAt, b.node(), oneOf())
		if b.chance(30, "outage follows") {
			b.outage(cancelledAt+b.moment("then", 0, 800*time.Millisecond), 45*time.Second)
		}
	}
	for range b.number("hurts", 0, 3) {
		b.dependencyFault(jobs[0], soon)
	}
	for range b.number("questions", 1, 4) {
		b.userPolls(soon()+b.moment("later", 0, 40*time.Second), b.node(), oneOf())
	}
}

// dependentJobs submits a graph of jobs in stages. Each job after the first stage depends
// on jobs of earlier stages. The jobs of the last stage have a deadline, and in some cases
// are submitted when the other jobs are done.
func (b *scriptBuilder) dependentJobs(at time.Duration) []string {
	var jobs []string
	stages := b.number("stages", 2, 5)
	for stage := range stages {
		earlier := jobs
		for range b.number("wide", 1, 3) {
			jobs = append(jobs, b.dependentJob(at, earlier, stage == stages-1))
		}
		at += b.moment("next", 0, 1500*time.Millisecond)
		if stage == stages-2 && b.chance(15, "late") {
			at += b.moment("over", 10*time.Second, 60*time.Second)
		}
	}
	return jobs
}

// dependentJob submits a job that depends on the last of the earlier jobs and on some of
// the others.
func (b *scriptBuilder) dependentJob(at time.Duration, earlier []string, isLast bool) string {
	jobID := b.nextJobID()
	words := []string{b.pick("kind",
		fmt.Sprintf("array tasks=%d run=%d", b.number("tasks", 1, 12), b.number("run", 1, 8)),
		fmt.Sprintf("gang tasks=%d run=%d saves=2", b.number("gang", 1, 3), b.number("run", 1, 8)),
		fmt.Sprintf("array tasks=%d run=%d team=%s", b.number("few", 1, 4), b.number("short", 1, 5), b.pick("team", "tight", "lent", "guest rank=idle")))}
	if isLast {
		words = append(words, fmt.Sprintf("rank=high due=%d", b.number("due", 20, 90)))
	}
	if len(earlier) > 0 {
		needs := []string{earlier[len(earlier)-1]}
		for _, need := range earlier[:len(earlier)-1] {
			if b.chance(30, "needs") {
				needs = append(needs, need)
			}
		}
		words = append(words, "needs="+strings.Join(needs, ","))
	}
	b.userSubmits(at, b.node(), jobID, strings.Join(words, " "))
	return jobID
}

// dependencyFault draws a fault that affects a graph, or a fault of the machine of its
// first job.
func (b *scriptBuilder) dependencyFault(firstJob string, soon func() time.Duration) {
	byName := func() { b.fault(b.pick("which", "unanswered writes", "late writes", "slow"), soon()) }
	b.drawOne("hurt", []choice{
		{1, func() { b.kill(b.node(), soon()) }},
		{1, func() { b.kill("all", soon()) }},
		{1, func() { b.freezeOne(soon(), 500*time.Millisecond) }},
		{1, func() { b.fault("refuse "+b.node(), soon()) }},
		{3, byName},
		{1, func() { b.fault("deaf "+b.node(), soon()) }},
		{1, func() { b.machineFault(machineOf(firstJob), b.pick("how", "hang", "cut"), soon()) }},
		{1, func() { b.add(soon(), "trouble close looks on for 15s") }},
	})
}
