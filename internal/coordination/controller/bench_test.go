package controller

import (
	"fmt"
	"testing"
	"time"

	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// BenchmarkFleet measures the cost of single events on fleets of several sizes. The cost of one
// event must not grow with the fleet, since the number of events does:
//
//	go test ./internal/coordination/controller -run '^$' -bench . -benchmem
func BenchmarkFleet(b *testing.B) {
	for _, machines := range []int{1200, 3600, 12000} {
		b.Run(fmt.Sprintf("report/%d", machines), func(b *testing.B) {
			controller := newFleet(b, machines)
			own := controller.view.Shards["n0"].Machines
			bodies := make([][]byte, 64)
			for i := range bodies {
				bodies[i], _ = protocol.Encode(heartbeatOf(own[i*len(own)/len(bodies)], 1<<40))
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
			controller := newFleet(b, machines)
			key := records.ClaimKey("wk-1000", 1) // the claim belongs to a shard of another controller
			raw, _ := protocol.Encode(controller.view.Claims[key].Record)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				controller.view.ApplyItem(kv.Item{Key: key, Value: raw, Version: uint64(100 + i)})
			}
		})
		b.Run(fmt.Sprintf("completion/%d", machines), func(b *testing.B) {
			controller := newFleet(b, machines)
			claim := controller.view.Claims[records.ClaimKey("wk-1000", 0)]
			machine := controller.view.Machines[claim.Record.Placements[0].Host]
			shard, job := controller.view.Shards["n0"], controller.view.Jobs["wk-1000"]
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				heartbeat := heartbeatOf(machine, uint64(i+2))
				if i%2 == 0 {
					heartbeat.Tasks[0].Phase, heartbeat.Tasks[0].Cause = protocol.TaskExited, protocol.CauseDone
				}
				controller.respondToHeartbeat(heartbeat)
				controller.reconcileClaim(shard, job, claim, time.Now())
			}
		})
		b.Run(fmt.Sprintf("pass/%d", machines), func(b *testing.B) {
			controller := newFleet(b, machines)
			shard := controller.view.Shards["n0"]
			for i := range 50 { // the queue holds 50 arrays for which there is no capacity
				jobID := fmt.Sprint("wk-", 900_000+i)
				job := arrayJob(jobID, 2+float64(i)/100)
				job.Spec.ImageGB = 0
				controller.view.Apply(records.JobPrefix+jobID, job, 50)
			}
			b.ReportAllocs()
			for b.Loop() {
				controller.scheduleShard(shard, time.Now())
			}
		})
	}
}
