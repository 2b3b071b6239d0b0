package loadtest

import (
	"fmt"
	"math"
	"time"

	"madderslip/internal/emulator"
)

// counters holds the values of all counters at one time.
type counters struct {
	at               time.Time
	starts           int64 // started tasks
	submitted        int64 // jobs
	accepted         int64 // jobs
	changes, refused int   // of the state service: changes made, and transactions refused by a compare
	state            traffic
	heartbeats       traffic
	commands         traffic
	processes        []usage // use of resources, by controller
}

// traffic counts the requests of one interface, the bytes that the emulated side received
// and the bytes that it sent. Workers are emulated, so that their heartbeats count as sent.
type traffic struct{ requests, inBytes, outBytes int64 }

// readTraffic reads the counters of an interface.
func readTraffic(t *emulator.Traffic) traffic {
	return traffic{t.Requests.Load(), t.In.Load(), t.Out.Load()}
}

// since returns what was added since an earlier time.
func (t traffic) since(earlier traffic) traffic {
	return traffic{t.requests - earlier.requests, t.inBytes - earlier.inBytes, t.outBytes - earlier.outBytes}
}

// readCounters reads all counters.
func (m *measurement) readCounters() counters {
	state := m.world.State.Counts()
	now := counters{
		at:         time.Now(),
		starts:     m.starts.Load(),
		submitted:  m.submitted.Load(),
		accepted:   m.accepted.Load(),
		changes:    state.Changes,
		refused:    state.Refused,
		state:      readTraffic(&m.loopback.State),
		heartbeats: readTraffic(&m.loopback.Heartbeats),
		commands:   readTraffic(&m.loopback.Commands),
	}
	for _, c := range m.controllers {
		now.processes = append(now.processes, c.usage())
	}
	return now
}

// minReachedShare is the share of a configured amount from which the amount counts as
// reached.
const minReachedShare = 0.95

// result computes the result for the time between two readings of the counters.
func (m *measurement) result(from, to counters) *Result {
	seconds := to.at.Sub(from.at).Seconds()
	workers := float64(m.cfg.Workers)
	perSecond := func(count int64) float64 { return round(float64(count) / seconds) }
	kbPerSecond := func(bytes int64) float64 { return round(float64(bytes) / 1024 / seconds) }
	kbPerWorker := func(bytes int64) float64 { return round(float64(bytes) / 1024 / seconds / workers) }

	starts, changes := to.starts-from.starts, to.changes-from.changes
	state, heartbeats, commands := to.state.since(from.state), to.heartbeats.since(from.heartbeats), to.commands.since(from.commands)
	result := &Result{
		Workers:     m.cfg.Workers,
		Controllers: m.cfg.Controllers,
		Seconds:     round(seconds),
		UpWorkers:   m.world.RegisteredWorkers(),
		Running:     m.world.RunningTasks(),
		Starts:      perSecond(starts),
		Wanted:      m.cfg.Load.StartsPerS + m.cfg.Load.UrgentPerS,
		Changes:     perSecond(int64(changes)),
		Requests:    perSecond(state.requests),
		StateInKB:   kbPerSecond(state.inBytes),
		StateOutKB:  kbPerSecond(state.outBytes),
		Refused:     perSecond(int64(to.refused - from.refused)),
		WorkerOutKB: kbPerWorker(heartbeats.outBytes + commands.outBytes),
		WorkerInKB:  kbPerWorker(heartbeats.inBytes + commands.inBytes),
		Reports:     perSecond(heartbeats.requests),
		Commands:    perSecond(commands.requests),
		Submitted:   to.submitted - from.submitted,
		Accepted:    to.accepted - from.accepted,

		LongestReport:  m.world.LongestHeartbeat(),
		StartsByCopies: m.world.StartsByCopies(),
	}
	if starts > 0 {
		result.ChangesPerStart = round(float64(changes) / float64(starts))
	}
	result.addProcessUsage(from.processes, to.processes, seconds)
	m.addUrgentWaits(result)
	result.addNotReached()
	return result
}

// addProcessUsage adds the processor time that each controller used per second, and its
// memory and open files at the end.
func (r *Result) addProcessUsage(from, to []usage, seconds float64) {
	for i := range to {
		r.CPU = append(r.CPU, round((to[i].CPU-from[i].CPU).Seconds()/seconds))
		r.RSSMB = append(r.RSSMB, round(float64(to[i].RSS)/(1<<20)))
		r.Sockets = append(r.Sockets, to[i].Sockets)
	}
}

// addUrgentWaits adds the numbers and waits of urgent jobs, those of the warm-up included.
func (m *measurement) addUrgentWaits(r *Result) {
	m.mu.Lock()
	defer m.mu.Unlock()
	quantile := func(percent float64) float64 { return float64(m.urgentWaits.ValueAtQuantile(percent)) / 1000 }
	r.Urgent, r.UrgentBegun = len(m.urgentJobs), int(m.urgentWaits.TotalCount())
	r.UrgentP50, r.UrgentP95 = quantile(50), quantile(95)
	r.UrgentMax = float64(m.urgentWaits.Max()) / 1000
}

// addNotReached adds a line for each amount that falls short of the configuration.
func (r *Result) addNotReached() {
	if r.Starts < minReachedShare*r.Wanted {
		r.NotReached = append(r.NotReached, fmt.Sprintf("%.0f of %.0f starts a second", r.Starts, r.Wanted))
	}
	if float64(r.UpWorkers) < minReachedShare*float64(r.Workers) {
		r.NotReached = append(r.NotReached, fmt.Sprintf("%d of %d workers are served", r.UpWorkers, r.Workers))
	}
}

// round rounds to three decimals.
func round(v float64) float64 { return math.Round(v*1000) / 1000 }
