package records

import "testing"

// TestMachinesGoToShardsInOrderOfAllocation: one record stands for all machines of a
// request, whatever their shards, and tells each machine's shard by its place.
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
