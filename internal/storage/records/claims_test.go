package records

import (
	"encoding/json"
	"math"
	"testing"

	"pgregory.net/rapid"

	"madderslip/internal/protocol"
)

// TestClaimKeepsCompletedTasks: after encoding and decoding, a claim has the same completed
// tasks, numbered as in its job, and the same placements.
func TestClaimKeepsCompletedTasks(t *testing.T) {
	claim := &Claim{Shard: "s", FirstTask: 16, TaskCount: 10, Placements: []Placement{{Task: 17, Attempt: 3, Host: "vm-1"}}}
	for _, task := range []int{16, 25, 20} {
		claim.MarkCompleted(task)
	}
	raw, err := json.Marshal(claim)
	if err != nil {
		t.Fatal(err)
	}
	var read Claim
	if err := json.Unmarshal(raw, &read); err != nil {
		t.Fatal(err)
	}
	if read.CompletedCount() != 3 || !read.IsCompleted(25) || read.IsCompleted(17) || read.IsCompleted(15) || read.IsComplete() || read.Placements[0] != claim.Placements[0] {
		t.Fatalf("%s -> %+v", raw, read)
	}
}

// TestLargestClaimFitsSmallValue: the completed tasks of a chunk of the largest size fit a value
// of 4096 bytes, the lowest limit that a state service may have.
func TestLargestClaimFitsSmallValue(t *testing.T) {
	claim := &Claim{TaskCount: protocol.MaxTasks}
	for task := range protocol.MaxTasks {
		if task%700 != 3 {
			claim.MarkCompleted(task)
		}
	}
	raw, err := json.Marshal(claim)
	if err != nil || len(raw) > 4096 {
		t.Fatal(len(raw), err)
	}
	var read Claim
	if err := json.Unmarshal(raw, &read); err != nil || read.CompletedCount() != claim.CompletedCount() || read.IsCompleted(703) || !read.IsCompleted(704) {
		t.Fatal(read.CompletedCount(), claim.CompletedCount(), err)
	}
}

// TestMalformedClaimsAreRefused: decoding a claim in a form that no version writes is an error.
func TestMalformedClaimsAreRefused(t *testing.T) {
	for _, test := range []struct{ name, text string }{
		{"range that falls", `{"d":[5,3]}`},
		{"range without its end", `{"d":[1,2,2]}`},
		{"range below zero", `{"d":[-1,3]}`},
		{"range beyond all tasks", `{"d":[0,900000]}`},
		{"placement without a host", `{"o":[[1,2]]}`},
		{"placement with too many parts", `{"o":[[1,2,"a",4]]}`},
		{"text after the record", `{"n":1}x`},
	} {
		t.Run(test.name, func(t *testing.T) {
			if err := json.Unmarshal([]byte(test.text), new(Claim)); err == nil {
				t.Errorf("%s was decoded without an error", test.text)
			}
		})
	}
}

// TestClaimEncodingIsStable: the encoding of a claim does not change, and fields that this
// version does not define are skipped, since controllers of two versions run side by side
// during a rolling restart.
func TestClaimEncodingIsStable(t *testing.T) {
	claim := &Claim{Shard: "n0", FirstTask: 2, TaskCount: 9, Placements: []Placement{{Task: 4, Attempt: 3, Host: "vm-1"}, {Task: 10, Attempt: 2, Host: "vm-2"}}, LastAttempt: 3}
	claim.MarkCompleted(2)
	claim.MarkCompleted(3)
	claim.MarkCompleted(9)
	const want = `{"h":"n0","f":2,"n":9,"d":[0,2,7,8],"o":[[4,3,"vm-1"],[10,2,"vm-2"]],"a":3}`
	raw, err := protocol.Encode(claim)
	if err != nil || string(raw) != want {
		t.Fatal(string(raw), err)
	}
	var read Claim
	if err := protocol.Decode([]byte(`{"x":{"new":[1,"]"]},"h":"n0","f":2,"n":9,"d":[0,2,7,8],"o":[[4,3,"vm-1"],[10,2,"vm-2"]],"a":3}`), &read); err != nil {
		t.Fatal(err)
	}
	if again, _ := protocol.Encode(&read); string(again) != want {
		t.Fatal(string(again))
	}
	if raw, _ := protocol.Encode(&Claim{TaskCount: 1}); string(raw) != `{"h":"","n":1}` {
		t.Fatal(string(raw))
	}
}

// TestMaxEncodedSizeBoundsClaims: an encoded claim is never larger than MaxEncodedSize, by
// which controllers decide whether it fits a value.
func TestMaxEncodedSizeBoundsClaims(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claim := &Claim{Shard: rapid.StringMatching(`[a-z0-9-]{0,20}`).Draw(t, "shard"), FirstTask: rapid.IntRange(0, protocol.MaxTasks).Draw(t, "first"),
			TaskCount: rapid.IntRange(1, protocol.MaxTasks).Draw(t, "count"), LastAttempt: rapid.Uint64().Draw(t, "last attempt")}
		for _, i := range rapid.SliceOf(rapid.IntRange(0, 2000)).Draw(t, "completed") {
			claim.Completed.set(i)
		}
		for range rapid.IntRange(0, 20).Draw(t, "placements") {
			claim.Placements = append(claim.Placements, Placement{Task: rapid.IntRange(0, protocol.MaxTasks).Draw(t, "task"),
				Attempt: rapid.Uint64Max(math.MaxInt).Draw(t, "attempt"), Host: rapid.StringMatching(`vm-[0-9]{1,9}`).Draw(t, "host")})
		}
		raw, err := protocol.Encode(claim)
		if err != nil || len(raw) > claim.MaxEncodedSize() {
			t.Fatalf("%d bytes, bound %d (%v)", len(raw), claim.MaxEncodedSize(), err)
		}
	})
}
