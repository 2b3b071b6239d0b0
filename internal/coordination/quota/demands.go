package quota

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"madderslip/internal/protocol"
)

// Demand is what a holder could start this moment with a larger allotment: the machines
// have capacity for it and nothing else holds it up. Queued work without capacity is not
// demand, but for one thing: a job that waits for capacity demands ahead, and gets only
// what nobody else demands. Otherwise the capacity goes to other jobs while the allotment
// is transferred.
type Demand struct {
	Head         Resources     // what the first job needs to start: one task, or all tasks of a gang
	PerTask      Resources     // one task of the first job
	Total        Resources     // all that could be started
	Priority     int           // of the first job
	AcceptedAtMs int64         // of the first job, Unix milliseconds
	JobID        string        // the first job
	AllOrNothing bool          // the first job starts whole or not at all
	Anticipated  bool          // there is no capacity yet
	Waited       time.Duration // how long the first job has waited for the allotment
}

// StarvationThreshold is how long a holder's first job waits before it is served at the
// expense of younger work that could start elsewhere. Before that holders keep what their
// own work can use: if every freed task's allotment were transferred to the cluster's
// oldest job, it would be unused while it is transferred.
const StarvationThreshold = 3 * time.Second

// demandTTL is how long a demand counts after it was last reported.
const demandTTL = 3 * time.Second

// compare orders demands as they are served: by priority, then by acceptance, those
// without capacity last. All controllers compute the same order, so of two gangs that each
// hold half of the limit one gives way.
func (d *Demand) compare(other *Demand) int {
	return cmp.Or(compareBool(d.Anticipated, other.Anticipated), cmp.Compare(other.Priority, d.Priority),
		cmp.Compare(d.AcceptedAtMs, other.AcceptedAtMs), strings.Compare(d.JobID, other.JobID))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// minUsefulTransfer returns the smallest amount that lets something start: a task or, of a
// gang, all tasks.
func (d *Demand) minUsefulTransfer() Resources {
	if d.AllOrNothing {
		return d.Head
	}
	return d.PerTask
}

// holderDemand is a holder's demand with its source.
type holderDemand struct {
	Demand
	reportedAt time.Time // last
	reportedBy string    // the controller; empty: this one
	since      time.Time // since when the first job waits
}

func (d *holderDemand) isLocal() bool { return d.reportedBy == "" }

func (d *holderDemand) isExpired(now time.Time) bool { return now.Sub(d.reportedAt) > demandTTL }

// message returns the demand as it is sent to the other controllers.
func (d *holderDemand) message(team, holder string) protocol.Demand {
	return protocol.Demand{Team: team, Holder: holder, Head: d.Head, PerTask: d.PerTask, Total: d.Total, Priority: d.Priority, AcceptedAtMs: d.AcceptedAtMs,
		JobID: d.JobID, AllOrNothing: d.AllOrNothing, Anticipated: d.Anticipated, WaitedMs: d.Waited.Milliseconds()}
}

// demandOf returns the demand that another controller sent.
func demandOf(message protocol.Demand) Demand {
	return Demand{Head: message.Head, PerTask: message.PerTask, Total: message.Total, Priority: message.Priority, AcceptedAtMs: message.AcceptedAtMs,
		JobID: message.JobID, AllOrNothing: message.AllOrNothing, Anticipated: message.Anticipated}
}

// SetDemand sets the demand of a holder that this controller decides for; nil: none.
// started says that tasks of the team have started there since the last call, which
// restarts the waiting time of a job that can start task by task.
func (m *Manager) SetDemand(name, holder string, demand *Demand, started bool, now time.Time) {
	team := m.team(name)
	if demand == nil {
		delete(team.demands, holder)
		return
	}
	since := now
	before := team.demands[holder]
	if before != nil && before.isLocal() && before.JobID == demand.JobID && before.Anticipated == demand.Anticipated && (!started || demand.AllOrNothing) {
		since = before.since
	}
	next := &holderDemand{Demand: *demand, reportedAt: now, since: since}
	next.Waited = now.Sub(since)
	team.demands[holder] = next
}

// Demands returns what this controller's holders demand, for the other controllers.
func (m *Manager) Demands(now time.Time) []protocol.Demand {
	var messages []protocol.Demand
	for _, name := range slices.Sorted(maps.Keys(m.teams)) {
		team := m.teams[name]
		for _, holder := range slices.Sorted(maps.Keys(team.demands)) {
			if demand := team.demands[holder]; demand.isLocal() && !demand.isExpired(now) && team.isAllotted() {
				messages = append(messages, demand.message(name, holder))
			}
		}
	}
	return messages
}

// ObserveDemands replaces what is known of another controller's holders by all that they
// demand now. It is advice: with a demand that is missing, outdated or invented an
// allotment is transferred late or in vain, and nothing starts that otherwise would not.
func (m *Manager) ObserveDemands(from string, messages []protocol.Demand, now time.Time) {
	for _, team := range m.teams {
		maps.DeleteFunc(team.demands, func(_ string, demand *holderDemand) bool { return demand.reportedBy == from })
	}
	for _, message := range messages {
		team := m.teams[message.Team]
		if team == nil {
			continue
		}
		if local := team.demands[message.Holder]; local != nil && local.isLocal() && now.Sub(local.reportedAt) < demandTTL {
			continue // this controller decides for the holder, or did until just now
		}
		team.demands[message.Holder] = &holderDemand{Demand: demandOf(message), reportedBy: from, reportedAt: now,
			since: now.Add(-time.Duration(message.WaitedMs) * time.Millisecond)}
	}
}

// IsDemanded reports whether any holder has capacity for more of the team than its
// allotment permits.
func (m *Manager) IsDemanded(name string) bool {
	if team := m.teams[name]; team != nil {
		for _, demand := range team.demands {
			if !demand.Anticipated {
				return true
			}
		}
	}
	return false
}

// YieldsTo reports whether a job must not start now although its holder's allotment
// permits it: a job of the team that comes before it waits at a holder beyond
// StarvationThreshold, and is about to receive what this one would use.
func (m *Manager) YieldsTo(name string, priority int, acceptedAtMs int64, jobID string, now time.Time) bool {
	team := m.teams[name]
	if team == nil || !team.isAllotted() {
		return false
	}
	job := Demand{Priority: priority, AcceptedAtMs: acceptedAtMs, JobID: jobID}
	for _, demand := range team.demands {
		if demand.isExpired(now) || demand.Anticipated {
			continue
		}
		if now.Sub(demand.since) >= StarvationThreshold && demand.compare(&job) < 0 {
			return true
		}
	}
	return false
}
