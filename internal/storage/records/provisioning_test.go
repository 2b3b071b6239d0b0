package records

import "testing"

// TestMachinesGoToShardsInOrderOfAllocation: one record holds all machines of a request, also
// those of different shards; a machine's shard follows from its index.
func TestMachinesGoToShardsInOrderOfAllocation(t *testing.T) {
	var provision Provision
	for _, shard := range []string{"x", "y", "x", "z"} {
		provision.Allocate(shard)
	}
	got := ""
	for i := range 4 {
		got += provision.ShardOf(i)
	}
	if got != "xxyz" {
		t.Fatal(got)
	}
}
