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

// records holds the states of the jobs that are not blocked.
type records map[string]State

// newGraph returns an empty graph that looks up the states of jobs in the records.
func (r records) newGraph() *Graph { return NewGraph(func(jobID string) State { return r[jobID] }) }

// observe sets a job's recorded state and passes the state to the graph.
func (r records) observe(g *Graph, jobID string, state State) {
	r[jobID] = state
	g.ObserveState(jobID, state, noon)
}

// newJob returns a job with a run time of 10 s. dependencies lists job IDs, separated by
// spaces. With deadlineS 0 the job has no deadline.
func newJob(jobID, dependencies, priorityClass string, deadlineS float64) Job {
	j := Job{ID: jobID, Dependencies: strings.Fields(dependencies), AcceptedAt: noon, Spec: &protocol.Submission{JobID: jobID, PriorityClass: priorityClass, RunEstimateS: 10}}
	if deadlineS > 0 {
		j.Spec.DeadlineS = &deadlineS
	}
	return j
}

// jobIDs returns the IDs of the jobs, in the order of the list.
func jobIDs(list []ResolvedJob) string {
	var out []string
	for _, j := range list {
		out = append(out, j.ID)
	}
	return strings.Join(out, " ")
}

// In a diamond of dependencies the last job must not be ready before both branches are done,
// in whatever order they end.
func TestReadyOnceAllDependenciesAreDone(t *testing.T) {
	r := records{"root": Unfinished}
	g := r.newGraph()
	g.Add(newJob("left", "root", "idle", 0), noon)
	g.Add(newJob("right", "root", "idle", 0), noon)
	g.Add(newJob("last", "left right", "high", 0), noon)
	if got := jobIDs(g.ReadyJobs()); got != "" {
		t.Fatalf("ready before anything is done: %s", got)
	}
	r.observe(g, "root", Done)
	if got := jobIDs(g.ReadyJobs()); got != "left right" {
		t.Fatalf("ready after the root was done: %s", got)
	}
	if g.ReadyJobs()[0].LastDependency != "root" {
		t.Errorf("the last dependency is %q", g.ReadyJobs()[0].LastDependency)
	}
	r.observe(g, "left", Unfinished) // job "left" is released
	r.observe(g, "right", Unfinished)
	r.observe(g, "right", Done)
	if got := jobIDs(g.ReadyJobs()); got != "" {
		t.Fatalf("ready after one branch was done: %s", got)
	}
	r.observe(g, "left", Done)
	if got := jobIDs(g.ReadyJobs()); got != "last" {
		t.Fatalf("ready after both branches were done: %s", got)
	}
}

// A cancellation must reach all direct and indirect dependents, also dependents whose records
// are read after the cancellation or before the record of their dependency.
func TestCancellationReachesAllDependents(t *testing.T) {
	r := records{"root": Unfinished}
	g := r.newGraph()
	g.Add(newJob("grandchild", "child", "high", 0), noon) // the record of its dependency has not been read yet
	if got := g.UnknownDependencies(); !slices.Equal(got, []string{"child"}) {
		t.Fatalf("unknown: %v", got)
	}
	g.Add(newJob("child", "root", "idle", 0), noon)
	if got := g.UnknownDependencies(); len(got) > 0 {
		t.Fatalf("still unknown: %v", got)
	}
	r.observe(g, "root", Cancelled)
	g.Add(newJob("late", "grandchild", "idle", 0), noon)
	if got := jobIDs(g.CancelledJobs()); got != "child grandchild late" {
		t.Fatalf("cancelled: %s", got)
	}
	if unfinished, cancelled := g.Resolve([]string{"late"}); !cancelled || len(unfinished) > 0 {
		t.Errorf("a job that depends on a cancelled job: unfinished %v, cancelled %v", unfinished, cancelled)
	}
	for _, jobID := range []string{"late", "grandchild", "child"} {
		r.observe(g, jobID, Cancelled) // the cancellation is recorded
	}
	if g.Len() > 0 || len(g.DependencyIDs()) > 0 {
		t.Errorf("%d jobs blocked, dependencies %v", g.Len(), g.DependencyIDs())
	}
}

// Dependents must be cancelled when a user cancels their dependency while the dependency is
// blocked itself.
func TestCancellationOfBlockedJobReachesDependents(t *testing.T) {
	r := records{"root": Unfinished}
	g := r.newGraph()
	g.Add(newJob("child", "root", "idle", 0), noon)
	g.Add(newJob("grandchild", "child", "idle", 0), noon)
	r.observe(g, "child", Cancelled)
	r.observe(g, "root", Done)
	if jobIDs(g.ReadyJobs()) != "" || jobIDs(g.CancelledJobs()) != "grandchild" {
		t.Errorf("ready %q, cancelled %q", jobIDs(g.ReadyJobs()), jobIDs(g.CancelledJobs()))
	}
}

// A graph must not depend on the order in which records are read: it has to agree with a
// recursive walk over all records.
func TestGraphMatchesWalkOverAllRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 14).Draw(t, "jobs")
		dependencies := make(map[string][]string)
		final := make(records)
		name := func(i int) string { return fmt.Sprintf("j%02d", i) }
		for i := range count {
			for k := range i {
				if rapid.IntRange(0, 3).Draw(t, "needs") == 0 {
					dependencies[name(i)] = append(dependencies[name(i)], name(k))
				}
			}
			if len(dependencies[name(i)]) == 0 {
				final[name(i)] = rapid.SampledFrom([]State{Unfinished, Done, Cancelled}).Draw(t, "state")
			}
		}
		var want func(jobID string) State
		want = func(jobID string) State {
			if len(dependencies[jobID]) == 0 {
				return final[jobID]
			}
			state := Done // for a blocked job: ready, since blocked jobs do not run in this test
			for _, dependency := range dependencies[jobID] {
				switch s := want(dependency); {
				case s == Cancelled:
					return Cancelled
				case s != Done || len(dependencies[dependency]) > 0:
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
		g := seen.newGraph()
		for _, i := range rapid.Permutation(order).Draw(t, "order") {
			if jobID := name(i); len(dependencies[jobID]) > 0 {
				g.Add(newJob(jobID, strings.Join(dependencies[jobID], " "), "idle", 0), noon)
			} else {
				seen.observe(g, jobID, final[jobID])
			}
		}
		for jobID := range dependencies {
			s := want(jobID)
			if g.IsReady(jobID) != (s == Done) || g.IsCancelled(jobID) != (s == Cancelled) {
				t.Fatalf("%s depends on %v: ready %v, cancelled %v, want %v", jobID, dependencies[jobID], g.IsReady(jobID), g.IsCancelled(jobID), s)
			}
		}
		if len(g.UnknownDependencies()) > 0 {
			t.Fatalf("unknown: %v", g.UnknownDependencies())
		}
	})
}
