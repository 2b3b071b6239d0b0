package controller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"madderslip/internal/coordination/replica"
	"madderslip/internal/policy"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// idleStore accepts transactions and never executes them.
type idleStore struct{ StateStore }

func (idleStore) Submit(*kv.Txn)                      {}
func (idleStore) PendingCount(kv.Priority) int        { return 0 }
func (idleStore) SetBudgetShare(float64)              {}
func (idleStore) ObserveVersion(string, uint64, bool) {}
func (idleStore) LastSuccess() time.Time              { return time.Now() }
func (idleStore) Backlog(kv.Priority) (int, float64)  { return 0, 1 }
func (idleStore) Get(context.Context, string) (kv.Item, error) {
	return kv.Item{}, kv.ErrNotExecuted
}

// unavailableStore has not executed a call for a long time.
type unavailableStore struct{ idleStore }

func (unavailableStore) LastSuccess() time.Time { return time.Time{} }

// recordingStore keeps the last transaction.
type recordingStore struct {
	idleStore
	txn *kv.Txn
}

func (s *recordingStore) Submit(txn *kv.Txn) { s.txn = txn }
func (s *recordingStore) GrantLease(context.Context, time.Duration) (kv.LeaseID, error) {
	return 7, nil
}

// readingStore keeps the last transaction and answers every read with the same item or error.
type readingStore struct {
	recordingStore
	item kv.Item
	err  error
}

func (s *readingStore) ReadBacklog() (int, float64) { return 0, 100 }
func (s *readingStore) Get(context.Context, string) (kv.Item, error) {
	return s.item, s.err
}

// lateReadingStore keeps the last transaction. It answers failedReads reads with an error, and
// later ones with an item.
type lateReadingStore struct {
	StateStore  // nil, since the tests call no other method
	txn         *kv.Txn
	failedReads int
	item        kv.Item
}

func (s *lateReadingStore) Submit(txn *kv.Txn)                  { s.txn = txn }
func (s *lateReadingStore) ObserveVersion(string, uint64, bool) {}
func (s *lateReadingStore) Get(context.Context, string) (kv.Item, error) {
	if s.failedReads--; s.failedReads >= 0 {
		return kv.Item{}, errors.New("no answer")
	}
	return s.item, nil
}

// unreachableHTTP reaches no agent.
type unreachableHTTP struct{}

func (unreachableHTTP) Do(context.Context, string, string, string, []byte) (int, []byte, error) {
	return 0, nil, errors.New("no route")
}

// newTestController returns a controller of the node n0 that logs nothing. peers are the
// names of the other nodes.
func newTestController(store StateStore, peers ...string) *Controller {
	settings := protocol.Settings{NodeName: "n0"}
	for _, name := range peers {
		settings.Peers = append(settings.Peers, protocol.Peer{Node: name})
	}
	return New(Options{Settings: settings, Store: store, Log: slog.New(slog.DiscardHandler), Rand: rand.New(rand.NewPCG(1, 1))})
}

// claimOfOneTask returns the record of a claim whose only task is placed on a host.
func claimOfOneTask(shard, host string) *records.Claim {
	return &records.Claim{Shard: shard, TaskCount: 1, Placements: []records.Placement{{Task: 0, Attempt: 1, Host: host}}}
}

// fleetSettings returns the settings of one of three controllers.
func fleetSettings() protocol.Settings {
	return protocol.Settings{
		NodeName:      "n0",
		Zone:          "a",
		NodeCount:     3,
		Zones:         []string{"a", "b"},
		Teams:         map[string]protocol.Team{"t": {Name: "t"}},
		Peers:         []protocol.Peer{{Node: "n1", Zone: "b"}, {Node: "n2", Zone: "a"}},
		Workers:       protocol.WorkerSettings{HeartbeatInterval: 5 * time.Second, LeaseDuration: 27 * time.Second, GangStartTimeout: 50 * time.Second, GangPeerTimeout: 8 * time.Second, CancelDeadline: 47 * time.Second},
		StateLimits:   protocol.StateLimits{RequestRate: 150, WriteRate: 35, MaxValueBytes: 8192, MaxTxnOps: 12},
		CloudLimits:   protocol.CloudLimits{RequestRate: 9, ListLag: 5 * time.Second},
		ProcessLimits: protocol.ProcessLimits{CPUShare: 1, MemoryBytes: 1 << 30, MaxConns: 2000},
	}
}

