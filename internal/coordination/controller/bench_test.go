package controller

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"madderslip/internal/coordination/replica"
	"madderslip/internal/policy"
	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// idleStore takes transactions and answers none.
type idleStore struct{ StateStore }

func (idleStore) Submit(*kv.Txn)                      {}
func (idleStore) HasPending(int) int                  { return 0 }
func (idleStore) SetBudgetShare(float64)              {}
func (idleStore) ObserveVersion(string, uint64, bool) {}
func (idleStore) LastSuccess() time.Time              { return time.Now() }
func (idleStore) Backlog(int) (int, float64)          { return 0, 1 }
func (idleStore) Get(context.Context, string) (kv.Item, error) {
	return kv.Item{}, kv.ErrNotExecuted
}

// fleetOf is a controller that owns one of three shards of so many machines, all
// of them full: eight tasks each, of arrays of 64 tasks in chunks of 32.
func fleetOf(b testing.TB, machines int) *Controller {
	b.Helper()
	s := protocol.Settings{NodeName: "n0", Zone: "a", NodeCount: 3, Zones: []string{"a", "b"}, Teams: map[string]protocol.Team{"t": {Name: "t"}},
		Peers:       []protocol.Peer{{Node: "n1", Zone: "b"}, {Node: "n2", Zone: "a"}},
		Workers:     protocol.WorkerSettings{HeartbeatInterval: 5 * time.Second, LeaseDuration: 27 * time.Second, GangStartTimeout: 50 * time.Second, GangPeerTimeout: 8 * time.Second, CancelDeadline: 47 * time.Second},
		StateLimits: protocol.StateLimits{RequestRate: 150, WriteRate: 35, MaxValueBytes: 8192, MaxTxnOps: 12}, CloudLimits: protocol.CloudLimits{RequestRate: 9, ListLag: 5 * time.Second},
		ProcessLimits: protocol.ProcessLimits{CPUShare: 1, MemoryBytes: 1 << 30, MaxConns: 2000}}
	pol, err := policy.Load("", s)
	if err != nil {
		b.Fatal(err)
	}
	controller := New(Options{Settings: s, Policy: pol, Store: idleStore{}, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Rand: rand.New(rand.NewPCG(1, 1))})
	controller.view.MachineTypes = map[string]*protocol.MachineType{"m16": {Name: "m16", CPUs: 16, MemoryGB: 64, ImageCacheGB: 50, ImagePullGBps: 1, Price: 1, SpotPrice: 0.4, BootS: 30, Zones: s.Zones}}
	controller.view.Loaded, controller.membership.lease, controller.view.Revision = true, 1, 1_000_000
	put := func(key string, record any, version uint64) { controller.view.Apply(key, record, version) }
	for i, name := range []string{"n0", "n1", "n2"} {
		put(records.NodePrefix+name, &records.Node{StartedAtMs: 1}, uint64(i+1))
		put(records.ShardPrefix+name, &records.Shard{Owner: name}, uint64(i+10))
	}
	for i := 0; i < machines; i += 30 {
		h := &records.Provision{ProvisionRequest: protocol.ProvisionRequest{Type: "m16", Zone: s.Zones[i/30%2], Count: 30}, Allocations: []records.Allocation{{Shard: "n0", Count: 10}, {Shard: "n1", Count: 10}, {Shard: "n2", Count: 10}}}
		for k := range 30 {
			h.Hosts = append(h.Hosts, hostName(i+k))
		}
		put(records.ProvisionPrefix+strconv.Itoa(i), h, 20)
	}
	shards := []string{"n0", "n1", "n2"}
	for at := 0; at < machines; at += 4 { // a chunk of 32 tasks on four machines of one shard
		chunk := at / 4
		jobID := fmt.Sprint("wk-", 1000+chunk/2)
		if chunk%2 == 0 {
			put(records.JobPrefix+jobID, &records.Job{Spec: &protocol.Submission{JobID: jobID, Class: "c", Team: "t", Shape: protocol.ShapeArray, PriorityClass: "normal", Tasks: 64,
				CPUs: 2, MemoryGB: 4, Image: "img", ImageGB: 1, RunEstimateS: 30}, Shards: []string{"n0", "n1"}, ChunkSize: 32}, 30)
		}
		c := &records.Claim{Shard: shards[chunk%3], FirstTask: chunk % 2 * 32, TaskCount: 32, LastAttempt: 1}
		for t := range 32 {
			// The machines of a shard come ten in a row of thirty.
			k := chunk/3*4 + t/8
			c.Placements = append(c.Placements, records.Placement{Task: c.FirstTask + t, Attempt: 1, Host: hostName(k/10*30 + chunk%3*10 + k%10)})
		}
		put(records.ClaimKey(jobID, chunk%2), c, 40)
	}
	for _, machine := range controller.view.Shards["n0"].Machines {
		controller.respondToHeartbeat(reportOf(machine, 1))
	}
	controller.pass(time.Now())
	return controller
}

