package loadtest

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strconv"
	"time"
)

// moment is all counters at one time.
type moment struct {
	at                              time.Time
	begun                           int64
	changes, refused                int
	requests, stateIn, stateOut     int64
	reports, reportOut, reportIn    int64
	commands, commandIn, commandOut int64
	submitted, accepted             int64
	usage                           []usage
}

func (r *run) now() moment {
	c := r.w.State.Counts()
	m := moment{at: time.Now(), begun: r.begun.Load(), changes: c.Changes, refused: c.Refused,
		requests: r.l.State.Requests.Load(), stateIn: r.l.State.In.Load(), stateOut: r.l.State.Out.Load(),
		reports: r.l.Reports.Requests.Load(), reportOut: r.l.Reports.Out.Load(), reportIn: r.l.Reports.In.Load(),
		commands: r.l.Commands.Requests.Load(), commandIn: r.l.Commands.In.Load(), commandOut: r.l.Commands.Out.Load(),
		submitted: r.submitted.Load(), accepted: r.accepted.Load()}
	for _, controller := range r.all {
		m.usage = append(m.usage, controller.usage())
	}
	return m
}

// result is what lies between two moments.
func (r *run) result(a, b moment) *Result {
	s := b.at.Sub(a.at).Seconds()
	per := func(count int64) float64 { return round(float64(count) / s) }
	kb := func(bytes int64) float64 { return round(float64(bytes) / 1024 / s) }
	workers := float64(r.cfg.Workers)
	out := &Result{Workers: r.cfg.Workers, Controllers: r.cfg.Controllers, Seconds: round(s), Running: r.w.RunningTasks(),
		Starts: per(b.begun - a.begun), Wanted: r.cfg.Load.StartsPerS + r.cfg.Load.UrgentPerS,
		Changes: per(int64(b.changes - a.changes)), Refused: per(int64(b.refused - a.refused)), Requests: per(b.requests - a.requests),
		StateInKB: kb(b.stateIn - a.stateIn), StateOutKB: kb(b.stateOut - a.stateOut),
		Reports: per(b.reports - a.reports), Commands: per(b.commands - a.commands),
		WorkerOutKB: round(float64(b.reportOut-a.reportOut+b.commandOut-a.commandOut) / 1024 / s / workers),
		WorkerInKB:  round(float64(b.reportIn-a.reportIn+b.commandIn-a.commandIn) / 1024 / s / workers),
		Submitted:   b.submitted - a.submitted, Accepted: b.accepted - a.accepted, UpWorkers: int(r.w.RegisteredWorkers())}
	if starts := b.begun - a.begun; starts > 0 {
		out.ChangesPerStart = round(float64(b.changes-a.changes) / float64(starts))
	}
	for i := range b.usage {
		out.CPU = append(out.CPU, round((b.usage[i].CPU-a.usage[i].CPU).Seconds()/s))
		out.RSSMB = append(out.RSSMB, round(float64(b.usage[i].RSS)/(1<<20)))
		out.Sockets = append(out.Sockets, b.usage[i].Sockets)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	out.Urgent, out.UrgentBegun = len(r.asked), int(r.urgent.TotalCount())
	ms := func(v int64) float64 { return float64(v) / 1000 }
	out.UrgentP50, out.UrgentP95, out.UrgentMax = ms(r.urgent.ValueAtQuantile(50)), ms(r.urgent.ValueAtQuantile(95)), ms(r.urgent.Max())
	const enough = 0.95
	if out.Starts < enough*out.Wanted {
		out.NotReached = append(out.NotReached, fmt.Sprintf("%.0f of %.0f starts a second", out.Starts, out.Wanted))
	}
	if float64(out.UpWorkers) < enough*workers {
		out.NotReached = append(out.NotReached, fmt.Sprintf("%d of %d workers are served", out.UpWorkers, r.cfg.Workers))
	}
	return out
}

func round(v float64) float64 { return math.Round(v*1000) / 1000 }

// WriteJSON writes a result.
func (r *Result) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	return e.Encode(r)
}

// WriteCSV writes results, a line each, for a table or a plot.
func WriteCSV(w io.Writer, results []*Result) error {
	c := csv.NewWriter(w)
	num := func(v float64) string { return strconv.FormatFloat(v, 'g', 6, 64) }
	if err := c.Write([]string{"workers", "controllers", "wanted", "starts", "running", "changes", "changes_per_start", "state_requests", "state_in_kb", "state_out_kb",
		"worker_out_kb", "worker_in_kb", "cpu_sum", "cpu_max", "rss_max_mb", "sockets_max", "urgent_p50", "urgent_p95"}); err != nil {
		return err
	}
	for _, r := range results {
		sum, most, rss, sockets := 0.0, 0.0, 0.0, 0
		for i := range r.CPU {
			sum, most, rss, sockets = sum+r.CPU[i], max(most, r.CPU[i]), max(rss, r.RSSMB[i]), max(sockets, r.Sockets[i])
		}
		if err := c.Write([]string{strconv.Itoa(r.Workers), strconv.Itoa(r.Controllers), num(r.Wanted), num(r.Starts), strconv.Itoa(r.Running), num(r.Changes), num(r.ChangesPerStart),
			num(r.Requests), num(r.StateInKB), num(r.StateOutKB), num(r.WorkerOutKB), num(r.WorkerInKB), num(sum), num(most), num(rss), strconv.Itoa(sockets), num(r.UrgentP50), num(r.UrgentP95)}); err != nil {
			return err
		}
	}
	c.Flush()
	return c.Error()
}
