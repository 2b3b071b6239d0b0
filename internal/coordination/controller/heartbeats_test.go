package controller

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"madderslip/internal/coordination/placement"
	"madderslip/internal/protocol"
)

// A heartbeat that may be of another incarnation of the agent than the newest recorded one is
// answered without commands, which would be based on the tasks of the wrong incarnation. The
// machine is probed instead.
func TestHeartbeatOfUnclearIncarnationGetsNoCommands(t *testing.T) {
	inFleet(t, 30, func(t *testing.T, controller *Controller) {
		controller.httpClient = unreachableHTTP{}
		machine := controller.view.Shards["n0"].Machines[0]
		controller.respondToHeartbeat(heartbeatOf(machine, 88))
		orphaned := protocol.TaskStatus{Task: "wk-77/0", Attempt: 1, Phase: protocol.TaskExited, Cause: protocol.CauseDone}
		for _, test := range []struct {
			name     string
			sequence uint64
			commands int
			probed   bool
		}{
			{"the next", 89, 1, false},
			{"one that may be earlier", 3, 0, true},
		} {
			heartbeat := heartbeatOf(machine, test.sequence)
			heartbeat.Tasks = append(heartbeat.Tasks, orphaned)
			var answer protocol.HeartbeatResponse
			if response := controller.respondToHeartbeat(heartbeat); response.Status != 200 || json.Unmarshal(response.Body, &answer) != nil {
				t.Fatalf("%s: %d", test.name, response.Status)
			}
			if len(answer.Commands) != test.commands || machine.Detector.Probing != test.probed {
				t.Errorf("%s: commands %v, probed %v", test.name, answer.Commands, machine.Detector.Probing)
			}
		}
	})
}

// After a partition that lasted a minute a machine may answer probes before its first heartbeat
// arrives. Such a machine must not count as unable to report at once, but must if it keeps
// answering probes without sending heartbeats.
func TestRestoredMachineHasTimeToReport(t *testing.T) {
	inFleet(t, 30, func(t *testing.T, controller *Controller) {
		controller.settings.Workers.LeaseDuration = 12 * time.Second
		machine := controller.view.Shards["n0"].Machines[0]
		controller.respondToHeartbeat(heartbeatOf(machine, 88))
		sequence := uint64(88)
		answerProbes := func(duration time.Duration) {
			for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(time.Second) {
				sequence++
				controller.observeHeartbeat(machine, heartbeatOf(machine, sequence))
			}
		}
		time.Sleep(time.Minute)
		answerProbes(3 * time.Second)
		if controller.cannotReport(machine, time.Now()) {
			t.Error("counts as unable to report just after contact was restored")
		}
		answerProbes(6 * time.Second)
		if !controller.cannotReport(machine, time.Now()) {
			t.Error("does not count as unable to report though it sends no heartbeats")
		}
		sequence++
		controller.respondToHeartbeat(heartbeatOf(machine, sequence))
		if controller.cannotReport(machine, time.Now()) {
			t.Error("counts as unable to report though it sends heartbeats")
		}
	})
}

// TestRestartStopsTasksThatAreNotPlaced guards against attempts that a late copy began and that run on until the next heartbeat.
func TestRestartStopsTasksThatAreNotPlaced(t *testing.T) {
	inFleet(t, 30, func(t *testing.T, controller *Controller) {
		shard := controller.view.Shards["n0"]
		machine := shard.Machines[0]
		controller.respondToHeartbeat(heartbeatOf(machine, 88))
		before := machine.CommandToken(shard)
		restarted := heartbeatOf(machine, 1)
		restarted.Tasks = append(restarted.Tasks, protocol.TaskStatus{Task: "wk-77/0", Attempt: 1, Phase: protocol.TaskFetching})
		controller.recordRestart(shard, machine, restarted)
		if want := []protocol.Command{protocol.StopCommand("wk-77/0", 1, 0)}; !reflect.DeepEqual(machine.Commands.Pending, want) {
			t.Errorf("queued %v, want %v", machine.Commands.Pending, want)
		}
		if machine.CommandToken(shard) <= before || machine.ShowsToken(shard) {
			t.Errorf("token %d after %d, the status counts: %v", machine.CommandToken(shard), before, machine.ShowsToken(shard))
		}
	})
}

