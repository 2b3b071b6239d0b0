package simtest

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// expectations maps the first word after "expect" to its check. Any other first word is the
// ID of a job, except in "expect team", which expect itself recognizes.
var expectations = map[string]func(c *cluster, f command) error{
	"busy":     (*cluster).expectBusy,
	"happened": (*cluster).expectHappened,
	"large":    (*cluster).expectLarge,
	"listed":   (*cluster).expectListed,
	"oversize": (*cluster).expectOversize,
	"ready":    (*cluster).expectReady,
	"repeated": (*cluster).expectStartsByCopies,
	"returned": (*cluster).expectReturned,
	// served PERCENT: of every class and team at least this share of the work was served
	"served":  func(c *cluster, f command) error { return c.checkStarvation(float64(f.number(1)) / 100) },
	"unready": (*cluster).expectUnready,
	"vain":    (*cluster).expectWastedStarts,
}

// expect executes an "expect" line; f holds the fields after the verb.
func (c *cluster) expect(f command) error {
	if len(f) < 2 {
		return scriptErrorf("expect needs an expectation and its arguments")
	}
	if f[1] == "running" {
		return c.expectRunning(f)
	}
	if f[0] == "team" && len(f) == 4 {
		return c.expectTeam(f)
	}
	if f[0] == "team" && len(f) == 6 && f[4] == "over" {
		return c.expectTeamOver(f)
	}
	if check := expectations[f[0]]; check != nil {
		return check(c, f)
	}
	return c.expectJob(f[0], f[1])
}

// expectRunning checks "JOB running COUNT": exactly COUNT tasks of the job run.
func (c *cluster) expectRunning(f command) error {
	want, _ := strconv.Atoi(f[2])
	if got := c.world.Running(f[0]); got != want {
		return fmt.Errorf("%d tasks run", got)
	}
	return nil
}

// expectBusy checks "busy LEAST": at least LEAST tasks run, counted over all jobs. With "over TIME"
// that many run on average for this time from now on: at one instant few can run because many
// short tasks have just ended together.
func (c *cluster) expectBusy(f command) error {
	if f.arg(2) == "over" {
		return c.expectBusyOver(f)
	}
	if got := c.world.Running(""); got < f.number(1) {
		return fmt.Errorf("%d tasks run", got)
	}
	return nil
}

// expectBusyOver checks "busy LEAST over TIME".
func (c *cluster) expectBusyOver(f command) error {
	duration, err := time.ParseDuration(f.arg(3))
	if err != nil || duration <= 0 {
		return scriptErrorf("expect busy LEAST over TIME, not %q", strings.Join(f, " "))
	}
	mean, _ := sampleOver(duration, func() (float64, error) { return float64(c.world.Running("")), nil })
	if mean < float64(f.number(1)) {
		return fmt.Errorf("%.1f tasks run on average", mean)
	}
	return nil
}

// expectTeam checks "team NAME LEAST MOST": the CPUs that the team's tasks use are within these
// bounds.
func (c *cluster) expectTeam(f command) error {
	var least, most float64
	if _, err := fmt.Sscanf(f[2]+" "+f[3], "%g %g", &least, &most); err != nil {
		return scriptErrorf("expect team NAME LEAST MOST: %w", err)
	}
	if got := c.world.TeamUse()[f[1]].CPUs; got < least || got > most {
		return fmt.Errorf("team %s uses %v CPUs", f[1], got)
	}
	return nil
}

// usageSampleInterval is the time between two samples of what runs.
const usageSampleInterval = 100 * time.Millisecond

// expectTeamOver checks "team NAME LEAST MOST over TIME": for this time from now on the team's
// tasks never use more than MOST CPUs, and use at least LEAST on average. At one instant the use
// can be low because many short tasks have just ended together.
func (c *cluster) expectTeamOver(f command) error {
	var least, most float64
	duration, err := time.ParseDuration(f[5])
	if _, scanErr := fmt.Sscanf(f[2]+" "+f[3], "%g %g", &least, &most); err != nil || scanErr != nil || duration <= 0 {
		return scriptErrorf("expect team NAME LEAST MOST over TIME, not %q", strings.Join(f, " "))
	}
	mean, err := sampleOver(duration, func() (float64, error) {
		got := c.world.TeamUse()[f[1]].CPUs
		if got > most {
			return 0, fmt.Errorf("team %s uses %v CPUs", f[1], got)
		}
		return got, nil
	})
	if err == nil && mean < least {
		err = fmt.Errorf("team %s uses %.1f CPUs on average", f[1], mean)
	}
	return err
}

// sampleOver takes a sample every usageSampleInterval for a time and returns their mean, or the first
// error.
func sampleOver(duration time.Duration, sample func() (float64, error)) (float64, error) {
	sum, samples := 0.0, 0
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(usageSampleInterval) {
		value, err := sample()
		if err != nil {
			return 0, err
		}
		sum += value
		samples++
	}
	return sum / float64(samples), nil
}

