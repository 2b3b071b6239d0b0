package records

import (
	"encoding/json"
	"testing"

	"madderslip/internal/protocol"
)

func TestClaimRecord(t *testing.T) {
	c := &Claim{Shard: "s", FirstTask: 16, TaskCount: 10, Placements: []Placement{{Task: 17, Attempt: 3, Host: "vm-1"}}}
	for _, task := range []int{16, 25, 20} {
		c.MarkCompleted(task)
	}
	raw, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	var d Claim
	if err := json.Unmarshal(raw, &d); err != nil {
		t.Fatal(err)
	}
	if d.CompletedCount() != 3 || !d.IsCompleted(25) || d.IsCompleted(17) || d.IsCompleted(15) || d.IsComplete() || d.Placements[0] != c.Placements[0] {
		t.Fatalf("%s -> %+v", raw, d)
	}
}

// A chunk of any legal size fits a small value.
func TestBitmapIsShort(t *testing.T) {
	c := &Claim{TaskCount: protocol.MaxTasks}
	for task := range protocol.MaxTasks {
		if task%700 != 3 {
			c.MarkCompleted(task)
		}
	}
	raw, err := json.Marshal(c)
	if err != nil || len(raw) > 4096 {
		t.Fatal(len(raw), err)
	}
	var back Claim
	if err := json.Unmarshal(raw, &back); err != nil || back.CompletedCount() != c.CompletedCount() || back.IsCompleted(703) || !back.IsCompleted(704) {
		t.Fatal(back.CompletedCount(), c.CompletedCount(), err)
	}
	for _, bad := range []string{`{"d":[5,3]}`, `{"d":[1,2,2]}`, `{"d":[-1,3]}`, `{"d":[0,900000]}`, `{"o":[[1,2]]}`, `{"o":[[1,2,"a",4]]}`, `{"n":1}x`} {
		if err := json.Unmarshal([]byte(bad), new(Claim)); err == nil {
			t.Errorf("%s was taken", bad)
		}
	}
}

// The records stay as they are on disk, whatever code writes them: controllers
// of two versions run side by side while one after the other is restarted.
func TestClaimOnTheWire(t *testing.T) {
	c := &Claim{Shard: "n0", FirstTask: 2, TaskCount: 9, Placements: []Placement{{Task: 4, Attempt: 3, Host: "vm-1"}, {Task: 10, Attempt: 2, Host: "vm-2"}}, LastAttempt: 3}
	c.MarkCompleted(2)
	c.MarkCompleted(3)
	c.MarkCompleted(9)
	const want = `{"h":"n0","f":2,"n":9,"d":[0,2,7,8],"o":[[4,3,"vm-1"],[10,2,"vm-2"]],"a":3}`
	raw, err := protocol.Encode(c)
	if err != nil || string(raw) != want {
		t.Fatal(string(raw), err)
	}
	var back Claim
	if err := protocol.Decode([]byte(`{"x":{"new":[1,"]"]},"h":"n0","f":2,"n":9,"d":[0,2,7,8],"o":[[4,3,"vm-1"],[10,2,"vm-2"]],"a":3}`), &back); err != nil {
		t.Fatal(err)
	}
	if again, _ := protocol.Encode(&back); string(again) != want {
		t.Fatal(string(again))
	}
	if raw, _ := protocol.Encode(&Claim{TaskCount: 1}); string(raw) != `{"h":"","n":1}` {
		t.Fatal(string(raw))
	}
}

// One record stands for all machines of a hire, whatever their shards.
func TestHireParts(t *testing.T) {
	var h Provision
	for _, shard := range []string{"x", "y", "x", "z"} {
		h.Allocate(shard)
	}
	got := ""
	for i := range 4 {
		got += h.ShardOf(i)
	}
	if got != "xxyz" {
		t.Fatal(got)
	}
}
