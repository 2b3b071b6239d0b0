package protocol_test

import (
	"reflect"
	"testing"

	"madderslip/internal/golden"
	"madderslip/internal/protocol"
)

// codec is the encoding that is checked against the golden files. Records and messages share
// the encoding.
var codec = golden.Codec{Encode: protocol.Encode, Decode: protocol.Decode}

// kinds are the messages between users, workers, the cloud and the controllers. The values
// set here are special cases of the encoding: text that is escaped, and numbers that the two
// JSON encoders in use format differently.
func kinds() []golden.Kind {
	return []golden.Kind{
		{Name: "submission", Value: &protocol.Submission{Class: "é <\"&\\>", Shape: protocol.ShapeGang, PriorityClass: "high", RunEstimateS: 1e6, CheckpointS: 1e-7}},
		{Name: "submission-answer", Value: &protocol.JobStatus{}},
		{Name: "report-shard", Value: &protocol.TaskStatus{}},
		{Name: "report", Value: &protocol.Heartbeat{AgentEpoch: 1<<64 - 1}},
		{Name: "report-answer", Value: &protocol.HeartbeatResponse{}},
		{Name: "order", Value: &protocol.Command{}},
		{Name: "commands", Value: &protocol.CommandRequest{}},
		{Name: "steward", Value: &protocol.Redirect{}},
		{Name: "flavour", Value: &protocol.MachineType{Price: 1e6, SpotPrice: 1e-7}},
		{Name: "flavours", Value: &protocol.MachineTypes{}},
		{Name: "hire", Value: &protocol.ProvisionRequest{}},
		{Name: "hosts", Value: &protocol.HostList{}},
		{Name: "listed-host", Value: &protocol.ListedMachine{}},
		{Name: "listed-hosts", Value: &protocol.MachineList{}},
		{Name: "peer", Value: &protocol.PeerMessage{Loads: []protocol.ShardLoad{{FreeCPUsByImage: protocol.Amounts{"b": 1e6, "a": 1e-7, "é <\"&\\>": 0.1}}, {}}}},
	}
}

// TestGoldenMessages checks that every message is decoded and encoded byte for byte as by
// commit 096baff, the version before types and fields were renamed, and the key stateAt that has
// been added to messages between controllers since.
func TestGoldenMessages(t *testing.T) {
	golden.Check(t, codec, kinds(), "settings.toml", "settings.keys", "settings.values")
}

// TestGoldenMessagesAreAccepted checks that the validation of messages from outside accepts
// the golden messages and does not change them.
func TestGoldenMessagesAreAccepted(t *testing.T) {
	submission, err := protocol.ParseSubmission(golden.Read(t, "submission.json"))
	if err != nil {
		t.Fatal(err)
	}
	report, err := protocol.ParseHeartbeat(golden.Read(t, "report.json"))
	if err != nil {
		t.Fatal(err)
	}
	for file, message := range map[string]any{"submission.json": submission, "report.json": report} {
		if encoded, err := protocol.Encode(message); err != nil || string(encoded)+"\n" != string(golden.Read(t, file)) {
			t.Errorf("%s: written again %s (%v)", file, encoded, err)
		}
	}
	if ref, err := protocol.ParseJobID(golden.Read(t, "submission.json")); err != nil || ref != submission.JobID {
		t.Errorf("id %q, %v", ref, err)
	}
}

// TestGoldenSettings checks that the golden settings file gives the same Settings as at commit
// 096baff, the version before types and fields were renamed.
func TestGoldenSettings(t *testing.T) {
	settings, err := protocol.LoadSettings("testdata/golden/settings.toml")
	if err != nil {
		t.Fatal(err)
	}
	golden.CheckText(t, "settings.values", golden.List(reflect.ValueOf(settings)))
}

// TestGeneratedCodeIsCurrent checks that the generated codecs handle every field of the
// messages.
func TestGeneratedCodeIsCurrent(t *testing.T) {
	golden.CheckGenerated(t, codec, &protocol.Submission{}, &protocol.JobStatus{}, &protocol.TaskStatus{}, &protocol.Heartbeat{}, &protocol.Command{},
		&protocol.HeartbeatResponse{}, &protocol.CommandRequest{}, &protocol.PeerMessage{})
}
