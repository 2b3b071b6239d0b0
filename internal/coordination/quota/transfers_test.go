package quota

import (
	"testing"
	"time"

	"madderslip/internal/protocol"
	"madderslip/internal/storage/kv"
	"madderslip/internal/storage/records"
)

// A transfer changes only the record of the allotment from which an amount is transferred, on
// the condition that the controller still decides for the holder of this allotment. The same
// amount must not be transferred twice: while a transfer is being committed, the amount counts
// as transferred, and demands reported before the transfer are removed.
func TestTransferBeingCommittedCountsAsDone(t *testing.T) {
	now := time.Unix(0, 0)
	m := New(map[string]protocol.Team{"t": {Name: "t", MaxCPUs: 16}}, true, func(string, string) Resources { return Resources{} })
	store := &fakeStore{managers: []*Manager{m}, versions: map[string]uint64{records.ShardPrefix + "n0": 5}, revision: 5}
	store.commit(nil, []kv.Op{{Key: records.TeamLimitPrefix + "t", Value: &records.TeamLimit{Generation: 1, Max: cpus(16), Base: map[string]Resources{"n0": cpus(16)}}}})
	m.ObserveDemands("other", []protocol.Demand{{Team: "t", Holder: "n1", Head: cpus(2), PerTask: cpus(2), Total: cpus(6), JobID: "wk-1"}}, now)
	ownsN0 := func(holder string) (kv.Compare, bool) {
		return kv.Compare{Key: records.ShardPrefix + "n0", Version: 5}, holder == "n0"
	}
	transfers := m.DueTransfers(ownsN0, now)
	if len(transfers) != 1 || len(transfers[0].Ops) != 1 || m.Allowance("t", "n0", cpus(2)) != 5 {
		t.Fatal(transfers, m.Allowance("t", "n0", cpus(2)))
	}
	if again := m.DueTransfers(ownsN0, now); len(again) != 0 {
		t.Fatal("transferred twice:", again)
	}
	if !store.commit(transfers[0].Compares, transfers[0].Ops) {
		t.Fatal("conditions:", transfers[0].Compares)
	}
	m.FinishTransfer(transfers[0])
	if m.Grant("t", "n0") != cpus(10) || m.Grant("t", "n1") != cpus(6) || len(m.DueTransfers(ownsN0, now)) != 0 {
		t.Fatal(m.Grant("t", "n0"), m.Grant("t", "n1"))
	}
	store.versions[records.ShardPrefix+"n0"] = 9 // shard n0 has another owner
	m.ObserveDemands("other", []protocol.Demand{{Team: "t", Holder: "n1", Head: cpus(2), PerTask: cpus(2), Total: cpus(8), JobID: "wk-1"}}, now)
	if due := m.DueTransfers(ownsN0, now); len(due) != 1 || store.commit(due[0].Compares, due[0].Ops) {
		t.Fatal("no transfer was due, or the former owner's transfer was committed")
	}
}
