package recovery

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

// Leases are kept by a node that hears neither the state service nor the owner,
// and by no other: it would hold a worker back from its owner.
func TestKeepLease(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		state, owner time.Duration // since they were heard
		want         bool
	}{
		"cut off from both":             {9 * sec, 9 * sec, true},
		"an outage, the owner is there": {9 * sec, sec, false},
		"the owner is away alone":       {sec, 9 * sec, false},
		"all is well":                   {sec, sec, false},
	} {
		if got := MayExtendLease(LastContact{now.Add(-c.state), now.Add(-c.owner)}, now, 4*sec); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
	for name, c := range map[string]struct {
		u             ColdStart
		cancel, lease time.Duration
		want          bool
	}{
		"began behind a cut":              {ColdStart{3 * sec, false, true}, 47 * sec, 27 * sec, true},
		"just begun":                      {ColdStart{sec / 2, false, true}, 47 * sec, 27 * sec, false},
		"for too long already":            {ColdStart{10 * sec, false, true}, 47 * sec, 27 * sec, false},
		"somebody speaks":                 {ColdStart{3 * sec, true, true}, 47 * sec, 27 * sec, false},
		"no controller in another zone":   {ColdStart{3 * sec, false, false}, 47 * sec, 27 * sec, false},
		"the bound leaves no time for it": {ColdStart{3 * sec, false, true}, 38 * sec, 27 * sec, false},
	} {
		if got := MayExtendUnread(c.u, c.cancel, c.lease); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
	if FenceDelay(11*sec, 67*sec, false) != 11*sec || FenceDelay(11*sec, 67*sec, true) != 67*sec || FenceDelay(90*sec, 67*sec, true) != 90*sec {
		t.Error("a cut gives patience, never less than usual")
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

// The one with the fewest machines goes first, and all agree on the order.
func TestTurn(t *testing.T) {
	all := []Candidate{{"n2", 100}, {"n0", 300}, {"n1", 100}}
	for me, want := range map[string]time.Duration{"n1": 0, "n2": turnDelay, "n0": 2 * turnDelay} {
		if got := TakeoverDelay(me, all); got != want {
			t.Errorf("%s waits %v, wanted %v", me, got, want)
		}
	}
	if TakeoverDelay("gone", all) != 0 {
		t.Error("a node that is not among them waits for nobody")
	}
}

// However long a pass takes, most of the time is left.
func TestPace(t *testing.T) {
	p := Throttle{MaxShare: 0.25, MinPause: 15 * time.Millisecond, IdlePause: 50 * time.Millisecond, MaxPause: 150 * time.Millisecond}
	for _, c := range []struct {
		took, want time.Duration
		urgent     bool
	}{
		{time.Millisecond, 15 * time.Millisecond, true}, {time.Millisecond, 50 * time.Millisecond, false},
		{20 * time.Millisecond, 60 * time.Millisecond, true}, {20 * time.Millisecond, 140 * time.Millisecond, false},
		{40 * time.Millisecond, 150 * time.Millisecond, false}, {100 * time.Millisecond, 300 * time.Millisecond, true},
	} {
		if got := p.Pause(c.took, c.urgent); got != c.want {
			t.Errorf("after %v, urgent %v: %v, wanted %v", c.took, c.urgent, got, c.want)
		}
	}
}

// The parts never add up to more than the limit, and none is left out.
func TestShareSockets(t *testing.T) {
	for _, limit := range []int{150, 1000, 1803, 3604} {
		for _, peers := range []int{2, 6} {
			s := DivideSockets(limit, peers)
			if s.Public+s.WorkerCalls+s.State+s.Peers > limit || s.Users >= s.Public || s.Users < s.Public/2 || s.WorkerCalls < 16 || s.State < 8 {
				t.Errorf("%d with %d peers: %+v", limit, peers, s)
			}
		}
	}
}

// Who is turned away is told when the backlog is gone, and not all the same.
func TestComeBack(t *testing.T) {
	for _, c := range []struct {
		b      Backlog
		spread float64
		want   time.Duration
		refuse bool
	}{
		{Backlog{0, 10, false}, 0.9, sec, false},
		{Backlog{30, 10, false}, 0, 3 * sec, false},
		{Backlog{30, 10, false}, 0.99, 6 * sec, false},
		{Backlog{60, 10, false}, 0, 6 * sec, true},
		{Backlog{0, 10, true}, 0, 2 * sec, false},
		{Backlog{9000, 10, false}, 0.99, 20 * sec, true},
		{Backlog{1, 0, false}, 0, 10 * sec, true},
	} {
		if got := c.b.RetryAfter(c.spread); got != c.want || c.b.ShouldShed(4*sec) != c.refuse {
			t.Errorf("%+v: come back in %v, refused %v", c.b, got, c.b.ShouldShed(4*sec))
		}
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

// Whatever waits where, the parts of all make one, and none is left without.
func TestPart(t *testing.T) {
	for _, waits := range [][]int{{0}, {0, 0, 0}, {50, 0, 3}, {1000, 0, 0, 0, 0, 0, 0}} {
		sum := 0.0
		for own := range waits {
			p := BudgetShare(waits, own)
			if p < 0.5/float64(len(waits)) {
				t.Errorf("%v: %v for %d", waits, p, own)
			}
			sum += p
		}
		if sum < 0.999 || sum > 1.001 {
			t.Errorf("%v: %v in all", waits, sum)
		}
	}
	if a, b := BudgetShare([]int{50, 0, 3}, 0), BudgetShare([]int{50, 0, 3}, 1); a < 2*b {
		t.Errorf("%v with a backlog, %v without", a, b)
	}
}
