package records

import (
	"strings"
	"testing"

	"madderslip/internal/golden"
	"madderslip/internal/protocol"
)

// codec is the encoding that is checked against the golden files. Records and messages share
// the encoding.
var codec = golden.Codec{Encode: protocol.Encode, Decode: protocol.Decode}

// kinds returns all records, with the names of their golden files. The fields that are set here
// have special encodings: ranges, large numbers, and amounts that the two JSON encoders in
// use write differently.
func kinds() []golden.Kind {
	return []golden.Kind{
		{Name: "record-node", Value: &Node{TeamsHash: 1<<64 - 1}},
		{Name: "record-shard", Value: &Shard{}},
		{Name: "record-machine", Value: &Machine{}},
		{Name: "record-job", Value: &Job{}},
		{Name: "record-claim", Value: &Claim{Completed: Bitmap{0b10110011, 0, 0xff, 1}}},
		{Name: "record-team", Value: &TeamUsage{}},
		{Name: "record-limit", Value: &TeamLimit{Max: protocol.Resources{CPUs: 1e6, GPUs: 1e-7}}},
		{Name: "record-allotment", Value: &Allotment{}},
		{Name: "record-bookings", Value: &Reservations{}},
		{Name: "record-hire", Value: &Provision{}},
		{Name: "record-hire-part", Value: &Allocation{}},
		{Name: "record-images", Value: &ImageLocations{SizesGB: []float64{1e6, 1e-7}}},
		{Name: "record-gather", Value: &GangReservation{}},
		{Name: "record-hold", Value: &GangHold{}},
		{Name: "record-lead", Value: &Leader{}},
	}
}

// TestGoldenRecords: every record is decoded and encoded byte for byte as at commit 096baff,
// the version before types and fields were renamed.
func TestGoldenRecords(t *testing.T) {
	golden.Check(t, codec, kinds(), "keys.txt")
}

// TestGoldenKeys: the keys of records are those of commit 096baff, the version before types
// and fields were renamed.
func TestGoldenKeys(t *testing.T) {
	keys := []string{NodePrefix, ShardPrefix, MachinePrefix, JobPrefix, ClaimPrefix, TeamUsagePrefix, TeamLimitPrefix, AllotmentPrefix, ReservationPrefix,
		ProvisionPrefix, ImagePrefix, GangReservationPrefix, GangHoldPrefix, LeaderKey, ClaimKey("wk-000412", 0), ClaimKey("wk-7", 12)}
	golden.CheckText(t, "keys.txt", strings.Join(keys, "\n")+"\n")
	for key, want := range map[string]int{ClaimKey("wk-000412", 0): 0, ClaimKey("wk-000412", 12): 12} {
		if ref, chunk, err := ParseClaimKey(key); err != nil || ref != "wk-000412" || chunk != want {
			t.Errorf("%s: %q %d %v", key, ref, chunk, err)
		}
	}
}

// TestGeneratedCodeIsCurrent: the generated codecs cover every field of the records.
func TestGeneratedCodeIsCurrent(t *testing.T) {
	golden.CheckGenerated(t, codec, &Job{}, &Machine{}, &Provision{}, &Allocation{})
}
