package dag

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"madderslip/internal/protocol"
)

var noon = time.Date(2030, 1, 1, 12, 0, 0, 0, time.UTC)

// records are the jobs that do not wait.
type records map[string]State

func (r records) graph() *Graph { return NewGraph(func(ref string) State { return r[ref] }) }

// ends has a job's record say that it is over.
func (r records) ends(g *Graph, ref string, state State) {
	r[ref] = state
	g.ObserveState(ref, state, noon)
}

func waiting(ref string, needs string, rank string, dueS float64) Job {
	j := Job{ID: ref, Dependencies: strings.Fields(needs), AcceptedAt: noon, Spec: &protocol.Submission{JobID: ref, PriorityClass: rank, RunEstimateS: 10}}
	if dueS > 0 {
		j.Spec.DeadlineS = &dueS
	}
	return j
}

func refs(list []ResolvedJob) string {
	var out []string
	for _, s := range list {
		out = append(out, s.ID)
	}
	return strings.Join(out, " ")
}

// A diamond: the last job is ready once both branches are done, in whatever order, and
// no sooner.
func TestReadyOnceAllNeededAreDone(t *testing.T) {
	r := records{"root": Unfinished}
	g := r.graph()
	g.Add(waiting("left", "root", "idle", 0), noon)
	g.Add(waiting("right", "root", "idle", 0), noon)
	g.Add(waiting("last", "left right", "high", 0), noon)
	if got := refs(g.ReadyJobs()); got != "" {
		t.Fatalf("ready before anything is done: %s", got)
	}
	r.ends(g, "root", Done)
	if got := refs(g.ReadyJobs()); got != "left right" {
		t.Fatalf("ready after the root: %s", got)
	}
	if g.ReadyJobs()[0].LastDependency != "root" {
		t.Errorf("the job that decided it is %q", g.ReadyJobs()[0].LastDependency)
	}
	r.ends(g, "left", Unfinished) // released
	r.ends(g, "right", Unfinished)
	r.ends(g, "right", Done)
	if got := refs(g.ReadyJobs()); got != "" {
		t.Fatalf("ready with one branch: %s", got)
	}
	r.ends(g, "left", Done)
	if got := refs(g.ReadyJobs()); got != "last" {
		t.Fatalf("ready with both: %s", got)
	}
}

// A cancellation reaches all that need the job, also those that come later and those that
// were read before the job that they need.
func TestCancellationGoesDown(t *testing.T) {
	r := records{"root": Unfinished}
	g := r.graph()
	g.Add(waiting("grandchild", "child", "high", 0), noon) // its need is not read yet
	if got := g.UnknownDependencies(); !slices.Equal(got, []string{"child"}) {
		t.Fatalf("unknown: %v", got)
	}
	g.Add(waiting("child", "root", "idle", 0), noon)
	if got := g.UnknownDependencies(); len(got) > 0 {
		t.Fatalf("still unknown: %v", got)
	}
	r.ends(g, "root", Cancelled)
	g.Add(waiting("late", "grandchild", "idle", 0), noon)
	if got := refs(g.CancelledJobs()); got != "child grandchild late" {
		t.Fatalf("cancelled: %s", got)
	}
	if left, cancelled := g.Resolve([]string{"late"}); !cancelled || len(left) > 0 {
		t.Errorf("a job that names a cancelled one: %v, %v", left, cancelled)
	}
	for _, ref := range []string{"late", "grandchild", "child"} {
		r.ends(g, ref, Cancelled) // written down
	}
	if g.Len() > 0 || len(g.DependencyIDs()) > 0 {
		t.Errorf("%d wait, needed %v", g.Len(), g.DependencyIDs())
	}
}

// What needs a job is cancelled when its user cancels the job while it still waits.
func TestCancelledWhileWaiting(t *testing.T) {
	r := records{"root": Unfinished}
	g := r.graph()
	g.Add(waiting("child", "root", "idle", 0), noon)
	g.Add(waiting("grandchild", "child", "idle", 0), noon)
	r.ends(g, "child", Cancelled)
	r.ends(g, "root", Done)
	if refs(g.ReadyJobs()) != "" || refs(g.CancelledJobs()) != "grandchild" {
		t.Errorf("ready %q, cancelled %q", refs(g.ReadyJobs()), refs(g.CancelledJobs()))
	}
}

