package controller

import (
	"testing"
	"testing/synctest"
	"time"

	"madderslip/internal/protocol"
	"madderslip/internal/storage/records"
)

// Machines whose boot is overdue are reported to the leader as excluded, a few at a time, by an
// owner that has had the shard since before they were provisioned. A later owner reports none:
// the machines may have sent heartbeats to an earlier owner.
func TestOverdueMachinesAreExcludedFromLoad(t *testing.T) {
	inFleet(t, 30, func(t *testing.T, controller *Controller) {
		shard := controller.view.Shards["n0"]
		provision := &records.Provision{
			ProvisionRequest: protocol.ProvisionRequest{Type: "m16", Zone: "a", Count: 8},
			Allocations:      []records.Allocation{{Shard: "n0", Count: 8}},
			RequestedAtMs:    time.Now().Add(time.Second).UnixMilli(),
		}
		for i := range 8 {
			provision.Hosts = append(provision.Hosts, hostName(900+i))
		}
		controller.view.Apply(records.ProvisionPrefix+"late", provision, 50)
		for _, test := range []struct {
			name     string
			age      time.Duration
			excluded int
		}{
			{"a boot of 30 s may take longer", 40 * time.Second, 0},
			{"of eight that boot three are replaced", 50 * time.Second, 3},
		} {
			time.Sleep(time.Until(time.UnixMilli(provision.RequestedAtMs).Add(test.age)))
			if load := controller.shardLoad(shard); len(load.ExcludedHosts) != test.excluded {
				t.Errorf("%s: after %v the load excludes %v", test.name, test.age, load.ExcludedHosts)
			}
		}
		shard.OwnedSince = time.Now()
		time.Sleep(time.Second)
		if load := controller.shardLoad(shard); len(load.ExcludedHosts) != 0 {
			t.Errorf("the load of a new owner excludes %v", load.ExcludedHosts)
		}
	})
}

// A provision's record may be read ahead of the watch, in the version that an adoption gave it,
// while the adopted machines are not cached yet. The hosts of the cloud's answer are recorded
// only once the watch has delivered that version. Otherwise a machine would be assigned to two
// shards (seed 60789: an adoption that was executed late, between the reads of its two keys).
func TestProvisionedMachinesWaitForTheWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &recordingStore{}
		controller := newTestController(store)
		controller.mu.Lock()
		defer controller.mu.Unlock()
		controller.leadership.isSelf, controller.membership.lease, controller.leadership.version, controller.view.Revision = true, 7, 1, 10
		requested := protocol.ProvisionRequest{Name: "a", Type: "m8", Zone: "a", Count: 1}
		controller.view.ApplyProvision("a", &records.Provision{ProvisionRequest: requested, Allocations: []records.Allocation{{Shard: "n1", Count: 1}}}, 12)
		controller.recordProvisioned(controller.view.Provisions["a"], []string{"vm-9"})
		if store.txn != nil {
			t.Fatalf("recorded before the watch has delivered the provision's version: %v", store.txn.Ops)
		}
		adopted := &records.Provision{ProvisionRequest: protocol.ProvisionRequest{Name: "b"}, Allocations: []records.Allocation{{Shard: "n2", Count: 1}}, Hosts: []string{"vm-9"}}
		controller.view.ApplyProvision("b", adopted, 12)
		controller.view.Revision = 12
		time.Sleep(time.Second)
		controller.retryProvisions(time.Now())
		if store.txn == nil || len(store.txn.Ops) != 1 || store.txn.Ops[0].Value != nil || store.txn.Ops[0].Key != records.ProvisionPrefix+"a" {
			t.Errorf("transaction %v, want one that drops the provision", store.txn)
		}
	})
}
