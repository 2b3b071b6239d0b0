package admission

import (
	"testing"
	"time"
)

const sec = time.Second

// The pauses leave most of the time for answering requests, regardless of how long passes
// take.
func TestThrottleLeavesMostOfTheTime(t *testing.T) {
	throttle := Throttle{MaxShare: 0.25, MinPause: 15 * time.Millisecond, IdlePause: 50 * time.Millisecond, MaxPause: 150 * time.Millisecond}
	for _, c := range []struct {
		took, want time.Duration
		urgent     bool
	}{
		{time.Millisecond, 15 * time.Millisecond, true}, {time.Millisecond, 50 * time.Millisecond, false},
		{20 * time.Millisecond, 60 * time.Millisecond, true}, {20 * time.Millisecond, 140 * time.Millisecond, false},
		{40 * time.Millisecond, 150 * time.Millisecond, false}, {100 * time.Millisecond, 300 * time.Millisecond, true},
	} {
		if got := throttle.Pause(c.took, c.urgent); got != c.want {
			t.Errorf("pause after a pass of %v, urgent %v: got %v, want %v", c.took, c.urgent, got, c.want)
		}
	}
}

// The parts of a socket budget never add up to more than the limit, and each part has sockets.
func TestSocketBudgetStaysWithinLimit(t *testing.T) {
	for _, limit := range []int{150, 1000, 1803, 3604} {
		for _, peers := range []int{2, 6} {
			s := DivideSockets(limit, peers)
			if s.Public+s.WorkerCalls+s.State+s.Peers > limit || s.Users >= s.Public || s.Users < s.Public/2 || s.WorkerCalls < 16 || s.State < 8 {
				t.Errorf("limit %d with %d peers: %+v", limit, peers, s)
			}
		}
	}
}

// The retry time of a refused client is the time in which the backlog drains, and differs
// between clients.
func TestRetryAfterFollowsBacklog(t *testing.T) {
	for _, c := range []struct {
		backlog Backlog
		spread  float64
		want    time.Duration
		shed    bool
	}{
		{Backlog{0, 10, false}, 0.9, sec, false},
		{Backlog{30, 10, false}, 0, 3 * sec, false},
		{Backlog{30, 10, false}, 0.99, 6 * sec, false},
		{Backlog{60, 10, false}, 0, 6 * sec, true},
		{Backlog{0, 10, true}, 0, 2 * sec, false},
		{Backlog{9000, 10, false}, 0.99, 20 * sec, true},
		{Backlog{1, 0, false}, 0, 10 * sec, true},
	} {
		if got := c.backlog.RetryAfter(c.spread); got != c.want || c.backlog.ShouldShed(4*sec) != c.shed {
			t.Errorf("%+v: retry after %v, shed %v", c.backlog, got, c.backlog.ShouldShed(4*sec))
		}
	}
}

// The shares of all controllers add up to one for any distribution of pending changes, and
// every controller has at least half of an even share.
func TestBudgetSharesAddUpToOne(t *testing.T) {
	for _, pending := range [][]int{{0}, {0, 0, 0}, {50, 0, 3}, {1000, 0, 0, 0, 0, 0, 0}} {
		sum := 0.0
		for own := range pending {
			share := BudgetShare(pending, own)
			if share < 0.5/float64(len(pending)) {
				t.Errorf("%v: share %v of controller %d", pending, share, own)
			}
			sum += share
		}
		if sum < 0.999 || sum > 1.001 {
			t.Errorf("%v: the shares add up to %v", pending, sum)
		}
	}
	if busy, idle := BudgetShare([]int{50, 0, 3}, 0), BudgetShare([]int{50, 0, 3}, 1); busy < 2*idle {
		t.Errorf("share %v with a backlog, %v without", busy, idle)
	}
}