// The chain behind a deadline inherits rank and time along its longest way; what is
// cancelled passes nothing on.
func TestUrgency(t *testing.T) {
	r := records{"root": Unfinished}
	g := r.graph()
	estimate := func(s *protocol.Submission) time.Duration { return s.RunEstimate() }
	g.Add(waiting("short", "root", "idle", 0), noon)
	g.Add(waiting("long", "root", "normal", 0), noon)
	g.Add(waiting("longer", "long", "idle", 0), noon)
	if u := g.Urgency("root", estimate); u.Priority != 1 || !u.FinishBy.IsZero() {
		t.Fatalf("without a deadline: %+v", u)
	}
	g.Add(waiting("last", "short longer", "high", 100), noon)
	if u := g.Urgency("root", estimate); u.Priority != 2 || u.FinishBy != noon.Add(70*time.Second) {
		t.Fatalf("root inherits %+v", u)
	}
	if u := g.Urgency("longer", estimate); u.Priority != 2 || u.FinishBy != noon.Add(90*time.Second) {
		t.Fatalf("longer inherits %+v", u)
	}
	spec := &protocol.Submission{PriorityClass: "idle"}
	if raised := Inherit(spec, g.Urgency("root", estimate), 0); raised == spec || raised.PriorityClass != "high" || spec.PriorityClass != "idle" {
		t.Errorf("raised %+v, own %+v", raised, spec)
	}
	if own := (&protocol.Submission{PriorityClass: "critical"}); Inherit(own, g.Urgency("root", estimate), 0) != own {
		t.Error("a higher rank of its own was given up")
	}
	r.ends(g, "last", Cancelled)
	if u := g.Urgency("root", estimate); u.Priority != 1 || !u.FinishBy.IsZero() {
		t.Errorf("after the last is cancelled: %+v", u)
	}
}

// On the way to a deadline a job keeps off cheap machines for a while, and not for longer.
func TestOffCheapMachines(t *testing.T) {
	spec := &protocol.Submission{PriorityClass: "high", AllowSpot: true}
	due := Urgency{Priority: 1, FinishBy: noon}
	if got := Inherit(spec, due, time.Second); got.AllowSpot || got.PriorityClass != "high" {
		t.Errorf("at first: %+v", got)
	}
	if got := Inherit(spec, due, spotAvoidance+1); got != spec {
		t.Errorf("after a while: %+v", got)
	}
	if got := Inherit(spec, Urgency{Priority: 2}, 0); got != spec {
		t.Errorf("without a deadline: %+v", got)
	}
}

// A graph fed record by record, in any order in which records may be read, says the same
// as one walk over all of them.
func TestSameAsAWalk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 14).Draw(t, "jobs")
		needs := make(map[string][]string)
		final := make(records)
		name := func(i int) string { return fmt.Sprintf("j%02d", i) }
		for i := range count {
			for k := range i {
				if rapid.IntRange(0, 3).Draw(t, "needs") == 0 {
					needs[name(i)] = append(needs[name(i)], name(k))
				}
			}
			if len(needs[name(i)]) == 0 {
				final[name(i)] = rapid.SampledFrom([]State{Unfinished, Done, Cancelled}).Draw(t, "state")
			}
		}
		var want func(ref string) State
		want = func(ref string) State {
			if len(needs[ref]) == 0 {
				return final[ref]
			}
			state := Done // ready, which here is as far as it comes
			for _, need := range needs[ref] {
				switch s := want(need); {
				case s == Cancelled:
					return Cancelled
				case s != Done || len(needs[need]) > 0:
					state = Unfinished
				}
			}
			return state
		}
		order := make([]int, count)
		for i := range order {
			order[i] = i
		}
		seen := make(records)
		g := seen.graph()
		for _, i := range rapid.Permutation(order).Draw(t, "order") {
			if ref := name(i); len(needs[ref]) > 0 {
				g.Add(waiting(ref, strings.Join(needs[ref], " "), "idle", 0), noon)
			} else {
				seen.ends(g, ref, final[ref])
			}
		}
		for ref := range needs {
			s := want(ref)
			if g.IsReady(ref) != (s == Done) || g.IsCancelled(ref) != (s == Cancelled) {
				t.Fatalf("%s needs %v: ready %v, cancelled %v, want %v", ref, needs[ref], g.IsReady(ref), g.IsCancelled(ref), s)
			}
		}
		if len(g.UnknownDependencies()) > 0 {
			t.Fatalf("unknown: %v", g.UnknownDependencies())
		}
	})
}