// expectHappened checks "happened LEAST WORDS": at least LEAST events contain these words.
func (c *cluster) expectHappened(f command) error {
	least, err := strconv.Atoi(f[1])
	words := strings.Join(f[2:], " ")
	if err != nil || words == "" {
		return scriptErrorf("expect happened LEAST WORDS, not %q", strings.Join(f, " "))
	}
	got := c.countEvents(func(event string) bool { return strings.Contains(event, words) })
	if got < least {
		return fmt.Errorf("%d times %q", got, words)
	}
	return nil
}

// maxUnknownListed is the number of tasks of jobs that were never submitted which a heartbeat may
// list: the one of the latest heartbeat request.
const maxUnknownListed = 1

// expectListed checks "listed MOST": no heartbeat has listed more than MOST tasks of submitted jobs
// so far, and none more than maxUnknownListed of other jobs.
func (c *cluster) expectListed(f command) error {
	if got := c.world.LongestHeartbeat(); got > f.number(1) {
		return fmt.Errorf("a heartbeat listed %d tasks", got)
	}
	if got := c.world.MostUnknownListed(); got > maxUnknownListed {
		return fmt.Errorf("a heartbeat listed %d tasks of unknown jobs", got)
	}
	return nil
}

// expectStartsByCopies checks "repeated MOST": late copies of direct calls have started at most
// MOST tasks.
func (c *cluster) expectStartsByCopies(f command) error {
	if got := c.world.StartsByCopies(); got > f.number(1) {
		return fmt.Errorf("late copies of direct calls started %d tasks", got)
	}
	return nil
}

// expectReady checks "ready COUNT|all": exactly COUNT controllers, or all that run, answer the load
// balancer that they are ready.
func (c *cluster) expectReady(f command) error {
	ready, want := c.ready(), f.number(1)
	if f.arg(1) == "all" {
		want = len(c.live())
	}
	if len(ready) != want {
		return fmt.Errorf("ready are %v", ready)
	}
	return nil
}

// expectUnready checks "unready NODE": this controller alone does not answer that it is ready.
func (c *cluster) expectUnready(f command) error {
	ready := c.ready()
	if len(ready) != len(c.live())-1 || slices.Contains(ready, f.arg(1)) {
		return fmt.Errorf("ready are %v", ready)
	}
	return nil
}

// ready lists the controllers that answer the load balancer that they are ready.
func (c *cluster) ready() (names []string) {
	for _, name := range c.live() {
		if c.world.IsReady(name) {
			names = append(names, name)
		}
	}
	return names
}

// expectReturned checks "returned COUNT": exactly COUNT machines have been returned.
func (c *cluster) expectReturned(f command) error {
	got := c.countEvents(func(event string) bool { return strings.HasSuffix(event, " returned") })
	if got != f.number(1) {
		return fmt.Errorf("%d machines were returned", got)
	}
	return nil
}

func (c *cluster) countEvents(matches func(event string) bool) int {
	count := 0
	for _, event := range c.world.Events() {
		if matches(event) {
			count++
		}
	}
	return count
}

// expectOversize checks "oversize MOST": at most MOST transactions with the same first key were
// refused for their size.
func (c *cluster) expectOversize(f command) error {
	most, err := strconv.Atoi(f[1])
	if err != nil {
		return scriptErrorf("expect oversize MOST: %w", err)
	}
	refused := c.world.State.RefusedForSize()
	for _, key := range slices.Sorted(maps.Keys(refused)) {
		if times := refused[key]; times > most {
			return fmt.Errorf("%s was refused %d times for its size", key, times)
		}
	}
	return nil
}

// expectLarge checks "large LEAST": at least LEAST records are larger than the announced limit.
func (c *cluster) expectLarge(f command) error {
	least, err := strconv.Atoi(f[1])
	if err != nil {
		return scriptErrorf("expect large LEAST: %w", err)
	}
	c.mu.Lock()
	limit := c.announced.MaxValueBytes
	c.mu.Unlock()
	large := 0
	for _, value := range c.records() {
		if len(value) > limit {
			large++
		}
	}
	if large < least {
		return fmt.Errorf("%d records are larger than %d bytes", large, limit)
	}
	return nil
}

// expectWastedStarts checks "vain MOST": at most MOST tasks started after the cancellation of
// their job was confirmed.
func (c *cluster) expectWastedStarts(f command) error {
	most, err := strconv.Atoi(f[1])
	if err != nil {
		return scriptErrorf("expect vain MOST: %w", err)
	}
	if got := c.world.WastedStarts(); got > most {
		return fmt.Errorf("%d tasks started after their cancellation was confirmed", got)
	}
	return nil
}

// expectJob checks "JOB PHASE": every running controller that answers reports this phase, or
// status 404 for the phase "unknown", and at least one answers. With the phase "unanswered" no
// controller may answer; status 503 counts as no answer.
func (c *cluster) expectJob(jobID, phase string) error {
	answers := 0
	for _, name := range c.live() {
		status, answer := c.world.Query(name, jobID)
		switch {
		case phase == "unknown" && status == 404, status == 200 && answer.Phase == phase:
			answers++
		case status == 503 || status == 0:
		default:
			return fmt.Errorf("%s answers %d %s", name, status, answer.Phase)
		}
	}
	if answers == 0 && phase != "unanswered" {
		return errors.New("nobody answers")
	}
	return nil
}
