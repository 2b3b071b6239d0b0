package provisioning

import (
	"testing"
	"time"
)

const sec = time.Second

var kind = MachineKind{"m8", "a"}

// Expectations follow the observed boots, for a while.
func TestExpectationsFollowObservedBoots(t *testing.T) {
	now := time.Unix(1000, 0)
	var b BootStats
	if got := b.Overdue(kind, 40*sec, now); got != 60*sec {
		t.Errorf("nothing observed: overdue after %v", got)
	}
	for range 20 {
		b.Booted(kind, 2*sec, now)
	}
	if got := b.Overdue(kind, 40*sec, now); got != 60*sec {
		t.Errorf("after fast boots overdue after %v: the next ordinary one would be replaced", got)
	}
	if got := b.Expected(kind, 40*sec, now); got > 3*sec {
		t.Errorf("after fast boots %v are expected", got)
	}
	now = now.Add(5 * time.Minute)
	if got := b.Expected(kind, 40*sec, now); got != 40*sec {
		t.Errorf("long after, %v are expected", got)
	}
	for range 20 {
		b.Booted(kind, 200*sec, now)
	}
	if got := b.Overdue(kind, 40*sec, now); got < 250*sec || got > 270*sec {
		t.Errorf("after slow boots overdue after %v", got)
	}
	if overdue, expired := b.Overdue(kind, 40*sec, now), b.Expired(kind, 40*sec, now); expired < 2*overdue {
		t.Errorf("expired after %v, overdue after %v", expired, overdue)
	}
	if got := b.Overdue(MachineKind{"m8", "b"}, 40*sec, now); got != 60*sec {
		t.Errorf("another zone's boots are overdue after %v", got)
	}
}

// A kind that keeps failing counts as dearer for a while, and is then tried again.
func TestUnreliabilityFollowsFailedBoots(t *testing.T) {
	now := time.Unix(1000, 0)
	var b BootStats
	if b.Failed(kind, now); b.Unreliability(kind, now) != 1 {
		t.Error("one failed boot counts")
	}
	for range 9 {
		b.Failed(kind, now)
	}
	if got := b.Unreliability(kind, now); got != 4 {
		t.Errorf("none booted, %v times as dear", got)
	}
	for range 10 {
		b.Booted(kind, 40*sec, now)
	}
	if got := b.Unreliability(kind, now); got != 2 {
		t.Errorf("half booted, %v times as dear", got)
	}
	if got := b.UnreliableKinds(now)[kind]; got != 2 {
		t.Errorf("listed as %v times as dear", got)
	}
	if now = now.Add(4 * time.Minute); b.Unreliability(kind, now) != 1 {
		t.Error("not tried again")
	}
}
