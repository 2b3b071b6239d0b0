package simtest

import (
	"slices"
	"time"

	"madderslip/internal/transport"
)

const (
	// readinessCheckInterval is the time between two checks of the controllers' readiness.
	readinessCheckInterval = 250*time.Millisecond + 37*time.Nanosecond
	// outageSettleTime is the time from the begin of an outage, or from the start or the resumption
	// of a controller, after which the controller must count the state service as down for all.
	// The last calls that a slow state service executes before an outage may be some seconds
	// apart, and the reports of them are valid for 4.5 s.
	outageSettleTime = 7 * time.Second
)

// readinessWatch holds the readiness of each controller by its name.
type readinessWatch map[string]*nodeReadiness

// nodeReadiness is the readiness of one controller so far.
type nodeReadiness struct {
	process      *process
	runningSince time.Time // when the process was last started or resumed
	wasReady     bool      // the process has been ready
}

// watchReadiness checks, for as long as the cluster runs, that in an outage of the state service
// every controller that was ready before stays ready: no other controller could serve its users.
func (c *cluster) watchReadiness() {
	watch := make(readinessWatch)
	for time.Sleep(readinessCheckInterval); c.ctx.Err() == nil; time.Sleep(readinessCheckInterval) {
		if err := c.checkReadiness(watch, time.Now()); err != nil {
			c.fail(err)
			return
		}
	}
}

// checkReadiness updates the watch, and returns an error for a controller that is not ready though
// it was ready before and runs in an outage that has lasted for longer than outageSettleTime.
func (c *cluster) checkReadiness(watch readinessWatch, now time.Time) error {
	faults, downSince := c.world.ActiveFaults(), c.world.State.DownSince()
	isSettled := !downSince.IsZero() && now.Sub(downSince) > outageSettleTime
	for _, name := range c.names {
		node := watch.observeProcess(name, c.process(name), slices.Contains(faults, "freeze "+name), now)
		if node.runningSince.Equal(now) {
			continue
		}
		ready := isReady(node.process)
		if isSettled && node.wasReady && !ready && now.Sub(node.runningSince) > outageSettleTime {
			return checkErrorf("unready", "%s is not ready %v after the begin of an outage for all", name, now.Sub(downSince).Round(time.Millisecond))
		}
		node.wasReady = node.wasReady || ready
	}
	return nil
}

// observeProcess records which process a controller has, nil if none. A process that is new or
// paused, and no process, counts as running from now on.
func (w readinessWatch) observeProcess(name string, current *process, isPaused bool, now time.Time) *nodeReadiness {
	node := w[name]
	if node == nil || node.process != current {
		node = &nodeReadiness{process: current, runningSince: now}
		w[name] = node
	}
	if current == nil || isPaused {
		node.runningSince = now
	}
	return node
}

// isReady asks a controller's process whether it is ready, without the network in between.
func isReady(p *process) bool {
	answer := make(chan transport.Response, 1)
	p.controller.Handle("GET", "/ready", nil, func(response transport.Response) { answer <- response })
	return (<-answer).Status == 200
}
