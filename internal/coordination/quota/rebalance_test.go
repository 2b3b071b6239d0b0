package quota

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Unused allotment of holders without demand must be transferred to the holder with a demand,
// up to the amount of the demand.
func TestRebalanceGivesUnusedPartsToDemand(t *testing.T) {
	got := Rebalance(cpus(20), []Holder{
		{Name: "*", Grant: cpus(12)},
		{Name: "n0", Grant: cpus(4), Use: cpus(4), Demand: demandFor("wk-1", 1, 2, 6)},
		{Name: "n1", Grant: cpus(4), Use: cpus(1)},
	})
	if len(got) != 1 || got[0] != (Transfer{From: "*", To: "n0", Amount: cpus(6)}) {
		t.Fatal(got)
	}
}

// Two holders with demand must keep their allotments, since they would otherwise transfer the
// same amounts back and forth. Only a job that has waited for StarvationThreshold receives
// allotment that later work could use.
func TestRebalanceTakesFromWorkOnlyForOlderStarvingJob(t *testing.T) {
	older, younger := demandFor("wk-1", 1, 2, 10), demandFor("wk-2", 2, 2, 10)
	holders := []Holder{{Name: "n0", Grant: cpus(0), Demand: older}, {Name: "n1", Grant: cpus(4), Demand: younger}}
	if got := Rebalance(cpus(4), holders); len(got) != 0 {
		t.Fatal("transferred from a holder whose work could start at once:", got)
	}
	older.Waited = StarvationThreshold
	if got := Rebalance(cpus(4), holders); len(got) != 1 || got[0].From != "n1" || got[0].Amount != cpus(2) {
		t.Fatal("the older job is not served after StarvationThreshold:", got)
	}
	older.Waited, younger.Waited = 0, StarvationThreshold
	if got := Rebalance(cpus(4), []Holder{{Name: "n0", Grant: cpus(4), Demand: older}, {Name: "n1", Demand: younger}}); len(got) != 0 {
		t.Fatal("transferred from older work to younger work:", got)
	}
}

// If each of two gangs needs the whole limit and has half of it, the first in order must
// receive all, whichever controller decides.
func TestRebalanceServesFirstGangWhole(t *testing.T) {
	for _, test := range []struct{ name, first, second string }{
		{"two gangs", "wk-1", "wk-2"},
		{"two copies of one gang", "wk-1", "wk-1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			first, second := demandFor(test.first, 1, 8, 8), demandFor(test.second, 1, 8, 8)
			first.Waited, second.Waited = StarvationThreshold, StarvationThreshold
			got := Rebalance(cpus(8), []Holder{{Name: "n0", Grant: cpus(4), Demand: first}, {Name: "n1", Grant: cpus(4), Demand: second}})
			if len(got) != 1 || got[0] != (Transfer{From: "n1", To: "n0", Amount: cpus(4)}) {
				t.Fatal(got)
			}
		})
	}
}

// Anticipated demand, for which there is no capacity yet, must be served only from holders
// without demand. Here their unused 4 CPUs do not suffice for the gang's 8.
func TestRebalanceServesAnticipatedDemandFromIdlePartsOnly(t *testing.T) {
	anticipated := demandFor("wk-1", 1, 8, 8)
	anticipated.Anticipated, anticipated.Waited = true, time.Hour
	got := Rebalance(cpus(12), []Holder{
		{Name: "n0", Demand: anticipated},
		{Name: "n1", Grant: cpus(8), Demand: demandFor("wk-2", 2, 2, 4)},
		{Name: "n2", Grant: cpus(4)},
	})
	if len(got) != 0 {
		t.Fatal("transferred allotment that another holder could use, for a job without capacity:", got)
	}
}

// For random demands: no holder may transfer allotment that it uses or does not have, the sum
// of the allotments must not change, and the first job in order must be served if it has
// waited for StarvationThreshold and enough allotment is unused.
func TestRebalanceKeepsTheSumAndServesTheFirstJob(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holders := drawHolders(t)
		limit, use := 0.0, 0.0
		for _, holder := range holders {
			limit += holder.Grant.CPUs
			use += holder.Use.CPUs
		}
		transfers := Rebalance(cpus(limit), holders)
		after := make(map[string]float64)
		for _, holder := range holders {
			after[holder.Name] = holder.Grant.CPUs
		}
		for _, transfer := range transfers {
			if transfer.Amount.CPUs <= 0 {
				t.Fatal("transfer of an empty amount", transfer)
			}
			after[transfer.From] -= transfer.Amount.CPUs
			after[transfer.To] += transfer.Amount.CPUs
		}
		sum := 0.0
		for _, holder := range holders {
			sum += after[holder.Name]
			if after[holder.Name] < holder.Use.CPUs-tolerance {
				t.Fatalf("%s uses %v, and only %v CPUs are left to it", holder.Name, holder.Use, after[holder.Name])
			}
		}
		if math.Abs(sum-limit) > tolerance {
			t.Fatalf("the allotments sum up to %v CPUs after the transfers, and to %v before", sum, limit)
		}
		first := firstDemanding(holders)
		if first != nil && first.isStarving() && first.Demand.Head.CPUs <= limit-use+tolerance && after[first.Name]-first.Use.CPUs < first.Demand.Head.CPUs-tolerance {
			t.Fatalf("first demand %v was not served although %v CPUs were unused: %v", first.Demand, limit-use, transfers)
		}
	})
}

// drawHolders draws two to seven holders whose use is within their allotments.
func drawHolders(t *rapid.T) []Holder {
	var holders []Holder
	for i := range rapid.IntRange(2, 7).Draw(t, "holders") {
		holder := Holder{Name: fmt.Sprint("n", i), Grant: cpus(float64(rapid.IntRange(0, 20).Draw(t, "grant")))}
		holder.Use = cpus(float64(rapid.IntRange(0, int(holder.Grant.CPUs)).Draw(t, "use")))
		if rapid.Bool().Draw(t, "demands") {
			head := float64(rapid.IntRange(1, 12).Draw(t, "head"))
			holder.Demand = &Demand{JobID: fmt.Sprint("wk-", rapid.IntRange(1, 4).Draw(t, "job")), Head: cpus(head), PerTask: cpus(1), Total: cpus(head + float64(rapid.IntRange(0, 20).Draw(t, "more"))),
				Waited: time.Duration(rapid.IntRange(0, 6).Draw(t, "waited")) * time.Second, AcceptedAtMs: int64(rapid.IntRange(1, 3).Draw(t, "accepted"))}
		}
		holders = append(holders, holder)
	}
	return holders
}

// firstDemanding returns the holder that is served first, or nil if none has a demand.
func firstDemanding(holders []Holder) *Holder {
	var first *Holder
	for i := range holders {
		if holder := &holders[i]; holder.Demand != nil && (first == nil || holder.compare(first) < 0) {
			first = holder
		}
	}
	return first
}
