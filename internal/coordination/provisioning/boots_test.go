package provisioning

import (
	"testing"
	"time"
)

const sec = time.Second

var kind = MachineKind{"m8", "a"}

// What is expected follows what was seen, for a while.
func TestExpected(t *testing.T) {
	now := time.Unix(1000, 0)
	var b BootStats
	if got := b.Overdue(kind, 40*sec, now); got != 60*sec {
		t.Errorf("nothing seen: late after %v", got)
	}
	for range 20 {
		b.Booted(kind, 2*sec, now)
	}
	if got := b.Overdue(kind, 40*sec, now); got != 60*sec {
		t.Errorf("after fast boots late after %v: the next usual one would be replaced", got)
	}
	if got := b.Expected(kind, 40*sec, now); got > 3*sec {
		t.Errorf("after fast boots %v are usual", got)
	}
	now = now.Add(5 * time.Minute)
	if got := b.Expected(kind, 40*sec, now); got != 40*sec {
		t.Errorf("long after, %v are usual", got)
	}
	for range 20 {
		b.Booted(kind, 200*sec, now)
	}
	if got := b.Overdue(kind, 40*sec, now); got < 250*sec || got > 270*sec {
		t.Errorf("after slow boots late after %v", got)
	}
	if late, up := b.Overdue(kind, 40*sec, now), b.Expired(kind, 40*sec, now); up < 2*late {
		t.Errorf("given up after %v, late after %v", up, late)
	}
	if got := b.Overdue(MachineKind{"m8", "b"}, 40*sec, now); got != 60*sec {
		t.Errorf("another zone's boots are late after %v", got)
	}
}

// A kind that keeps failing is tried less, and tried again.
func TestShy(t *testing.T) {
	now := time.Unix(1000, 0)
	var b BootStats
	if b.Failed(kind, now); b.Unreliability(kind, now) != 1 {
		t.Error("one that is missing is no trouble")
	}
	for range 9 {
		b.Failed(kind, now)
	}
	if got := b.Unreliability(kind, now); got != 4 {
		t.Errorf("none came, %v times as dear", got)
	}
	for range 10 {
		b.Booted(kind, 40*sec, now)
	}
	if got := b.Unreliability(kind, now); got != 2 {
		t.Errorf("half came, %v times as dear", got)
	}
	if got := b.UnreliableKinds(now)[kind]; got != 2 {
		t.Errorf("told as %v times as dear", got)
	}
	if now = now.Add(4 * time.Minute); b.Unreliability(kind, now) != 1 {
		t.Error("not tried again")
	}
}

// A zone that boots slowly as a whole does not rent the fleet twice at once.
func TestReplaced(t *testing.T) {
	for _, c := range [][3]int{{0, 100, 0}, {1, 1, 1}, {3, 4, 2}, {100, 100, 26}} {
		if got := ReplacementCount(c[0], c[1]); got != c[2] {
			t.Errorf("%d late of %d: %d replaced, wanted %d", c[0], c[1], got, c[2])
		}
	}
}
