package health

import (
	"testing"
	"time"
)

// A machine that reports and does not hear is told from one that hung beyond its lease,
// and from the many that a controller without processor time reaches late.
func TestHearing(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(1000, 0).Add(time.Duration(s) * sec) }
	for name, c := range map[string]struct {
		happens       func(h *Reachability)
		doubted, deaf bool
	}{
		"one call is lost": {func(h *Reachability) { h.RecordAnswer(at(1)); h.RecordFailure(at(5), at(4)) }, false, false},
		"two are, and it was heard in between": {func(h *Reachability) {
			h.RecordAnswer(at(1))
			h.RecordFailure(at(5), at(4))
			h.RecordFailure(at(9), at(7))
		}, true, false},
		"two are, and it was silent": {func(h *Reachability) {
			h.RecordAnswer(at(1))
			h.RecordFailure(at(5), at(4))
			h.RecordFailure(at(9), at(4))
		}, false, false},
		"its lease ran out, it was not asked since": {func(h *Reachability) { h.RecordFailure(at(5), at(4)); h.RecordNewEpoch(at(30)) }, false, false},
		"and it does not answer": {func(h *Reachability) {
			h.RecordFailure(at(5), at(4))
			h.RecordNewEpoch(at(30))
			h.RecordFailure(at(32), at(31))
		}, true, true},
		"it hung, and answers": {func(h *Reachability) { h.RecordFailure(at(5), at(4)); h.RecordNewEpoch(at(30)); h.RecordAnswer(at(31)) }, false, false},
		"it hears again": {func(h *Reachability) {
			h.RecordNewEpoch(at(30))
			h.RecordFailure(at(32), at(31))
			h.RecordAnswer(at(40))
		}, false, false},
	} {
		var h Reachability
		c.happens(&h)
		if h.Suspect() != c.doubted || h.CannotReceive() != c.deaf {
			t.Errorf("%s: doubted %v, deaf %v", name, h.Suspect(), h.CannotReceive())
		}
	}
	var h Reachability
	if h.RecordAnswer(at(1)); h.ShouldProbe(at(29), at(28)) {
		t.Error("asked for nothing")
	}
	h.RecordNewEpoch(at(30))
	if !h.ShouldProbe(at(31), at(30)) {
		t.Error("not asked once its session has risen")
	}
	if h.RecordFailure(at(32), at(31)); h.ShouldProbe(at(33), at(33)) || !h.ShouldProbe(at(35), at(33)) {
		t.Error("asked at once again, or never")
	}
}

// A machine that answers and does not report loses its work with each lease: nothing is
// to begin there after half of one, and it goes back after two more. A new owner, or one
// that stood still, has to have been there to hear.
func TestMute(t *testing.T) {
	const lease = 12 * time.Second
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		reported, acting time.Duration // ago
		mute, useless    bool
	}{
		{5 * time.Second, time.Hour, false, false},
		{7 * time.Second, time.Hour, true, false},
		{29 * time.Second, time.Hour, true, false},
		{31 * time.Second, time.Hour, true, true},
		{time.Hour, 5 * time.Second, false, false},
		{time.Hour, 31 * time.Second, true, true},
	} {
		reported, acting := now.Add(-c.reported), now.Add(-c.acting)
		if mute, useless := CannotReport(reported, acting, now, lease), Unreachable(reported, acting, now, lease); mute != c.mute || useless != c.useless {
			t.Errorf("reported %v ago, heard for %v: mute %v, useless %v", c.reported, c.acting, mute, useless)
		}
	}
}