func hostName(i int) string { return fmt.Sprintf("vm-%06d", i) }

// reportOf is a worker's account of all that is placed there.
func reportOf(machine *replica.Machine, tick uint64) *protocol.Heartbeat {
	heartbeat := &protocol.Heartbeat{Host: machine.Host, Address: "10.0.0.1:9000", Type: machine.Record.Type, Zone: machine.Record.Zone, AgentEpoch: 1, Sequence: tick, FencingToken: 10}
	for name, slot := range machine.Use.Slots {
		heartbeat.Tasks = append(heartbeat.Tasks, protocol.TaskStatus{Task: name, Attempt: slot.Attempt, Phase: protocol.TaskRunning})
	}
	return heartbeat
}

// The cost of one event must not grow with the fleet: a controller sees as many
// more of them. go test ./internal/coordination/controller -run '^$' -bench . -benchmem
func BenchmarkFleet(b *testing.B) {
	for _, machines := range []int{1200, 3600, 12000} {
		b.Run(fmt.Sprintf("report/%d", machines), func(b *testing.B) {
			controller := fleetOf(b, machines)
			own := controller.view.Shards["n0"].Machines
			bodies := make([][]byte, 64)
			for i := range bodies {
				bodies[i], _ = protocol.Encode(reportOf(own[i*len(own)/len(bodies)], 1<<40))
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				heartbeat, err := protocol.ParseHeartbeat(bodies[i%len(bodies)])
				if err != nil {
					b.Fatal(err)
				}
				heartbeat.Sequence = uint64(i + 2)
				if got := controller.respondToHeartbeat(heartbeat); got.Status != 200 {
					b.Fatal(got.Status)
				}
			}
		})
		b.Run(fmt.Sprintf("claim/%d", machines), func(b *testing.B) {
			controller := fleetOf(b, machines)
			key := records.ClaimKey("wk-1000", 1) // another controller's
			raw, _ := protocol.Encode(controller.view.Claims[key].Record)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				controller.view.ApplyItem(kv.Item{Key: key, Value: raw, Version: uint64(100 + i)})
			}
		})
		b.Run(fmt.Sprintf("completion/%d", machines), func(b *testing.B) {
			controller := fleetOf(b, machines)
			claim := controller.view.Claims[records.ClaimKey("wk-1000", 0)]
			machine := controller.view.Machines[claim.Record.Placements[0].Host]
			shard, job := controller.view.Shards["n0"], controller.view.Jobs["wk-1000"]
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				heartbeat := reportOf(machine, uint64(i+2))
				if i%2 == 0 {
					heartbeat.Tasks[0].Phase, heartbeat.Tasks[0].Cause = protocol.TaskExited, protocol.CauseDone
				}
				controller.respondToHeartbeat(heartbeat)
				controller.reconcileClaim(shard, job, claim, time.Now())
			}
		})
		b.Run(fmt.Sprintf("pass/%d", machines), func(b *testing.B) {
			controller := fleetOf(b, machines)
			shard := controller.view.Shards["n0"]
			for i := range 50 { // arrays that find no room
				jobID := fmt.Sprint("wk-", 900_000+i)
				controller.view.Apply(records.JobPrefix+jobID, &records.Job{Spec: &protocol.Submission{JobID: jobID, Class: "c", Team: "t", Shape: protocol.ShapeArray, PriorityClass: "normal", Tasks: 64,
					CPUs: 2 + float64(i)/100, MemoryGB: 4, Image: "img", RunEstimateS: 30}, Shards: []string{"n0", "n1"}, ChunkSize: 32}, 50)
			}
			b.ReportAllocs()
			for b.Loop() {
				controller.scheduleShard(shard, time.Now())
			}
		})
	}
}
