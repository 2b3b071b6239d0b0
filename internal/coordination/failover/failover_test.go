package failover

import (
	"testing"
	"time"
)

const sec = time.Second

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
