package provisioning

import (
	"testing"
	"time"
)

const sec = time.Second

var kind = MachineKind{"m8", "a"}

// Expected boot times, overdue ages and expiry ages follow the observed boots of a kind until
// the observations are dropped.
func TestExpectationsFollowObservedBoots(t *testing.T) {
	now := time.Unix(1000, 0)
	var b BootStats
	if got := b.OverdueAge(kind, 40*sec, now); got != 60*sec {
		t.Errorf("overdue after %v without observed boots", got)
	}
	for range 20 {
		b.RecordBoot(kind, 2*sec, now)
	}
	if got := b.OverdueAge(kind, 40*sec, now); got != 60*sec {
		t.Errorf("overdue after %v following fast boots: the next boot of nominal time would be replaced", got)
	}
	if got := b.ExpectedBootTime(kind, 40*sec, now); got > 3*sec {
		t.Errorf("expected boot time is %v following fast boots", got)
	}
	now = now.Add(5 * time.Minute)
	if got := b.ExpectedBootTime(kind, 40*sec, now); got != 40*sec {
		t.Errorf("expected boot time is %v after the observations expired", got)
	}
	for range 20 {
		b.RecordBoot(kind, 200*sec, now)
	}
	if got := b.OverdueAge(kind, 40*sec, now); got < 250*sec || got > 270*sec {
		t.Errorf("overdue after %v following slow boots", got)
	}
	if overdue, expired := b.OverdueAge(kind, 40*sec, now), b.ExpiryAge(kind, 40*sec, now); expired < 2*overdue {
		t.Errorf("expired after %v although overdue after %v", expired, overdue)
	}
	if got := b.OverdueAge(MachineKind{"m8", "b"}, 40*sec, now); got != 60*sec {
		t.Errorf("overdue after %v in another zone", got)
	}
}

// The price factor of a kind whose boots fail rises, and is 1 again once the failures are
// dropped, so that the kind is tried again.
func TestUnreliabilityFollowsFailedBoots(t *testing.T) {
	now := time.Unix(1000, 0)
	var b BootStats
	if b.RecordOverdue(kind, now); b.Unreliability(kind, now) != 1 {
		t.Error("one failed boot raises the price factor")
	}
	for range 9 {
		b.RecordOverdue(kind, now)
	}
	if got := b.Unreliability(kind, now); got != 4 {
		t.Errorf("price factor %v when no machine booted", got)
	}
	for range 10 {
		b.RecordBoot(kind, 40*sec, now)
	}
	if got := b.Unreliability(kind, now); got != 2 {
		t.Errorf("price factor %v when half of the machines booted", got)
	}
	if got := b.UnreliableKinds(now)[kind]; got != 2 {
		t.Errorf("listed with price factor %v", got)
	}
	if now = now.Add(4 * time.Minute); b.Unreliability(kind, now) != 1 {
		t.Error("the price factor is not 1 after the failures expired")
	}
}
