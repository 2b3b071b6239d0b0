package quota

import (
	"cmp"
	"slices"
	"strings"
)

// Holder is a shard, or CrossShard, with its allotment of one team's limit.
type Holder struct {
	Name   string
	Grant  Resources // what it may use altogether
	Use    Resources // what it uses
	Demand *Demand   // nil: none
}

// compare orders holders with a demand as they are served. Copies of one job wait at
// several holders; without the name as the last criterion each would keep half of what the
// job needs.
func (h *Holder) compare(other *Holder) int {
	return cmp.Or(h.Demand.compare(other.Demand), strings.Compare(h.Name, other.Name))
}

func (h *Holder) isStarving() bool {
	return h.Demand != nil && !h.Demand.Anticipated && h.Demand.Waited >= StarvationThreshold
}

// Transfer is an amount that passes from one holder's allotment to another's.
type Transfer struct {
	From, To string
	Amount   Resources
}

// Rebalance decides what passes from which holder to which, of what no holder uses. Each
// controller carries out the transfers from the holders that it decides for. Controllers
// know the use at slightly different times, which only makes a transfer a little larger or
// smaller than needed.
//
// The first job of each holder is served first, in order. What holders without any demand
// have left then goes, in proportion, to those that could start more. A holder receives
// nothing that it could not use now, so nothing is transferred to and fro.
func Rebalance(limit Resources, holders []Holder) []Transfer {
	r := &rebalancing{limit: limit, holders: holders, unused: make([]Resources, len(holders)), reserved: make([]Resources, len(holders))}
	var demanding []int
	for i := range holders {
		r.unused[i] = limitedParts(holders[i].Grant.Minus(holders[i].Use), limit)
		if holders[i].Demand != nil {
			demanding = append(demanding, i)
		}
	}
	if len(demanding) == 0 {
		return nil
	}
	slices.SortFunc(demanding, func(a, b int) int { return holders[a].compare(&holders[b]) })
	for position, i := range demanding {
		r.serveFirstJob(i, position == 0)
	}
	r.distributeUnused(demanding)
	return r.transfers
}

// rebalancing is the state of one Rebalance. Holders are named by their index.
type rebalancing struct {
	limit     Resources
	holders   []Holder
	unused    []Resources // of the allotment, transfers so far included
	reserved  []Resources // of that, kept for the holder's own first job
	transfers []Transfer
}

// surplusFor returns what a holder can transfer for another's first job. A holder with a
// demand keeps what that could use, unless the other's job starves and comes before it.
func (r *rebalancing) surplusFor(from, to int) Resources {
	donor, receiver := &r.holders[from], &r.holders[to]
	left := r.unused[from].Minus(r.reserved[from])
	switch {
	case donor.Demand == nil:
		return left
	case receiver.Demand.Anticipated:
		return Resources{}
	case receiver.isStarving() && receiver.compare(donor) < 0:
		return left
	}
	return left.Minus(donor.Demand.Total)
}

// serveFirstJob collects what a holder's first job needs. Unless all of it is available
// nothing is transferred, but for the first job of all if it starves: it collects what
// becomes free, since other jobs would use that up again and again.
func (r *rebalancing) serveFirstJob(i int, isFirst bool) {
	head := limitedParts(r.holders[i].Demand.Head, r.limit)
	r.reserved[i] = r.unused[i].Min(head)
	missing := head.Minus(r.unused[i])
	if missing.IsZero() {
		return
	}
	donors, available := r.donorsFor(i)
	if !missing.Within(available) && !(isFirst && r.holders[i].isStarving()) {
		return
	}
	for _, donor := range donors {
		r.transfer(donor, i, r.surplusFor(donor, i).Min(missing))
		if missing = head.Minus(r.unused[i]); missing.IsZero() {
			break
		}
	}
	r.reserved[i] = r.unused[i].Min(head)
}

// donorsFor returns the holders that can transfer something for a holder's first job, and
// how much together. Holders without a demand come first, then those with most.
func (r *rebalancing) donorsFor(i int) (donors []int, available Resources) {
	for j := range r.holders {
		if surplus := r.surplusFor(j, i); j != i && !surplus.IsZero() {
			donors = append(donors, j)
			available = available.Plus(surplus)
		}
	}
	slices.SortStableFunc(donors, func(a, b int) int {
		surplusA, surplusB := r.surplusFor(a, i), r.surplusFor(b, i)
		return cmp.Or(compareBool(r.holders[a].Demand != nil, r.holders[b].Demand != nil),
			cmp.Compare(surplusB.CPUs+surplusB.GPUs, surplusA.CPUs+surplusA.GPUs), strings.Compare(r.holders[a].Name, r.holders[b].Name))
	})
	return donors, available
}

// transfer moves an amount, added to an earlier transfer between the two if there is one.
func (r *rebalancing) transfer(from, to int, amount Resources) {
	if amount.IsZero() {
		return
	}
	r.unused[from] = r.unused[from].Minus(amount)
	r.unused[to] = r.unused[to].Plus(amount)
	for i := range r.transfers {
		if earlier := &r.transfers[i]; earlier.From == r.holders[from].Name && earlier.To == r.holders[to].Name {
			earlier.Amount = earlier.Amount.Plus(amount)
			return
		}
	}
	r.transfers = append(r.transfers, Transfer{From: r.holders[from].Name, To: r.holders[to].Name, Amount: amount})
}

// distributeUnused divides what holders without a demand have left among those that could
// start more, in units that let something start.
func (r *rebalancing) distributeUnused(demanding []int) {
	usable := make([]int, len(r.holders)) // units that each holder could use beyond what it has
	total := 0
	for _, i := range demanding {
		usable[i] = r.usableUnits(i)
		total += usable[i]
	}
	if total == 0 {
		return
	}
	for donor := range r.holders {
		if r.holders[donor].Demand == nil {
			r.distributeFrom(donor, demanding, usable, total)
		}
	}
}

// unitOf returns the smallest amount that lets something start at a holder, in the parts
// that the limit has.
func (r *rebalancing) unitOf(i int) Resources {
	return limitedParts(r.holders[i].Demand.minUsefulTransfer(), r.limit)
}

// usableUnits returns how many units a holder could use beyond what it has; the bound keeps
// products of two such numbers from overflowing.
func (r *rebalancing) usableUnits(i int) int {
	unit := r.unitOf(i)
	if unit.IsZero() {
		return 0
	}
	missing := limitedParts(r.holders[i].Demand.Total, r.limit).Minus(r.unused[i])
	return min(TasksThatFit(missing, unit, r.limit), 1<<20)
}

// distributeFrom gives each demanding holder its part of what a donor has left. The parts
// are rounded up to whole units: the last holder gets what is left, and a few units are
// not left unused.
func (r *rebalancing) distributeFrom(donor int, demanding, usable []int, total int) {
	pool := r.unused[donor]
	for _, i := range demanding {
		unit := r.unitOf(i)
		if usable[i] == 0 || unit.IsZero() {
			continue
		}
		share := TasksThatFit(pool, unit, r.limit)*usable[i]/total + 1
		units := min(share, usable[i], TasksThatFit(r.unused[donor], unit, r.limit))
		r.transfer(donor, i, unit.Times(float64(units)))
		usable[i] -= units
	}
}
