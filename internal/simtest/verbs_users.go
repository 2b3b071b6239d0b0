package simtest

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// userVerbs are the verbs that make user requests.
func userVerbs() map[string]verbHandler {
	return map[string]verbHandler{
		"submit":  (*cluster).submit,
		"abort":   (*cluster).cancelJob,
		"user":    func(c *cluster, f command) error { return c.user(f.arg(1), f.arg(2), f[3:]) },
		"calloff": func(c *cluster, f command) error { return c.cancelRunning(f[1:]) },
		"stream":  func(c *cluster, f command) error { return c.streamJobs(f[1:]) },
		"polls":   func(c *cluster, f command) error { return c.poll(f[1:]) },
	}
}

// submit executes "submit NODE JOB SHAPE key=value ..." and waits for the response.
func (c *cluster) submit(f command) error {
	job, want, err := parseJob(f[2:])
	if err != nil {
		return err
	}
	if got := c.world.Submit(f.arg(1), job); got != want {
		return fmt.Errorf("answered %d, wanted %d", got, want)
	}
	return nil
}

// cancelJob executes "abort NODE JOB" and waits for the response.
func (c *cluster) cancelJob(f command) error {
	if got := c.world.Cancel(f.arg(1), f.arg(2)); got != 200 {
		return fmt.Errorf("answered %d", got)
	}
	return nil
}

// user executes "user NODE submit|abort|poll JOB ..." without waiting for the response. Users
// repeat a submission or a cancellation until it is answered. Each call sleeps for 1 ns before
// it returns: the order of two requests to the same node at the same instant would differ
// between runs.
func (c *cluster) user(node, what string, args []string) error {
	defer time.Sleep(time.Nanosecond)
	switch what {
	case "submit":
		job, _, err := parseJob(args)
		if err != nil {
			return err
		}
		c.users.Go(func() { c.world.RequestUntilAnswered(node, func(node string) int { return c.world.Submit(node, job) }) })
	case "abort":
		c.users.Go(func() {
			c.world.RequestUntilAnswered(node, func(node string) int { return c.world.Cancel(node, args[0]) })
		})
	case "poll":
		c.users.Go(func() { c.world.Query(node, args[0]) })
	default:
		return scriptErrorf("users do not %q", what)
	}
	return nil
}

// cancelRunning executes "calloff COUNT [hang TIME]": users cancel that number of running jobs
// within 200 ms, and up to eight machines of these jobs hang for TIME.
func (c *cluster) cancelRunning(args []string) error {
	count, hang, err := parseCallOff(args)
	if err != nil {
		return err
	}
	_, hosts := c.world.CancelRunning(count)
	if hang == 0 {
		return nil
	}
	for _, host := range hosts {
		if err := c.do(command{"vm", strings.TrimPrefix(host, "vm-"), "hang", "for", hang.String()}); err != nil {
			return err
		}
	}
	return nil
}

// parseCallOff parses the arguments of "calloff": the number of running jobs that users cancel,
// and the time for which machines of these jobs hang, which is 0 if none of them hangs.
func parseCallOff(args []string) (count int, hang time.Duration, err error) {
	hangs := len(args) == 3 && args[1] == "hang"
	if hangs {
		if hang, err = time.ParseDuration(args[2]); err != nil {
			return 0, 0, scriptErrorf("calloff COUNT [hang TIME]: %w", err)
		}
	}
	if hangs || len(args) == 1 {
		count, err = strconv.Atoi(args[0])
	}
	if err != nil || count < 1 {
		return 0, 0, scriptErrorf("calloff COUNT [hang TIME], not %q", strings.Join(args, " "))
	}
	return count, hang, nil
}

// poll executes "polls COUNT for TIME": users query COUNT times a second for the status of
// existing and unknown jobs, at all nodes in turn. Each query runs in a goroutine of its own.
func (c *cluster) poll(args []string) error {
	count, duration, err := parseRate("polls", args)
	if err != nil {
		return err
	}
	end := time.Now().Add(duration)
	c.users.Go(func() {
		for i := 0; time.Now().Before(end) && c.ctx.Err() == nil; i++ {
			node, jobID := c.names[i%len(c.names)], fmt.Sprintf("wk-%d", i%40+1) // jobs with the higher IDs mostly do not exist
			c.users.Go(func() { c.world.Query(node, jobID) })
			time.Sleep(requestInterval(count))
		}
	})
	return nil
}

// streamJobs executes "stream COUNT for TIME": users submit COUNT jobs of one task a second, at
// all nodes in turn, and cancel every fourth.
func (c *cluster) streamJobs(args []string) error {
	count, duration, err := parseRate("stream", args)
	if err != nil {
		return err
	}
	end := time.Now().Add(duration)
	c.users.Go(func() {
		for i := 0; time.Now().Before(end) && c.ctx.Err() == nil; i++ {
			node, jobID := c.names[i%len(c.names)], fmt.Sprintf("wk-%d", 10_000+i)
			_ = c.user(node, "submit", []string{jobID, "array", "tasks=1", "class=small", fmt.Sprintf("run=%d", 1+i%5)})
			if i%4 == 3 {
				c.cancelStreamed(i, jobID)
			}
			time.Sleep(requestInterval(count))
		}
	})
	return nil
}

// cancelStreamed cancels job i of a stream. The moment varies from one cancelled job to the next:
// at once, at the expected start of the task, while it runs, or at its expected end. The
// cancellations go to all nodes in turn.
func (c *cluster) cancelStreamed(i int, jobID string) {
	node := c.names[(i/4)%len(c.names)]
	end := time.Duration(1+i%5)*time.Second + 1100*time.Millisecond
	after := []time.Duration{2 * time.Millisecond, 150 * time.Millisecond, 1500 * time.Millisecond, end}[i/4%4]
	c.users.Go(func() {
		if time.Sleep(after); c.ctx.Err() == nil {
			_ = c.user(node, "abort", []string{jobID})
		}
	})
}

// requestInterval returns the interval between requests at a rate of count a second. The extra
// 113 ns keep requests from coinciding with the timers of the controllers.
func requestInterval(count int) time.Duration {
	return time.Second/time.Duration(count) + 113*time.Nanosecond
}
