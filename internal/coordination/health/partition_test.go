package health

import (
	"fmt"
	"testing"
	"time"
)

const sec = time.Second

// machinesSilentFor returns count machines of a zone, each silent for the same time.
func machinesSilentFor(zone string, count int, silent time.Duration) []MachineSilence {
	out := make([]MachineSilence, count)
	for i := range out {
		out[i] = MachineSilence{zone, silent}
	}
	return out
}

// concat returns all machines of parts in one slice.
func concat(parts ...[]MachineSilence) (all []MachineSilence) {
	for _, p := range parts {
		all = append(all, p...)
	}
	return all
}

// A zone counts as partitioned only if nothing else explains the silence of its machines. This
// prevents the machines of a partitioned zone from being fenced too early, and the machines of
// a zone with another failure from being fenced too late.
func TestZoneIsPartitionedOnlyIfNothingElseExplainsSilence(t *testing.T) {
	noneLive, allLive := []PeerStatus{{"b", false}, {"a", true}}, []PeerStatus{{"b", true}, {"a", true}}
	for name, c := range map[string]struct {
		machines    []MachineSilence
		controllers []PeerStatus
		want        string
	}{
		"all of b silent, its controller not live":     {concat(machinesSilentFor("a", 20, sec), machinesSilentFor("b", 20, 9*sec)), noneLive, "map[b:true]"},
		"a fifth of b is in contact":                   {concat(machinesSilentFor("a", 20, sec), machinesSilentFor("b", 16, 9*sec), machinesSilentFor("b", 4, sec)), noneLive, "map[b:true]"},
		"a quarter of b is in contact":                 {concat(machinesSilentFor("a", 20, sec), machinesSilentFor("b", 15, 9*sec), machinesSilentFor("b", 5, sec)), noneLive, "map[]"},
		"b's controller is live: its machines hang":    {concat(machinesSilentFor("a", 20, sec), machinesSilentFor("b", 20, 9*sec)), allLive, "map[]"},
		"all of b silent, but not for the timeout yet": {concat(machinesSilentFor("a", 20, sec), machinesSilentFor("b", 20, 5*sec)), noneLive, "map[]"},
		"all silent: the fault is the caller's":        {concat(machinesSilentFor("a", 20, 9*sec), machinesSilentFor("b", 20, 9*sec)), noneLive, "map[]"},
		"the caller's zone silent":                     {concat(machinesSilentFor("a", 20, 9*sec), machinesSilentFor("b", 20, sec)), []PeerStatus{{"b", true}}, "map[]"},
		"too few machines to tell":                     {concat(machinesSilentFor("a", 20, sec), machinesSilentFor("b", 2, 9*sec)), noneLive, "map[]"},
		"all of c silent, no controller runs in c":     {concat(machinesSilentFor("a", 20, sec), machinesSilentFor("c", 9, 9*sec)), allLive, "map[c:true]"},
		"two zones partitioned, a third is not silent": {concat(machinesSilentFor("d", 9, sec), machinesSilentFor("b", 9, 9*sec), machinesSilentFor("c", 9, 9*sec)), noneLive, "map[b:true c:true]"},
	} {
		if got := fmt.Sprint(PartitionedZones("a", c.machines, 6500*time.Millisecond, c.controllers)); got != c.want {
			t.Errorf("%s: %s, wanted %s", name, got, c.want)
		}
	}
}

// A partition may lengthen the time until a machine is fenced and never shortens it.
func TestPartitionNeverShortensFenceDelay(t *testing.T) {
	if FenceDelay(11*sec, 67*sec, false) != 11*sec || FenceDelay(11*sec, 67*sec, true) != 67*sec || FenceDelay(90*sec, 67*sec, true) != 90*sec {
		t.Error("a partition shortens the delay, or does not lengthen it")
	}
}
