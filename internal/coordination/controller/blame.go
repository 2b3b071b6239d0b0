package controller

import (
	"strings"
	"time"

	"madderslip/internal/coordination/quarantine"
	"madderslip/internal/protocol"
)

// Package evidence decides who is to blame when tasks fail. Here it is told what was
// seen, and asked.

// blame notes why a task ended.
func (n *Controller) blame(j *job, m *machine, t *protocol.TaskStatus, now time.Time) {
	n.log.Debug("task ended", "task", t.Task, "try", t.Attempt, "host", m.host, "cause", t.Cause)
	switch t.Cause {
	case protocol.CauseNoCapacity, protocol.CauseBusy:
		m.denied = now.Add(2 * time.Second)
	case protocol.CauseUnknownJob:
		j.pause = now.Add(2 * time.Second)
	case protocol.CauseError:
		began, ok := m.running[t.Task]
		if !ok {
			began = now
		}
		was := j.ev.Verdict(now)
		if !m.sick {
			j.ev.RecordFailure(m.host, now.Sub(began), n.rng.Float64(), now)
		}
		m.ev.RecordFailure(j.ref, began, now)
		n.hearWitnesses(j, now)
		if was != quarantine.Suspect && j.ev.Verdict(now) == quarantine.Suspect {
			n.log.Info("job fails wherever it runs, its tasks are tried one at a time", "job", j.ref, "on", strings.Join(j.ev.FailedHosts(), ","))
		}
		n.weigh(m, now)
	}
}

// hearWitnesses looks for tasks of a job that have failed elsewhere and run there
// for long enough to speak for it.
func (n *Controller) hearWitnesses(j *job, now time.Time) {
	if !j.ev.Failing(now) {
		return
	}
	for _, c := range j.claims {
		for _, p := range c.on {
			m := p.at.m
			if m == nil || m.sick {
				continue
			}
			t := m.tasks[p.name]
			if began, ok := m.running[p.name]; ok && t != nil && t.Phase == protocol.TaskRunning && j.ev.OutlastsFailures(now.Sub(began)) {
				j.ev.Succeeded(now)
				return
			}
		}
	}
}

// weigh condemns a machine or takes it back.
func (n *Controller) weigh(m *machine, now time.Time) {
	if !m.ev.Failing() && !m.sick {
		return
	}
	on, sick := m.ev.Quarantine(func(ref string) quarantine.Verdict {
		j := n.jobs[ref]
		if j == nil {
			return quarantine.Unknown
		}
		n.hearWitnesses(j, now)
		return j.ev.Verdict(now)
	}, now)
	if sick == m.sick {
		return
	}
	m.sick, m.sickAt = sick, now
	n.shard(m.rec.Shard).stirred = true
	if !sick {
		n.log.Info("machine is in use again, the jobs that failed there fail elsewhere too", "host", m.host)
		return
	}
	n.log.Info("machine fails tasks of jobs that run elsewhere, taken out of use", "host", m.host, "jobs", strings.Join(on, ","))
	for _, ref := range on {
		if j := n.jobs[ref]; j != nil {
			j.ev.Exonerate(m.host)
		}
	}
}

// sickFor is how long a machine stays condemned before it is returned: the next try
// elsewhere of the jobs that failed there may yet speak for it.
const sickFor = 5 * time.Second

// learn takes what a completed task tells of its machine, its job and its class.
func (n *Controller) learn(j *job, spec *protocol.Submission, m *machine, task string, now time.Time) {
	j.ev.Succeeded(now)
	began, ok := m.running[task]
	if !ok || spec.RunEstimateS <= 0 {
		return
	}
	delete(m.running, task)
	m.ev.Succeeded(began)
	ratio := min(max(now.Sub(began).Seconds()/spec.RunEstimateS, 0.1), 10)
	if old, ok := n.ratios[spec.Class]; ok {
		ratio = old*0.9 + ratio*0.1
	}
	n.ratios[spec.Class] = ratio
}

// onTrial tells that a job fails wherever it runs: one task of it at a time is
// tried, in room that nobody else wants, and nothing is stopped or rented for it.
func (j *job) onTrial(now time.Time) bool { return j.ev.Verdict(now) == quarantine.Suspect }

// tried tells that the trial of a job is under way.
func (j *job) tried() bool {
	for _, c := range j.claims {
		if rec := c.latest(); rec != nil && len(rec.Placements) > 0 {
			return true
		}
	}
	return false
}
