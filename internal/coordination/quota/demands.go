package quota

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"madderslip/internal/protocol"
)

// Demand is the work that a holder could start immediately with a larger allotment: machines
// have capacity for it, and only the limit holds it up. If a holder has no such work, a job
// that waits for capacity is reported as anticipated demand, which is served only from
// allotments of holders without demand. Without this, new capacity for the job would be used
// by other jobs while the allotment is being transferred. Other queued work is not demand.
type Demand struct {
	Head         Resources     // resources needed to start the demand's first job: for one task, or for all tasks of a gang
	PerTask      Resources     // resources of one task of the demand's first job
	Total        Resources     // resources of all tasks that could be started
	Priority     int           // priority of the demand's first job
	AcceptedAtMs int64         // time at which the demand's first job was accepted, in Unix milliseconds
	JobID        string        // ID of the demand's first job
	AllOrNothing bool          // the demand's first job is a gang
	Anticipated  bool          // there is no capacity for the demand's first job yet
	Waited       time.Duration // how long the demand's first job has waited for the allotment
}

// StarvationThreshold is how long a holder's first job waits before it receives allotment
// that work of other holders, later in the order, could use. Until then holders keep the
// allotment that their own work can use: if the allotment of every task that ends were
// transferred to the oldest job of the cluster, it would be unused during each transfer.
const StarvationThreshold = 3 * time.Second

// demandTTL is how long a demand is still served after the last report of the demand.
const demandTTL = 3 * time.Second

// compare orders demands as they are served: demands with capacity before anticipated demands,
// then by priority, time of acceptance and job ID. All controllers compute the same order, so
// if each of two gangs has half of the limit, the second in order transfers its half.
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

// minUsefulTransfer returns the smallest amount with which the demand's first job could
// start: the amount for one task or, for a gang, for all tasks.
func (d *Demand) minUsefulTransfer() Resources {
	if d.AllOrNothing {
		return d.Head
	}
	return d.PerTask
}

// holderDemand is a holder's demand, with the controller and the time of its report.
type holderDemand struct {
	Demand
	reportedAt time.Time // time of the last report
	reportedBy string    // name of the reporting controller; empty for this controller
	since      time.Time // when the demand's first job began to wait
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

// SetDemand sets the demand of a holder that this controller decides for; nil removes it.
// started is true if tasks of the team have started at the holder since the last call. If so,
// the waiting time of the demand's first job starts again, unless the job is a gang.
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

// Demands returns the demands of this controller's holders, to be sent to the other
// controllers.
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

// ObserveDemands replaces all demands that another controller has reported by the current
// demands of that controller. Demands are advisory: a missing, outdated or wrong demand makes
// a transfer late or useless, but never lets a task start beyond the limit.
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
			continue // this controller decides for the holder, or did so within demandTTL
		}
		team.demands[message.Holder] = &holderDemand{Demand: demandOf(message), reportedBy: from, reportedAt: now,
			since: now.Add(-time.Duration(message.WaitedMs) * time.Millisecond)}
	}
}

// HasDemand reports whether any holder has capacity for more tasks of the team than its
// allotment permits.
func (m *Manager) HasDemand(name string) bool {
	if team := m.teams[name]; team != nil {
		for _, demand := range team.demands {
			if !demand.Anticipated {
				return true
			}
		}
	}
	return false
}

// MustYield reports whether a job must not start now although its holder's allotment permits
// the start: another job of the team, earlier in the order, has waited at some holder for
// StarvationThreshold and is about to receive the allotment that this job would use.
func (m *Manager) MustYield(name string, priority int, acceptedAtMs int64, jobID string, now time.Time) bool {
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