// newFleet returns a controller that owns one of three shards with the given number of machines
// in total. Each machine is full, with eight tasks of arrays of 64 tasks in chunks of 32. Log
// lines are formatted and discarded, so that benchmarks include the cost of formatting.
func newFleet(t testing.TB, machines int) *Controller {
	t.Helper()
	settings := fleetSettings()
	loaded, err := policy.Load("", settings)
	if err != nil {
		t.Fatal(err)
	}
	controller := New(Options{Settings: settings, Policy: loaded, Store: idleStore{}, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Rand: rand.New(rand.NewPCG(1, 1))})
	controller.view.MachineTypes = map[string]*protocol.MachineType{"m16": {Name: "m16", CPUs: 16, MemoryGB: 64, ImageCacheGB: 50, ImagePullGBps: 1, Price: 1, SpotPrice: 0.4, BootS: 30, Zones: settings.Zones}}
	controller.view.Loaded, controller.membership.lease, controller.view.Revision = true, 1, 1_000_000
	for i, name := range []string{"n0", "n1", "n2"} {
		controller.view.Apply(records.NodePrefix+name, &records.Node{StartedAtMs: 1}, uint64(i+1))
		controller.view.Apply(records.ShardPrefix+name, &records.Shard{Owner: name}, uint64(i+10))
	}
	addFullMachines(controller, machines)
	for _, machine := range controller.view.Shards["n0"].Machines {
		controller.respondToHeartbeat(heartbeatOf(machine, 1))
	}
	controller.runPass(time.Now())
	return controller
}

// inFleet runs a test with the controller of newFleet, whose lock is held, in a bubble with a fake
// clock.
func inFleet(t *testing.T, machines int, test func(t *testing.T, controller *Controller)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		controller := newFleet(t, machines)
		controller.mu.Lock()
		defer controller.mu.Unlock()
		test(t, controller)
	})
}

// addFullMachines adds machines, ten at a time to each of the three shards in turn, and the
// claims that fill them.
func addFullMachines(controller *Controller, machines int) {
	for i := 0; i < machines; i += 30 {
		provision := &records.Provision{
			ProvisionRequest: protocol.ProvisionRequest{Type: "m16", Zone: controller.settings.Zones[i/30%2], Count: 30},
			Allocations:      []records.Allocation{{Shard: "n0", Count: 10}, {Shard: "n1", Count: 10}, {Shard: "n2", Count: 10}},
		}
		for k := range 30 {
			provision.Hosts = append(provision.Hosts, hostName(i+k))
		}
		controller.view.Apply(records.ProvisionPrefix+strconv.Itoa(i), provision, 20)
	}
	shards := []string{"n0", "n1", "n2"}
	for at := 0; at < machines; at += 4 { // a chunk of 32 tasks on four machines of one shard
		chunk := at / 4
		jobID := fmt.Sprint("wk-", 1000+chunk/2)
		if chunk%2 == 0 {
			controller.view.Apply(records.JobPrefix+jobID, arrayJob(jobID, 2), 30)
		}
		claim := &records.Claim{Shard: shards[chunk%3], FirstTask: chunk % 2 * 32, TaskCount: 32, LastAttempt: 1}
		for task := range 32 {
			inShard := chunk/3*4 + task/8
			host := hostName(inShard/10*30 + chunk%3*10 + inShard%10)
			claim.Placements = append(claim.Placements, records.Placement{Task: claim.FirstTask + task, Attempt: 1, Host: host})
		}
		controller.view.Apply(records.ClaimKey(jobID, chunk%2), claim, 40)
	}
}

// arrayJob returns the record of an array of 64 tasks in two chunks.
func arrayJob(jobID string, cpus float64) *records.Job {
	spec := &protocol.Submission{JobID: jobID, Class: "c", Team: "t", Shape: protocol.ShapeArray, PriorityClass: "normal", Tasks: 64,
		CPUs: cpus, MemoryGB: 4, Image: "img", ImageGB: 1, RunEstimateS: 30}
	return &records.Job{Spec: spec, Shards: []string{"n0", "n1"}, ChunkSize: 32}
}

// hostName returns the host name of machine i of a fleet.
func hostName(i int) string { return fmt.Sprintf("vm-%06d", i) }

// heartbeatOf returns a heartbeat that lists every task placed on a machine as running.
func heartbeatOf(machine *replica.Machine, sequence uint64) *protocol.Heartbeat {
	heartbeat := &protocol.Heartbeat{Host: machine.Host, Address: "10.0.0.1:9000", Type: machine.Record.Type, Zone: machine.Record.Zone, AgentEpoch: 1, Sequence: sequence, FencingToken: 10}
	for name, slot := range machine.Use.Slots {
		heartbeat.Tasks = append(heartbeat.Tasks, protocol.TaskStatus{Task: name, Attempt: slot.Attempt, Phase: protocol.TaskRunning})
	}
	return heartbeat
}