// TestLeaseIsExtendedUnderRaisedToken guards against answers in a partition that a worker drops since its token was raised.
func TestLeaseIsExtendedUnderRaisedToken(t *testing.T) {
	inFleet(t, 30, func(t *testing.T, controller *Controller) {
		controller.store = unavailableStore{}
		shard := controller.view.Shards["n1"]
		heartbeat := heartbeatOf(shard.Machines[0], 88)
		for _, test := range []struct {
			name          string
			shown, answer uint64
			extended      bool
		}{
			{"the recorded token", shard.Version, shard.Version, true},
			{"an earlier one", shard.Version - 1, shard.Version, true},
			{"one that the recorded owner has raised", shard.Version + 7, shard.Version + 7, true},
			{"one of a later owner", controller.view.Revision + 1, 0, false},
		} {
			heartbeat.FencingToken = test.shown
			response, extended := controller.extendLease(shard, heartbeat, time.Now())
			var answer protocol.HeartbeatResponse
			if extended && json.Unmarshal(response.Body, &answer) != nil {
				t.Fatal(test.name)
			}
			if extended != test.extended || answer.FencingToken != test.answer {
				t.Errorf("%s: token %d, extended %v", test.name, answer.FencingToken, extended)
			}
		}
	})
}

// TestNoTaskIsPlacedWhereListIsFull guards against heartbeats that outgrow the protocol's limit while ends wait to be recorded.
func TestNoTaskIsPlacedWhereListIsFull(t *testing.T) {
	inFleet(t, 30, func(t *testing.T, controller *Controller) {
		machine := controller.view.Shards["n0"].Machines[0]
		heartbeat := heartbeatOf(machine, 88)
		for task := range placement.MaxListedTasks - len(heartbeat.Tasks) {
			heartbeat.Tasks = append(heartbeat.Tasks, protocol.TaskStatus{Task: protocol.TaskName("wk-77", task), Attempt: 1, Phase: protocol.TaskExited, Cause: protocol.CauseDone})
		}
		last := len(heartbeat.Tasks) - 1
		shorter := *heartbeat
		shorter.Tasks = heartbeat.Tasks[:last]
		controller.respondToHeartbeat(&shorter)
		if !controller.acceptsTasks(machine, time.Now()) {
			t.Errorf("%d listed tasks fill the list", last)
		}
		heartbeat.Sequence++
		controller.respondToHeartbeat(heartbeat)
		if controller.acceptsTasks(machine, time.Now()) {
			t.Errorf("tasks may be placed beside %d listed ones", len(heartbeat.Tasks))
		}
	})
}

// TestPlacedTasksCountAsListed guards against machines that get further tasks before their heartbeat lists the last ones.
func TestPlacedTasksCountAsListed(t *testing.T) {
	inFleet(t, 30, func(t *testing.T, controller *Controller) {
		shard := controller.view.Shards["n0"]
		machine := shard.Machines[0]
		heartbeat := heartbeatOf(machine, 88)
		placed := len(heartbeat.Tasks)
		heartbeat.Tasks = append(heartbeat.Tasks[:1], protocol.TaskStatus{Task: "wk-77/0", Attempt: 1, Phase: protocol.TaskExited, Cause: protocol.CauseDone})
		controller.respondToHeartbeat(heartbeat)
		if got := controller.capacities(shard, time.Now())[0].Tasks; got != placed+1 {
			t.Errorf("%d tasks count, want the %d placed ones and one that is listed alone", got, placed)
		}
	})
}
