package health

import (
	"testing"
	"time"
)

// A machine that has not been in contact with the new owner of its shard is given two
// heartbeat timeouts to stop a cancelled task. Every machine is fenced early enough that no
// cancelled task runs for longer than the limit, even if the return of the machine cannot be
// recorded.
func TestCancelledTaskIsFencedWithinLimit(t *testing.T) {
	const limit, timeout = 47 * sec, 6500 * time.Millisecond
	for name, c := range map[string]struct {
		task       CancelledTask
		stateDown  bool
		fence      bool
		unrecorded bool
	}{
		"its stop command is in transit":                        {CancelledTask{Age: 10 * sec, TokenShown: true, OwnedFor: 60 * sec}, false, false, false},
		"the machine is in contact and keeps the task":          {CancelledTask{Age: 19 * sec, TokenShown: true, OwnedFor: 60 * sec}, false, true, false},
		"the machine is silent":                                 {CancelledTask{Age: sec, Silent: true, OwnedFor: 60 * sec}, false, true, false},
		"its owner has just begun to act for it":                {CancelledTask{Age: 30 * sec, OwnedFor: sec}, false, false, false},
		"no contact with a new owner in two heartbeat timeouts": {CancelledTask{Age: 30 * sec, OwnedFor: 14 * sec}, false, true, false},
		"it does not answer its new owner while others do":      {CancelledTask{Age: 20 * sec, Unanswered: true, OwnedFor: sec}, false, true, false},
		"the same, while an earlier owner would wait":           {CancelledTask{Age: 18 * sec, Unanswered: true, OwnedFor: sec}, false, false, false},
		"the limit leaves no time to wait for contact":          {CancelledTask{Age: 33 * sec, OwnedFor: sec}, false, true, false},
		"no record can be written":                              {CancelledTask{Age: 24 * sec, TokenShown: true, OwnedFor: 60 * sec}, true, true, true},
		"records are written slowly":                            {CancelledTask{Age: 36 * sec, TokenShown: true, OwnedFor: 60 * sec}, false, true, true},
	} {
		if fence, unrecorded := c.task.ShouldFence(limit, timeout), c.task.ShouldReturnUnrecorded(limit, c.stateDown); fence != c.fence || (fence && unrecorded != c.unrecorded) {
			t.Errorf("%s: fence %v, without a record %v", name, fence, unrecorded)
		}
	}
}

// TestNewOwnerProbesSilentMachineWithCancelledTask guards against an owner that waits for a heartbeat of
// a machine which hangs.
func TestNewOwnerProbesSilentMachineWithCancelledTask(t *testing.T) {
	const limit = 47 * sec
	for name, c := range map[string]struct {
		task  CancelledTask
		probe bool
	}{
		"an earlier owner would have fenced it": {CancelledTask{Age: 19 * sec, SinceProbe: probeInterval}, true},
		"an earlier owner would wait":           {CancelledTask{Age: 18 * sec, SinceProbe: probeInterval}, false},
		"it was probed just now":                {CancelledTask{Age: 19 * sec, SinceProbe: sec}, false},
		"it did not answer":                     {CancelledTask{Age: 19 * sec, SinceProbe: probeInterval, Unanswered: true}, false},
		"it has shown the owner's token":        {CancelledTask{Age: 19 * sec, SinceProbe: probeInterval, TokenShown: true}, false},
	} {
		if probe := c.task.ShouldProbe(limit); probe != c.probe {
			t.Errorf("%s: probe %v", name, probe)
		}
	}
}
