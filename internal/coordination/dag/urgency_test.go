package dag

import (
	"testing"
	"time"

	"madderslip/internal/protocol"
)

// Jobs inherit the priority of their dependents, and a deadline along the longest path of
// dependents. Nothing is inherited from cancelled dependents.
func TestUrgencyIsInheritedAlongLongestPath(t *testing.T) {
	r := records{"root": Unfinished}
	g := r.newGraph()
	estimate := func(s *protocol.Submission) time.Duration { return s.RunEstimate() }
	g.Add(newJob("short", "root", "idle", 0), noon)
	g.Add(newJob("long", "root", "normal", 0), noon)
	g.Add(newJob("longer", "long", "idle", 0), noon)
	if urgency := g.Urgency("root", estimate); urgency.Priority != 1 || !urgency.FinishBy.IsZero() {
		t.Fatalf("without a deadline: %+v", urgency)
	}
	g.Add(newJob("last", "short longer", "high", 100), noon)
	if urgency := g.Urgency("root", estimate); urgency.Priority != 2 || urgency.FinishBy != noon.Add(70*time.Second) {
		t.Fatalf("root inherits %+v", urgency)
	}
	if urgency := g.Urgency("longer", estimate); urgency.Priority != 2 || urgency.FinishBy != noon.Add(90*time.Second) {
		t.Fatalf("longer inherits %+v", urgency)
	}
	spec := &protocol.Submission{PriorityClass: "idle"}
	if raised := Inherit(spec, g.Urgency("root", estimate), 0); raised == spec || raised.PriorityClass != "high" || spec.PriorityClass != "idle" {
		t.Errorf("submission with inherited priority %+v, original %+v", raised, spec)
	}
	if own := (&protocol.Submission{PriorityClass: "critical"}); Inherit(own, g.Urgency("root", estimate), 0) != own {
		t.Error("the job's own higher priority was lowered")
	}
	r.observe(g, "last", Cancelled)
	if urgency := g.Urgency("root", estimate); urgency.Priority != 1 || !urgency.FinishBy.IsZero() {
		t.Errorf("after the last job was cancelled: %+v", urgency)
	}
}

// A queued job that inherits a deadline must not be placed on spot machines until the job has
// been queued for spotAvoidance, and may be placed on spot machines afterwards.
func TestUrgentJobAvoidsSpotAtFirst(t *testing.T) {
	spec := &protocol.Submission{PriorityClass: "high", AllowSpot: true}
	urgency := Urgency{Priority: 1, FinishBy: noon}
	if got := Inherit(spec, urgency, time.Second); got.AllowSpot || got.PriorityClass != "high" {
		t.Errorf("within spotAvoidance: %+v", got)
	}
	if got := Inherit(spec, urgency, spotAvoidance+1); got != spec {
		t.Errorf("after spotAvoidance: %+v", got)
	}
	if got := Inherit(spec, Urgency{Priority: 2}, 0); got != spec {
		t.Errorf("without a deadline: %+v", got)
	}
}
