package simtest

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestPipelineDeepAndWide: a job fifty deep and two hundred side by side need one, and a
// last one all of those. Cancelled at the root while the state service takes 21 changes a
// second, all are told cancelled within seconds and nobody waits for a write for that.
func TestPipelineDeepAndWide(t *testing.T) {
	var b strings.Builder
	b.WriteString("0s announce 2048 4 21\n0s machines 6 a\n5s lower\n8s submit n0 wk-0 array tasks=4 run=200\n")
	submit := func(at time.Duration, ref int, needs string) {
		fmt.Fprintf(&b, "%v user n%d submit wk-%d array tasks=1 run=1 needs=%s\n", at, ref%3, ref, needs)
	}
	var all []string
	for i := 1; i <= 50; i++ {
		submit(8*time.Second+time.Duration(i)*400*time.Millisecond, i, fmt.Sprintf("wk-%d", i-1))
	}
	for i := 101; i <= 300; i++ {
		submit(9*time.Second+time.Duration(i-100)*90*time.Millisecond, i, "wk-0")
		all = append(all, fmt.Sprintf("wk-%d", i))
	}
	submit(60*time.Second, 400, strings.Join(all, ","))
	b.WriteString("70s expect wk-400 pending\n70s expect wk-50 pending\n71s abort n1 wk-0\n")
	for _, ref := range []int{1, 50, 101, 300, 400} {
		fmt.Fprintf(&b, "72s expect wk-%d cancelled\n", ref)
	}
	b.WriteString("73s submit n2 wk-401 array tasks=1 run=1 needs=wk-400\n73s expect wk-401 cancelled\n75s expect oversize 1\n80s calm\n")
	if out := play(t, b.String(), 1); out.Kind() != "" {
		t.Errorf("%q: %v, broken %v", out.Line, out.Err, out.Broken)
	}
}

// TestHundredsCancelledUnderOldLeaders: as in refused-then-down.trace with more jobs than
// are repeated in one message or asked for in one pass, and two leaders of three refused.
// Many are on their machines when the outage begins. All are gone within the bound, and
// no machine for it.
func TestHundredsCancelledUnderOldLeaders(t *testing.T) {
	const jobs = 240
	var b strings.Builder
	b.WriteString("0s machines 61 a\n0s spare 0\n")
	for i := range jobs {
		fmt.Fprintf(&b, "%v user n%d submit wk-%d service tasks=1 image=img-%d\n", 8*time.Second+time.Duration(i)*40*time.Millisecond, i%3, i, i%3)
	}
	fmt.Fprintf(&b, "40s expect busy %d\n", jobs)
	for _, leader := range []string{"n0", "n2"} {
		fmt.Fprintf(&b, "40s trouble alone %[1]s on\n40s refuse %[1]s on\n", leader)
	}
	for i := range jobs {
		if i%3 != 1 { // those with the third image are on n1's machines, the most of them
			fmt.Fprintf(&b, "%v user n1 abort wk-%d\n", 40100*time.Millisecond+time.Duration(i)*5*time.Millisecond, i)
		}
	}
	// Before either lease has ended, so that n1 can take neither shard.
	b.WriteString("42200ms outage on\n42200ms trouble cloud on\n42250ms expect busy 150\n42250ms expect returned 1\n73s expect returned 1\n" + // which was idle
		"90s trouble cloud off\n90s outage off\n95s calm\n")
	if out := play(t, b.String(), 1); out.Kind() != "" {
		t.Errorf("%q: %v, broken %v", out.Line, out.Err, out.Broken)
	}
}
