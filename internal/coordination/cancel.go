package coordination

import (
	"context"
	"maps"
	"slices"
	"time"

	"madderslip/internal/protocol"
	"madderslip/internal/recovery"
)

// The rules allow no task beyond cancel_s after its user was told that the job
// is cancelled, whatever holds the stop back. A machine that keeps one is fenced:
//
//   - at once if it has been silent and did not answer when asked, for its stop
//     cannot arrive, and whatever else fails soon would keep it;
//   - after two fifths of cancel_s, if it was heard or should have been (see
//     recovery.Cancelled);
//   - after half of it without a record, if the state service does not take one.
//
// The times count from the record of the cancellation, so they go on through
// restarts. They do not wait for settling, which leaves a claim alone while a
// version of it is being committed, and in an outage that is all along.

// hearOthers is the time in which whoever is there has spoken: peers do so every
// second.
const hearOthers = 2500 * time.Millisecond

// enforceCancels looks at the machines that may keep tasks of cancelled jobs.
func (n *Node) enforceCancels(now time.Time) {
	var bare []string // to be returned without a record
	for _, ref := range slices.Sorted(maps.Keys(n.cancelled)) {
		j := n.cancelled[ref]
		for _, chunk := range slices.Sorted(maps.Keys(j.claims)) {
			c := j.claims[chunk]
			for _, p := range c.on {
				m := p.at.m
				if m == nil || m.gone {
					continue
				}
				late := false
				if n.active(n.shards[m.rec.Shard]) {
					late = n.keeps(m, p) && n.enforceCancel(j, m, now)
				} else {
					late = n.keptUnowned(j, m, p, now)
				}
				if late && !slices.Contains(bare, m.host) {
					bare = append(bare, m.host)
				}
			}
		}
	}
	if len(bare) > 0 && !n.fleet.bareBusy {
		slices.Sort(bare)
		bare = bare[:min(len(bare), maxReturn)]
		n.log.Info("returning machines without a record, the state service takes none", "hosts", bare)
		n.fleet.bareBusy = true
		go n.returnBare(n.ctx, bare)
	}
}

// keeps tells whether a placement's task is, or may yet be, on its machine.
func (n *Node) keeps(m *machine, p *place) bool {
	t := m.tasks[p.name]
	if t != nil && t.Try == p.try {
		return t.Phase != protocol.TaskExited
	}
	return !m.settled(n.shards[m.rec.Shard]) || m.outstanding(p.name, p.try)
}

// enforceCancel has a machine fenced if it is time, and tells whether that must
// not wait for a record any longer.
func (n *Node) enforceCancel(j *job, m *machine, now time.Time) bool {
	limit, s := n.cfg.Workers.Cancel, n.shards[m.rec.Shard]
	c := recovery.Cancelled{Age: now.Sub(j.ended), Heard: m.settled(s), Acting: now.Sub(s.since)}
	// Not when all of them are silent to this node: on a day with such troubles it
	// fenced healthy machines for the one task that was cancelled on each.
	c.Silent = m.rep != nil && n.silence(m, now) > n.pol.Suspect && m.mute.After(m.heard) && !n.ownFault(s, now) && !n.zoneCut(m.rec.Zone, now)
	if !c.Fence(limit, n.reportBeat()) {
		return false
	}
	if m.rec.State == "" && !m.returning {
		n.log.Info("fencing a machine that keeps a cancelled task", "host", m.host, "job", j.ref, "after", c.Age, "silent", c.Silent)
		n.returnMachine(s, m)
	}
	// A process that has just gone on after standing still knows the age alone, not
	// what others have done about it meanwhile.
	return c.Bare(limit, n.stateDown(now)) && m.rec.State == "" && !n.refusedAlone(now) && n.beat.Settled(now, hearOthers)
}

// keptUnowned tells, for a machine of a shard that this node may not act for,
// that it seems to keep a cancelled task. An outage may find a shard between two
// owners, and nobody can acquire it then. The node asks the machine itself: one
// that answers is not its business, one that does not is returned without a
// record, which any node may do.
func (n *Node) keptUnowned(j *job, m *machine, p *place, now time.Time) bool {
	if now.Sub(j.ended) <= n.cfg.Workers.Cancel/2 || m.rec.State != "" || n.refusedAlone(now) || !n.beat.Settled(now, hearOthers) {
		return false
	}
	if t := m.tasks[p.name]; m.heard.After(j.ended) && (t == nil || t.Phase == protocol.TaskExited) {
		return false
	}
	if !m.probing {
		n.probe(m)
	}
	// It answers, and still has the task: whoever owns it does not know. That is
	// left to the owner for as long as the bound allows.
	t := m.tasks[p.name]
	kept := t != nil && t.Try == p.try && t.Phase != protocol.TaskExited && m.heard.After(j.ended) && now.Sub(m.heard) < 2*probeTimeout
	if kept && now.Sub(j.ended) > recovery.LastResort(n.cfg.Workers.Cancel) {
		return n.stateDown(now)
	}
	return m.mute.After(j.ended) && m.mute.After(m.heard)
}

// refusedAlone tells that other controllers have just heard from the state
// service and this one has not for a while: its shards' next owner does what is
// needed, with a record.
func (n *Node) refusedAlone(now time.Time) bool {
	return now.Sub(n.led.LastOK()) >= 4*time.Second && n.servedElsewhere(now)
}

// returnBare returns machines whose return could not be recorded. Their 200
// proves them gone as any other does. What a return does that is carried out
// late, twice, or by a node that owns the shard no longer: it takes away a
// machine that kept a cancelled task when it was sent, with whatever was placed
// there since. To its owner that is a machine lost without notice, found and
// proved as such; no task is taken for gone by it, and no name is used again.
func (n *Node) returnBare(ctx context.Context, hosts []string) {
	status, err := n.askReturn(ctx, hosts)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fleet.bareBusy = false
	if err == nil && status == 200 {
		for _, host := range hosts {
			n.provedGone(n.machines[host])
		}
	}
	n.log.Info("machines returned without a record", "hosts", hosts, "status", status, "err", err)
}
