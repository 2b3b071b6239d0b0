package emulator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"madderslip/internal/protocol"
)

// What users do that is hard: ask everybody at once, call off at the worst moment, send
// what can't be.

// form is a submission as users send it: every field that may not be left out is there.
func form(s *protocol.Submission) []byte {
	raw, _ := json.Marshal(s)
	var all map[string]any
	_ = json.Unmarshal(raw, &all)
	for key, value := range map[string]any{"samePlace": s.SameZone, "spread": s.SpreadZones, "loaner": s.AllowSpot, "snapshotEveryS": s.CheckpointIntervalS, "snapshotS": s.CheckpointS} {
		all[key] = value
	}
	raw, _ = json.Marshal(all)
	return raw
}

// rounds is how often users ask each node in a close look.
const rounds = 4

// look has users ask about a job at all nodes within milliseconds, again and again, and
// repeat its submission; hasty ones cancel it in between. The world's lock is held.
func (w *World) look(ref, why string) {
	if !w.trouble["close looks"] {
		return
	}
	j := w.jobs[ref]
	body := form(&j.Spec)
	w.note("%s: users look closely, %s", ref, why)
	for _, node := range w.names {
		for i := range rounds {
			n := fmt.Sprint(i)
			after := time.Duration(i)*3*time.Millisecond + w.between(50*time.Microsecond, 3*time.Millisecond, "look", ref, why, node, n)
			again, off := w.chance(25, "again", ref, why, node, n), w.trouble["hasty users"] && why == "accepted" && i == 1 && w.chance(10, "off", ref, node)
			if off {
				w.aborted[ref] = true
			}
			go func() {
				if !wait(w.ctx, after) {
					return
				}
				switch asked := time.Now(); {
				case off:
					w.Cancel(node, ref)
				case again:
					status, raw := w.Ask(node, "POST", "/submissions", body, 5*time.Second)
					w.told(ref, asked, status, raw, status == 200 || status == 201)
				default:
					w.Query(node, ref)
				}
			}()
		}
	}
}

// ended is the moment at which the last task of a job completes: its users look, and
// two of five call it off. The world's lock is held.
func (w *World) ended(j *Job) {
	if !j.finished() {
		return
	}
	j.endedAt = time.Now()
	ref := j.Spec.JobID
	w.look(ref, "ended")
	if w.trouble["cancel at end"] && !j.accepted.IsZero() && w.chance(40, "at end", ref) {
		node := w.names[int(w.roll("at end", ref)%uint64(len(w.names)))]
		after := w.between(time.Microsecond, 4*time.Millisecond, "at end", ref)
		w.aborted[ref] = true
		go func() {
			if wait(w.ctx, after) {
				w.RequestUntilAnswered(node, func(node string) int { return w.Cancel(node, ref) })
			}
		}()
	}
}

// CancelRunning has users cancel so many of the jobs that run, within a fifth of a second, and
// tells which, and up to eight of their machines.
func (w *World) CancelRunning(count int) (refs, hosts []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	on := make(map[string][]string)
	for _, host := range slices.Sorted(maps.Keys(w.machines)) {
		m := w.machines[host]
		for name, t := range m.tasks {
			ref, _, _ := protocol.ParseTaskName(name)
			j := w.jobs[ref]
			if j != nil && !m.gone && t.on() && !j.accepted.IsZero() && !w.aborted[ref] && !slices.Contains(on[ref], host) {
				on[ref] = append(on[ref], host)
			}
		}
	}
	for _, ref := range slices.Sorted(maps.Keys(on)) {
		if len(refs) == count {
			break
		}
		refs = append(refs, ref)
		for _, host := range on[ref] {
			if len(hosts) < 8 && !slices.Contains(hosts, host) {
				hosts = append(hosts, host)
			}
		}
		w.aborted[ref] = true
		node, after := w.names[int(w.roll("off", ref)%uint64(len(w.names)))], w.between(0, 200*time.Millisecond, "off", ref)
		go func() {
			if wait(w.ctx, after) {
				w.RequestUntilAnswered(node, func(node string) int { return w.Cancel(node, ref) })
			}
		}()
	}
	return refs, hosts
}

