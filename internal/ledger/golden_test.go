package ledger

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"madderslip/internal/golden"
	"madderslip/internal/protocol"
)

// kinds are the records, named by what they are of, and the state service's messages.
// What is set here has a form of its own: ranges, large numbers, and amounts that the two
// JSON writers in use spell differently.
func kinds() []golden.Kind {
	return []golden.Kind{
		{Name: "record-node", Value: &Node{TeamsHash: 1<<64 - 1}},
		{Name: "record-shard", Value: &Shard{}},
		{Name: "record-machine", Value: &Machine{}},
		{Name: "record-job", Value: &Job{}},
		{Name: "record-claim", Value: &Claim{Completed: Bitmap{0b10110011, 0, 0xff, 1}}},
		{Name: "record-team", Value: &TeamUsage{}},
		{Name: "record-limit", Value: &TeamLimit{Max: [2]float64{1e6, 1e-7}}},
		{Name: "record-allotment", Value: &Allotment{}},
		{Name: "record-bookings", Value: &Reservations{}},
		{Name: "record-hire", Value: &Provision{}},
		{Name: "record-hire-part", Value: &Allocation{}},
		{Name: "record-images", Value: &ImageLocations{SizesGB: []float64{1e6, 1e-7}}},
		{Name: "record-gather", Value: &GangReservation{}},
		{Name: "record-hold", Value: &GangHold{}},
		{Name: "record-lead", Value: &Leader{}},
		{Name: "state-list", Value: &wireList{}},
		{Name: "state-watch", Value: &wireWatch{}},
		{Name: "state-multi", Value: &wireMulti{}},
		{Name: "state-multi-answer", Value: &wireResult{}},
	}
}

// TestGoldenRecords: every record and every message of the state service is read and
// written byte for byte as by 096baff.
func TestGoldenRecords(t *testing.T) {
	golden.Check(t, golden.Codec{Encode: protocol.Encode, Decode: protocol.Decode}, kinds(), "keys.txt", "state-calls.txt")
}

// TestGoldenKeys: the keys of records are spelled as by 096baff.
func TestGoldenKeys(t *testing.T) {
	keys := []string{keyRoot, NodePrefix, ShardPrefix, MachinePrefix, JobPrefix, ClaimPrefix, TeamUsagePrefix, TeamLimitPrefix, AllotmentPrefix, ReservationPrefix,
		ProvisionPrefix, ImagePrefix, GangReservationPrefix, GangHoldPrefix, LeaderKey, ClaimKey("wk-000412", 0), ClaimKey("wk-7", 12)}
	golden.CheckText(t, "keys.txt", strings.Join(keys, "\n")+"\n")
	for key, want := range map[string]int{ClaimKey("wk-000412", 0): 0, ClaimKey("wk-000412", 12): 12} {
		if ref, chunk, err := ParseClaimKey(key); err != nil || ref != "wk-000412" || chunk != want {
			t.Errorf("%s: %q %d %v", key, ref, chunk, err)
		}
	}
}

// recorder answers every call alike and notes what was asked.
type recorder struct {
	answer string
	asked  strings.Builder
}

func (r *recorder) Do(_ context.Context, _, method, target string, body []byte) (int, []byte, error) {
	r.asked.WriteString(strings.TrimSpace(method+" "+target+" "+string(body)) + "\n")
	return 200, []byte(r.answer), nil
}

// TestGoldenCalls: the calls whose messages have no type of their own ask for the same
// paths with the same bodies as 096baff, and read the same answers.
func TestGoldenCalls(t *testing.T) {
	service := &recorder{answer: `{"value":{"n":1},"stamp":7,"permit":8,"items":[],"truncated":false,"epoch":9,"news":[]}`}
	client := New(service, "127.0.0.1:1", protocol.StateLimits{RequestRate: 1000, WriteRate: 1000, MaxValueBytes: 8192, MaxTxnOps: 12}, slog.New(slog.DiscardHandler))
	ctx := context.Background()
	if item, err := client.Get(ctx, ClaimKey("wk-7", 1)); err != nil || string(item.Value) != `{"n":1}` || item.Version != 7 {
		t.Errorf("%+v %v", item, err)
	}
	if lease, err := client.GrantLease(ctx, 2500*time.Millisecond); err != nil || lease != 8 {
		t.Errorf("%d %v", lease, err)
	}
	if err := client.KeepAlive(ctx, 8); err != nil {
		t.Error(err)
	}
	if _, epoch, err := client.List(ctx); err != nil || epoch != 9 {
		t.Errorf("%d %v", epoch, err)
	}
	if _, epoch, err := client.Watch(ctx, 5, 3*time.Second); err != nil || epoch != 9 {
		t.Errorf("%d %v", epoch, err)
	}
	golden.CheckText(t, "state-calls.txt", service.asked.String())
}
