package simtest

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestPipelineDeepAndWide has a chain of fifty jobs and two hundred jobs side by side
// depend on one root, and a last job on all two hundred. The root is cancelled while the
// state service accepts 21 changes a second. All dependents must be reported as cancelled
// within seconds, without waiting for a write.
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

// TestHundredsCancelledUnderOldLeaders plays the failure of refused-then-down.trace with
// more cancelled jobs than fit into one message of repeated cancellations or one pass of
// probes, and with two of three leaders refused by the state service. Many of the jobs
// still run when the outage begins. All must be stopped within the cancel deadline without
// returning a machine.
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
		if i%3 != 1 { // most of the jobs with img-1 are on n1's machines, so they are not cancelled
			fmt.Fprintf(&b, "%v user n1 abort wk-%d\n", 40100*time.Millisecond+time.Duration(i)*5*time.Millisecond, i)
		}
	}
	// The outage begins before the lease of n0 or n2 expires, so that n1 can take over neither shard.
	b.WriteString("42200ms outage on\n42200ms trouble cloud on\n42250ms expect busy 150\n42250ms expect returned 1\n73s expect returned 1\n" + // an idle machine has been returned; no machine with tasks may be returned
		"90s trouble cloud off\n90s outage off\n95s calm\n")
	if out := play(t, b.String(), 1); out.Kind() != "" {
		t.Errorf("%q: %v, broken %v", out.Line, out.Err, out.Broken)
	}
}