// oddly sends what users should not, for as long as that trouble lasts: repeats of
// submissions, also of jobs that are over, cancellations of jobs that are done, jobs that
// fit no machine, exceed their team's limit or lack a field.
func (w *World) oddly() {
	for k := 0; wait(w.ctx, 300*time.Millisecond+61*time.Nanosecond); k++ {
		w.mu.Lock()
		if !w.trouble["odd requests"] || len(w.names) == 0 {
			w.mu.Unlock()
			continue
		}
		n := fmt.Sprint(k)
		node := w.names[int(w.roll("odd", n)%uint64(len(w.names)))]
		var known []*Job
		for _, ref := range slices.Sorted(maps.Keys(w.jobs)) {
			if j := w.jobs[ref]; !j.accepted.IsZero() {
				known = append(known, j)
			}
		}
		var j *Job
		if len(known) > 0 {
			j = known[int(w.roll("odd job", n)%uint64(len(known)))]
		}
		done := j != nil && j.told == protocol.JobDone
		w.mu.Unlock()
		go func() {
			switch {
			case k%3 == 0:
				w.unfit(node, k)
			case done && k%3 == 1:
				w.Cancel(node, j.Spec.JobID) // which it will not be, and told says so
			case j != nil:
				asked := time.Now()
				status, raw := w.Ask(node, "POST", "/submissions", form(&j.Spec), 5*time.Second)
				w.told(j.Spec.JobID, asked, status, raw, false)
			}
		}()
	}
}

// unfit submits a job that no node may accept.
func (w *World) unfit(node string, k int) {
	s := protocol.Submission{JobID: fmt.Sprintf("wk-9%05d", k), Class: "odd", Team: "open", Shape: protocol.ShapeArray, PriorityClass: "normal", Tasks: 1, CPUs: 2, MemoryGB: 2, Image: "img-1", ImageGB: 1}
	lacks := ""
	switch fields := []string{"samePlace", "spread", "loaner", "snapshotEveryS", "snapshotS", "expectS", "cards", "rank", "owner"}; k / 3 % 4 {
	case 0:
		s.CPUs = 1e4
	case 1:
		s.Team, s.Shape, s.Tasks = "tight", protocol.ShapeGang, 50
	case 2:
		if s.Team = "nobody"; k%2 == 0 {
			s.Team, s.Dependencies = "open", []string{fmt.Sprintf("wk-8%05d", k)} // never submitted
		}
	default:
		lacks = fields[k/12%len(fields)]
	}
	body := form(&s)
	if lacks != "" {
		var all map[string]any
		_ = json.Unmarshal(body, &all)
		delete(all, lacks)
		body, _ = json.Marshal(all)
	}
	status, raw := w.Ask(node, "POST", "/submissions", body, 5*time.Second)
	if status == 200 || status == 201 {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.breakRule("accepted", "%s, which can't run or lacks a field (%q): %s", s.JobID, lacks, bytes.TrimSpace(raw))
	}
}

// keep has a copy of a report wait for the next leader. The world's lock is held.
func (w *World) keep(m *Machine, body []byte) {
	const most = 3 // of each machine, the first ones: the older the worse
	if kept := w.kept[m.host]; len(kept) < most {
		w.kept[m.host] = append(kept, body)
	}
}

// newLeader tells of a shard's new token: reports kept for that reach every controller.
func (w *World) newLeader() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.trouble["reports for next"] {
		return
	}
	if len(w.kept) > 0 {
		w.note("old reports of %d machines reach every controller", len(w.kept))
	}
	for _, host := range slices.Sorted(maps.Keys(w.kept)) {
		for i, body := range w.kept[host] {
			for _, node := range w.names {
				if h := w.nodes[node]; h != nil {
					after := w.between(time.Microsecond, 150*time.Millisecond, "for next", host, node, fmt.Sprint(i))
					w.machines[host].later(after, func() { go h("POST", reportPath, body, ignored) })
				}
			}
		}
		delete(w.kept, host)
	}
}
