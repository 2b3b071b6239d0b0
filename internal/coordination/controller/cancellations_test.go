package controller

import (
	"testing"
	"testing/synctest"
	"time"

	"madderslip/internal/coordination/replica"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// A controller may receive a cancellation ahead of the watch, which then delivers a claim that
// was committed before the cancellation. The claim must be attached to its job, so that its
// machine is reconciled: a job that was dropped because it had no claims would have to be read
// again, which is not possible in an outage.
func TestClaimIsAttachedToJobCancelledAheadOfWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller := newTestController(idleStore{})
		controller.mu.Lock()
		defer controller.mu.Unlock()
		view := controller.view
		view.Loaded, view.Revision = true, 5
		for _, jobID := range []string{"wk-1", "wk-2"} {
			spec := &protocol.Submission{JobID: jobID, Tasks: 1, Shape: protocol.ShapeService}
			view.Apply(records.JobPrefix+jobID, &records.Job{Spec: spec, State: protocol.JobCancelled, ChunkSize: 1}, 8)
		}
		key := records.ClaimKey("wk-1", 0)
		view.Apply(key, claimOfOneTask("n1", "vm-1"), 7)
		if claim := view.Claims[key]; claim == nil || claim.Spec == nil || view.CancelledJobs["wk-1"] == nil || view.CancelledJobs["wk-1"].Claims[0] != claim || len(view.OrphanClaims) != 0 {
			t.Errorf("the claim is not attached to its job: %+v", claim)
		}
		view.ReachRevision(8)
		if view.Jobs["wk-1"] == nil || view.Jobs["wk-2"] != nil || view.FinalJobs["wk-2"].State != protocol.JobCancelled || len(view.EarlyCancellations) != 0 {
			t.Errorf("once the watch has reached the cancellation: jobs %v, early cancellations %v", view.Jobs, view.EarlyCancellations)
		}
		view.Apply(key, nil, 9)
		if len(view.Jobs) != 0 || view.FinalJobs["wk-1"].State != protocol.JobCancelled {
			t.Errorf("once its claim is removed: jobs %v", view.Jobs)
		}
	})
}

// TestUnansweredProbeCountsWhileZoneIsInContact guards against machines that a new owner fences since its own
// links or those of a zone are cut.
func TestUnansweredProbeCountsWhileZoneIsInContact(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(controller *Controller, shard *replica.Shard, machine *replica.Machine)
		want    bool
	}{
		{"another machine of its zone is in contact", func(controller *Controller, shard *replica.Shard, _ *replica.Machine) {
			controller.respondToHeartbeat(heartbeatOf(shard.Machines[1], 99))
		}, true},
		{"no machine of its zone is in contact", func(*Controller, *replica.Shard, *replica.Machine) {}, false},
		{"it has been in contact itself", func(controller *Controller, shard *replica.Shard, machine *replica.Machine) {
			controller.respondToHeartbeat(heartbeatOf(shard.Machines[1], 99))
			controller.respondToHeartbeat(heartbeatOf(machine, 99))
		}, false},
		{"it is alone in its zone, and a controller of the zone is in contact", func(controller *Controller, shard *replica.Shard, machine *replica.Machine) {
			shard.Machines, machine.Record.Zone = shard.Machines[:1], "b"
			controller.membership.lastContact["n1"] = time.Now()
		}, true},
		{"it is alone in its zone, and no controller of the zone is in contact", func(controller *Controller, shard *replica.Shard, machine *replica.Machine) {
			shard.Machines, machine.Record.Zone = shard.Machines[:1], "b"
			controller.membership.lastContact["n2"] = time.Now()
		}, false},
	} {
		inFleet(t, 30, func(t *testing.T, controller *Controller) {
			shard := controller.view.Shards["n0"]
			machine := shard.Machines[0]
			time.Sleep(time.Second)
			shard.OwnedSince = time.Now()
			time.Sleep(time.Second)
			machine.Detector.UnansweredAt = time.Now()
			test.prepare(controller, shard, machine)
			if got := controller.isUnansweredByItself(shard, machine); got != test.want {
				t.Errorf("%s: %v", test.name, got)
			}
		})
	}
}
