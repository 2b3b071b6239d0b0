package health

import (
	"fmt"
	"testing"
	"time"
)

const sec = time.Second

// signs makes so many machines of a zone, silent for that long.
func signs(zone string, count int, silent time.Duration) []MachineSilence {
	out := make([]MachineSilence, count)
	for i := range out {
		out[i] = MachineSilence{zone, silent}
	}
	return out
}

func join(parts ...[]MachineSilence) (all []MachineSilence) {
	for _, p := range parts {
		all = append(all, p...)
	}
	return all
}

// A zone is taken for cut off only when that is the one thing that explains the
// silence: its machines were fenced for it by the hundred.
func TestCutZones(t *testing.T) {
	gone, here := []PeerStatus{{"b", false}, {"a", true}}, []PeerStatus{{"b", true}, {"a", true}}
	for name, c := range map[string]struct {
		signs []MachineSilence
		who   []PeerStatus
		want  string
	}{
		"all of b silent, its controller gone":     {join(signs("a", 20, sec), signs("b", 20, 9*sec)), gone, "map[b:true]"},
		"a fifth of b is heard":                    {join(signs("a", 20, sec), signs("b", 16, 9*sec), signs("b", 4, sec)), gone, "map[b:true]"},
		"a quarter of b is heard":                  {join(signs("a", 20, sec), signs("b", 15, 9*sec), signs("b", 5, sec)), gone, "map[]"},
		"b's controller lives: its machines hang":  {join(signs("a", 20, sec), signs("b", 20, 9*sec)), here, "map[]"},
		"not for a beat yet":                       {join(signs("a", 20, sec), signs("b", 20, 5*sec)), gone, "map[]"},
		"all silent: the fault is its own":         {join(signs("a", 20, 9*sec), signs("b", 20, 9*sec)), gone, "map[]"},
		"its own zone silent":                      {join(signs("a", 20, 9*sec), signs("b", 20, sec)), []PeerStatus{{"b", true}}, "map[]"},
		"too few to tell":                          {join(signs("a", 20, sec), signs("b", 2, 9*sec)), gone, "map[]"},
		"no controller stands there":               {join(signs("a", 20, sec), signs("c", 9, 9*sec)), here, "map[c:true]"},
		"two zones cut, one heard besides its own": {join(signs("d", 9, sec), signs("b", 9, 9*sec), signs("c", 9, 9*sec)), gone, "map[b:true c:true]"},
	} {
		if got := fmt.Sprint(PartitionedZones("a", c.signs, 6500*time.Millisecond, c.who)); got != c.want {
			t.Errorf("%s: %s, wanted %s", name, got, c.want)
		}
	}
}

// A process that stood still must not hold others' silence against them.
func TestBeat(t *testing.T) {
	at := time.Unix(1000, 0)
	var b PauseDetector
	for _, step := range []struct {
		after, still time.Duration
	}{{0, 0}, {300 * time.Millisecond, 0}, {sec, 0}, {30 * sec, 30 * sec}, {200 * time.Millisecond, 0}, {-5 * sec, 0}} {
		at = at.Add(step.after)
		if got := b.Observe(at); got != step.still {
			t.Fatalf("at %v: stood still for %v, wanted %v", at, got, step.still)
		}
	}
	woke := time.Unix(1000, 0).Add(31300 * time.Millisecond)
	if !b.ResumedAt().Equal(woke) || b.Stable(woke.Add(2*sec), 2500*time.Millisecond) || !b.Stable(woke.Add(3*sec), 2500*time.Millisecond) {
		t.Fatal(b.ResumedAt())
	}
}

// A machine that was not heard yet has two beats to stop what it should, and the
// bound is kept whatever happens.
func TestCancelled(t *testing.T) {
	const limit, beat = 47 * sec, 6500 * time.Millisecond
	for name, c := range map[string]struct {
		c     CancelledTask
		down  bool
		fence bool
		bare  bool
	}{
		"its stop is on the way":               {CancelledTask{Age: 10 * sec, Heard: true, OwnedFor: 60 * sec}, false, false, false},
		"it keeps the task though it is heard": {CancelledTask{Age: 19 * sec, Heard: true, OwnedFor: 60 * sec}, false, true, false},
		"silent":                               {CancelledTask{Age: sec, Silent: true, OwnedFor: 60 * sec}, false, true, false},
		"its owner has just begun":             {CancelledTask{Age: 30 * sec, OwnedFor: sec}, false, false, false},
		"and has not heard it in two beats":    {CancelledTask{Age: 30 * sec, OwnedFor: 14 * sec}, false, true, false},
		"the bound leaves no time for that":    {CancelledTask{Age: 33 * sec, OwnedFor: sec}, false, true, false},
		"no record can be made":                {CancelledTask{Age: 24 * sec, Heard: true, OwnedFor: 60 * sec}, true, true, true},
		"records are slow":                     {CancelledTask{Age: 36 * sec, Heard: true, OwnedFor: 60 * sec}, false, true, true},
	} {
		if fence, bare := c.c.ShouldFence(limit, beat), c.c.ReturnUnrecorded(limit, c.down); fence != c.fence || (fence && bare != c.bare) {
			t.Errorf("%s: fence %v, without a record %v", name, fence, bare)
		}
	}
}

// A partition gives a machine more time, never less.
func TestFenceDelay(t *testing.T) {
	if FenceDelay(11*sec, 67*sec, false) != 11*sec || FenceDelay(11*sec, 67*sec, true) != 67*sec || FenceDelay(90*sec, 67*sec, true) != 90*sec {
		t.Error("a partition gives patience, never less than usual")
	}
}
